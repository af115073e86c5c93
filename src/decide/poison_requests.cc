#include "trayrock/internal/decide/poison_requests.h"

#include <algorithm>
#include <iterator>

namespace trayrock {

bool poison_requests::is_expired(const tracked_try& each,
                                 std::uint64_t now_ms) {
  if (each.own_open > 0) {
    return false;
  }
  std::uint64_t lifetime_ms = left_lifetime_ms;
  if (each.stage == try_stage::ended) {
    lifetime_ms = ended_lifetime_ms;
  } else if (each.stage == try_stage::open) {
    lifetime_ms = peer_open_lifetime_ms;
  }
  return each.at_ms + lifetime_ms < now_ms;
}

bool poison_requests::is_unresolved(const tracked_try& each,
                                    std::uint64_t now_ms) {
  return (each.stage == try_stage::broken || each.stage == try_stage::left) &&
         !is_expired(each, now_ms);
}

poison_requests::counts poison_requests::count(request_fingerprint request,
                                               std::uint64_t now_ms) const {
  counts made;
  const auto found = tries_.find(request);
  if (found == tries_.end()) {
    return made;
  }
  for (const tracked_try& each : found->second) {
    if (is_expired(each, now_ms)) {
      continue;
    }
    switch (each.stage) {
      case try_stage::ended:
        ++made.ended;
        made.last_ended_ms = std::max(made.last_ended_ms, each.at_ms);
        break;
      case try_stage::broken:
        ++made.broken;
        ++made.at_risk;
        break;
      case try_stage::open:
        ++made.at_risk;
        break;
      case try_stage::left:
        made.last_ended_ms = std::max(made.last_ended_ms, each.left_ms);
        break;
    }
  }
  return made;
}

try_verdict poison_requests::decide(request_fingerprint request,
                                    bool in_program,
                                    std::uint64_t now_ms) const {
  const counts now = count(request, now_ms);
  if (now.ended >= max_ended) {
    return try_verdict::refuse;
  }
  const bool pauses = now.ended + 1 == max_ended &&
                      now_ms < now.last_ended_ms + last_try_pause_ms;
  const bool bounded = in_program || now.ended + now.broken > 0;
  const bool full = bounded && now.ended + now.at_risk >= max_ended;
  return pauses || full ? try_verdict::wait : try_verdict::send;
}

bool poison_requests::is_suspected(request_fingerprint request,
                                   std::uint64_t now_ms) const {
  const counts now = count(request, now_ms);
  return now.ended + now.broken > 0;
}

std::size_t poison_requests::ended(request_fingerprint request,
                                   std::uint64_t now_ms) const {
  return count(request, now_ms).ended;
}

poison_requests::tracked_try* poison_requests::find(
    request_fingerprint request, const endpoint_identity& at) {
  const auto found = tries_.find(request);
  if (found == tries_.end()) {
    return nullptr;
  }
  const auto known =
      std::find_if(found->second.begin(), found->second.end(),
                   [&](const auto& each) { return each.endpoint == at; });
  return known == found->second.end() ? nullptr : &*known;
}

poison_requests::tracked_try& poison_requests::entry(
    request_fingerprint request, const endpoint_identity& at,
    std::uint64_t now_ms) {
  if (tracked_try* known = find(request, at)) {
    return *known;
  }
  if (tries_.size() >= max_requests && !tries_.contains(request)) {
    make_room(now_ms);
  }
  return tries_[request].emplace_back(tracked_try{at, try_stage::left, now_ms});
}

// Drops the request whose tries are the oldest, if none of them is open here.
void poison_requests::make_room(std::uint64_t now_ms) {
  remove_expired(now_ms);
  if (tries_.size() < max_requests) {
    return;
  }
  auto oldest = tries_.end();
  std::uint64_t oldest_ms = now_ms + 1;
  for (auto each = tries_.begin(); each != tries_.end(); ++each) {
    std::uint64_t newest_ms = 0;
    bool open = false;
    for (const tracked_try& known : each->second) {
      newest_ms = std::max(newest_ms, known.at_ms);
      open = open || known.own_open > 0;
    }
    if (!open && newest_ms < oldest_ms) {
      oldest = each;
      oldest_ms = newest_ms;
    }
  }
  if (oldest != tries_.end()) {
    tries_.erase(oldest);
  }
}

void poison_requests::record_sent(request_fingerprint request,
                                  const endpoint_identity& at,
                                  std::uint64_t now_ms) {
  tracked_try& made = entry(request, at, now_ms);
  ++made.own_open;
  if (made.stage != try_stage::ended) {
    made.stage = try_stage::open;
    made.at_ms = now_ms;
  }
}

void poison_requests::close(request_fingerprint request,
                            const endpoint_identity& at, try_stage stage,
                            std::uint64_t now_ms) {
  tracked_try* const known = find(request, at);
  if (known == nullptr) {
    return;
  }
  known->own_open -= known->own_open > 0 ? 1 : 0;
  const bool others_open = known->own_open > 0 && stage == try_stage::left;
  if (known->stage != try_stage::ended && !others_open) {
    known->stage = stage;
    known->at_ms = now_ms;
  }
  known->left_ms = now_ms;
}

void poison_requests::record_broken(request_fingerprint request,
                                    const endpoint_identity& at,
                                    std::uint64_t now_ms) {
  close(request, at, try_stage::broken, now_ms);
}

void poison_requests::record_left(request_fingerprint request,
                                  const endpoint_identity& at,
                                  std::uint64_t now_ms) {
  close(request, at, try_stage::left, now_ms);
}

void poison_requests::record_survived(request_fingerprint request,
                                      const endpoint_identity& at) {
  tracked_try* const known = find(request, at);
  if (known == nullptr) {
    return;
  }
  known->own_open -= known->own_open > 0 ? 1 : 0;
  if (known->own_open > 0 || known->stage == try_stage::ended) {
    return;
  }
  if (known->left_ms != 0) {  // the endpoint may still end under that try
    known->stage = try_stage::left;
    known->at_ms = known->left_ms;
    return;
  }
  erase(request, at);
}

void poison_requests::record_alive(const endpoint_identity& at,
                                   std::uint64_t now_ms) {
  for (auto& [request, tries] : tries_) {
    for (tracked_try& each : tries) {
      if (each.endpoint == at && each.stage == try_stage::broken) {
        each.stage = each.own_open > 0 ? try_stage::open : try_stage::left;
        each.at_ms = now_ms;
      }
    }
  }
}

std::vector<request_fingerprint> poison_requests::record_ended(
    const endpoint_identity& at, std::uint64_t now_ms) {
  std::vector<request_fingerprint> counted;
  for (auto& [request, tries] : tries_) {
    for (tracked_try& each : tries) {
      if (each.endpoint == at && is_unresolved(each, now_ms)) {
        each.stage = try_stage::ended;
        each.at_ms = now_ms;
        counted.push_back(request);
      }
    }
  }
  return counted;
}

std::vector<request_try> poison_requests::renew_ended(
    request_fingerprint request, std::uint64_t now_ms) {
  std::vector<request_try> renewed;
  const auto found = tries_.find(request);
  if (found == tries_.end()) {
    return renewed;
  }
  for (tracked_try& each : found->second) {
    const bool counts =
        each.stage == try_stage::ended && !is_expired(each, now_ms);
    if (counts && each.at_ms + renewal_age_ms <= now_ms) {
      each.at_ms = now_ms;
      renewed.push_back({request, each.endpoint, try_stage::ended});
    }
  }
  return renewed;
}

void poison_requests::record_peer_try(const request_try& reported,
                                      std::uint64_t now_ms) {
  tracked_try* const known = find(reported.request, reported.endpoint);
  const bool is_own =
      known != nullptr && (known->own_open > 0 || known->left_ms != 0);
  if (reported.stage != try_stage::ended &&
      (is_own || (known != nullptr && known->stage == try_stage::ended))) {
    return;  // this gateway's own record is more recent
  }
  if (reported.stage == try_stage::left) {
    erase(reported.request, reported.endpoint);
    return;
  }
  tracked_try& made = entry(reported.request, reported.endpoint, now_ms);
  const std::uint64_t at_ms = now_ms - std::min(reported.age_ms, now_ms);
  // A report may be older than a renewal.
  made.at_ms =
      made.stage == try_stage::ended ? std::max(made.at_ms, at_ms) : at_ms;
  made.stage = reported.stage;
}

void poison_requests::erase(request_fingerprint request,
                            const endpoint_identity& at) {
  const auto found = tries_.find(request);
  if (found == tries_.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const tracked_try& each) { return each.endpoint == at; });
  if (found->second.empty()) {
    tries_.erase(found);
  }
}

std::vector<endpoint_identity> poison_requests::unresolved_endpoints(
    request_fingerprint request, std::uint64_t now_ms) const {
  std::vector<endpoint_identity> made;
  const auto found = tries_.find(request);
  if (found == tries_.end()) {
    return made;
  }
  for (const tracked_try& each : found->second) {
    if (is_unresolved(each, now_ms)) {
      made.push_back(each.endpoint);
    }
  }
  return made;
}

bool poison_requests::has_unresolved_tries_at(const endpoint_identity& at,
                                              std::uint64_t now_ms) const {
  return std::any_of(tries_.begin(), tries_.end(), [&](const auto& known) {
    return std::any_of(
        known.second.begin(), known.second.end(), [&](const tracked_try& each) {
          return each.endpoint == at && is_unresolved(each, now_ms);
        });
  });
}

bool poison_requests::has_tries_at(const endpoint_identity& at,
                                   std::uint64_t now_ms) const {
  return std::any_of(tries_.begin(), tries_.end(), [&](const auto& known) {
    return std::any_of(
        known.second.begin(), known.second.end(), [&](const tracked_try& each) {
          return each.endpoint == at && each.stage != try_stage::ended &&
                 !is_expired(each, now_ms);
        });
  });
}

std::vector<request_try> poison_requests::own_open_tries(
    request_fingerprint request) const {
  std::vector<request_try> made;
  const auto found = tries_.find(request);
  if (found == tries_.end()) {
    return made;
  }
  for (const tracked_try& each : found->second) {
    if (each.own_open > 0 && each.stage != try_stage::ended) {
      made.push_back({request, each.endpoint, try_stage::open});
    }
  }
  return made;
}

std::vector<request_try> poison_requests::ended_tries(
    std::uint64_t now_ms) const {
  std::vector<request_try> made;
  for (const auto& [request, tries] : tries_) {
    for (const tracked_try& each : tries) {
      if (each.stage == try_stage::ended && !is_expired(each, now_ms)) {
        made.push_back({request, each.endpoint, try_stage::ended,
                        now_ms - std::min(each.at_ms, now_ms)});
      }
    }
  }
  return made;
}

void poison_requests::remove_expired(std::uint64_t now_ms) {
  for (auto known = tries_.begin(); known != tries_.end();) {
    std::erase_if(known->second, [now_ms](const tracked_try& each) {
      return is_expired(each, now_ms);
    });
    known = known->second.empty() ? tries_.erase(known) : std::next(known);
  }
}

}  // namespace trayrock
