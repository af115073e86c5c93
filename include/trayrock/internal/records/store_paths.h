// Tracks how a client reaches each record store: directly, through a relay, or
// not at all.
//
// No I/O; the caller passes the time, of which only the time counts in which
// replies could have been read (decide/loop_delay.h, attended time). A store is
// silent if it has not replied to any direct call for a timeout; a store that
// is only slow still replies to some calls.
//
// Example:
//   store_paths paths;
//   paths.on_request_sent("store-1", now);
//   paths.is_silent("store-1", now + 400, milliseconds(350));  // true
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace trayrock {

class store_paths {
 public:
  // A direct call was sent.
  void on_request_sent(const std::string& store, std::uint64_t now_ms);

  // A direct call got a reply. Returns true if the store was reachable only
  // through relays before.
  bool on_reply(const std::string& store);

  // A relayed call got a reply, so calls use relays for a limited time. Returns
  // true if the store was reached directly before.
  bool on_relayed_reply(const std::string& store, std::uint64_t now_ms);

  // True if the store has not replied to direct calls for `timeout`.
  bool is_silent(const std::string& store, std::uint64_t now_ms,
                 std::chrono::milliseconds timeout) const;

  // True while calls are sent through a relay first.
  bool uses_relay(const std::string& store, std::uint64_t now_ms) const;

 private:
  struct path {
    std::uint64_t unanswered_since_ms = 0;  // 0: no call is pending
    std::uint64_t relayed_until_ms = 0;
    bool relayed = false;
  };

  std::map<std::string, path> paths_;
};

}  // namespace trayrock
