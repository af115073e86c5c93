// Measures how late an event loop runs its timers. No I/O; the caller passes
// the time.
//
// A loop with more to do than it has processor time for handles each event
// late: replies that have arrived are not read yet, and timeouts expire all the
// same. So the silence of others is measured in attended time, which does not
// include the time by which this loop was late.
//
// Example:
//   loop_delay delay(now);
//   delay.tick(now + 250);  // from a timer of tick_period_ms
//   delay.last_ms();        // 200
//   // A reply is missing only if much attended time has passed.
//   const bool silent = delay.attended_ms(now + 260) - sent_ms > 350;
#pragma once

#include <cstdint>

namespace trayrock {

class loop_delay {
 public:
  static constexpr std::uint64_t tick_period_ms = 50;

  explicit loop_delay(std::uint64_t now_ms)
      : last_tick_ms_(now_ms), attended_ms_(now_ms) {}

  // The loop begins to run: it was not late, but has read nothing before.
  void resume(std::uint64_t now_ms);

  // The timer fired, to be set again for tick_period_ms.
  void tick(std::uint64_t now_ms);

  // Attended time: advances by at most one period and the usual delay between
  // two ticks. Never decreases.
  std::uint64_t attended_ms(std::uint64_t now_ms) const;

  // By how much the last tick was late.
  std::uint64_t last_ms() const { return last_ms_; }

  // By how much any tick was late since the previous call.
  std::uint64_t take_max_ms();

 private:
  std::uint64_t last_tick_ms_;
  std::uint64_t attended_ms_;  // at the last tick
  std::uint64_t last_ms_ = 0;
  std::uint64_t max_ms_ = 0;
};

}  // namespace trayrock
