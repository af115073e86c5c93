#include "trayrock/internal/gateway/former_endpoints.h"

#include <algorithm>

namespace trayrock {
namespace {

// Late records come within seconds; endpoints are replaced by the dozen.
constexpr std::size_t most_former = 256;

}  // namespace

void former_endpoints::note(const endpoint_state_ptr& state) {
  known_[state->record.identity] = {state, next_number_++};
  if (known_.size() > most_former) {
    forget_oldest();
  }
}

endpoint_state_ptr former_endpoints::find(
    const endpoint_identity& wanted) const {
  const auto known = known_.find(wanted);
  return known == known_.end() ? nullptr : known->second.state;
}

bool former_endpoints::knows_newer_than(
    const endpoint_identity& instance) const {
  for (auto each = known_.upper_bound(instance);
       each != known_.end() && each->first.id == instance.id; ++each) {
    // One that others have only reported has no record.
    const bool was_listed = !each->second.state->record.service.empty();
    if (was_listed) {
      return true;
    }
  }
  return false;
}

void former_endpoints::forget_oldest() {
  const auto oldest = std::min_element(
      known_.begin(), known_.end(), [](const auto& left, const auto& right) {
        return left.second.number < right.second.number;
      });
  known_.erase(oldest);
}

}  // namespace trayrock
