#include "trayrock/internal/decide/endpoint_choice.h"

#include <algorithm>
#include <vector>

namespace trayrock {
namespace {

// With fewer of a service's endpoints than this share well, all are used: what
// fails then is more likely to be something else.
constexpr double least_well_share = 0.5;
// The preferred endpoint may have this many more requests of this gateway
// than the least loaded one, before the latter takes over.
constexpr double slack_share = 0.25;
constexpr std::uint32_t slack_requests = 6;
constexpr double assumed_latency_ms = 100;

double load_of(const endpoint_state& at, const endpoint_choice& wanted,
               const choice_policy& policy) {
  const double latency = at.latency_ms > 0 ? at.latency_ms : assumed_latency_ms;
  double load = (at.in_flight + 1) * latency / at.record.capacity;
  if (at.record.data_centre != wanted.data_centre) {
    load *= policy.elsewhere_factor;
  }
  if (wanted.connected && !wanted.connected(at.record)) {
    load *= policy.unconnected_factor;
  }
  return load;
}

bool usable(const endpoint_state& at, const endpoint_choice& wanted) {
  const bool tried =
      wanted.excluded != nullptr && wanted.excluded->contains(at.record.id);
  return !at.record.draining && !at.superseded && !tried;
}

// An endpoint on trial gets one request at a time.
bool trusted(const endpoint_state& at, const endpoint_choice& wanted,
             std::uint64_t now_ms) {
  if (at.health.avoided(now_ms)) {
    return false;
  }
  return !at.health.on_trial(now_ms) || (!wanted.once && at.in_flight == 0);
}

// Endpoints that have failed lately count only if too few others are left.
std::vector<endpoint_state_ptr> candidates_of(
    std::span<const endpoint_state_ptr> of_service,
    const endpoint_choice& wanted, std::uint64_t now_ms) {
  std::vector<endpoint_state_ptr> usable_ones;
  std::vector<endpoint_state_ptr> well;
  for (const endpoint_state_ptr& each : of_service) {
    if (!usable(*each, wanted)) {
      continue;
    }
    usable_ones.push_back(each);
    if (trusted(*each, wanted, now_ms)) {
      well.push_back(each);
    }
  }
  const auto least = static_cast<double>(usable_ones.size()) * least_well_share;
  return static_cast<double>(well.size()) < least ? usable_ones : well;
}

// The first of those with the least load; there is one at least.
const endpoint_state_ptr& least_loaded(
    std::span<const endpoint_state_ptr> candidates,
    const endpoint_choice& wanted, const choice_policy& policy) {
  std::size_t least = 0;
  double least_load = load_of(*candidates[0], wanted, policy);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const double load = load_of(*candidates[i], wanted, policy);
    if (load < least_load) {
      least = i;
      least_load = load;
    }
  }
  return candidates[least];
}

// Whether the preferred endpoint has little more to do than the least loaded.
bool within_slack(const endpoint_state& preferred,
                  const endpoint_state& least_loaded) {
  const double allowed =
      least_loaded.in_flight * (1 + slack_share) + slack_requests;
  return preferred.in_flight <= allowed;
}

}  // namespace

endpoint_state_ptr choose_endpoint(
    std::span<const endpoint_state_ptr> of_service,
    const endpoint_choice& wanted, const choice_policy& policy,
    std::uint64_t now_ms) {
  const std::vector<endpoint_state_ptr> candidates =
      candidates_of(of_service, wanted, now_ms);
  if (candidates.empty()) {
    return nullptr;
  }
  const endpoint_state_ptr& least = least_loaded(candidates, wanted, policy);
  const auto preferred = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const auto& each) { return each->record.id == wanted.preferred; });
  const bool keep = policy.keeps_previous && preferred != candidates.end() &&
                    within_slack(**preferred, *least);
  return keep ? *preferred : least;
}

}  // namespace trayrock
