#include "trayrock/internal/net/loop_delay_reporter.h"

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds report_period{1000};
constexpr std::uint64_t min_logged_ms = 100;

}  // namespace

loop_delay_reporter::loop_delay_reporter(event_loop& loop,
                                         metrics_registry& metrics)
    : loop_(loop), metrics_(metrics) {
  timer_ = loop_.every(report_period, [this] { report(); });
}

void loop_delay_reporter::report() {
  const std::uint64_t delay_ms = loop_.delay().take_max_ms();
  metrics_.set("loop_delay_ms", {}, static_cast<double>(delay_ms));
  if (delay_ms >= min_logged_ms) {
    log_warn("loop_late", {{"ms", std::to_string(delay_ms)}});
  }
}

}  // namespace trayrock
