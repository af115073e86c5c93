// Replays a trace against a deployment and judges what came back.
//
// Each program runs as its caller would: calls one after another with the
// recorded pauses, refusals repeated when they say to come back, streams read
// to their closing event. Every answer is compared with the one that the
// caller's own record of the conversation gives, and at the end the history
// that the deployment holds is compared with it byte for byte.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trayrock/internal/net/http_client.h"
#include "trayrock/internal/replay/trace.h"

namespace trayrock {

struct replay_options {
  std::vector<address> entries;
  std::vector<address> counters;      // stand-ins that count executions
  double speed = 1;                   // of arrivals and pauses
  std::uint64_t patience_ms = 60000;  // of one call, over all its tries
  bool progress = false;
};

// Figures of one work class.
struct class_figures {
  std::vector<double> program_ms;  // open to end, pauses left out
  std::vector<double> first_token_ms;
  std::vector<double> between_tokens_ms;
};

struct replay_report {
  std::uint64_t programs = 0;
  std::uint64_t calls = 0;
  std::uint64_t lost = 0;        // calls missing from a history
  std::uint64_t doubled = 0;     // executed more than once
  std::uint64_t mixed = 0;       // answers that are not the call's own
  std::uint64_t unknown = 0;     // outcome unknown
  std::uint64_t unfinished = 0;  // programs that could not go on
  std::uint64_t refusals = 0;
  std::uint64_t tries = 0;
  std::uint64_t restarts = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t recomputed_tokens = 0;
  std::map<std::string, class_figures> classes;
  std::map<std::uint64_t, std::uint64_t> failures;  // by number
  std::vector<std::string> notes;                   // first few faults

  double wasted_share() const;
  bool meets(const trace_outcomes& stated) const;
};

// The p-th part of the samples, 0 to 1; zero when there are none.
double part_of(std::vector<double> samples, double p);

class replayer {
 public:
  replayer(event_loop& loop, const trace& what, replay_options options);
  replayer(const replayer&) = delete;
  replayer& operator=(const replayer&) = delete;
  ~replayer();

  // Runs to the end of all programs; the loop must be running.
  void start(std::function<void(const replay_report&)> done);

 private:
  struct runner;

  void program_over(runner& which);
  void count_executions(std::size_t index);
  const address& next_entry();

  event_loop& loop_;
  trace trace_;
  replay_options options_;
  http_client client_;
  replay_report report_;
  std::map<std::string, std::unique_ptr<runner>> runners_;
  std::size_t open_ = 0;
  std::size_t next_entry_ = 0;
  http_call counting_;
  timer progress_;
  std::function<void(const replay_report&)> done_;
};

}  // namespace trayrock
