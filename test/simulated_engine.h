// A model engine in virtual time: continuous batching over a limited memory of
// prompt parts.
//
// Each step gives one token to every request whose prompt has been read; while
// prompts are waiting, one chunk of the oldest of them is read between two
// steps. Progress is computed as a rate between events, which leaves out the
// rounding to whole steps. Also left out: priorities, cancelled requests,
// refusals (requests beyond the limits wait) and the reuse of output tokens.
//
// Example:
//   simulated_engine engine(1.0);
//   engine.add({7, &prompt, 35}, now);
//   while (const auto at = engine.next_event_ms()) {
//     for (const std::size_t finished : engine.advance(*at)) { ... }
//   }
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace trayrock::testing {

struct prompt_part {
  std::uint64_t id = 0;
  double tokens = 0;
};

// Each part follows those before it.
using prompt_parts = std::vector<prompt_part>;

// Figures of an engine, from docs/design/hard-load.md.
constexpr double step_base_ms = 3.47;
constexpr double step_request_ms = 0.16;
constexpr double prefill_tokens_per_ms = 36.1;
constexpr double engine_memory_tokens = 135012;
constexpr std::size_t max_running = 64;
// As in fakes/fake_engine.cc.
constexpr double prefill_chunk_tokens = 256;

// Prompt parts in memory; the least recently used ones are evicted first.
class prompt_memory {
 public:
  // The number of parts, from the first on, that are held.
  std::size_t held_parts(const prompt_parts& prompt) const;

  // Evicts unused parts until `tokens` more fit; false if they cannot.
  bool reserve(double tokens);
  void release(double tokens) { reserved_tokens_ -= tokens; }

  // Keeps the held parts from eviction until unpin().
  void pin(const prompt_parts& prompt, std::size_t count);
  void unpin(const prompt_parts& prompt);

  // Adds the parts that are not held, and pins those from `first` on.
  void store(const prompt_parts& prompt, std::size_t first);

 private:
  struct entry {
    double tokens = 0;
    int pins = 0;
    std::list<std::uint64_t>::iterator position;  // in by_use_ if not pinned
  };

  std::unordered_map<std::uint64_t, entry> parts_;
  std::list<std::uint64_t> by_use_;  // parts that may be evicted
  double pinned_tokens_ = 0;
  double unpinned_tokens_ = 0;
  double reserved_tokens_ = 0;
};

class simulated_engine {
 public:
  struct ended_request {
    std::size_t id = 0;
    double output_ms = 0;  // from its first to its last token
  };
  struct request {
    std::size_t id = 0;
    const prompt_parts* prompt = nullptr;  // outlives the request
    double output_tokens = 0;
  };

  // `speed` is relative to the figures above.
  explicit simulated_engine(double speed) : speed_(speed) {}

  // advance() must have been called for the same time.
  void add(const request& added, double now_ms);
  void set_speed(double speed) { speed_ = speed; }

  // Returns the requests that end at `now_ms`, which must not be later than
  // next_event_ms().
  std::vector<ended_request> advance(double now_ms);

  // Nothing if no request is running.
  std::optional<double> next_event_ms() const;

  // The parts whose reading has begun since the last call.
  std::vector<prompt_part> take_reads() { return std::exchange(reads_, {}); }

  double prefilled_tokens() const { return prefilled_tokens_; }
  double output_tokens() const { return output_tokens_; }

 private:
  struct running {
    request what;
    std::size_t held = 0;       // parts that need not be read
    double unread_tokens = 0;   // reserved and not yet read
    double prefill_left = 0;    // of unread_tokens
    double ends_at_step = 0;    // once the prompt has been read
    double output_from_ms = 0;  // likewise
  };

  double steps_per_ms() const;
  double prefill_per_ms() const;
  void admit_waiting();
  bool admit(const request& added);
  void end_prefill();

  double speed_;
  double at_ms_ = 0;
  double steps_ = 0;
  prompt_memory memory_;
  std::deque<request> waiting_;
  std::deque<running> prefilling_;  // the first one progresses
  std::vector<running> decoding_;
  std::vector<prompt_part> reads_;
  double prefilled_tokens_ = 0;
  double output_tokens_ = 0;
};

}  // namespace trayrock::testing
