// Other gateways as relays to record stores that this one cannot reach.
//
// A gateway that is cut off from the stores asks another gateway to pass its
// calls on, so that its clients' programs go on. Peers are read from the
// platform soon after the start, and again when all known ones have failed.
//
// Example:
//   peer_relays relays(loop, registry, own);
//   relays.start();
//   const std::string via = relays.pick();  // empty: none known yet
#pragma once

#include <string>
#include <vector>

#include "platform/gateway_registry.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

class peer_relays {
 public:
  peer_relays(event_loop& loop, platform::gateway_registry& registry,
              platform::gateway_entry own);
  peer_relays(const peer_relays&) = delete;
  peer_relays& operator=(const peer_relays&) = delete;

  // Makes this gateway known to the others.
  void start();

  // The address of a peer, one of the same data centre if there is any; empty
  // while none is known.
  std::string pick();

  // The peer did not help: others go first for a while.
  void failed(const std::string& address);

 private:
  struct peer {
    platform::gateway_entry entry;
    std::uint64_t avoided_until_ms = 0;
  };

  void look_for_peers();

  event_loop& loop_;
  platform::gateway_registry& registry_;
  platform::gateway_entry own_;
  std::vector<peer> peers_;
  bool looking_ = false;
  std::uint64_t looked_at_ms_ = 0;
  timer again_;
};

// Registers the method by which a gateway passes calls on for others.
void serve_relays(rpc_server& server, rpc_pool& pool);

}  // namespace trayrock
