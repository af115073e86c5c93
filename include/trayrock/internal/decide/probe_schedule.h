// How often a process asks a platform that does not answer.
//
// No I/O; times are milliseconds.
//
// Example:
//   probe_schedule pace;
//   std::uint64_t pause = 0;
//   pause = next_backoff_ms(pace, pause);  // after each call that was lost
#pragma once

#include <algorithm>
#include <cstdint>

namespace trayrock {

struct probe_schedule {
  // The wait of a watch that is to show whether the platform answers.
  std::uint64_t wait_ms = 300;
  // Without an answer, the call is taken as lost this long after its wait has
  // ended.
  std::uint64_t margin_ms = 1000;
  // Between a lost call and the next one, doubled with each in a row.
  std::uint64_t initial_backoff_ms = 100;
  std::uint64_t max_backoff_ms = 800;
  // A call that is not answered by then is asked a second time beside the
  // first, and so on; 0: never.
  std::uint64_t hedge_interval_ms = 0;
};

// The pace of a process that has this long to reconnect after a trouble of the
// platform. What it heard last before that is the more uncertain the further
// apart its calls are (decide/record_expiry.h), so that a quarter of the time
// lies between two of them at the most.
inline probe_schedule probe_schedule_within(std::uint64_t reconnect_ms) {
  probe_schedule made;
  made.hedge_interval_ms = reconnect_ms / 4;
  made.max_backoff_ms = std::min(made.max_backoff_ms, made.hedge_interval_ms);
  made.initial_backoff_ms =
      std::min(made.initial_backoff_ms, made.max_backoff_ms);
  return made;
}

// The pause behind a lost call; `before_ms` is the one before, 0 at first.
inline std::uint64_t next_backoff_ms(const probe_schedule& pace,
                                     std::uint64_t before_ms) {
  return std::clamp(before_ms * 2, pace.initial_backoff_ms,
                    pace.max_backoff_ms);
}

}  // namespace trayrock
