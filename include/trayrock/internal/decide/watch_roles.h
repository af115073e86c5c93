// Decides which gateways watch the platform, and which watcher the others poll.
//
// Calls to the platform cost money, so in each data centre only two gateways
// watch it (two for redundancy) and the others poll these for changes. Watchers
// are chosen by a hash of the gateways' names, without an election. Gateways
// with different views of the fleet may both watch, which only costs calls; a
// gateway that finds no watcher watches the platform itself, so that its
// configuration never goes stale.
//
// No I/O; the caller supplies the time and the peers.
//
// Example:
//   watch_roles roles("gateway-1", "north", sharing);
//   const watch_step step = roles.next_step(peers, now);
//   if (const auto* poll = std::get_if<poll_watcher>(&step)) {
//     send_request(poll->address);
//   }
//   roles.on_reply(address);         // it watches and has replied
//   roles.on_failure(address, now);  // no reply, or it does not watch
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "trayrock/internal/decide/relay_selector.h"

namespace trayrock {

// Poll this gateway.
struct poll_watcher {
  std::string address;  // A.B.C.D:PORT
};
// Watch the platform: other gateways rely on it, or no watcher is available.
struct watch_platform {};
using watch_step = std::variant<poll_watcher, watch_platform>;

// No peer can be polled yet; only for a gateway that has just started.
struct wait_for_peers {};
using first_watch_step =
    std::variant<poll_watcher, watch_platform, wait_for_peers>;

// Whether a few gateways of each data centre watch, or all do.
struct few_watch {
  bool operator==(const few_watch&) const = default;
};
struct all_watch {
  bool operator==(const all_watch&) const = default;
};
using watch_sharing = std::variant<few_watch, all_watch>;

class watch_roles {
 public:
  watch_roles(std::string own_name, std::string own_data_centre,
              watch_sharing sharing);

  // The next step; call it before each poll.
  watch_step next_step(std::span<const relay_peer> peers, std::uint64_t now_ms);

  // The next step of a gateway that has no data yet. `listed`: this gateway has
  // appeared in a complete list of the gateways, which then has those that
  // started with it, too. Until then it doesn't count itself as a watcher, or
  // else all gateways that start together would read everything from the
  // platform; after a bounded wait it does so anyway.
  first_watch_step initial_step(std::span<const relay_peer> peers, bool listed,
                                std::chrono::milliseconds since_start,
                                std::uint64_t now_ms);

  // The peer to poll concurrently with a pending call to the platform, since a
  // peer may have data that the platform does not return. Never
  // `watch_platform`.
  first_watch_step peer_step(std::span<const relay_peer> peers,
                             std::uint64_t now_ms);

  bool is_watcher(std::span<const relay_peer> peers,
                  std::uint64_t now_ms) const;

  // The addresses of the gateways to which others should send updates.
  std::vector<std::string> watchers(std::span<const relay_peer> peers,
                                    std::uint64_t now_ms) const;

  // The polled gateway watches, and has replied.
  void on_reply(const std::string& address);

  // The polled gateway did not reply, or does not watch.
  void on_failure(const std::string& address, std::uint64_t now_ms);

 private:
  struct peer_backoff {
    std::uint64_t until_ms = 0;
    std::uint32_t consecutive_failures = 0;
  };

  std::vector<const relay_peer*> watchers_of(std::span<const relay_peer> peers,
                                             std::string_view data_centre,
                                             std::uint64_t now_ms) const;
  std::vector<std::string> candidates(std::span<const relay_peer> peers,
                                      std::uint64_t now_ms) const;
  bool in_backoff(const std::string& address, std::uint64_t now_ms) const;

  std::string own_name_;
  std::string own_data_centre_;
  watch_sharing sharing_;
  std::map<std::string, peer_backoff> backoffs_;  // by address
  std::uint32_t consecutive_failures_ = 0;        // of any peers
  // This gateway watches the platform itself until then.
  std::uint64_t platform_until_ms_ = 0;
  std::uint64_t rotation_ = 0;
};

}  // namespace trayrock
