// Bounds how many endpoints one request ends. No I/O; the caller passes the
// time and the evidence.
//
// A request under which endpoint processes end ("poison request") is repeated
// by gateways, clients and programs, each within limits of its own that
// multiply. So tries are counted by the content of the request
// (gateway/request_fingerprint.h) and not by the client's attempt. Once
// `max_ended` endpoints have ended under a request, it is refused until the
// record expires; while a program repeats it, the record does not.
//
// A try whose outcome is unknown counts like an end until something shows that
// the endpoint survived it: the endpoint was alive at a time at which it could
// no longer end under the try. A reset, a cut link, a timeout, or a connection
// that something accepts show neither. While endpoints may still end, a
// suspected request waits, so that copies side by side stay within the bound.
// So does one that no endpoint has responded to lately, since all of its tries
// may be the first ones.
//
// Tries have an owner, the gateway process that sent them. Tables of several
// processes are joined by reports (`record_peer_try`).
//
// Example:
//   poison_requests tries(own_id);
//   if (tries.decide(request, request_scope::program, now) ==
//       try_verdict::send) {
//     tries.record_sent(request, endpoint, now);
//   }
//   tries.record_left(request, endpoint, now);
//   tries.record_alive(endpoint, answered_at);  // survived, if late enough
//   for (const auto each : tries.record_ended(endpoint, now)) tell_peers(each);
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "trayrock/internal/decide/endpoint_identity.h"

namespace trayrock {

// Identifies the content of a request; 0: none.
using request_fingerprint = std::uint64_t;

// Requests of programs have few copies, so that their tries are always bounded.
// Requests outside of programs may be alike, frequent and long; theirs are
// bounded while no endpoint has responded to one, and while there is a
// suspicion. One that has waited for the others no longer counts endpoints that
// were alive after they received it.
enum class request_scope { shared, shared_after_wait, program };

enum class try_verdict {
  send,
  wait,   // endpoints may still end under other tries, or ended just now
  refuse  // too many endpoints have ended
};

enum class try_stage {
  open,      // the endpoint has the request
  unknown,   // whether the endpoint ended under it is unknown
  survived,  // the endpoint survived it, or never received it
  ended      // the endpoint's process ended
};

// One try of a request, as processes report it to each other.
struct request_try {
  request_fingerprint request = 0;
  endpoint_identity endpoint;
  try_stage stage = try_stage::open;
  std::uint64_t age_ms = 0;  // since the stage was reached
  std::uint64_t owner = 0;   // the gateway process that sent it
  // Ended: how often. An endpoint may start again under its id.
  std::uint32_t ends = 1;
  // Unknown: how long after the stage was reached the process may still end
  // under the try.
  std::uint64_t settle_ms = 0;
  // Survived: with a response in full, to a request outside of programs.
  bool responded = false;
  // Survived: that response was a success.
  bool succeeded = false;

  bool operator==(const request_try&) const = default;
};

// Who reports a try of another process.
enum class try_source {
  owner,  // that process, which also reports what becomes of it
  others  // a process that knows it; the record stores' next reply replaces it
};

class poison_requests {
 public:
  // Endpoints that may end under a request.
  static constexpr std::size_t max_ended = 3;
  // Requests whose tries are kept, besides those with open tries of this
  // process.
  static constexpr std::size_t max_requests = 4096;
  // Pause before the last endpoint that may end, after another one has ended.
  // Endpoints that end for another cause often do so close together.
  static constexpr std::uint64_t last_try_pause_ms = 500;
  // How long an end counts, and a try whose outcome stays unknown.
  static constexpr std::uint64_t ended_lifetime_ms = 120000;
  // A record that is older is renewed while its request is still repeated.
  static constexpr std::uint64_t renewal_age_ms = ended_lifetime_ms / 4;
  // The process of a connection that broke may end this much later.
  static constexpr std::uint64_t broken_settle_ms = 500;
  // An endpoint that no longer has a caller may run the request this much
  // longer.
  static constexpr std::uint64_t left_settle_ms = 5000;
  // A gateway that was killed doesn't report the end of its tries. From then on
  // their outcome counts as unknown.
  static constexpr std::uint64_t peer_open_lifetime_ms = 20000;
  // How long a response shows that endpoints survive a request; at most twice
  // as long.
  static constexpr std::uint64_t response_lifetime_ms = 30000;

  // `own_id`: of this process, not 0, which stands for gateways of earlier
  // versions.
  explicit poison_requests(std::uint64_t own_id = 1,
                           std::size_t capacity = max_requests)
      : own_id_(own_id), capacity_(capacity) {}

  try_verdict decide(request_fingerprint request, request_scope scope,
                     std::uint64_t now_ms) const;

  // Whether a try that was recorded as sent stays within the bound, beside all
  // tries that have been reported meanwhile.
  bool is_within_bound(request_fingerprint request, request_scope scope,
                       std::uint64_t now_ms) const;

  // Whether an endpoint has responded to the request lately.
  bool has_response(request_fingerprint request) const {
    return responses_.contains(request) || earlier_responses_.contains(request);
  }

  // Whether a try of the request is known whose endpoint ended or may end,
  // other than this process's own at `at`.
  bool has_other_tries(request_fingerprint request, const endpoint_identity& at,
                       std::uint64_t now_ms) const;

  // Whether an endpoint has ended under the request, or may have.
  bool is_suspected(request_fingerprint request, std::uint64_t now_ms) const;

  // How many endpoints ended under the request.
  std::size_t ended(request_fingerprint request, std::uint64_t now_ms) const;

  // Steps of a try of this process.
  void record_sent(request_fingerprint request, const endpoint_identity& at,
                   std::uint64_t now_ms);
  void record_broken(request_fingerprint request, const endpoint_identity& at,
                     std::uint64_t now_ms);
  void record_left(request_fingerprint request, const endpoint_identity& at,
                   std::uint64_t now_ms);
  // The endpoint has survived the request: it responded, refused, or never
  // received it.
  void record_survived(request_fingerprint request,
                       const endpoint_identity& at);
  // An endpoint responded in full to a request outside of programs. A request
  // that succeeded is over: later ones that are alike are others, to which its
  // tries no longer count.
  void record_response(request_fingerprint request, bool succeeded);

  // This instance of the endpoint was running at that time.
  void record_alive(const endpoint_identity& at, std::uint64_t at_ms);

  // The endpoint's process has ended. Returns the requests under which it may
  // have ended and that did not count it yet. An open try may never have been
  // sent; it breaks if it was.
  std::vector<request_fingerprint> record_ended(const endpoint_identity& at,
                                                std::uint64_t now_ms);

  // A program still repeats a request that is refused, so that the records of
  // its ended endpoints don't expire. Returns those that were renewed, for the
  // other gateways.
  std::vector<request_try> renew_ended(request_fingerprint request,
                                       std::uint64_t now_ms);

  // A try that another process reports. Reports of this process's own tries
  // are ignored.
  void record_peer_try(const request_try& reported, std::uint64_t now_ms,
                       try_source source = try_source::owner);

  // All tries of the request that the record stores know. Open tries of other
  // processes that are not among them have been closed, but for those that
  // their owners report.
  void replace_peer_tries(request_fingerprint request,
                          std::span<const request_try> reported,
                          std::uint64_t now_ms);

  // Endpoints that may have ended under the request and no longer have it.
  std::vector<endpoint_identity> unresolved_endpoints(
      request_fingerprint request, std::uint64_t now_ms) const;

  // Endpoints that have the request, or may have ended under it.
  std::vector<endpoint_identity> endpoints_at_risk(request_fingerprint request,
                                                   std::uint64_t now_ms) const;

  // Whether the endpoint may have ended under a request that it no longer has.
  bool has_unresolved_tries_at(const endpoint_identity& at,
                               std::uint64_t now_ms) const;

  // Whether any try at the endpoint is kept that does not count as ended.
  bool has_tries_at(const endpoint_identity& at, std::uint64_t now_ms) const;

  // This process's tries of the request that are open or unknown.
  std::vector<request_try> own_tries(request_fingerprint request,
                                     std::uint64_t now_ms) const;

  // All tries of the request, and whether an endpoint has responded to it.
  std::vector<request_try> tries_of(request_fingerprint request,
                                    std::uint64_t now_ms) const;

  // All endpoints that ended, for a gateway that has just started.
  std::vector<request_try> ended_tries(std::uint64_t now_ms) const;

  // The end of an endpoint under the request, as it is reported.
  request_try ended_try(request_fingerprint request,
                        const endpoint_identity& at,
                        std::uint64_t now_ms) const;

  void remove_expired(std::uint64_t now_ms);

  std::size_t size() const { return known_.size(); }

 private:
  // The tries of one gateway at one endpoint.
  struct tracked_try {
    endpoint_identity endpoint;
    std::uint64_t owner = 0;
    std::uint32_t open = 0;        // copies that the endpoint has
    std::uint64_t opened_ms = 0;   // of the first of them
    std::uint64_t unknown_ms = 0;  // when the outcome became unknown; 0: never
    std::uint64_t settled_ms = 0;  // from when on the endpoint can't end by it
    try_source source = try_source::owner;
  };
  struct ended_endpoint {
    endpoint_identity endpoint;
    std::uint32_t ends = 0;
    std::uint64_t at_ms = 0;  // of the last one
  };
  struct known_request {
    std::vector<tracked_try> tries;
    std::vector<ended_endpoint> ended;
  };
  struct counts {
    std::size_t ended = 0;
    std::size_t at_risk = 0;  // endpoints that may end or may have ended
    std::size_t unknown = 0;  // of them, those that no longer have the request
    std::size_t not_alive = 0;  // of them, those not alive since they have it
    std::uint64_t last_ended_ms = 0;
  };

  static bool is_expired(const ended_endpoint& each, std::uint64_t now_ms);
  static bool is_open(const tracked_try& each, std::uint64_t own_id,
                      std::uint64_t now_ms);
  bool is_unresolved(const tracked_try& each, std::uint64_t now_ms) const;
  bool may_end_under(const tracked_try& each, std::uint64_t now_ms) const;
  bool is_at_risk(const tracked_try& each, std::uint64_t now_ms) const;
  bool is_alive_since(const tracked_try& each) const;
  std::size_t bounded_endpoints(request_fingerprint request,
                                request_scope scope, const counts& now) const;
  counts count(request_fingerprint request, std::uint64_t now_ms) const;
  const known_request* find(request_fingerprint request) const;
  tracked_try* find_own(request_fingerprint request,
                        const endpoint_identity& at);
  known_request& request_entry(request_fingerprint request,
                               std::uint64_t now_ms);
  static tracked_try& try_entry(known_request& of, const endpoint_identity& at,
                                std::uint64_t owner);
  void close_as_unknown(request_fingerprint request,
                        const endpoint_identity& at, std::uint64_t settle_ms,
                        std::uint64_t now_ms);
  void erase_if_empty(request_fingerprint request);
  void erase_response(request_fingerprint request);
  void erase_closed_tries(request_fingerprint request);
  void make_room(std::uint64_t now_ms);
  request_try report_of(request_fingerprint request, const tracked_try& from,
                        std::uint64_t now_ms) const;
  static request_try report_of(request_fingerprint request,
                               const ended_endpoint& from,
                               std::uint64_t now_ms);
  void merge_ended(const request_try& reported, std::uint64_t now_ms);

  std::uint64_t own_id_;
  std::size_t capacity_;
  std::unordered_map<request_fingerprint, known_request> known_;
  // When each endpoint was last known to be running.
  std::map<endpoint_identity, std::uint64_t> alive_ms_;
  // Requests that endpoints responded to, since `responses_since_ms_` and
  // before, so that both are dropped as a whole.
  std::unordered_set<request_fingerprint> responses_;
  std::unordered_set<request_fingerprint> earlier_responses_;
  std::uint64_t responses_since_ms_ = 0;
};

}  // namespace trayrock
