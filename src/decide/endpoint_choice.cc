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
constexpr std::uint32_t slack_requests = 6;
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

// Requests in flight; of turns that are placed by their prompt, the lines,
// which are there between their turns, too.
std::uint32_t requests_at(const endpoint_state& at,
                          const endpoint_criteria& criteria) {
  if (!criteria.turn) {
    return at.in_flight;
  }
  return std::max(at.in_flight,
                  criteria.turn->active_lines(at.record.identity));
}

double load_of(const endpoint_state& at, const endpoint_criteria& criteria,
               const choice_policy& policy, const latency_scale& latencies,
               std::uint64_t now_ms) {
  double load = (requests_at(at, criteria) + 1) *
                latencies.relative_to_median(at) / at.record.capacity;
  if (at.record.data_centre != criteria.data_centre) {
    load *= policy.elsewhere_factor;
  }
  if (criteria.connected && !criteria.connected(at.record)) {
    load *= policy.unconnected_factor;
  }
  if (at.is_cold(now_ms)) {
    load *= policy.cold_factor;
  }
  return load;
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

// The index into `least` of the endpoint that gets the request. Of several
// gateways, each chooses the same one for a program as far as the same
// endpoints are least loaded for them.
std::size_t break_tie(std::span<const endpoint_state_ptr> candidates,
                      std::span<const std::size_t> least,
                      const endpoint_criteria& criteria,
                      const choice_policy& policy) {
  if (!policy.breaks_ties_randomly) {
    return 0;
  }
  if (!criteria.turn) {
    return criteria.draw % least.size();
  }
  const auto rank = [&](std::size_t index) {
    return rendezvous_rank(criteria.turn->program_hash,
                           candidates[index]->record.identity);
  };
  const auto first = std::max_element(
      least.begin(), least.end(),
      [&](std::size_t a, std::size_t b) { return rank(a) < rank(b); });
  return static_cast<std::size_t>(first - least.begin());
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
  return candidates[least[break_tie(candidates, least, criteria, policy)]];
}

// True if the preferred endpoint has little more load than the least loaded.
bool is_within_slack(const endpoint_state& preferred,
                     const endpoint_state& least_loaded,
                     const endpoint_criteria& criteria) {
  const double allowed =
      requests_at(least_loaded, criteria) * (1 + slack_share) + slack_requests;
  return requests_at(preferred, criteria) <= allowed;
}

// Of the endpoints in the request's data centre, the one that ranks first for
// the program and is neither slow nor has much more load than the least loaded
// one. nullptr: there is none.
endpoint_state_ptr first_by_rank(std::span<const endpoint_state_ptr> candidates,
                                 const endpoint_criteria& criteria,
                                 const latency_scale& latencies,
                                 const endpoint_state& least) {
  endpoint_state_ptr first;
  std::uint64_t first_rank = 0;
  for (const endpoint_state_ptr& each : candidates) {
    if (each->record.data_centre != criteria.data_centre ||
        latencies.is_slow(*each) || !is_within_slack(*each, least, criteria)) {
      continue;
    }
    const std::uint64_t rank =
        rendezvous_rank(criteria.turn->program_hash, each->record.identity);
    if (first == nullptr || rank > first_rank) {
      first = each;
      first_rank = rank;
    }
  }
  return first;
}

// The endpoint that holds the prompt; empty if none is known.
endpoint_identity holder_of(const endpoint_criteria& criteria) {
  if (!criteria.preferred.empty() || !criteria.turn) {
    return criteria.preferred;
  }
  return criteria.turn->held_by.value_or(endpoint_identity());
}

}  // namespace

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
  const latency_scale latencies(candidates, policy.ignores_latency_noise,
                                now_ms);
  const endpoint_state_ptr& least =
      pick_least_loaded(candidates, criteria, policy, latencies, now_ms);
  const endpoint_identity holder = holder_of(criteria);
  const auto found = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const auto& each) { return each->record.identity == holder; });
  const bool keeps_holder =
      policy.keeps_previous && found != candidates.end() &&
      !latencies.is_slow(**found) && is_within_slack(**found, *least, criteria);
  if (keeps_holder) {
    return {*found, criteria.preferred.empty() ? choice_reason::cached
                                               : choice_reason::previous_turn};
  }
  if (criteria.turn && !criteria.turn->is_first) {
    const endpoint_state_ptr first =
        first_by_rank(candidates, criteria, latencies, *least);
    if (first != nullptr) {
      return {first, choice_reason::hash};
    }
  }
  return {least, choice_reason::load};
}

}  // namespace trayrock
