// Tells other gateways of endpoints that failed requests here, and hears of
// those that failed requests there.
//
// With many gateways each sees too few requests of one endpoint to notice soon
// that it fails; together they notice within some tenths of a second. Failures
// are sent in batches, to a bounded number of peers; nobody waits for an
// answer, and a report that is lost is no harm.
//
// Example:
//   failure_reports reports(loop, pool, relays, own);
//   reports.serve(rpc, [&](const std::string& endpoint,
//                          const std::string& gateway) { ... });
//   reports.note("endpoint-1");
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "platform/gateway_registry.h"
#include "trayrock/internal/gateway/peer_relays.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

class failure_reports {
 public:
  using report_handler = std::function<void(const std::string& endpoint,
                                            const std::string& gateway)>;

  // All that is passed in by reference outlives the object.
  failure_reports(event_loop& loop, rpc_pool& pool, peer_relays& peers,
                  platform::gateway_entry own);
  failure_reports(const failure_reports&) = delete;
  failure_reports& operator=(const failure_reports&) = delete;

  // Hears of failures by this server.
  void serve(rpc_server& server, report_handler heard);

  // A request of this gateway failed at the endpoint.
  void note(const std::string& endpoint);

 private:
  void send();

  event_loop& loop_;
  rpc_pool& pool_;
  peer_relays& peers_;
  platform::gateway_entry own_;
  std::set<std::string> noted_;
  std::map<std::string, rpc_call> sending_;  // by the peer's address
  timer batch_;
};

}  // namespace trayrock
