// The endpoints that are known, how they have been doing, and which one a
// request goes to.
//
// No I/O; the caller gives the time. The platform's records say which
// endpoints there are; what requests see says which to leave alone for a
// while (decide/endpoint_health.h). A turn goes to the endpoint that made the
// turn before, whose cache holds its prompt, unless that one has much more to
// do than others. Else the least loaded endpoint is taken, where those of the
// same data centre and those to which a connection is open count as less
// loaded.
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
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/decide/endpoint_health.h"
#include "trayrock/internal/gateway/configuration.h"

namespace trayrock {

// How an attempt at an endpoint ended.
enum class attempt_outcome {
  answered,
  refused,         // the endpoint says that it did not run the request
  other_instance,  // likewise, since it is not the one that was meant
  cancelled,       // the client went away first
  unreachable,     // never sent
  broken           // sent, and the answer did not come whole
};

struct endpoint_state {
  endpoint record;
  std::uint32_t in_flight = 0;  // of this gateway
  endpoint_health health;
  double latency_ms = 0;  // smoothed, of answered attempts; 0: none yet
  std::uint64_t removed_at_ms = 0;  // 0: still listed
  // Another instance sits at its address. Ids are used once, so that this one
  // does not come back, whatever a late record of the platform says.
  bool superseded = false;
};

struct endpoint_choice {
  std::string_view service;
  std::string_view preferred;  // endpoint with the prompt in its cache, if any
  std::string_view data_centre;
  std::function<bool(const endpoint&)> connected;
  const std::set<std::string>* excluded = nullptr;
  // May run only once: not for endpoints on trial.
  bool once = false;
};

class endpoint_directory {
 public:
  // Replaces the whole list. After a loss of the platform, an endpoint that
  // is not listed stays for a moment, since it may be back at once.
  void replace(const std::vector<endpoint>& listed, bool after_loss,
               std::uint64_t now_ms);

  void update(const endpoint& changed);
  void remove(const std::string& id);

  // Drops the endpoints whose moment is over.
  void sweep(std::uint64_t now_ms);

  // Nothing if no endpoint of the service may be sent to.
  std::shared_ptr<endpoint_state> choose(const endpoint_choice& wanted,
                                         std::uint64_t now_ms) const;

  // Bookkeeping of one attempt.
  static void begin(endpoint_state& at);
  // Ends it; true if the endpoint is left alone from now on.
  static bool end(endpoint_state& at, attempt_outcome outcome,
                  double latency_ms, std::uint64_t now_ms);

  // A request of another gateway failed at the endpoint; true as above.
  bool report_failure(const std::string& id, std::string_view gateway,
                      std::uint64_t now_ms);

  // Another gateway has met another instance at the endpoint's address. True
  // if this was not known.
  bool supersede(const std::string& id);

  std::size_t count(std::string_view service) const;
  std::size_t size() const { return by_id_.size(); }

 private:
  using state_ptr = std::shared_ptr<endpoint_state>;
  std::map<std::string, state_ptr> by_id_;
  std::map<std::string, std::vector<state_ptr>, std::less<>> by_service_;

  // A superseded endpoint that is listed no more; numbered in their order.
  struct former_endpoint {
    state_ptr state;
    std::uint64_t number = 0;
  };
  std::map<std::string, former_endpoint> former_;
  std::uint64_t former_numbers_ = 0;

  state_ptr& held(const std::string& id);
  void note_former(const std::string& id, const state_ptr& state);
  void index();
  static bool trusted(const endpoint_state& at, const endpoint_choice& wanted,
                      std::uint64_t now_ms);
  static bool usable(const endpoint_state& at, const endpoint_choice& wanted);
  static std::vector<state_ptr> candidates_of(
      const std::vector<state_ptr>& from, const endpoint_choice& wanted,
      std::uint64_t now_ms);
};

}  // namespace trayrock
