#include "trayrock/internal/decide/poison_requests.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace trayrock {

bool poison_requests::is_expired(const ended_endpoint& each,
                                 std::uint64_t now_ms) {
  return each.at_ms + ended_lifetime_ms < now_ms;
}

bool poison_requests::is_open(const tracked_try& each, std::uint64_t own_id,
                              std::uint64_t now_ms) {
  return each.open > 0 && (each.owner == own_id ||
                           each.opened_ms + peer_open_lifetime_ms >= now_ms);
}

bool poison_requests::is_unresolved(const tracked_try& each,
                                    std::uint64_t now_ms) const {
  std::uint64_t unknown_ms = each.unknown_ms;
  std::uint64_t settled_ms = each.settled_ms;
  if (each.open > 0 && !is_open(each, own_id_, now_ms)) {
    unknown_ms = each.opened_ms + peer_open_lifetime_ms;
    settled_ms = unknown_ms + left_settle_ms;
  }
  if (unknown_ms == 0 || unknown_ms + ended_lifetime_ms < now_ms) {
    return false;
  }
  const auto alive = alive_ms_.find(each.endpoint);
  return alive == alive_ms_.end() || alive->second < settled_ms;
}

// A process that was alive after its connection broke may still run the
// request, and end under it.
bool poison_requests::may_end_under(const tracked_try& each,
                                    std::uint64_t now_ms) const {
  return is_unresolved(each, now_ms) ||
         (each.unknown_ms != 0 && each.unknown_ms + left_settle_ms >= now_ms);
}

bool poison_requests::is_at_risk(const tracked_try& each,
                                 std::uint64_t now_ms) const {
  return is_open(each, own_id_, now_ms) || is_unresolved(each, now_ms);
}

const poison_requests::known_request* poison_requests::find(
    request_fingerprint request) const {
  const auto found = known_.find(request);
  return found == known_.end() ? nullptr : &found->second;
}

poison_requests::counts poison_requests::count(request_fingerprint request,
                                               std::uint64_t now_ms) const {
  counts made;
  const known_request* const known = find(request);
  if (known == nullptr) {
    return made;
  }
  for (const ended_endpoint& each : known->ended) {
    if (!is_expired(each, now_ms)) {
      made.ended += each.ends;
      made.last_ended_ms = std::max(made.last_ended_ms, each.at_ms);
    }
  }
  std::set<endpoint_identity> at_risk;
  std::set<endpoint_identity> unknown;
  std::set<endpoint_identity> not_alive;
  for (const tracked_try& each : known->tries) {
    if (!is_at_risk(each, now_ms)) {
      continue;
    }
    at_risk.insert(each.endpoint);
    if (is_unresolved(each, now_ms)) {
      unknown.insert(each.endpoint);
    }
    if (!is_alive_since(each)) {
      not_alive.insert(each.endpoint);
    }
  }
  made.at_risk = at_risk.size();
  made.unknown = unknown.size();
  made.not_alive = not_alive.size();
  return made;
}

try_verdict poison_requests::decide(request_fingerprint request,
                                    request_scope scope,
                                    std::uint64_t now_ms) const {
  const counts now = count(request, now_ms);
  if (now.ended >= max_ended) {
    return try_verdict::refuse;
  }
  const bool pauses = now.ended + 1 == max_ended &&
                      now_ms < now.last_ended_ms + last_try_pause_ms;
  const bool full = bounded_endpoints(request, scope, now) >= max_ended;
  return pauses || full ? try_verdict::wait : try_verdict::send;
}

// Endpoints that have ended or may end, as far as they count for the bound.
std::size_t poison_requests::bounded_endpoints(request_fingerprint request,
                                               request_scope scope,
                                               const counts& now) const {
  const bool suspected = now.ended + now.unknown > 0;
  if (suspected || scope == request_scope::program) {
    return now.ended + now.at_risk;
  }
  if (has_response(request)) {
    return 0;
  }
  return scope == request_scope::shared_after_wait ? now.not_alive
                                                   : now.at_risk;
}

bool poison_requests::is_alive_since(const tracked_try& each) const {
  const auto alive = alive_ms_.find(each.endpoint);
  return each.unknown_ms == 0 && alive != alive_ms_.end() &&
         alive->second >= each.opened_ms + broken_settle_ms;
}

bool poison_requests::is_within_bound(request_fingerprint request,
                                      request_scope scope,
                                      std::uint64_t now_ms) const {
  return bounded_endpoints(request, scope, count(request, now_ms)) <= max_ended;
}

bool poison_requests::has_other_tries(request_fingerprint request,
                                      const endpoint_identity& at,
                                      std::uint64_t now_ms) const {
  const known_request* const known = find(request);
  if (known == nullptr) {
    return false;
  }
  return std::any_of(known->ended.begin(), known->ended.end(),
                     [&](const ended_endpoint& each) {
                       return !is_expired(each, now_ms);
                     }) ||
         std::any_of(known->tries.begin(), known->tries.end(),
                     [&](const tracked_try& each) {
                       const bool own =
                           each.owner == own_id_ && each.endpoint == at;
                       return own ? is_unresolved(each, now_ms)
                                  : is_at_risk(each, now_ms);
                     });
}

bool poison_requests::is_suspected(request_fingerprint request,
                                   std::uint64_t now_ms) const {
  const counts now = count(request, now_ms);
  return now.ended + now.unknown > 0;
}

std::size_t poison_requests::ended(request_fingerprint request,
                                   std::uint64_t now_ms) const {
  return count(request, now_ms).ended;
}

poison_requests::known_request& poison_requests::request_entry(
    request_fingerprint request, std::uint64_t now_ms) {
  if (known_.size() >= capacity_ && !known_.contains(request)) {
    make_room(now_ms);
  }
  return known_[request];
}

poison_requests::tracked_try& poison_requests::try_entry(
    known_request& of, const endpoint_identity& at, std::uint64_t owner) {
  const auto known =
      std::find_if(of.tries.begin(), of.tries.end(), [&](const auto& each) {
        return each.owner == owner && each.endpoint == at;
      });
  return known != of.tries.end()
             ? *known
             : of.tries.emplace_back(tracked_try{at, owner});
}

poison_requests::tracked_try* poison_requests::find_own(
    request_fingerprint request, const endpoint_identity& at) {
  const auto found = known_.find(request);
  if (found == known_.end()) {
    return nullptr;
  }
  std::vector<tracked_try>& tries = found->second.tries;
  const auto known =
      std::find_if(tries.begin(), tries.end(), [&](const auto& each) {
        return each.owner == own_id_ && each.endpoint == at;
      });
  return known == tries.end() ? nullptr : &*known;
}

// Drops the request whose record is the oldest, if it is not open here.
void poison_requests::make_room(std::uint64_t now_ms) {
  remove_expired(now_ms);
  if (known_.size() < capacity_) {
    return;
  }
  auto oldest = known_.end();
  std::uint64_t oldest_ms = now_ms + 1;
  for (auto each = known_.begin(); each != known_.end(); ++each) {
    std::uint64_t newest_ms = 0;
    bool open = false;
    for (const tracked_try& known : each->second.tries) {
      newest_ms = std::max({newest_ms, known.opened_ms, known.unknown_ms});
      open = open || (known.owner == own_id_ && known.open > 0);
    }
    for (const ended_endpoint& known : each->second.ended) {
      newest_ms = std::max(newest_ms, known.at_ms);
    }
    if (!open && newest_ms < oldest_ms) {
      oldest = each;
      oldest_ms = newest_ms;
    }
  }
  if (oldest != known_.end()) {
    known_.erase(oldest);
  }
}

void poison_requests::record_sent(request_fingerprint request,
                                  const endpoint_identity& at,
                                  std::uint64_t now_ms) {
  known_request& known = request_entry(request, now_ms);
  tracked_try& made = try_entry(known, at, own_id_);
  const bool began_again = std::any_of(
      known.ended.begin(), known.ended.end(), [&](const auto& each) {
        return each.endpoint == at && each.at_ms >= made.opened_ms;
      });
  if (made.open == 0 || began_again) {
    made.opened_ms = now_ms;
  }
  ++made.open;
}

void poison_requests::close_as_unknown(request_fingerprint request,
                                       const endpoint_identity& at,
                                       std::uint64_t settle_ms,
                                       std::uint64_t now_ms) {
  erase_response(request);
  tracked_try* const closed = find_own(request, at);
  if (closed == nullptr) {
    return;
  }
  closed->open -= closed->open > 0 ? 1 : 0;
  known_request& known = known_.at(request);
  const bool counted = std::any_of(
      known.ended.begin(), known.ended.end(), [&](const auto& each) {
        return each.endpoint == at && each.at_ms >= closed->opened_ms;
      });
  if (!counted) {
    closed->unknown_ms = now_ms;
    closed->settled_ms = std::max(closed->settled_ms, now_ms + settle_ms);
  } else if (closed->open == 0) {
    std::erase_if(known.tries, [&](const auto& each) {
      return each.owner == own_id_ && each.endpoint == at;
    });
  }
}

void poison_requests::record_broken(request_fingerprint request,
                                    const endpoint_identity& at,
                                    std::uint64_t now_ms) {
  close_as_unknown(request, at, broken_settle_ms, now_ms);
}

void poison_requests::record_left(request_fingerprint request,
                                  const endpoint_identity& at,
                                  std::uint64_t now_ms) {
  close_as_unknown(request, at, left_settle_ms, now_ms);
}

void poison_requests::record_survived(request_fingerprint request,
                                      const endpoint_identity& at) {
  tracked_try* const closed = find_own(request, at);
  if (closed == nullptr) {
    return;
  }
  closed->open -= closed->open > 0 ? 1 : 0;
  // The endpoint may still end under a try whose outcome is unknown.
  if (closed->open == 0 && closed->unknown_ms == 0) {
    std::erase_if(known_.at(request).tries, [&](const auto& each) {
      return each.owner == own_id_ && each.endpoint == at;
    });
    erase_if_empty(request);
  }
}

void poison_requests::record_response(request_fingerprint request,
                                      bool succeeded) {
  if (succeeded) {
    erase_closed_tries(request);
  }
  if (responses_.size() >= capacity_) {
    earlier_responses_ = std::exchange(responses_, {});
  }
  responses_.insert(request);
}

void poison_requests::erase_closed_tries(request_fingerprint request) {
  const auto found = known_.find(request);
  if (found == known_.end()) {
    return;
  }
  found->second.ended.clear();
  for (tracked_try& each : found->second.tries) {
    each.unknown_ms = 0;
  }
  std::erase_if(found->second.tries,
                [](const tracked_try& each) { return each.open == 0; });
  erase_if_empty(request);
}

void poison_requests::erase_response(request_fingerprint request) {
  responses_.erase(request);
  earlier_responses_.erase(request);
}

void poison_requests::erase_if_empty(request_fingerprint request) {
  const auto found = known_.find(request);
  if (found != known_.end() && found->second.tries.empty() &&
      found->second.ended.empty()) {
    known_.erase(found);
  }
}

void poison_requests::record_alive(const endpoint_identity& at,
                                   std::uint64_t at_ms) {
  std::uint64_t& last = alive_ms_[at];
  last = std::max(last, at_ms);
}

std::vector<request_fingerprint> poison_requests::record_ended(
    const endpoint_identity& at, std::uint64_t now_ms) {
  std::vector<request_fingerprint> counted;
  for (auto& [request, known] : known_) {
    const bool ends_here = std::any_of(
        known.tries.begin(), known.tries.end(), [&](const auto& each) {
          return each.endpoint == at && may_end_under(each, now_ms);
        });
    if (ends_here) {
      counted.push_back(request);
    }
  }
  for (const request_fingerprint each : counted) {
    const request_try before = ended_try(each, at, now_ms);
    request_try made{each, at, try_stage::ended};
    made.ends = before.stage == try_stage::ended ? before.ends + 1 : 1;
    merge_ended(made, now_ms);
  }
  return counted;
}

// One process ended under all tries that the endpoint had by then.
void poison_requests::merge_ended(const request_try& reported,
                                  std::uint64_t now_ms) {
  erase_response(reported.request);
  known_request& known = request_entry(reported.request, now_ms);
  const std::uint64_t at_ms = now_ms - std::min(reported.age_ms, now_ms);
  const auto found = std::find_if(
      known.ended.begin(), known.ended.end(),
      [&](const auto& each) { return each.endpoint == reported.endpoint; });
  ended_endpoint& merged =
      found != known.ended.end()
          ? *found
          : known.ended.emplace_back(ended_endpoint{reported.endpoint});
  merged.ends = std::max({merged.ends, reported.ends, std::uint32_t{1}});
  // A report may be older than a renewal.
  merged.at_ms = std::max(merged.at_ms, at_ms);
  for (tracked_try& each : known.tries) {
    if (each.endpoint == reported.endpoint && each.opened_ms <= at_ms) {
      each.unknown_ms = 0;
      each.open = each.owner == own_id_ ? each.open : 0;
    }
  }
  std::erase_if(known.tries, [](const auto& each) {
    return each.open == 0 && each.unknown_ms == 0;
  });
}

std::vector<request_try> poison_requests::renew_ended(
    request_fingerprint request, std::uint64_t now_ms) {
  std::vector<request_try> renewed;
  const auto found = known_.find(request);
  if (found == known_.end()) {
    return renewed;
  }
  for (ended_endpoint& each : found->second.ended) {
    if (!is_expired(each, now_ms) && each.at_ms + renewal_age_ms <= now_ms) {
      each.at_ms = now_ms;
      renewed.push_back(report_of(request, each, now_ms));
    }
  }
  return renewed;
}

void poison_requests::record_peer_try(const request_try& reported,
                                      std::uint64_t now_ms, try_source source) {
  if (reported.stage == try_stage::ended) {
    merge_ended(reported, now_ms);
    return;
  }
  if (reported.owner == own_id_) {
    return;  // this process's own record is more recent
  }
  if (reported.responded) {
    record_response(reported.request, reported.succeeded);
  }
  if (reported.stage == try_stage::survived) {
    const auto found = known_.find(reported.request);
    if (found != known_.end()) {
      std::erase_if(found->second.tries, [&](const auto& each) {
        return each.owner == reported.owner &&
               each.endpoint == reported.endpoint;
      });
      erase_if_empty(reported.request);
    }
    return;
  }
  known_request& known = request_entry(reported.request, now_ms);
  tracked_try& made = try_entry(known, reported.endpoint, reported.owner);
  const bool is_new = made.opened_ms == 0;
  if (is_new || source == try_source::owner) {
    made.source = source;
  }
  const std::uint64_t at_ms = now_ms - std::min(reported.age_ms, now_ms);
  if (is_new || reported.stage == try_stage::open) {
    made.opened_ms = at_ms;
  }
  if (reported.stage == try_stage::open) {
    made.open = 1;
  } else {
    erase_response(reported.request);
    made.open = 0;
    made.unknown_ms = at_ms;
    made.settled_ms = at_ms + reported.settle_ms;
  }
  const bool counted = std::any_of(
      known.ended.begin(), known.ended.end(), [&](const auto& each) {
        return each.endpoint == reported.endpoint &&
               each.at_ms >= made.opened_ms;
      });
  if (counted) {
    std::erase_if(known.tries, [&](const auto& each) {
      return each.owner == reported.owner && each.endpoint == reported.endpoint;
    });
  }
}

void poison_requests::replace_peer_tries(request_fingerprint request,
                                         std::span<const request_try> reported,
                                         std::uint64_t now_ms) {
  const auto found = known_.find(request);
  if (found != known_.end()) {
    std::erase_if(found->second.tries, [this](const tracked_try& each) {
      return each.owner != own_id_ && each.source == try_source::others &&
             each.unknown_ms == 0;
    });
  }
  for (const request_try& each : reported) {
    record_peer_try(each, now_ms, try_source::others);
  }
  erase_if_empty(request);
}

std::vector<endpoint_identity> poison_requests::unresolved_endpoints(
    request_fingerprint request, std::uint64_t now_ms) const {
  std::set<endpoint_identity> made;
  if (const known_request* const known = find(request)) {
    for (const tracked_try& each : known->tries) {
      if (is_unresolved(each, now_ms)) {
        made.insert(each.endpoint);
      }
    }
  }
  return {made.begin(), made.end()};
}

std::vector<endpoint_identity> poison_requests::endpoints_at_risk(
    request_fingerprint request, std::uint64_t now_ms) const {
  std::set<endpoint_identity> made;
  if (const known_request* const known = find(request)) {
    for (const tracked_try& each : known->tries) {
      if (is_at_risk(each, now_ms)) {
        made.insert(each.endpoint);
      }
    }
  }
  return {made.begin(), made.end()};
}

bool poison_requests::has_unresolved_tries_at(const endpoint_identity& at,
                                              std::uint64_t now_ms) const {
  return std::any_of(known_.begin(), known_.end(), [&](const auto& known) {
    return std::any_of(known.second.tries.begin(), known.second.tries.end(),
                       [&](const tracked_try& each) {
                         return each.endpoint == at &&
                                is_unresolved(each, now_ms);
                       });
  });
}

bool poison_requests::has_tries_at(const endpoint_identity& at,
                                   std::uint64_t now_ms) const {
  return std::any_of(known_.begin(), known_.end(), [&](const auto& known) {
    return std::any_of(known.second.tries.begin(), known.second.tries.end(),
                       [&](const tracked_try& each) {
                         return each.endpoint == at && is_at_risk(each, now_ms);
                       });
  });
}

request_try poison_requests::report_of(request_fingerprint request,
                                       const tracked_try& from,
                                       std::uint64_t now_ms) const {
  request_try made{request, from.endpoint};
  made.owner = from.owner;
  if (from.unknown_ms != 0 && !is_open(from, own_id_, now_ms)) {
    made.stage = try_stage::unknown;
    made.age_ms = now_ms - std::min(from.unknown_ms, now_ms);
    made.settle_ms = from.settled_ms - from.unknown_ms;
  } else {
    made.age_ms = now_ms - std::min(from.opened_ms, now_ms);
  }
  return made;
}

request_try poison_requests::report_of(request_fingerprint request,
                                       const ended_endpoint& from,
                                       std::uint64_t now_ms) {
  request_try made{request, from.endpoint, try_stage::ended};
  made.age_ms = now_ms - std::min(from.at_ms, now_ms);
  made.ends = from.ends;
  return made;
}

std::vector<request_try> poison_requests::own_tries(
    request_fingerprint request, std::uint64_t now_ms) const {
  std::vector<request_try> made = tries_of(request, now_ms);
  std::erase_if(made, [this](const request_try& each) {
    return each.stage == try_stage::ended || each.owner != own_id_;
  });
  return made;
}

std::vector<request_try> poison_requests::tries_of(request_fingerprint request,
                                                   std::uint64_t now_ms) const {
  std::vector<request_try> made;
  if (has_response(request)) {
    made.push_back({request, {}, try_stage::survived});
    made.back().responded = true;
  }
  const known_request* const known = find(request);
  if (known == nullptr) {
    return made;
  }
  for (const ended_endpoint& each : known->ended) {
    if (!is_expired(each, now_ms)) {
      made.push_back(report_of(request, each, now_ms));
    }
  }
  for (const tracked_try& each : known->tries) {
    if (is_at_risk(each, now_ms)) {
      made.push_back(report_of(request, each, now_ms));
    }
  }
  return made;
}

std::vector<request_try> poison_requests::ended_tries(
    std::uint64_t now_ms) const {
  std::vector<request_try> made;
  for (const auto& [request, known] : known_) {
    for (const ended_endpoint& each : known.ended) {
      if (!is_expired(each, now_ms)) {
        made.push_back(report_of(request, each, now_ms));
      }
    }
  }
  return made;
}

request_try poison_requests::ended_try(request_fingerprint request,
                                       const endpoint_identity& at,
                                       std::uint64_t now_ms) const {
  if (const known_request* const known = find(request)) {
    for (const ended_endpoint& each : known->ended) {
      if (each.endpoint == at && !is_expired(each, now_ms)) {
        return report_of(request, each, now_ms);
      }
    }
  }
  return request_try{request, at, try_stage::survived};
}

void poison_requests::remove_expired(std::uint64_t now_ms) {
  for (auto known = known_.begin(); known != known_.end();) {
    std::erase_if(known->second.ended, [now_ms](const auto& each) {
      return is_expired(each, now_ms);
    });
    std::erase_if(known->second.tries, [this, now_ms](const auto& each) {
      return !is_at_risk(each, now_ms) && !may_end_under(each, now_ms);
    });
    const bool empty =
        known->second.tries.empty() && known->second.ended.empty();
    known = empty ? known_.erase(known) : std::next(known);
  }
  std::erase_if(alive_ms_, [now_ms](const auto& known) {
    return known.second + ended_lifetime_ms < now_ms;
  });
  if (responses_since_ms_ + response_lifetime_ms < now_ms) {
    responses_since_ms_ = now_ms;
    earlier_responses_ = std::exchange(responses_, {});
  }
}

}  // namespace trayrock
