// How a client of the record stores reaches each of them: directly, by a
// relay, or not at present.
//
// No I/O; the caller gives the time. A store is silent when a direct call has
// gone without any direct answer of that store for a while; one that is only
// slow answers somebody.
//
// Example:
//   store_paths paths;
//   paths.asked("store-1", now);
//   paths.silent("store-1", now + 400, milliseconds(350));  // true
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace trayrock {

class store_paths {
 public:
  // A direct call begins.
  void asked(const std::string& store, std::uint64_t now_ms);

  // A direct call was answered. True if the store was reached by relays only
  // before.
  bool answered(const std::string& store);

  // A relay's call was answered: calls go by relays for a spell. True if the
  // store was reached directly before.
  bool answered_by_relay(const std::string& store, std::uint64_t now_ms);

  // True when the store has left direct calls unanswered for `longest`.
  bool silent(const std::string& store, std::uint64_t now_ms,
              std::chrono::milliseconds longest) const;

  // True while calls go by a relay at once.
  bool by_relay(const std::string& store, std::uint64_t now_ms) const;

 private:
  struct path {
    std::uint64_t unanswered_since_ms = 0;  // 0: nothing is waited for
    std::uint64_t relayed_until_ms = 0;
    bool relayed = false;
  };

  std::map<std::string, path> paths_;
};

}  // namespace trayrock
