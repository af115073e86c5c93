#include "trayrock/internal/decide/endpoint_choice.h"

#include <algorithm>
#include <vector>

namespace trayrock {
namespace {

// If fewer of a service's endpoints than this share are healthy, all are used:
// the failures then likely have another cause.
constexpr double min_healthy_share = 0.5;
// The preferred endpoint is kept while it has at most this many more requests
// of this gateway than the least loaded one.
constexpr double slack_share = 0.25;
constexpr double slack_requests = 6;
constexpr double assumed_latency_ms = 100;
// Latencies up to this multiple of the service's median count as the median:
// queue lengths vary that much, and slow or overloaded endpoints lie above.
constexpr double max_noise_factor = 2;
// Older latencies are ignored, or else an endpoint that gets no requests
// because it was slow could never recover.
constexpr std::uint64_t latency_max_age_ms = 2000;

// Latencies of endpoints relative to the median of their service.
class latency_scale {
 public:
  latency_scale(std::span<const endpoint_state_ptr> endpoints,
                bool ignores_noise, std::uint64_t now_ms)
      : ignores_noise_(ignores_noise), now_ms_(now_ms) {
    if (!ignores_noise) {
      return;
    }
    std::vector<double> latencies_ms;
    for (const endpoint_state_ptr& each : endpoints) {
      if (each->latency_ms > 0) {
        latencies_ms.push_back(each->latency_ms);
      }
    }
    if (!latencies_ms.empty()) {
      const auto middle = latencies_ms.begin() +
                          static_cast<std::ptrdiff_t>(latencies_ms.size() / 2);
      std::nth_element(latencies_ms.begin(), middle, latencies_ms.end());
      median_ms_ = *middle;
    }
  }

  double relative_to_median(const endpoint_state& at) const {
    const double latency = at.latency_ms > 0 ? at.latency_ms : median_ms_;
    const double share = latency / median_ms_;
    if (!ignores_noise_) {
      return share;
    }
    const bool expired = at.latency_at_ms + latency_max_age_ms < now_ms_;
    return share <= max_noise_factor || expired ? 1 : share;
  }

  bool is_slow(const endpoint_state& at) const {
    return ignores_noise_ && relative_to_median(at) > max_noise_factor;
  }

 private:
  bool ignores_noise_;
  std::uint64_t now_ms_;
  double median_ms_ = assumed_latency_ms;
};

double load_of(const endpoint_state& at, const endpoint_criteria& criteria,
               const choice_policy& policy, const latency_scale& latencies,
               std::uint64_t now_ms) {
  const double load = (at.in_flight + 1) * latencies.relative_to_median(at) /
                      at.record.capacity;
  return load * cost_factor(at, criteria, policy, now_ms);
}

bool is_usable(const endpoint_state& at, const endpoint_criteria& criteria,
               std::uint64_t now_ms) {
  const bool excluded = criteria.excluded != nullptr &&
                        criteria.excluded->contains(at.record.identity);
  const bool removed = at.kept_until_ms != 0 && at.kept_until_ms <= now_ms;
  return !at.record.draining && !at.superseded && !at.evacuated && !removed &&
         !excluded && !at.is_cold_limit_reached(now_ms);
}

// An endpoint on probation gets one request at a time.
bool is_trusted(const endpoint_state& at, const endpoint_criteria& criteria,
                std::uint64_t now_ms) {
  if (at.health.is_in_backoff(now_ms)) {
    return false;
  }
  return !at.health.is_on_probation(now_ms) ||
         (!criteria.at_most_once && at.in_flight == 0);
}

// Includes unhealthy endpoints only if too few others are left.
std::vector<endpoint_state_ptr> candidates_of(
    std::span<const endpoint_state_ptr> endpoints,
    const endpoint_criteria& criteria, std::uint64_t now_ms) {
  std::vector<endpoint_state_ptr> usable;
  std::vector<endpoint_state_ptr> healthy;
  for (const endpoint_state_ptr& each : endpoints) {
    if (!is_usable(*each, criteria, now_ms)) {
      continue;
    }
    usable.push_back(each);
    if (is_trusted(*each, criteria, now_ms)) {
      healthy.push_back(each);
    }
  }
  const auto min_count = static_cast<double>(usable.size()) * min_healthy_share;
  return static_cast<double>(healthy.size()) < min_count ? usable : healthy;
}

// `candidates` must not be empty.
const endpoint_state_ptr& pick_least_loaded(
    std::span<const endpoint_state_ptr> candidates,
    const endpoint_criteria& criteria, const choice_policy& policy,
    const latency_scale& latencies, std::uint64_t now_ms) {
  std::vector<std::size_t> least;
  double min_load = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double load =
        load_of(*candidates[i], criteria, policy, latencies, now_ms);
    if (least.empty() || load < min_load) {
      least.assign(1, i);
      min_load = load;
    } else if (load == min_load) {
      least.push_back(i);
    }
  }
  const std::size_t drawn =
      policy.breaks_ties_randomly ? criteria.draw % least.size() : 0;
  return candidates[least[drawn]];
}

// True if the preferred endpoint has little more load than the least loaded.
bool is_within_slack(const endpoint_state& preferred,
                     const endpoint_state& least_loaded) {
  return preferred.in_flight <= max_requests_to_keep(least_loaded.in_flight);
}

}  // namespace

double cost_factor(const endpoint_state& at, const endpoint_criteria& criteria,
                   const choice_policy& policy, std::uint64_t now_ms) {
  double factor = 1;
  if (at.record.data_centre != criteria.data_centre) {
    factor *= policy.elsewhere_factor;
  }
  if (criteria.connected && !criteria.connected(at.record)) {
    factor *= policy.unconnected_factor;
  }
  if (at.is_cold(now_ms)) {
    factor *= policy.cold_factor;
  }
  return factor;
}

double max_requests_to_keep(std::uint32_t least_requests) {
  return least_requests * (1 + slack_share) + slack_requests;
}

std::string_view text_of(choice_reason reason) {
  switch (reason) {
    case choice_reason::load:
      return "load";
    case choice_reason::previous_turn:
      return "previous_turn";
    case choice_reason::cached:
      return "cached";
    case choice_reason::hash:
      return "hash";
  }
  return "";
}

endpoint_choice choose_endpoint(std::span<const endpoint_state_ptr> endpoints,
                                const endpoint_criteria& criteria,
                                const choice_policy& policy,
                                std::uint64_t now_ms) {
  const std::vector<endpoint_state_ptr> candidates =
      candidates_of(endpoints, criteria, now_ms);
  if (candidates.empty()) {
    return {};
  }
  if (criteria.turn) {
    return place_turn(candidates, criteria, policy, now_ms);
  }
  const latency_scale latencies(candidates, policy.ignores_latency_noise,
                                now_ms);
  const endpoint_state_ptr& least =
      pick_least_loaded(candidates, criteria, policy, latencies, now_ms);
  const auto preferred =
      std::find_if(candidates.begin(), candidates.end(), [&](const auto& each) {
        return each->record.identity == criteria.preferred;
      });
  const bool keeps_preferred =
      policy.keeps_previous && preferred != candidates.end() &&
      !latencies.is_slow(**preferred) && is_within_slack(**preferred, *least);
  return keeps_preferred
             ? endpoint_choice{*preferred, choice_reason::previous_turn}
             : endpoint_choice{least, choice_reason::load};
}

}  // namespace trayrock
