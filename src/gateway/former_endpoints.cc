#include "trayrock/internal/gateway/former_endpoints.h"

#include <algorithm>

namespace trayrock {
namespace {

// Late records come within seconds; endpoints are replaced by the dozen.
constexpr std::size_t most_former = 256;

}  // namespace

void former_endpoints::note(const std::string& id,
                            const endpoint_state_ptr& state) {
  if (!state->superseded) {
    return;
  }
  by_id_[id] = {state, next_number_++};
  if (by_id_.size() > most_former) {
    forget_oldest();
  }
}

endpoint_state_ptr former_endpoints::find(const std::string& id) const {
  const auto known = by_id_.find(id);
  return known == by_id_.end() ? nullptr : known->second.state;
}

void former_endpoints::forget_oldest() {
  const auto oldest = std::min_element(
      by_id_.begin(), by_id_.end(), [](const auto& left, const auto& right) {
        return left.second.number < right.second.number;
      });
  by_id_.erase(oldest);
}

}  // namespace trayrock
