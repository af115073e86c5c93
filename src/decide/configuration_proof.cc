#include "trayrock/internal/decide/configuration_proof.h"

#include <algorithm>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// Subtracted from the limit, since the process may be descheduled between the
// reading of a request and the check.
constexpr milliseconds scheduling_margin{150};
// A watch waits for a fifth of the limit, so that proofs are at most two fifths
// of it old, and one tenth more at gateways that poll a watcher. The rest is
// left for calls that get no response. Shorter waits cost more calls.
constexpr int watch_wait_divisor = 5;
// Other gateways are polled once the proof is older than half of the limit.
constexpr int refresh_divisor = 2;

}  // namespace

void configuration_proof::on_platform_response(std::uint64_t sent_ms) {
  proven_at_ms_ = std::max(proven_at_ms_.value_or(0), sent_ms);
}

void configuration_proof::on_peer_reply(std::uint64_t polled_ms,
                                        milliseconds age) {
  const auto age_ms = static_cast<std::uint64_t>(age.count());
  if (age_ms < polled_ms) {
    on_platform_response(polled_ms - age_ms);
  }
}

bool configuration_proof::is_valid(std::uint64_t now_ms) const {
  if (!limit_) {
    return true;
  }
  const std::optional<milliseconds> current = age(now_ms);
  return current && *current + scheduling_margin <= *limit_;
}

bool configuration_proof::needs_refresh(std::uint64_t now_ms) const {
  if (!limit_) {
    return false;
  }
  const std::optional<milliseconds> current = age(now_ms);
  return !current || *current > *limit_ / refresh_divisor;
}

std::optional<milliseconds> configuration_proof::age(
    std::uint64_t now_ms) const {
  if (!proven_at_ms_) {
    return std::nullopt;
  }
  return milliseconds(now_ms - std::min(*proven_at_ms_, now_ms));
}

milliseconds max_watch_wait(std::optional<milliseconds> limit,
                            milliseconds default_wait) {
  return limit ? std::min(default_wait, *limit / watch_wait_divisor)
               : default_wait;
}

}  // namespace trayrock
