// Limits how many requests each gateway sends to an endpoint that has just
// started. No I/O; the caller passes the time and the peers.
//
// A cold endpoint is overloaded by more than a few requests a second from all
// gateways together. Gateways can't coordinate on each request, so the
// operator's limit is divided into fixed shares. They go to a few gateways in
// the order of a hash of endpoint and gateway, those of the endpoint's data
// centre first. While gateways have different lists of peers, each gateway that
// joins exceeds the limit by one share at most.
//
// Example:
//   const std::uint32_t share = cold_share(limit, of, "north", own, peers);
//   if (window.count(now) < share) window.add(now);  // and send
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>

#include "trayrock/internal/decide/endpoint_identity.h"
#include "trayrock/internal/decide/relay_selector.h"

namespace trayrock {

// The operator's limit for cold endpoints of a service.
struct cold_limit {
  double requests_per_second = 0;         // to one endpoint; 0: no limit
  std::chrono::milliseconds duration{0};  // from the endpoint's start

  bool exists() const { return requests_per_second > 0; }
  bool operator==(const cold_limit&) const = default;
};

// How many requests this gateway may send to the endpoint in any second while
// it is cold; 0: only other gateways may. `peers` are the other gateways.
std::uint32_t cold_share(const cold_limit& limit, const endpoint_identity& of,
                         std::string_view data_centre, const relay_peer& own,
                         std::span<const relay_peer> peers);

// Counts the requests that were sent within the last second.
class one_second_window {
 public:
  void add(std::uint64_t now_ms);
  std::size_t count(std::uint64_t now_ms) const;

 private:
  std::deque<std::uint64_t> sent_at_ms_;
};

}  // namespace trayrock
