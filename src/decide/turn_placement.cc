#include "trayrock/internal/decide/turn_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <vector>

#include "trayrock/internal/decide/endpoint_choice.h"

namespace trayrock {
namespace {

// A turn leaves an engine that takes more than this many times the median time
// for its output, although another one has to read the prompt again.
constexpr double max_relative_pace = 2;

class turn_placer {
 public:
  turn_placer(std::span<const endpoint_state_ptr> candidates,
              const endpoint_criteria& criteria, const choice_policy& policy,
              std::uint64_t now_ms)
      : candidates_(candidates),
        criteria_(criteria),
        policy_(policy),
        now_ms_(now_ms) {
    std::vector<double> gaps_ms;
    for (const endpoint_state_ptr& each : candidates) {
      gaps_ms.push_back(each->pace.event_gap_ms(now_ms));
      requests_.push_back(requests_at(*each));
    }
    paces_ = engine_pace_scale::of_gaps(gaps_ms);
  }

  endpoint_choice place() const {
    const std::size_t holder = index_of_holder();
    if (holder < candidates_.size() && policy_.keeps_previous &&
        may_take(holder,
                 max_requests_in(candidates_[holder]->record.data_centre))) {
      return {candidates_[holder], criteria_.preferred.empty()
                                       ? choice_reason::cached
                                       : choice_reason::previous_turn};
    }
    if (!criteria_.turn->is_first) {
      const std::size_t first = first_by_rank();
      if (first < candidates_.size()) {
        return {candidates_[first], choice_reason::hash};
      }
    }
    return {candidates_[least_loaded()], choice_reason::load};
  }

 private:
  // Requests in flight, or the lines, which are there between their turns, too.
  std::uint32_t requests_at(const endpoint_state& at) const {
    return std::max(at.in_flight,
                    criteria_.turn->active_lines(at.record.identity));
  }

  double relative_pace(std::size_t index) const {
    return policy_.weighs_engine_pace
               ? paces_.relative(candidates_[index]->pace, now_ms_)
               : 1;
  }

  double load_of(std::size_t index) const {
    const endpoint_state& at = *candidates_[index];
    return (requests_[index] + 1) * relative_pace(index) / at.record.capacity *
           cost_factor(at, criteria_, policy_, now_ms_);
  }

  std::uint64_t hash_rank(std::size_t index) const {
    return rendezvous_rank(criteria_.turn->program_hash,
                           candidates_[index]->record.identity);
  }

  // The number of candidates if none holds the prompt.
  std::size_t index_of_holder() const {
    const endpoint_identity holder =
        criteria_.preferred.empty()
            ? criteria_.turn->held_by.value_or(endpoint_identity())
            : criteria_.preferred;
    const auto found = std::find_if(
        candidates_.begin(), candidates_.end(),
        [&](const auto& each) { return each->record.identity == holder; });
    return static_cast<std::size_t>(found - candidates_.begin());
  }

  // The most requests of an engine that keeps its turns. Only engines of the
  // same data centre count: those of others have few requests of this gateway,
  // which says nothing about how even the load is.
  double max_requests_in(std::string_view data_centre) const {
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      if (candidates_[i]->record.data_centre == data_centre) {
        least = std::min(least, requests_[i]);
      }
    }
    return max_requests_to_keep(least);
  }

  // Whether the engine is neither slow nor has much more load than others.
  bool may_take(std::size_t index, double max_requests) const {
    return relative_pace(index) <= max_relative_pace &&
           requests_[index] <= max_requests;
  }

  // Of the engines in the request's data centre that may take the turn, the one
  // that ranks first for the program; the number of candidates if there is
  // none.
  std::size_t first_by_rank() const {
    const double max_requests = max_requests_in(criteria_.data_centre);
    std::size_t first = candidates_.size();
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
      const bool eligible =
          candidates_[i]->record.data_centre == criteria_.data_centre &&
          may_take(i, max_requests);
      if (eligible &&
          (first == candidates_.size() || hash_rank(i) > hash_rank(first))) {
        first = i;
      }
    }
    return first;
  }

  // Ties are broken by rank, so that gateways for which the same engines are
  // least loaded choose the same one for a program.
  std::size_t least_loaded() const {
    std::size_t least = 0;
    double least_load = load_of(0);
    for (std::size_t i = 1; i < candidates_.size(); ++i) {
      const double load = load_of(i);
      if (load < least_load ||
          (load == least_load && hash_rank(i) > hash_rank(least))) {
        least = i;
        least_load = load;
      }
    }
    return least;
  }

  std::span<const endpoint_state_ptr> candidates_;
  const endpoint_criteria& criteria_;
  const choice_policy& policy_;
  std::uint64_t now_ms_;
  std::vector<std::uint32_t> requests_;  // by candidate
  engine_pace_scale paces_;
};

}  // namespace

endpoint_choice place_turn(std::span<const endpoint_state_ptr> candidates,
                           const endpoint_criteria& criteria,
                           const choice_policy& policy, std::uint64_t now_ms) {
  return turn_placer(candidates, criteria, policy, now_ms).place();
}

std::uint64_t rendezvous_rank(std::uint64_t program_hash,
                              const endpoint_identity& at) {
  return XXH3_64bits_withSeed(at.id.data(), at.id.size(),
                              program_hash + at.started_ms);
}

}  // namespace trayrock
