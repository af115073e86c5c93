#include "trayrock/internal/gateway/endpoint_directory.h"

#include <algorithm>

namespace trayrock {
namespace {

// Weight of the latest latency in the moving average.
constexpr double latency_weight = 0.2;

double smoothed(double before_ms, double latency_ms) {
  if (before_ms == 0) {
    return latency_ms;
  }
  return before_ms + latency_weight * (latency_ms - before_ms);
}

void presume_cold(endpoint_state& at, std::uint64_t now_ms) {
  at.presumed_cold_until_ms =
      now_ms + static_cast<std::uint64_t>(at.cold.duration.count());
}

}  // namespace

std::vector<std::string> endpoint_directory::replace(
    const std::vector<endpoint>& listed, bool after_loss,
    const reply_times& times) {
  std::set<std::string> ids;
  for (const endpoint& each : listed) {
    ids.insert(each.identity.id);
  }
  const bool expired = is_mass_expiry(count_missing(ids));
  for (const endpoint& each : listed) {
    apply(each, 0, times.now_ms);
  }
  std::vector<std::string> kept;
  if (after_loss || expired) {
    const missing_cause how = after_loss ? missing_cause::absent_after_outage
                                         : missing_cause::mass_removal;
    kept = keep_missing(ids, kept_until(how, times));
  }
  drop_if([&](const std::string& id, const endpoint_state& at) {
    return !ids.contains(id) &&
           (at.record.draining || at.kept_until_ms <= times.now_ms);
  });
  rebuild_index();
  return kept;
}

std::uint64_t endpoint_directory::kept_until(missing_cause how,
                                             const reply_times& times) const {
  return kept_until_ms(how, times, policy_.reconnect_ms);
}

bool endpoint_directory::is_mass_expiry(std::size_t removed) const {
  return policy_.keeps_expired &&
         trayrock::is_mass_expiry(removed, by_id_.size());
}

std::size_t endpoint_directory::count_missing(
    const std::set<std::string>& listed) const {
  const auto missing = std::count_if(
      by_id_.begin(), by_id_.end(),
      [&](const auto& known) { return !listed.contains(known.first); });
  return static_cast<std::size_t>(missing);
}

// Starts the grace period of the endpoints missing from `listed`.
std::vector<std::string> endpoint_directory::keep_missing(
    const std::set<std::string>& listed, std::uint64_t until_ms) {
  std::vector<std::string> kept;
  for (const auto& [id, state] : by_id_) {
    if (listed.contains(id) || state->record.draining) {
      continue;
    }
    if (state->kept_until_ms == 0) {
      state->kept_until_ms = until_ms;
    }
    kept.push_back(id);
  }
  return kept;
}

std::size_t endpoint_directory::unlisted() const {
  const auto found = std::count_if(
      by_id_.begin(), by_id_.end(),
      [](const auto& known) { return known.second->kept_until_ms != 0; });
  return static_cast<std::size_t>(found);
}

endpoint_state_ptr endpoint_directory::make_state(
    const endpoint_identity& of) const {
  auto made = std::make_shared<endpoint_state>();
  made->record.identity = of;
  made->health = endpoint_health(policy_.health);
  return made;
}

const endpoint* endpoint_directory::find(const std::string& id) const {
  const auto known = by_id_.find(id);
  return known == by_id_.end() ? nullptr : &known->second->record;
}

bool endpoint_directory::is_listed(const endpoint_identity& at) const {
  const auto known = by_id_.find(at.id);
  return known != by_id_.end() && known->second->record.identity == at &&
         known->second->kept_until_ms == 0;
}

// The state of an instance, listed or former, or nullptr.
endpoint_state_ptr endpoint_directory::known_instance(
    const endpoint_identity& wanted) const {
  const auto known = by_id_.find(wanted.id);
  const bool listed =
      known != by_id_.end() && known->second->record.identity == wanted;
  return listed ? known->second : former_.find(wanted);
}

// Applies a record unless a later instance or a later record is known.
void endpoint_directory::apply(const endpoint& listed,
                               std::uint64_t min_revision,
                               std::uint64_t now_ms) {
  const endpoint* current = find(listed.identity.id);
  const bool outdated = (current != nullptr &&
                         current->identity.is_newer_than(listed.identity)) ||
                        former_.has_newer_than(listed.identity);
  if (outdated) {
    return;
  }
  endpoint_state_ptr state = known_instance(listed.identity);
  if (state == nullptr) {
    state = make_state(listed.identity);
  } else if (listed.revision < min_revision ||
             listed.revision < state->record.revision) {
    return;
  }
  const bool later = listed.revision > state->record.revision;
  if (later) {
    const auto cold_ms = static_cast<std::uint64_t>(listed.cold_for.count());
    state->cold_until_ms = cold_ms == 0 ? 0 : now_ms + cold_ms;
  }
  state->record = listed;
  state->kept_until_ms = 0;
  by_id_[listed.identity.id] = std::move(state);
}

void endpoint_directory::update(const endpoint& changed, std::uint64_t now_ms) {
  const endpoint_state_ptr former = former_.find(changed.identity);
  const endpoint* current = find(changed.identity.id);
  const bool listed =
      current != nullptr && current->identity == changed.identity;
  // Only a newer record than the last known one restores a removed instance.
  const std::uint64_t min_revision =
      former != nullptr && !listed ? former->record.revision + 1 : 0;
  apply(changed, min_revision, now_ms);
  rebuild_index();
}

// The known instance to which that removal applies, or by_id_.end().
endpoint_directory::known_endpoints::iterator endpoint_directory::find_removed(
    const endpoint_identity& removed, std::uint64_t revision) {
  const auto known = by_id_.find(removed.id);
  if (known == by_id_.end()) {
    return known;
  }
  const endpoint& current = known->second->record;
  const bool stays = removed.started_ms == 0
                         ? current.revision > revision
                         : current.identity.is_newer_than(removed);
  return stays ? by_id_.end() : known;
}

void endpoint_directory::drop(known_endpoints::iterator known) {
  former_.add(known->second);
  by_id_.erase(known);
  rebuild_index();
}

void endpoint_directory::remove(const endpoint_identity& removed,
                                std::uint64_t revision) {
  const auto known = find_removed(removed, revision);
  if (known != by_id_.end()) {
    drop(known);
  }
}

bool endpoint_directory::withdraw(const std::string& id,
                                  std::uint64_t revision) {
  const auto known = by_id_.find(id);
  if (known == by_id_.end() || known->second->record.revision >= revision) {
    return false;
  }
  drop(known);
  return true;
}

void endpoint_directory::expire(const endpoint_identity& removed,
                                std::uint64_t revision,
                                const reply_times& times) {
  const auto known = find_removed(removed, revision);
  if (known == by_id_.end()) {
    return;
  }
  endpoint_state& at = *known->second;
  if (at.record.draining) {
    drop(known);
  } else if (at.kept_until_ms == 0) {
    at.kept_until_ms = kept_until(missing_cause::mass_removal, times);
  }
}

std::vector<std::string> endpoint_directory::sweep(std::uint64_t now_ms) {
  std::vector<std::string> dropped =
      drop_if([&](const std::string&, const endpoint_state& at) {
        return at.kept_until_ms != 0 && at.kept_until_ms <= now_ms;
      });
  if (!dropped.empty()) {
    rebuild_index();
  }
  return dropped;
}

// Drops the endpoints that meet the condition and returns their ids.
std::vector<std::string> endpoint_directory::drop_if(const condition& holds) {
  std::vector<std::string> dropped;
  std::erase_if(by_id_, [&](const auto& known) {
    const auto& [id, state] = known;
    const bool matches = holds(id, *state);
    if (matches) {
      former_.add(state);
      dropped.push_back(id);
    }
    return matches;
  });
  return dropped;
}

void endpoint_directory::rebuild_index() {
  by_service_.clear();
  for (const auto& [id, state] : by_id_) {
    const auto limit = cold_limits_.find(state->record.service);
    state->cold = limit == cold_limits_.end() ? cold_limit() : limit->second;
    state->evacuated = evacuated_.contains(state->record.data_centre);
    by_service_[state->record.service].push_back(state);
  }
}

bool endpoint_directory::set_evacuated(const data_centre_set& evacuated,
                                       std::uint64_t now_ms) {
  if (evacuated == evacuated_) {
    return false;
  }
  evacuated_ = evacuated;
  for (const auto& [id, state] : by_id_) {
    const bool restored =
        state->evacuated && !evacuated_.contains(state->record.data_centre);
    if (restored) {
      presume_cold(*state, now_ms);
    }
  }
  rebuild_index();
  return true;
}

void endpoint_directory::set_cold_limits(const configuration& from) {
  std::map<std::string, cold_limit, std::less<>> limits;
  for (const auto& [name, each] : from.services) {
    if (each.cold.exists()) {
      limits.emplace(name, each.cold);
    }
  }
  if (limits != cold_limits_) {
    cold_limits_ = std::move(limits);
    rebuild_index();
  }
}

void endpoint_directory::update_cold_shares(const cold_share_function& share_of,
                                            std::uint64_t now_ms) {
  if (cold_limits_.empty()) {
    return;
  }
  for (const auto& [id, state] : by_id_) {
    if (state->is_cold(now_ms)) {
      state->cold_share = share_of(state->cold, state->record);
    }
  }
}

endpoint_choice endpoint_directory::choose(const endpoint_criteria& wanted,
                                           std::uint64_t now_ms) const {
  const auto found = by_service_.find(wanted.service);
  if (found == by_service_.end()) {
    return {};
  }
  return choose_endpoint(found->second, wanted, policy_.choice, now_ms);
}

bool endpoint_directory::is_limited_by_cold_start(std::string_view service,
                                                  std::uint64_t now_ms) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [now_ms](const endpoint_state_ptr& each) {
                       return !each->record.draining && !each->evacuated &&
                              each->is_cold_limit_reached(now_ms);
                     });
}

void endpoint_directory::begin_attempt(endpoint_state& at,
                                       std::uint64_t now_ms) {
  ++at.in_flight;
  if (at.cold.exists()) {
    at.sent.add(now_ms);
  }
}

bool endpoint_directory::end_attempt(endpoint_state& at,
                                     attempt_outcome outcome,
                                     std::optional<double> latency_ms,
                                     std::uint64_t now_ms) {
  at.in_flight -= at.in_flight > 0 ? 1 : 0;
  switch (outcome) {
    case attempt_outcome::responded:
      if (at.health.is_on_probation(now_ms)) {
        presume_cold(at, now_ms);
      }
      at.health.record_response(now_ms);
      if (latency_ms) {
        at.latency_ms = smoothed(at.latency_ms, *latency_ms);
        at.latency_at_ms = now_ms;
      }
      return false;
    case attempt_outcome::cancelled:
      return false;
    case attempt_outcome::refused:
      return at.health.record_refusal(now_ms);
    case attempt_outcome::other_instance:
      at.superseded = true;
      return true;
    case attempt_outcome::unreachable:
      return at.health.record_unreachable(now_ms);
    case attempt_outcome::broken:
      return at.health.record_failure(now_ms);
  }
  return false;
}

bool endpoint_directory::record_peer_failure(const endpoint_identity& failed,
                                             std::string_view gateway,
                                             std::uint64_t now_ms) {
  const auto known = by_id_.find(failed.id);
  return known != by_id_.end() && known->second->record.identity == failed &&
         known->second->health.record_peer_failure(gateway, now_ms);
}

bool endpoint_directory::is_replaced(const endpoint_identity& at,
                                     std::string_view address) const {
  const endpoint_state_ptr state = known_instance(at);
  if (state != nullptr && state->superseded) {
    return true;
  }
  const endpoint* const current = find(at.id);
  if (current != nullptr && current->identity == at) {
    return false;
  }
  return std::any_of(by_id_.begin(), by_id_.end(), [&](const auto& known) {
    return known.second->kept_until_ms == 0 &&
           known.second->record.address == address;
  });
}

bool endpoint_directory::mark_superseded(const endpoint_identity& former) {
  endpoint_state_ptr state = known_instance(former);
  if (state == nullptr) {
    state = make_state(former);
  }
  const bool changed = !state->superseded;
  state->superseded = true;
  const endpoint* current = find(former.id);
  const bool listed = current != nullptr && current->identity == former;
  if (!listed) {
    former_.add(state);
  }
  return changed && listed;
}

std::size_t endpoint_directory::count(std::string_view service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? 0 : found->second.size();
}

}  // namespace trayrock
