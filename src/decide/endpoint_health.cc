#include "trayrock/internal/decide/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace trayrock {
namespace {

// Evidence decays to 1/e in this time. At ten requests a second, an endpoint
// that fails a third of them reaches the threshold; one that fails 6% stays
// below one failure.
constexpr double evidence_decay_ms = 1000;
constexpr double evidence_threshold = 2.9;
constexpr std::uint32_t consecutive_failure_threshold = 2;
// A gateway's reports count once in this time, so that they alone add up to at
// most 2.2 failures, which is below the threshold.
constexpr std::uint64_t report_period_ms = 600;
// Doubled if the endpoint fails again within `relapse_window_ms`.
constexpr std::uint64_t initial_backoff_ms = 400;
constexpr std::uint64_t max_backoff_ms = 4000;
constexpr std::uint32_t max_doublings = 4;
constexpr std::uint64_t relapse_window_ms = 5000;
// Probation ends after this time, which is that of the longest backoff, even if
// the endpoint got no request that is allowed during probation.
constexpr std::uint64_t max_probation_ms = 4000;
// An endpoint that refuses has a full queue, which drains within tens of
// milliseconds, or is broken and continues to refuse.
constexpr std::uint64_t initial_refusal_backoff_ms = 60;
constexpr std::uint32_t max_refusal_doublings = 4;
// Carried over a backoff, so that a relapse is detected sooner.
constexpr double evidence_after_backoff = 1;

}  // namespace

void endpoint_health::add_evidence(std::uint64_t now_ms) {
  const auto elapsed_ms = static_cast<double>(now_ms - evidence_at_ms_);
  evidence_ *= std::exp(-elapsed_ms / evidence_decay_ms);
  evidence_ += 1;
  evidence_at_ms_ = now_ms;
}

bool endpoint_health::start_backoff_if(bool due, std::uint64_t now_ms) {
  if (!due || in_failure_backoff(now_ms)) {
    return false;
  }
  const bool relapse =
      backoff_until_ms_ != 0 && now_ms - backoff_until_ms_ < relapse_window_ms;
  backoff_doublings_ =
      relapse ? std::min(backoff_doublings_ + 1, max_doublings) : 0;
  backoff_until_ms_ =
      now_ms +
      std::min(initial_backoff_ms << backoff_doublings_, max_backoff_ms);
  responded_since_backoff_ = false;
  evidence_ = evidence_after_backoff;
  evidence_at_ms_ = backoff_until_ms_;
  return true;
}

void endpoint_health::record_response(std::uint64_t now_ms) {
  consecutive_failures_ = 0;
  refusal_doublings_ = 0;
  responded_since_backoff_ =
      responded_since_backoff_ || !in_failure_backoff(now_ms);
}

bool endpoint_health::is_on_probation(std::uint64_t now_ms) const {
  return policy_.has_probation_after_backoff && !responded_since_backoff_ &&
         !in_failure_backoff(now_ms) &&
         now_ms - backoff_until_ms_ < max_probation_ms;
}

bool endpoint_health::record_failure(std::uint64_t now_ms) {
  ++consecutive_failures_;
  if (in_failure_backoff(now_ms)) {
    return false;
  }
  add_evidence(now_ms);
  return start_backoff_if(
      evidence_ >= evidence_threshold ||
          consecutive_failures_ >= consecutive_failure_threshold,
      now_ms);
}

bool endpoint_health::record_peer_failure(std::string_view gateway,
                                          std::uint64_t now_ms) {
  if (in_failure_backoff(now_ms)) {
    return false;
  }
  std::erase_if(reported_at_ms_, [&](const auto& entry) {
    return entry.second + report_period_ms <= now_ms;
  });
  if (!reported_at_ms_.try_emplace(std::string(gateway), now_ms).second) {
    return false;
  }
  add_evidence(now_ms);
  return start_backoff_if(evidence_ >= evidence_threshold, now_ms);
}

bool endpoint_health::record_refusal(std::uint64_t now_ms) {
  if (!policy_.backs_off_after_refusals || is_in_backoff(now_ms)) {
    return false;
  }
  refusal_backoff_until_ms_ =
      now_ms + (initial_refusal_backoff_ms << refusal_doublings_);
  refusal_doublings_ = std::min(refusal_doublings_ + 1, max_refusal_doublings);
  return true;
}

bool endpoint_health::record_unreachable(std::uint64_t now_ms) {
  ++consecutive_failures_;
  return start_backoff_if(true, now_ms);
}

}  // namespace trayrock
