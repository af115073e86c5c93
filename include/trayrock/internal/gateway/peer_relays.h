// Other gateways as relays to record stores that this one can't reach.
//
// A gateway that is partitioned from the stores sends its calls through another
// gateway, so that its clients' programs continue. The list of peers is read
// from the platform after the start, and again once all known peers have
// failed.
//
// Example:
//   peer_relays relays(loop, registry, own);
//   relays.start(on_listed);
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

  // Registers this gateway, unless an entry of an earlier run has the same
  // address. `on_listed` is called once a list of gateways includes this one.
  void start(std::function<void()> on_listed);

  // The interface by which a client of the record stores uses the peers.
  relay_source source();

  // Adds a peer that has contacted this gateway.
  void add(const relay_peer& peer) { selector_.add(peer); }

  // The known peers, without this gateway.
  std::vector<relay_peer> peers() const { return selector_.peers(); }

  // Whether a list of gateways has included this one.
  bool is_listed() const { return is_listed_; }

 private:
  std::string pick();
  void update_peers(const std::vector<platform::gateway_entry>& listed);
  bool is_among(const std::vector<platform::gateway_entry>& listed) const;
  void announce();
  void find_own_entry();
  void on_list(const result<std::vector<platform::gateway_entry>>& found);
  void refresh_peers();
  void apply_list(const result<std::vector<platform::gateway_entry>>& found);

  event_loop& loop_;
  platform::gateway_registry& registry_;
  platform::gateway_entry own_;
  relay_selector selector_;
  bool refreshing_ = false;
  bool is_listed_ = false;
  std::function<void()> on_listed_;
  int lists_read_ = 0;  // while searching for the own entry
  bool announcing_ = false;
  bool announced_ = false;
  milliseconds list_repeat_delay_;
  std::uint64_t refreshed_at_ms_ = 0;
  timer retry_timer_;
};

// Registers the method by which a gateway relays calls for others. A call to a
// store that `own` can't reach either fails at once. All references must
// outlive the server.
void serve_relays(rpc_server& server, rpc_pool& pool, const record_client& own);

}  // namespace trayrock
