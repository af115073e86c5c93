#include "trayrock/internal/gateway/gateway_policy.h"

namespace trayrock {
namespace {

void disable(mechanism which, gateway_policy& from) {
  switch (which) {
    case mechanism::relays:
      from.relays = false;
      return;
    case mechanism::failure_news:
      from.peer_notifier.failures = false;
      return;
    case mechanism::superseded_news:
      from.peer_notifier.superseded = false;
      return;
    case mechanism::revision_news:
      from.peer_notifier.revisions = false;
      return;
    case mechanism::refusal_pauses:
      from.endpoints.health.backs_off_after_refusals = false;
      return;
    case mechanism::endpoint_trials:
      from.endpoints.health.has_probation_after_backoff = false;
      return;
    case mechanism::previous_endpoint:
      from.endpoints.choice.keeps_previous = false;
      return;
    case mechanism::distance_factor:
      from.endpoints.choice.elsewhere_factor = 1;
      return;
    case mechanism::connection_factor:
      from.endpoints.choice.unconnected_factor = 1;
      return;
    case mechanism::late_by_comparison:
      from.slow_endpoints.criterion = objective_only{};
      return;
    case mechanism::late_endpoints_left:
      from.slow_endpoints.allows_resend = false;
      return;
    case mechanism::resumed_streams:
      from.resumes_streams = false;
      return;
    case mechanism::stream_warnings:
      from.reports_slow_streams = false;
      return;
    case mechanism::repeated_listings:
      from.repeats_listings = false;
      return;
    case mechanism::lapses:
      from.endpoints.keeps_expired = false;
      return;
    case mechanism::chain_cache:
      from.caches_chains = false;
      return;
    case mechanism::durations:
      from.durations = by_fixed_time{};
      return;
    case mechanism::return_times:
      from.retry_after = always_immediate{};
      return;
    case mechanism::dropped_connections:
      from.drops_connections = false;
      return;
    case mechanism::shared_watches:
      from.watches = all_watch{};
      return;
    case mechanism::draws_among_equals:
      from.endpoints.choice.breaks_ties_randomly = false;
      return;
    case mechanism::levelled_latencies:
      from.endpoints.choice.ignores_latency_noise = false;
      return;
    case mechanism::prompt_placement:
      from.places_by_prompt = false;
      return;
    case mechanism::engine_pace:
      from.endpoints.choice.weighs_engine_pace = false;
      return;
    case mechanism::buffer_budget:
      from.bounds_buffers = false;
      return;
    case mechanism::ready_learners:
      return;  // of record stores
  }
}

}  // namespace

gateway_policy policy_without(const mechanism_set& off) {
  gateway_policy made;
  for (const mechanism each : off) {
    disable(each, made);
  }
  return made;
}

}  // namespace trayrock
