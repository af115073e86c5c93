// Other gateways as relays to record stores that this one cannot reach.
//
// A gateway that is cut off from the stores asks another gateway to pass its
// calls on, so that its clients' programs go on. Peers are read from the
// platform soon after the start, and again when all known ones have failed.
//
// Example:
//   peer_relays relays(loop, registry, own);
//   relays.start();
//   records.use_relays(relays.source());
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "platform/gateway_registry.h"
#include "trayrock/internal/decide/relay_selector.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/record_client.h"

namespace trayrock {

class peer_relays {
 public:
  peer_relays(event_loop& loop, platform::gateway_registry& registry,
              platform::gateway_entry own);
  peer_relays(const peer_relays&) = delete;
  peer_relays& operator=(const peer_relays&) = delete;

  // Makes this gateway known to the others, unless an earlier life of it is
  // known by the same address. `listed` is told once a list has been read that
  // this gateway is on.
  void start(std::function<void()> listed);

  // What a client of the record stores needs to use the peers.
  relay_source source();

  // Adds a peer that made itself known.
  void add(const relay_peer& peer) { choice_.add(peer); }

  // All that are known, without this gateway.
  std::vector<relay_peer> peers() const { return choice_.peers(); }

  // Whether a list of them has been read that this gateway was on.
  bool are_known() const { return known_; }

 private:
  std::string pick();
  void take(const std::vector<platform::gateway_entry>& listed);
  bool is_among(const std::vector<platform::gateway_entry>& listed) const;
  void announce();
  void look_for_self();
  void look_answered(const result<std::vector<platform::gateway_entry>>& found);
  void look_for_peers();
  void take_if_listed(
      const result<std::vector<platform::gateway_entry>>& found);

  event_loop& loop_;
  platform::gateway_registry& registry_;
  platform::gateway_entry own_;
  relay_selector choice_;
  bool looking_ = false;
  bool known_ = false;
  std::function<void()> listed_;
  int looks_ = 0;  // lists of all that were read for this gateway itself
  bool announcing_ = false;
  bool announced_ = false;
  milliseconds look_patience_;
  std::uint64_t looked_at_ms_ = 0;
  timer again_;
};

// Registers the method by which a gateway passes calls on for others. A store
// that `own` does not reach either is answered for at once. All outlive the
// server.
void serve_relays(rpc_server& server, rpc_pool& pool, const record_client& own);

}  // namespace trayrock
