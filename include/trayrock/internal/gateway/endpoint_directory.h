// The known endpoints and the state of each.
//
// No I/O; the caller gives the time. Endpoints come from the platform's
// records, backoff from the results of requests (decide/endpoint_health.h).
// decide/endpoint_choice.h selects among them.
//
// Example:
//   endpoint_directory endpoints;
//   endpoints.replace(listed, false, now);
//   endpoint_criteria wanted;
//   wanted.service = "chat";
//   const auto to = endpoints.choose(wanted, now).endpoint;  // nullptr: none
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/decide/endpoint_choice.h"
#include "trayrock/internal/decide/endpoint_state.h"
#include "trayrock/internal/decide/record_expiry.h"
#include "trayrock/internal/gateway/evacuation_list.h"
#include "trayrock/internal/gateway/former_endpoints.h"

namespace trayrock {

struct directory_policy {
  health_policy health;
  choice_policy choice;
  // Keeps endpoints for a grace period if nearly all records expire at once.
  bool keeps_expired = true;
  // Time from the end of a platform outage until all boxes have reconnected.
  std::uint64_t reconnect_ms = 3000;

  bool operator==(const directory_policy&) const = default;
};

// This gateway's share of a cold endpoint's limit (decide/cold_start.h).
using cold_share_function =
    std::function<std::uint32_t(const cold_limit&, const endpoint&)>;

class endpoint_directory {
 public:
  endpoint_directory() = default;
  explicit endpoint_directory(directory_policy policy) : policy_(policy) {}

  // Replaces the whole list. After a loss of the platform, or if nearly all
  // endpoints are missing at once, a missing endpoint that was not draining is
  // kept for a grace period, since its record may return
  // (decide/record_expiry.h). Returns the ids of the endpoints kept.
  std::vector<std::string> replace(const std::vector<endpoint>& listed,
                                   bool after_loss, const reply_times& times);

  // Sets the evacuated data centres; their endpoints are not chosen. Endpoints
  // of a data centre that is removed from the list count as cold, since their
  // records may be outdated. Returns true if the list has changed.
  bool set_evacuated(const data_centre_set& evacuated, std::uint64_t now_ms);

  // Sets the limits of cold endpoints, by service.
  void set_cold_limits(const configuration& from);

  // Recalculates this gateway's share for each endpoint that is cold now.
  void update_cold_shares(const cold_share_function& share_of,
                          std::uint64_t now_ms);

  // Applies a record. A later instance replaces the current one and starts
  // with a clean state; an earlier instance or revision is ignored.
  void update(const endpoint& changed, std::uint64_t now_ms);

  // Removes an instance that the platform reported as removed at that revision.
  // A later known instance stays; if the report names no instance, records
  // newer than the revision stay.
  void remove(const endpoint_identity& removed, std::uint64_t revision);

  // The endpoint's entry of that revision is unusable: stops choosing the
  // endpoint until a later revision. Running attempts continue. Returns true if
  // the endpoint was known.
  bool withdraw(const std::string& id, std::uint64_t revision);

  // Whether this many removals in one response of the platform mean that the
  // records have expired in an outage (decide/record_expiry.h).
  bool is_mass_expiry(std::size_t removed) const;

  // The endpoint's record has expired together with many others: keeps it for a
  // grace period, or removes it if it was draining.
  void expire(const endpoint_identity& removed, std::uint64_t revision,
              const reply_times& times);

  // The end of the grace period for endpoints that are missing in this way.
  std::uint64_t kept_until(missing_cause how, const reply_times& times) const;

  // Removes the endpoints whose grace period is over and returns their ids.
  // choose() skips them as soon as it is over, even before they are removed.
  std::vector<std::string> sweep(std::uint64_t now_ms);

  endpoint_choice choose(const endpoint_criteria& wanted,
                         std::uint64_t now_ms) const;

  // Whether this gateway has used up its share of the limit of a cold endpoint
  // of the service. Draining and evacuated endpoints don't count.
  bool is_limited_by_cold_start(std::string_view service,
                                std::uint64_t now_ms) const;

  // Accounts for the start of an attempt.
  static void begin_attempt(endpoint_state& at, std::uint64_t now_ms);
  // Accounts for its end. Returns true if the endpoint goes into backoff or
  // another instance has its address. No latency: it says nothing about the
  // endpoint.
  static bool end_attempt(endpoint_state& at, attempt_outcome outcome,
                          std::optional<double> latency_ms,
                          std::uint64_t now_ms);

  // Records a failure that another gateway reported. Returns true if this puts
  // the endpoint in backoff.
  bool record_peer_failure(const endpoint_identity& failed,
                           std::string_view gateway, std::uint64_t now_ms);

  // Another gateway has found another instance at this instance's address.
  // Returns true if the instance is listed and was not marked before.
  bool mark_superseded(const endpoint_identity& former);

  // Whether another instance is known to have taken over the address of this
  // one: a request was answered so, or this one is no longer listed and another
  // one is listed there.
  bool is_replaced(const endpoint_identity& at, std::string_view address) const;

  // The known instance of that id, or nullptr.
  const endpoint* find(const std::string& id) const;

  // Whether the platform lists this instance. Instances that are kept since
  // their records may have expired in an outage are not listed.
  bool is_listed(const endpoint_identity& at) const;

  std::size_t count(std::string_view service) const;
  std::size_t size() const { return by_id_.size(); }

  // The number of endpoints in their grace period.
  std::size_t unlisted() const;

 private:
  using condition =
      std::function<bool(const std::string& id, const endpoint_state& at)>;

  using known_endpoints = std::map<std::string, endpoint_state_ptr>;

  endpoint_state_ptr make_state(const endpoint_identity& of) const;
  endpoint_state_ptr known_instance(const endpoint_identity& wanted) const;
  void apply(const endpoint& listed, std::uint64_t min_revision,
             std::uint64_t now_ms);
  known_endpoints::iterator find_removed(const endpoint_identity& removed,
                                         std::uint64_t revision);
  void drop(known_endpoints::iterator known);
  std::vector<std::string> keep_missing(const std::set<std::string>& listed,
                                        std::uint64_t until_ms);
  std::size_t count_missing(const std::set<std::string>& listed) const;
  std::vector<std::string> drop_if(const condition& holds);
  void rebuild_index();

  directory_policy policy_;
  known_endpoints by_id_;
  std::map<std::string, std::vector<endpoint_state_ptr>, std::less<>>
      by_service_;
  former_endpoints former_;
  data_centre_set evacuated_;
  std::map<std::string, cold_limit, std::less<>> cold_limits_;  // by service
};

}  // namespace trayrock
