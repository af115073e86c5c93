// Which gateways watch the platform for all, and whom the others ask.
//
// Each call to the platform is paid for, and with a watch in each gateway the
// calls grow with the fleet. So two gateways of each data centre watch, and the
// others ask these for what is new. Who watches follows from a hash of the
// names that each gateway knows; nothing is elected. Views may differ: two that
// watch at once cost calls, and one that finds nobody who watches asks the
// platform itself, since a gap would leave it with an old configuration.
//
// Two, so that one that is lost or whose watch is forgotten by the platform
// leaves another one, and the others ask them by turns. With two gateways or
// fewer in each data centre, all watch.
//
// No I/O; the caller gives the time and the peers.
//
// Example:
//   watch_roles roles("gateway-1", "north", sharing);
//   const watch_step step = roles.next(peers, now);
//   if (const auto* ask = std::get_if<poll_watcher>(&step)) poll(ask->address);
//   roles.heard(address);            // it watches, and has answered
//   roles.unusable(address, now);    // silent, or it does not watch
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

// Ask this gateway; its address is A.B.C.D:PORT.
struct poll_watcher {
  std::string address;
};
// Ask the platform: there is nobody else to ask, or others rely on it.
struct watch_platform {};
using watch_step = std::variant<poll_watcher, watch_platform>;

// What a gateway that has just started, and knows nothing, does.
struct wait_for_peers {};
using first_watch_step =
    std::variant<poll_watcher, watch_platform, wait_for_peers>;

// Who watches: a few of each data centre, or every gateway by itself.
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

  // What to do now. Asked again before each poll.
  watch_step next_step(std::span<const relay_peer> peers, std::uint64_t now_ms);

  // The same before anything is known. `listed`: this gateway has been seen on
  // a list of all, so that those that started with it are on it, too. Until
  // then it does not take itself for a watcher, or all that start together
  // would read everything from the platform; nor does it wait for long.
  first_watch_step initial_step(std::span<const relay_peer> peers, bool listed,
                                std::chrono::milliseconds since_start,
                                std::uint64_t now_ms);

  // The same while the platform is asked already and has not answered: others
  // may know what it does not tell.
  first_watch_step peer_step(std::span<const relay_peer> peers,
                             std::uint64_t now_ms);

  // True when this gateway is one of those that are to watch, by what it knows
  // of the peers.
  bool is_watcher(std::span<const relay_peer> peers,
                  std::uint64_t now_ms) const;

  // The addresses of the gateways that others should tell their news.
  std::vector<std::string> watchers(std::span<const relay_peer> peers,
                                    std::uint64_t now_ms) const;

  // A gateway that was asked watches, and has answered.
  void on_reply(const std::string& address);

  // It gave no answer, or does not watch.
  void on_failure(const std::string& address, std::uint64_t now_ms);

 private:
  struct view {
    std::uint64_t left_alone_until_ms = 0;
    std::uint32_t failures_in_row = 0;
  };

  std::vector<const relay_peer*> watchers_of(std::span<const relay_peer> peers,
                                             std::string_view data_centre,
                                             std::uint64_t now_ms) const;
  std::vector<std::string> candidates(std::span<const relay_peer> peers,
                                      std::uint64_t now_ms) const;
  bool left_alone(const std::string& address, std::uint64_t now_ms) const;

  std::string own_name_;
  std::string own_data_centre_;
  watch_sharing sharing_;
  std::map<std::string, view> asked_;  // by address
  std::uint32_t failures_in_row_ = 0;  // of whoever was asked
  std::uint64_t alone_until_ms_ = 0;   // the platform is asked until then
  std::uint64_t turn_ = 0;
};

}  // namespace trayrock
