// Selects the gateway that relays calls to a record store which this one can't
// reach. No I/O; the caller passes the time.
//
// Peers that relayed a call recently come first, then those of the same data
// centre. Each gateway orders its peers by its own hash, so that several
// partitioned gateways don't all load the same peer. A peer that does not
// reply, or that can't reach the stores either, gets an exponential backoff; if
// all peers are in backoff, the one whose backoff ends first is used.
//
// Example:
//   relay_selector relays("gateway-1", "north");
//   relays.replace({{"gateway-2", "127.0.0.1:7000", "north"}});
//   const std::string via = relays.pick(now);
//   relays.record_failure(via, relay_failure::no_reply, now);
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
  no_reply,          // the peer did not reply
  store_unreachable  // the peer got no reply from the store
};

class relay_selector {
 public:
  relay_selector(std::string own_name, std::string own_data_centre);

  // Replaces the list of peers; the state of those that remain is kept.
  void replace(const std::vector<relay_peer>& peers);

  // Adds a peer, or updates its address.
  void add(const relay_peer& peer);

  // All peers, in this gateway's own order.
  std::vector<relay_peer> peers() const;

  // The address of the peer to use; empty if there are no peers.
  std::string pick(std::uint64_t now_ms) const;

  // True if each peer is in backoff, or there are none.
  bool all_in_backoff(std::uint64_t now_ms) const;

  // The peer relayed a call and returned the reply.
  void record_success(std::string_view address, std::uint64_t now_ms);

  void record_failure(std::string_view address, relay_failure how,
                      std::uint64_t now_ms);

 private:
  struct state {
    relay_peer peer;
    std::uint64_t order = 0;            // hash of this gateway and the peer
    std::uint64_t last_success_ms = 0;  // 0: never
    std::uint64_t backoff_until_ms = 0;
    std::uint32_t consecutive_failures = 0;
  };

  bool is_preferred(const state& left, const state& right,
                    std::uint64_t now_ms) const;
  state state_of(const relay_peer& peer);
  void sort();
  state* find(std::string_view address);

  std::string own_name_;
  std::string own_data_centre_;
  std::vector<state> peers_;  // sorted by `order`
};

}  // namespace trayrock
