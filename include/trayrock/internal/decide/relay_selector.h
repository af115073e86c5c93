// Which other gateway passes calls on to a record store that this one cannot
// reach.
//
// No I/O; the caller gives the time. A gateway that has passed a call on lately
// goes first, then those of the same data centre. Each gateway tries its peers
// in an order of its own, so that several that are cut off together do not all
// load the same peer. A peer that is silent, or that cannot reach the stores
// either, is left alone for a while, longer each time; if all are, the one
// whose time is over first is tried all the same.
//
// Example:
//   relay_selector relays("gateway-1", "north");
//   relays.replace({{"gateway-2", "127.0.0.1:7000", "north"}});
//   const std::string via = relays.pick(now);
//   relays.failed(via, relay_failure::no_reply, now);
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trayrock {

struct relay_peer {
  std::string name;
  std::string address;  // A.B.C.D:PORT of its RPC server
  std::string data_centre;
};

enum class relay_failure {
  no_reply,          // the peer did not answer
  store_unreachable  // the peer got no answer of the store
};

class relay_selector {
 public:
  relay_selector(std::string own_name, std::string own_data_centre);

  // Takes a new list; what is known of the peers that stay on it is kept.
  void replace(const std::vector<relay_peer>& peers);

  // Adds a peer, or takes its new address.
  void add(const relay_peer& peer);

  // All peers, in this gateway's own order.
  std::vector<relay_peer> peers() const;

  // The address of a peer; empty if none is known.
  std::string pick(std::uint64_t now_ms) const;

  // True when no peer is known that is not being left alone.
  bool all_in_backoff(std::uint64_t now_ms) const;

  // A peer has passed a call on and its answer back.
  void record_success(std::string_view address, std::uint64_t now_ms);

  void record_failure(std::string_view address, relay_failure how,
                      std::uint64_t now_ms);

 private:
  struct state {
    relay_peer peer;
    std::uint64_t order = 0;            // this gateway's own order of its peers
    std::uint64_t passed_on_at_ms = 0;  // 0: never
    std::uint64_t avoided_until_ms = 0;
    std::uint32_t failures_in_row = 0;
  };

  bool better(const state& left, const state& right,
              std::uint64_t now_ms) const;
  state state_of(const relay_peer& peer);
  void sort();
  state* find(std::string_view address);

  std::string own_name_;
  std::string own_data_centre_;
  std::vector<state> peers_;  // in this gateway's own order
};

}  // namespace trayrock
