#include "trayrock/internal/decide/slow_endpoint_detector.h"

#include <algorithm>
#include <cmath>

namespace trayrock {
namespace {

// Weight of a new sample in the exponential moving averages, which thus reflect
// about the last 20 responses.
constexpr double weight = 0.05;
// A response is an outlier this many mean deviations above the mean: about one
// in 1,000 if response times are distributed exponentially, where the mean
// deviation is 0.74 of the mean.
constexpr double outlier_deviations = 8;
// With fewer responses, the timeout is a multiple of the minimum.
constexpr std::uint64_t min_responses = 20;
constexpr int initial_factor = 3;
// Share of the requests that may be sent again because of slow endpoints: what
// one hanging endpoint of ten gets until it is in backoff.
constexpr std::uint64_t resend_percent = 10;

}  // namespace

slow_endpoint_detector::slow_endpoint_detector(slow_endpoint_policy policy)
    : policy_(policy), budget_(resend_percent) {}

void slow_endpoint_detector::record_first_byte(milliseconds after) {
  budget_.record_call();
  const auto ms = static_cast<double>(after.count());
  const double distance = std::abs(ms - mean_ms_);
  if (response_count_ == 0) {
    mean_ms_ = ms;
  } else {
    mean_ms_ += weight * (ms - mean_ms_);
    deviation_ms_ += weight * (distance - deviation_ms_);
  }
  ++response_count_;
}

std::chrono::milliseconds slow_endpoint_detector::first_byte_timeout(
    milliseconds min_timeout) const {
  return std::visit([&](const auto& by) { return timeout_by(by, min_timeout); },
                    policy_.criterion);
}

std::chrono::milliseconds slow_endpoint_detector::timeout_by(
    const compared_with_service&, milliseconds min_timeout) const {
  if (response_count_ < min_responses) {
    return min_timeout * initial_factor;
  }
  const double outlier_ms = mean_ms_ + outlier_deviations * deviation_ms_;
  return std::max(min_timeout, milliseconds(static_cast<long>(outlier_ms)));
}

}  // namespace trayrock
