// The timeouts and backoff with which a process calls a platform that does not
// respond. No I/O; times are milliseconds.
//
// Example:
//   probe_pace pace;
//   std::uint64_t backoff = 0;
//   backoff = next_pause_ms(pace, backoff);  // after each failed call
#pragma once

#include <algorithm>
#include <cstdint>

namespace trayrock {

struct probe_pace {
  // How long the platform holds a watch that checks whether it responds.
  std::uint64_t wait_ms = 300;
  // A call without a response fails this long after the end of its wait.
  std::uint64_t margin_ms = 1000;
  // Before the next call; doubled after each consecutive failed call.
  std::uint64_t first_pause_ms = 100;
  std::uint64_t longest_pause_ms = 800;
  // A call without a response is repeated concurrently at this interval; 0:
  // never.
  std::uint64_t repeat_ms = 0;
};

// For a process that has this long to reconnect after an outage of the
// platform. The time of the platform's return is known only up to the interval
// between two calls (decide/lapse_rule.h), so this is at most a quarter of the
// time.
inline probe_pace probe_pace_within(std::uint64_t reconnect_ms) {
  probe_pace made;
  made.repeat_ms = reconnect_ms / 4;
  made.longest_pause_ms = std::min(made.longest_pause_ms, made.repeat_ms);
  made.first_pause_ms = std::min(made.first_pause_ms, made.longest_pause_ms);
  return made;
}

// The backoff after a failed call; `previous_ms` is 0 for the first one.
inline std::uint64_t next_pause_ms(const probe_pace& pace,
                                   std::uint64_t previous_ms) {
  return std::clamp(previous_ms * 2, pace.first_pause_ms,
                    pace.longest_pause_ms);
}

}  // namespace trayrock
