// Serves gateways that poll this one for updates from the platform.
//
// A reply waits until there is an update or the caller's wait is over. A
// gateway that doesn't watch the platform, or can't reach it, replies at once
// that it doesn't, so that callers poll another one. One that has just started
// and may be about to watch lets callers wait: else they would take it for one
// that has lost the platform, and watch in its place for a second or more. A
// gateway that doesn't watch still sends its configuration with the proof of it
// and, to a gateway that has just started, all that it has.
//
// Example:
//   watch_server server(loop, log, status, on_peer, add_proof);
//   server.serve(rpc);
//   log.add_endpoints(changes);
//   server.wake();
#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "trayrock/internal/decide/relay_selector.h"
#include "trayrock/internal/gateway/watch_log.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

enum class watch_status {
  starting,  // it is not decided yet whether this gateway watches
  watching,  // and it reaches the platform
  not_watching
};

class watch_server {
 public:
  // Receives each caller and its revision of the endpoints.
  using peer_callback =
      std::function<void(const relay_peer&, std::uint64_t revision)>;

  // Adds the proof of this gateway's configuration to a reply.
  using proof_callback = std::function<void(records::WatchReply&)>;

  // `log` must outlive the object.
  watch_server(event_loop& loop, const watch_log& log,
               std::function<watch_status()> status, peer_callback on_peer,
               proof_callback add_proof);
  watch_server(const watch_server&) = delete;
  watch_server& operator=(const watch_server&) = delete;

  void serve(rpc_server& server);

  // Replies to the waiting calls for which there is something new. To be called
  // when the log has changed or this gateway has stopped watching.
  void wake();

  // The same after a short delay, which gathers several updates.
  void wake_soon();

 private:
  struct waiting_call {
    records::WatchRequest request;
    rpc_reply_ptr reply;
    std::uint64_t until_ms = 0;
  };

  void receive(const records::WatchRequest& request,
               const rpc_reply_ptr& reply);

  bool fill(const waiting_call& call, records::WatchReply& reply) const;

  // Returns true if the call is finished.
  bool try_reply(const waiting_call& call);
  void reply_to_due();

  event_loop& loop_;
  const watch_log& log_;
  std::function<watch_status()> status_;
  peer_callback on_peer_;
  proof_callback add_proof_;
  std::list<waiting_call> waiting_;
  timer wake_timer_;
  timer sweep_timer_;
};

}  // namespace trayrock
