// The timeouts and backoff with which a process calls a platform that does not
// respond. No I/O; times are milliseconds.
//
// Example:
//   probe_schedule schedule;
//   std::uint64_t backoff = 0;
//   backoff = next_backoff_ms(schedule, backoff);  // after each failed call
#pragma once

#include <algorithm>
#include <cstdint>

namespace trayrock {

struct probe_schedule {
  // How long the platform holds a watch that checks whether it responds.
  std::uint64_t wait_ms = 300;
  // A call without a response fails this long after the end of its wait.
  std::uint64_t margin_ms = 1000;
  // Before the next call; doubled after each consecutive failed call.
  std::uint64_t initial_backoff_ms = 100;
  std::uint64_t max_backoff_ms = 800;
  // Repeats a call without a response concurrently, at this interval; 0: never.
  std::uint64_t hedge_interval_ms = 0;
};

// For a process that has this long to reconnect after an outage of the
// platform. The time of the platform's return is known only up to the interval
// between two calls (decide/record_expiry.h), so this is at most a quarter of
// the time.
inline probe_schedule probe_schedule_within(std::uint64_t reconnect_ms) {
  probe_schedule made;
  made.hedge_interval_ms = reconnect_ms / 4;
  made.max_backoff_ms = std::min(made.max_backoff_ms, made.hedge_interval_ms);
  made.initial_backoff_ms =
      std::min(made.initial_backoff_ms, made.max_backoff_ms);
  return made;
}

// The backoff after a failed call; `previous_ms` is 0 for the first one.
inline std::uint64_t next_backoff_ms(const probe_schedule& schedule,
                                     std::uint64_t previous_ms) {
  return std::clamp(previous_ms * 2, schedule.initial_backoff_ms,
                    schedule.max_backoff_ms);
}

}  // namespace trayrock
