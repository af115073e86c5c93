// Answers gateways that ask this one for what the platform has said.
//
// An answer waits until there is something new, or the asking gateway's time
// for it is over. A gateway that does not watch the platform, or that the
// platform does not answer, says so at once: then others ask elsewhere. Its
// configuration and the proof of it are told all the same, and to a gateway
// that has just started all that it knows.
//
// Example:
//   watch_server server(loop, log, [] { return watching; }, heard_of_peer,
//                       add_proof);
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

class watch_server {
 public:
  // Told of each gateway that asks, and how far it knows the endpoints.
  using peer_callback =
      std::function<void(const relay_peer&, std::uint64_t revision)>;

  // Adds the proof of this gateway's configuration to an answer.
  using proof_callback = std::function<void(records::WatchReply&)>;

  // `log` outlives the object. `watching` says whether this gateway watches
  // the platform and is answered.
  watch_server(event_loop& loop, const watch_log& log,
               std::function<bool()> watching, peer_callback asked,
               proof_callback prove);
  watch_server(const watch_server&) = delete;
  watch_server& operator=(const watch_server&) = delete;

  void serve(rpc_server& server);

  // The log has grown, or this gateway watches no more.
  void wake();

  // As above, shortly: more may come.
  void wake_soon();

 private:
  struct waiting_call {
    records::WatchRequest request;
    rpc_reply_ptr reply;
    std::uint64_t until_ms = 0;
  };

  void take(const records::WatchRequest& request, const rpc_reply_ptr& reply);

  bool fill(const waiting_call& call, records::WatchReply& reply) const;

  // True if the call has been answered.
  bool answer(const waiting_call& call);
  void answer_due();

  event_loop& loop_;
  const watch_log& log_;
  std::function<bool()> watching_;
  peer_callback asked_;
  proof_callback prove_;
  std::list<waiting_call> waiting_;
  timer soon_;
  timer sweeping_;
};

}  // namespace trayrock
