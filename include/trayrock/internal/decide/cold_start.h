// How many requests a gateway sends to an endpoint that has just started.
//
// A cold endpoint bears some requests a second from all gateways together, and
// falls over at more. Nothing can be agreed for each request, so the bound
// holds by who sends: a few gateways, those of the endpoint's data centre
// first, in the order of a hash of endpoint and gateway, have a fixed number of
// requests in any second each. Their sum is what the operator allows. Views of
// who is there may differ for a moment; each gateway that joins adds no more
// than one share.
//
// No I/O; the caller gives the time and the peers.
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

// What the operator says of a service's cold endpoints.
struct cold_limit {
  double requests_per_second = 0;         // of one endpoint; 0: no limit
  std::chrono::milliseconds duration{0};  // from a start on

  bool exists() const { return requests_per_second > 0; }
  bool operator==(const cold_limit&) const = default;
};

// The requests in any second that this gateway may send to the endpoint while
// it is cold; 0: others do. `peers` are the other gateways.
std::uint32_t cold_share(const cold_limit& limit, const endpoint_identity& of,
                         std::string_view data_centre, const relay_peer& own,
                         std::span<const relay_peer> peers);

// The requests that were sent within the last second.
class second_window {
 public:
  void add(std::uint64_t now_ms);
  std::size_t count(std::uint64_t now_ms) const;

 private:
  std::deque<std::uint64_t> sent_ms_;
};

}  // namespace trayrock
