// Reports the delay of an event loop: the gauge "loop_delay_ms", and the event
// "loop_late" in the log.
//
// Once a second, with the largest delay since the previous report.
//
// Example:
//   const loop_delay_reporter reporter(loop, metrics);
#pragma once

#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

class loop_delay_reporter {
 public:
  loop_delay_reporter(event_loop& loop, metrics_registry& metrics);
  loop_delay_reporter(const loop_delay_reporter&) = delete;
  loop_delay_reporter& operator=(const loop_delay_reporter&) = delete;
  ~loop_delay_reporter() = default;

 private:
  void report();

  event_loop& loop_;
  metrics_registry& metrics_;
  timer timer_;
};

}  // namespace trayrock
