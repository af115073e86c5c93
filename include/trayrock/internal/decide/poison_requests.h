// Bounds how many endpoints one request ends. No I/O; the caller passes the
// time and the evidence.
//
// A request under which endpoint processes end ("poison request") is repeated
// by gateways, clients and programs, each within limits of its own that
// multiply. So tries are counted by the content of the request
// (gateway/request_fingerprint.h) and not by the client's attempt. Once
// `max_ended` endpoints have ended under a request, it is refused until the
// record expires; while a program repeats it, the record does not. While
// endpoints may still end under tries that are open, a suspected request waits,
// so that copies side by side stay within the bound.
//
// Evidence is an endpoint whose process is known to have ended while it had the
// request, or shortly after the gateway had left it. A reset, a cut link, an
// invalid response or a timeout alone is none.
//
// Example:
//   poison_requests tries;
//   if (tries.decide(request, in_program, now) == try_verdict::send) {
//     tries.record_sent(request, endpoint, now);
//   }
//   tries.record_broken(request, endpoint, now);
//   for (const auto each : tries.record_ended(endpoint, now)) tell_peers(each);
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "trayrock/internal/decide/endpoint_identity.h"

namespace trayrock {

// Identifies the content of a request; 0: none.
using request_fingerprint = std::uint64_t;

enum class try_verdict {
  send,
  wait,   // endpoints may still end under other tries, or ended just now
  refuse  // too many endpoints have ended
};

enum class try_stage {
  open,    // the endpoint has the request
  broken,  // the connection ended; whether the process did is unknown
  left,    // the gateway gave the endpoint up, or it survived a broken try
  ended    // the endpoint's process ended
};

// One try of a request, as gateways report it to each other.
struct request_try {
  request_fingerprint request = 0;
  endpoint_identity endpoint;
  try_stage stage = try_stage::open;
  std::uint64_t age_ms = 0;  // since the stage was reached

  bool operator==(const request_try&) const = default;
};

class poison_requests {
 public:
  // Endpoints that may end under a request.
  static constexpr std::size_t max_ended = 3;
  // Requests whose tries are kept, besides those with open tries of this
  // gateway.
  static constexpr std::size_t max_requests = 4096;
  // Pause before the last endpoint that may end, after another one has ended or
  // was left. Endpoints that end for another cause often do so close together,
  // and the process of a broken connection may end a moment after it.
  static constexpr std::uint64_t last_try_pause_ms = 500;
  // How long an endpoint that ended counts.
  static constexpr std::uint64_t ended_lifetime_ms = 120000;
  // A record that is older is renewed while its request is still repeated.
  static constexpr std::uint64_t renewal_age_ms = ended_lifetime_ms / 4;
  // An endpoint that ends within this time after it was left may have ended
  // under the request.
  static constexpr std::uint64_t left_lifetime_ms = 5000;
  // A gateway that was killed doesn't report the end of its tries.
  static constexpr std::uint64_t peer_open_lifetime_ms = 20000;

  // Requests of programs have few copies, so that their open tries are bounded
  // from the first one on. Other requests may be alike and frequent; they are
  // bounded once there is a suspicion.
  try_verdict decide(request_fingerprint request, bool in_program,
                     std::uint64_t now_ms) const;

  // Whether an endpoint has ended under the request, or may have.
  bool is_suspected(request_fingerprint request, std::uint64_t now_ms) const;

  // The number of endpoints that ended under the request.
  std::size_t ended(request_fingerprint request, std::uint64_t now_ms) const;

  // Steps of a try of this gateway.
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

  // The endpoint still accepts connections: its broken tries were not its end.
  void record_alive(const endpoint_identity& at, std::uint64_t now_ms);

  // The endpoint's process has ended. Returns the requests under which it may
  // have ended and that did not count it yet: those whose tries were broken or
  // left. An open try may never have been sent; it breaks if it was. Tries of
  // other gateways are reported by them.
  std::vector<request_fingerprint> record_ended(const endpoint_identity& at,
                                                std::uint64_t now_ms);

  // A program still repeats a request that is refused, so that the records of
  // its ended endpoints don't expire. Returns those that were renewed, for the
  // other gateways.
  std::vector<request_try> renew_ended(request_fingerprint request,
                                       std::uint64_t now_ms);

  // A try that another gateway reports. One that it has left is not kept: that
  // gateway watches the endpoint's end itself.
  void record_peer_try(const request_try& reported, std::uint64_t now_ms);

  // Endpoints that may have ended under the request since it left them.
  std::vector<endpoint_identity> unresolved_endpoints(
      request_fingerprint request, std::uint64_t now_ms) const;

  // Whether the endpoint may have ended under a request that was broken or
  // left.
  bool has_unresolved_tries_at(const endpoint_identity& at,
                               std::uint64_t now_ms) const;

  // Whether any try at the endpoint is kept that does not count as ended.
  bool has_tries_at(const endpoint_identity& at, std::uint64_t now_ms) const;

  // This gateway's open tries of the request.
  std::vector<request_try> own_open_tries(request_fingerprint request) const;

  // All endpoints that ended, for a gateway that has just started.
  std::vector<request_try> ended_tries(std::uint64_t now_ms) const;

  void remove_expired(std::uint64_t now_ms);

  std::size_t size() const { return tries_.size(); }

 private:
  struct tracked_try {
    endpoint_identity endpoint;
    try_stage stage = try_stage::open;
    std::uint64_t at_ms = 0;
    std::uint32_t own_open = 0;  // copies of this gateway at the endpoint
    std::uint64_t left_ms = 0;   // when a try was left last; 0: never
  };
  struct counts {
    std::size_t ended = 0;
    std::size_t at_risk = 0;  // open or broken
    std::size_t broken = 0;
    std::uint64_t last_ended_ms = 0;  // or may still end, since it was left
  };
  using tracked_tries = std::vector<tracked_try>;

  static bool is_expired(const tracked_try& each, std::uint64_t now_ms);
  static bool is_unresolved(const tracked_try& each, std::uint64_t now_ms);
  counts count(request_fingerprint request, std::uint64_t now_ms) const;
  tracked_try& entry(request_fingerprint request, const endpoint_identity& at,
                     std::uint64_t now_ms);
  tracked_try* find(request_fingerprint request, const endpoint_identity& at);
  void close(request_fingerprint request, const endpoint_identity& at,
             try_stage stage, std::uint64_t now_ms);
  void erase(request_fingerprint request, const endpoint_identity& at);
  void make_room(std::uint64_t now_ms);

  std::unordered_map<request_fingerprint, tracked_tries> tries_;
};

}  // namespace trayrock
