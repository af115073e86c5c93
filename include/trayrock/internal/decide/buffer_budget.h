// Bounds what a gateway buffers for clients and endpoints that read slowly. No
// I/O and no clock.
//
// A holder is a client's connection with its current exchange. It holds
// responses that its client has not read (unread), which stop growing when
// reading from the endpoint pauses, and everything else (retained): requests,
// and responses that can't be passed on yet.
//
// Up to the first threshold nothing is limited. Above it, reading pauses for
// holders whose unread bytes exceed a share of what is left up to a level
// between the first and the second threshold. So the largest pause first, and
// the more is held, the smaller ones follow. It resumes when the client has
// read, or when less is held in all. Above the second threshold new requests
// are refused. Above the third the largest holder is ended.
//
// Each change takes constant time. Only the end of a holder looks at all of
// them, and only falling below the first threshold at all that are paused.
//
// Example:
//   buffer_budget budget(buffer_limits::of_memory(88U << 20));
//   for (const buffer_action& each : budget.set_unread(connection, 4096)) {
//     std::visit(performer, each);
//   }
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace trayrock {

// In bytes.
struct buffer_limits {
  std::uint64_t pause_at = 0;
  std::uint64_t settle_at = 0;  // pauses keep the total about here
  std::uint64_t refuse_at = 0;
  std::uint64_t end_at = 0;

  // For a process that may use so much memory.
  static buffer_limits of_memory(std::uint64_t bytes);
};

// Stop reading the response from the endpoint.
struct pause_reading {
  std::uint64_t holder;
};
struct resume_reading {
  std::uint64_t holder;
};
// Close the client's connection. What it holds counts no more.
struct end_holder {
  std::uint64_t holder;
  std::uint64_t bytes;
};
using buffer_action = std::variant<pause_reading, resume_reading, end_holder>;
using buffer_actions = std::vector<buffer_action>;

class buffer_budget {
 public:
  explicit buffer_budget(const buffer_limits& limits) : limits_(limits) {}

  // Sets what a holder holds. An unknown holder is added.
  buffer_actions set_unread(std::uint64_t holder, std::uint64_t bytes);
  buffer_actions set_retained(std::uint64_t holder, std::uint64_t bytes);

  // The holder's connection was closed.
  buffer_actions remove(std::uint64_t holder);

  bool refuses_new_requests() const { return held_ > limits_.refuse_at; }
  bool is_paused(std::uint64_t holder) const {
    return paused_.contains(holder);
  }

  std::uint64_t held() const { return held_; }
  std::size_t paused() const { return paused_.size(); }

 private:
  struct holding {
    std::uint64_t unread = 0;
    std::uint64_t retained = 0;
    bool ended = false;

    std::uint64_t total() const { return unread + retained; }
  };

  void set(holding& of, std::uint64_t& part, std::uint64_t bytes);

  // Unread bytes above which reading pauses.
  std::uint64_t unread_share() const;

  void pause_or_resume(std::uint64_t holder, std::uint64_t unread,
                       buffer_actions& actions);
  void end_largest(buffer_actions& actions);
  void resume_all_if_low(buffer_actions& actions);

  buffer_limits limits_;
  std::uint64_t held_ = 0;
  std::unordered_map<std::uint64_t, holding> holders_;
  std::unordered_set<std::uint64_t> paused_;
};

}  // namespace trayrock
