// One event loop a process, on libevent, with timers that cancel themselves.
//
// Everything in a process runs on this one thread. A timer lives as long as
// its handle: dropping the handle cancels it, so that a destroyed object is
// never called back.
//
// Example:
//   event_loop loop;
//   timer tick = loop.every(std::chrono::seconds(1), [] { beat(); });
//   loop.run();
#pragma once

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "trayrock/internal/decide/loop_delay.h"

namespace trayrock {

using milliseconds = std::chrono::milliseconds;

// A share of a duration, such as of a customer's bound.
inline milliseconds share_of(milliseconds whole, double share) {
  return milliseconds(
      static_cast<long>(static_cast<double>(whole.count()) * share));
}

// Handle of a pending callback; movable, cancels on destruction.
class timer {
 public:
  timer() = default;

  // True while the callback can still fire.
  bool pending() const;

  // Cancels; harmless when nothing is pending.
  void cancel();

 private:
  friend class event_loop;
  struct state;
  struct closer {
    void operator()(state* held) const;
  };
  std::unique_ptr<state, closer> state_;
};

class event_loop {
 public:
  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  // Runs until stop().
  void run();

  // Makes run() return after the current callback.
  void stop();

  // Calls back once after the delay.
  timer after(milliseconds delay, std::function<void()> callback);

  // As after(), but the delay is attended time (decide/loop_delay.h). For
  // timeouts of replies: those that arrived while this loop was late are read
  // first.
  timer after_attended(milliseconds delay, std::function<void()> callback);

  // Calls back again and again, the first time after one period.
  timer every(milliseconds period, std::function<void()> callback);

  // Calls back once from the loop, outside the caller's stack.
  void post(std::function<void()> callback);

  // Calls back on a signal for as long as the handle lives.
  timer on_signal(int number, std::function<void()> callback);

  // Milliseconds of a clock that never goes back (for intervals).
  std::uint64_t now_ms() const;

  // As now_ms(), in microseconds.
  std::uint64_t now_us() const;

  // As now_ms(), in attended time (decide/loop_delay.h).
  std::uint64_t attended_ms() const { return delay_.attended_ms(now_ms()); }

  // How late this loop runs its timers.
  loop_delay& delay() { return delay_; }

  event_base* base() const { return base_; }

 private:
  void schedule_tick();

  event_base* base_;
  loop_delay delay_;
  timer tick_;
};

// Milliseconds since 1970, for times that other processes see.
std::uint64_t wall_clock_ms();

}  // namespace trayrock
