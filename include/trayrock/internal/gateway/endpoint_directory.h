// The endpoints that are known, and how they have been doing.
//
// No I/O; the caller gives the time. The platform's records say which
// endpoints there are; what requests see says which to leave alone for a
// while (decide/endpoint_health.h). Which of them a request goes to is decided
// by endpoint_choice.h.
//
// Example:
//   endpoint_directory endpoints;
//   endpoints.replace(listed, false, now);
//   endpoint_choice wanted;
//   wanted.service = "chat";
//   const auto to = endpoints.choose(wanted, now);  // nullptr: none
#pragma once

#include <cstdint>
#include <functional>
#include <map>
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

// How endpoints are judged and chosen.
struct directory_policy {
  health_policy health;
  choice_policy choice;
  // Records that go nearly all at once are kept for a moment.
  bool keeps_expired = true;
  // From the end of a trouble of the platform until this box has to know all.
  std::uint64_t reconnect_ms = 3000;

  bool operator==(const directory_policy&) const = default;
};

// This gateway's share of what a cold endpoint bears (decide/cold_start.h).
using cold_sharing =
    std::function<std::uint32_t(const cold_limit&, const endpoint&)>;

class endpoint_directory {
 public:
  endpoint_directory() = default;
  explicit endpoint_directory(directory_policy policy) : policy_(policy) {}

  // Replaces the whole list. After a loss of the platform, or when nearly all
  // are missing at once, an endpoint that is not listed and was not leaving
  // stays for a moment, since it may be back at once (decide/record_expiry.h).
  // Returns the ids of those that stay so.
  std::vector<std::string> replace(const std::vector<endpoint>& listed,
                                   bool after_loss, const reply_times& times);

  // The data centres that are being emptied: nothing is sent there. Endpoints
  // of one that is taken back count as cold, since their records may be late.
  // True if the list differs from the one before.
  bool evacuate(const data_centre_set& emptied, std::uint64_t now_ms);

  // What the services' cold endpoints bear.
  void set_cold_limits(const configuration& from);

  // Finds out anew how much of it is this gateway's, for endpoints that are
  // cold now.
  void update_cold_shares(const cold_sharing& share_of, std::uint64_t now_ms);

  // Takes a record. One of a later instance than the known one takes its place,
  // with nothing held, in flight or noted against it; one of an earlier
  // instance or revision changes nothing.
  void update(const endpoint& changed, std::uint64_t now_ms);

  // The instance is gone, by an answer of the platform of that revision. A
  // later instance that is known stays; where the answer names none, what is
  // newer than the answer stays.
  void remove(const endpoint_identity& gone, std::uint64_t revision);

  // The entry of that revision cannot be used: the endpoint is not chosen until
  // a later one. What runs there is left to end. True if it was known.
  bool withdraw(const std::string& id, std::uint64_t revision);

  // Whether so many records that go in one answer of the platform have lapsed
  // with it (decide/record_expiry.h).
  bool is_mass_expiry(std::size_t removed) const;

  // The endpoint's record has lapsed with many others: it stays for a moment,
  // unless it was leaving.
  void expire(const endpoint_identity& gone, std::uint64_t revision,
              const reply_times& times);

  // Until when endpoints stay that are missing in this way.
  std::uint64_t kept_until(missing_cause how, const reply_times& times) const;

  // Drops the endpoints whose moment is over; returns their ids. They are not
  // chosen any more before it.
  std::vector<std::string> sweep(std::uint64_t now_ms);

  // Nothing if no endpoint of the service may be sent to.
  endpoint_state_ptr choose(const endpoint_criteria& wanted,
                            std::uint64_t now_ms) const;

  // Whether some of the service would take a request if they were not cold.
  bool is_limited_by_cold_start(std::string_view service,
                                std::uint64_t now_ms) const;

  // Bookkeeping of one attempt.
  static void begin_attempt(endpoint_state& at, std::uint64_t now_ms);
  // Ends it; true if the endpoint is left alone from now on.
  static bool end_attempt(endpoint_state& at, attempt_outcome outcome,
                          double latency_ms, std::uint64_t now_ms);

  // A request of another gateway failed at the endpoint; true as above.
  bool record_peer_failure(const endpoint_identity& failed,
                           std::string_view gateway, std::uint64_t now_ms);

  // Another gateway has met another endpoint at this instance's address. True
  // if this was not known.
  bool mark_superseded(const endpoint_identity& former);

  // The instance that is known under an id; nothing if there is none.
  const endpoint* find(const std::string& id) const;

  std::size_t count(std::string_view service) const;
  std::size_t size() const { return by_id_.size(); }

  // Those that are not listed any more and stay for a moment.
  std::size_t unlisted() const;

 private:
  using condition =
      std::function<bool(const std::string& id, const endpoint_state& at)>;

  using known_endpoints = std::map<std::string, endpoint_state_ptr>;

  endpoint_state_ptr made_state(const endpoint_identity& of) const;
  endpoint_state_ptr known_instance(const endpoint_identity& wanted) const;
  void take(const endpoint& listed, std::uint64_t oldest_revision,
            std::uint64_t now_ms);
  known_endpoints::iterator find_gone(const endpoint_identity& gone,
                                      std::uint64_t revision);
  void drop(known_endpoints::iterator known);
  std::vector<std::string> keep_for_a_moment(
      const std::set<std::string>& listed, std::uint64_t until_ms);
  std::size_t missing_from(const std::set<std::string>& listed) const;
  std::vector<std::string> drop_if(const condition& holds);
  void index();

  directory_policy policy_;
  known_endpoints by_id_;
  std::map<std::string, std::vector<endpoint_state_ptr>, std::less<>>
      by_service_;
  former_endpoints former_;
  data_centre_set emptied_;
  std::map<std::string, cold_limit, std::less<>> cold_limits_;  // by service
};

}  // namespace trayrock
