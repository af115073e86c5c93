#include "trayrock/internal/decide/configuration_proof.h"

#include <algorithm>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// Taken off the limit: the processor may be late between the reading of a
// request and the look at the clock, by some tens of ms on a busy box.
constexpr milliseconds margin{150};
// Parts of the limit. A watch that waits for a fifth of it gives proofs of two
// fifths at the most; those who ask a gateway that watches have them a tenth
// later. What is left, two fifths and more, is for calls that get no answer. A
// tenth costs more calls and gains nothing.
constexpr int waits_per_limit = 5;
// From half of the limit on other gateways are asked.
constexpr int ageing_per_limit = 2;

}  // namespace

void configuration_proof::on_platform_response(std::uint64_t sent_ms) {
  proven_ms_ = std::max(proven_ms_.value_or(0), sent_ms);
}

void configuration_proof::on_peer_reply(std::uint64_t asked_ms,
                                        milliseconds age) {
  const auto length = static_cast<std::uint64_t>(age.count());
  if (length < asked_ms) {
    on_platform_response(asked_ms - length);
  }
}

bool configuration_proof::is_valid(std::uint64_t now_ms) const {
  if (!limit_) {
    return true;
  }
  const std::optional<milliseconds> held = age(now_ms);
  return held && *held + margin <= *limit_;
}

bool configuration_proof::needs_refresh(std::uint64_t now_ms) const {
  if (!limit_) {
    return false;
  }
  const std::optional<milliseconds> held = age(now_ms);
  return !held || *held > *limit_ / ageing_per_limit;
}

std::optional<milliseconds> configuration_proof::age(
    std::uint64_t now_ms) const {
  if (!proven_ms_) {
    return std::nullopt;
  }
  return milliseconds(now_ms - std::min(*proven_ms_, now_ms));
}

milliseconds max_watch_wait(std::optional<milliseconds> limit,
                            milliseconds usual) {
  return limit ? std::min(usual, *limit / waits_per_limit) : usual;
}

}  // namespace trayrock
