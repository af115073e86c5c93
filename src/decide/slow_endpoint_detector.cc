#include "trayrock/internal/decide/slow_endpoint_detector.h"

#include <algorithm>
#include <cmath>

namespace trayrock {
namespace {

// What one answer counts for in the mean: some twenty answers are in view,
// which a gateway sees of a busy service in half a second.
constexpr double weight = 0.05;
// So many deviations above the mean an answer is an outlier. Times to the first
// byte are taken to spread as an exponential does, of which one in 1,000 lies
// there (reckoned; its mean deviation is 0.74 of the mean).
constexpr double outlier_deviations = 8;
// Before so many answers there is nothing to compare with; then the least time
// counts several times.
constexpr std::uint64_t enough = 20;
constexpr int unknown_factor = 3;
// Of a hundred requests so many may be begun anew for being late. One endpoint
// of ten that hangs gets ten of a hundred until it is left alone.
constexpr std::uint64_t leave_percent = 10;

}  // namespace

slow_endpoint_detector::slow_endpoint_detector(slow_endpoint_policy policy)
    : policy_(policy), budget_(leave_percent) {}

void slow_endpoint_detector::record_first_byte(milliseconds after) {
  budget_.record_call();
  const auto ms = static_cast<double>(after.count());
  const double distance = std::abs(ms - mean_ms_);
  if (seen_ == 0) {
    mean_ms_ = ms;
  } else {
    mean_ms_ += weight * (ms - mean_ms_);
    deviation_ms_ += weight * (distance - deviation_ms_);
  }
  ++seen_;
}

std::chrono::milliseconds slow_endpoint_detector::first_byte_timeout(
    milliseconds least) const {
  return std::visit([&](const auto& by) { return limit_of(by, least); },
                    policy_.criterion);
}

std::chrono::milliseconds slow_endpoint_detector::limit_of(
    const compared_with_service&, milliseconds least) const {
  if (seen_ < enough) {
    return least * unknown_factor;
  }
  const double outlier_ms = mean_ms_ + outlier_deviations * deviation_ms_;
  return std::max(least, milliseconds(static_cast<long>(outlier_ms)));
}

}  // namespace trayrock
