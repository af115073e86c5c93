#include "trayrock/internal/decide/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace trayrock {
namespace {

// Evidence fades to 1/e in this time. An endpoint that fails a third of ten
// requests a second keeps three failures in view; the 6% that are lost on a
// bad day of all endpoints keep less than one.
constexpr double fade_ms = 1000;
constexpr double evidence_to_avoid = 2.9;
constexpr std::uint32_t failures_in_row_to_avoid = 2;
// A gateway's reports count once in this time, so that they alone add up to
// 2.2 failures at the most.
constexpr std::uint64_t report_period_ms = 600;
// An endpoint is left alone this long, doubled if it fails soon after.
constexpr std::uint64_t first_pause_ms = 400;
constexpr std::uint64_t longest_pause_ms = 4000;
constexpr std::uint32_t most_doublings = 4;
constexpr std::uint64_t relapse_ms = 5000;
// An endpoint that gets no request of the kinds that try it is taken back after
// this long; the longest pause.
constexpr std::uint64_t longest_trial_ms = 4000;
// An endpoint that refuses has a full queue, which empties within some tens of
// ms, or is broken: then it goes on refusing.
constexpr std::uint64_t first_refusal_pause_ms = 60;
constexpr std::uint32_t most_refusal_doublings = 4;
// What is kept in view over a pause, so that a relapse shows sooner.
constexpr double evidence_after_pause = 1;

}  // namespace

// One more failure; older ones count for less.
void endpoint_health::add_evidence(std::uint64_t now_ms) {
  const auto passed = static_cast<double>(now_ms - evidence_at_ms_);
  evidence_ *= std::exp(-passed / fade_ms);
  evidence_ += 1;
  evidence_at_ms_ = now_ms;
}

bool endpoint_health::avoid_if_due(bool due, std::uint64_t now_ms) {
  if (!due || paused(now_ms)) {
    return false;
  }
  const bool relapse =
      avoided_until_ms_ != 0 && now_ms - avoided_until_ms_ < relapse_ms;
  pauses_in_row_ = relapse ? std::min(pauses_in_row_ + 1, most_doublings) : 0;
  avoided_until_ms_ =
      now_ms + std::min(first_pause_ms << pauses_in_row_, longest_pause_ms);
  answered_since_pause_ = false;
  evidence_ = evidence_after_pause;
  evidence_at_ms_ = avoided_until_ms_;
  return true;
}

void endpoint_health::record_response(std::uint64_t now_ms) {
  failures_in_row_ = 0;
  refusals_in_row_ = 0;
  answered_since_pause_ = answered_since_pause_ || !paused(now_ms);
}

bool endpoint_health::is_on_probation(std::uint64_t now_ms) const {
  return policy_.has_probation_after_backoff && !answered_since_pause_ &&
         !paused(now_ms) && now_ms - avoided_until_ms_ < longest_trial_ms;
}

bool endpoint_health::record_failure(std::uint64_t now_ms) {
  ++failures_in_row_;
  if (paused(now_ms)) {
    return false;
  }
  add_evidence(now_ms);
  return avoid_if_due(evidence_ >= evidence_to_avoid ||
                          failures_in_row_ >= failures_in_row_to_avoid,
                      now_ms);
}

bool endpoint_health::record_peer_failure(std::string_view gateway,
                                          std::uint64_t now_ms) {
  if (paused(now_ms)) {
    return false;
  }
  std::erase_if(reported_at_ms_, [&](const auto& held) {
    return held.second + report_period_ms <= now_ms;
  });
  if (!reported_at_ms_.try_emplace(std::string(gateway), now_ms).second) {
    return false;
  }
  add_evidence(now_ms);
  return avoid_if_due(evidence_ >= evidence_to_avoid, now_ms);
}

bool endpoint_health::record_refusal(std::uint64_t now_ms) {
  if (!policy_.backs_off_after_refusals || is_in_backoff(now_ms)) {
    return false;
  }
  refused_until_ms_ = now_ms + (first_refusal_pause_ms << refusals_in_row_);
  refusals_in_row_ = std::min(refusals_in_row_ + 1, most_refusal_doublings);
  return true;
}

bool endpoint_health::record_unreachable(std::uint64_t now_ms) {
  ++failures_in_row_;
  return avoid_if_due(true, now_ms);
}

}  // namespace trayrock
