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
// Up to so many times the median of its service's latencies, an endpoint counts
// as one of the median. Queues differ that much from one moment to the next;
// endpoints that are slow or overloaded lie above.
constexpr double level_up_to = 2;
// A latency counts for this long. An endpoint that gets nothing because it was
// slow once would never show that it is well again.
constexpr std::uint64_t latency_life_ms = 2000;

// What a request at the endpoint is reckoned to take, as a share of what is
// usual.
class latency_scale {
 public:
  latency_scale(std::span<const endpoint_state_ptr> among, bool levels,
                std::uint64_t now_ms)
      : levels_(levels), now_ms_(now_ms) {
    if (!levels) {
      return;
    }
    std::vector<double> known;
    for (const endpoint_state_ptr& each : among) {
      if (each->latency_ms > 0) {
        known.push_back(each->latency_ms);
      }
    }
    if (!known.empty()) {
      const auto middle =
          known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
      std::nth_element(known.begin(), middle, known.end());
      usual_ms_ = *middle;
    }
  }

  double of(const endpoint_state& at) const {
    const double latency = at.latency_ms > 0 ? at.latency_ms : usual_ms_;
    const double share = latency / usual_ms_;
    if (!levels_) {
      return share;
    }
    const bool known_long_ago = at.latency_at_ms + latency_life_ms < now_ms_;
    return share <= level_up_to || known_long_ago ? 1 : share;
  }

  // Slower than the queues of a moment make it.
  bool is_slow(const endpoint_state& at) const {
    return levels_ && of(at) > level_up_to;
  }

 private:
  bool levels_;
  std::uint64_t now_ms_;
  double usual_ms_ = assumed_latency_ms;
};

double load_of(const endpoint_state& at, const endpoint_criteria& wanted,
               const choice_policy& policy, const latency_scale& latencies,
               std::uint64_t now_ms) {
  double load = (at.in_flight + 1) * latencies.of(at) / at.record.capacity;
  if (at.record.data_centre != wanted.data_centre) {
    load *= policy.elsewhere_factor;
  }
  if (wanted.connected && !wanted.connected(at.record)) {
    load *= policy.unconnected_factor;
  }
  if (at.is_cold(now_ms)) {
    load *= policy.cold_factor;
  }
  return load;
}

bool usable(const endpoint_state& at, const endpoint_criteria& wanted,
            std::uint64_t now_ms) {
  const bool tried = wanted.excluded != nullptr &&
                     wanted.excluded->contains(at.record.identity);
  const bool over = at.kept_until_ms != 0 && at.kept_until_ms <= now_ms;
  return !at.record.draining && !at.superseded && !at.evacuated && !over &&
         !tried && !at.is_cold_limit_reached(now_ms);
}

// An endpoint on trial gets one request at a time.
bool trusted(const endpoint_state& at, const endpoint_criteria& wanted,
             std::uint64_t now_ms) {
  if (at.health.is_in_backoff(now_ms)) {
    return false;
  }
  return !at.health.is_on_probation(now_ms) ||
         (!wanted.at_most_once && at.in_flight == 0);
}

// Endpoints that have failed lately count only if too few others are left.
std::vector<endpoint_state_ptr> candidates_of(
    std::span<const endpoint_state_ptr> of_service,
    const endpoint_criteria& wanted, std::uint64_t now_ms) {
  std::vector<endpoint_state_ptr> usable_ones;
  std::vector<endpoint_state_ptr> well;
  for (const endpoint_state_ptr& each : of_service) {
    if (!usable(*each, wanted, now_ms)) {
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

// One of those with the least load; there is one at least.
const endpoint_state_ptr& least_loaded(
    std::span<const endpoint_state_ptr> candidates,
    const endpoint_criteria& wanted, const choice_policy& policy,
    const latency_scale& latencies, std::uint64_t now_ms) {
  std::vector<std::size_t> least;
  double least_load = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double load =
        load_of(*candidates[i], wanted, policy, latencies, now_ms);
    if (least.empty() || load < least_load) {
      least.assign(1, i);
      least_load = load;
    } else if (load == least_load) {
      least.push_back(i);
    }
  }
  const std::size_t drawn =
      policy.breaks_ties_randomly ? wanted.draw % least.size() : 0;
  return candidates[least[drawn]];
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
    const endpoint_criteria& wanted, const choice_policy& policy,
    std::uint64_t now_ms) {
  const std::vector<endpoint_state_ptr> candidates =
      candidates_of(of_service, wanted, now_ms);
  if (candidates.empty()) {
    return nullptr;
  }
  const latency_scale latencies(candidates, policy.ignores_latency_noise,
                                now_ms);
  const endpoint_state_ptr& least =
      least_loaded(candidates, wanted, policy, latencies, now_ms);
  const auto preferred =
      std::find_if(candidates.begin(), candidates.end(), [&](const auto& each) {
        return each->record.identity == wanted.preferred;
      });
  const bool keep = policy.keeps_previous && preferred != candidates.end() &&
                    !latencies.is_slow(**preferred) &&
                    within_slack(**preferred, *least);
  return keep ? *preferred : least;
}

}  // namespace trayrock
