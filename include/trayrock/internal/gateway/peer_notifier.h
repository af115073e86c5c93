// Notifications between gateways: endpoints that failed requests or were
// replaced by another instance, the revision of the endpoints' records, and the
// version of the configuration in force.
//
// A single gateway may send too few requests to an endpoint to detect quickly
// that it fails. Notifications are sent in batches, without waiting for a
// reply, to the gateways that watch the platform for others (watch_server.h),
// which pass reports of endpoints on to all that poll them. Lost notifications
// do no harm: the configuration also arrives by each gateway's own watch or by
// the gateway that watches for it.
//
// Example:
//   peer_notifier notifier(loop, pool, receivers, own, peer_notifier_policy());
//   notifier.serve(rpc, handlers);
//   notifier.report_failure(endpoint);
//   notifier.report_superseded(endpoint);
//   notifier.announce_configuration(7);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/gateway_registry.h"
#include "records.pb.h"
#include "trayrock/internal/decide/endpoint_identity.h"
#include "trayrock/internal/decide/relay_selector.h"
#include "trayrock/internal/gateway/gateway_policy.h"
#include "trayrock/internal/gateway/watch_log.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

struct notification_handlers {
  // Receives the sender of each notification.
  std::function<void(const relay_peer&)> on_sender;
  // Another gateway has found endpoints failing or superseded.
  std::function<void(const records::EndpointNews&)> on_report;
  // Another gateway has the endpoints' records of this revision.
  std::function<void(std::uint64_t revision)> on_endpoints_revision;
  // Another gateway has sent a configuration newer than the current one.
  std::function<void(const configuration_document&)> on_configuration;
  // Returns this gateway's configuration.
  std::function<const configuration_document&()> current_configuration;
  // This gateway has sent a report.
  std::function<void(const records::EndpointNews&)> on_sent;
};

class peer_notifier {
 public:
  // All references must outlive the object. `receivers` returns the addresses
  // of the gateways to notify.
  peer_notifier(event_loop& loop, rpc_pool& pool,
                std::function<std::vector<std::string>()> receivers,
                platform::gateway_entry own, peer_notifier_policy policy);
  peer_notifier(const peer_notifier&) = delete;
  peer_notifier& operator=(const peer_notifier&) = delete;

  // Receives notifications through this server, which also serves requests for
  // the current configuration.
  void serve(rpc_server& server, notification_handlers handlers);

  // A request of this gateway failed at the endpoint.
  void report_failure(const endpoint_identity& endpoint);

  // This gateway has found another instance at the endpoint's address.
  void report_superseded(const endpoint_identity& endpoint);

  // This gateway has the endpoints' records up to this revision.
  void announce_endpoints_revision(std::uint64_t revision);

  // This gateway has a new configuration.
  void announce_configuration(std::uint64_t version);

 private:
  void schedule_send();
  void send();
  records::GatewayNews take_batch();
  void fetch_configuration(const std::string& from);

  event_loop& loop_;
  rpc_pool& pool_;
  std::function<std::vector<std::string>()> receivers_;
  platform::gateway_entry own_;
  peer_notifier_policy policy_;
  notification_handlers handlers_;
  std::set<endpoint_identity> failed_endpoints_;      // since the last batch
  std::set<endpoint_identity> superseded_endpoints_;  // likewise
  std::uint64_t configuration_ = 0;        // to be sent with the next batch
  std::uint64_t endpoints_revision_ = 0;   // likewise
  std::map<std::string, rpc_call> calls_;  // by the peer's address
  rpc_call fetch_call_;
  timer batch_timer_;
};

}  // namespace trayrock
