#include "trayrock/internal/gateway/former_endpoints.h"

#include <algorithm>

namespace trayrock {
namespace {

// Outdated records arrive within seconds.
constexpr std::size_t max_instances = 256;

}  // namespace

void former_endpoints::add(const endpoint_state_ptr& state) {
  known_[state->record.identity] = {state, next_number_++};
  if (known_.size() > max_instances) {
    remove_oldest();
  }
}

endpoint_state_ptr former_endpoints::find(
    const endpoint_identity& wanted) const {
  const auto known = known_.find(wanted);
  return known == known_.end() ? nullptr : known->second.state;
}

bool former_endpoints::has_newer_than(const endpoint_identity& instance) const {
  for (auto each = known_.upper_bound(instance);
       each != known_.end() && each->first.id == instance.id; ++each) {
    // An instance known only from reports of other gateways has no record.
    const bool was_listed = !each->second.state->record.service.empty();
    if (was_listed) {
      return true;
    }
  }
  return false;
}

void former_endpoints::remove_oldest() {
  const auto oldest = std::min_element(
      known_.begin(), known_.end(), [](const auto& left, const auto& right) {
        return left.second.number < right.second.number;
      });
  known_.erase(oldest);
}

}  // namespace trayrock
