// What gateways tell each other: endpoints that failed requests, endpoints at
// whose addresses other instances sit, how far they know the platform's records
// of endpoints, and the configuration that is in force.
//
// With many gateways each sees too few requests of one endpoint to notice soon
// that it fails; together they notice within some tenths of a second. News are
// sent in batches to the gateways that watch the platform for others
// (watch_server.h), which pass news of endpoints on to all that ask them;
// nobody waits for an answer. Lost news of a failure are no harm; the
// configuration also comes by each gateway's own watch, or from who watches for
// it.
//
// Example:
//   peer_notifier news(loop, pool, receivers, own, peer_notifier_policy());
//   news.serve(rpc, {heard_of, on_endpoints_news, on_endpoints,
//                    on_configuration, held_document, sent});
//   news.report_failure("endpoint-1");
//   news.report_superseded("endpoint-2");
//   news.note_configuration(7);
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

struct news_handlers {
  // A gateway that has told something.
  std::function<void(const relay_peer&)> sender;
  // Endpoints that another gateway found failing or superseded.
  std::function<void(const records::EndpointNews&)> endpoint_news;
  // Another gateway knows a change of the endpoints' records of this revision.
  std::function<void(std::uint64_t revision)> endpoints;
  // Another gateway has sent its configuration, newer than the held one.
  std::function<void(const configuration_document&)> configuration;
  // The configuration that this gateway holds.
  std::function<const configuration_document&()> held;
  // This gateway's own news of endpoints, as it sends them.
  std::function<void(const records::EndpointNews&)> sent;
};

class peer_notifier {
 public:
  // All that is passed in by reference outlives the object.
  // `receivers` gives the addresses of the gateways that are told.
  peer_notifier(event_loop& loop, rpc_pool& pool,
                std::function<std::vector<std::string>()> receivers,
                platform::gateway_entry own, peer_notifier_policy policy);
  peer_notifier(const peer_notifier&) = delete;
  peer_notifier& operator=(const peer_notifier&) = delete;

  // Hears of news by this server, and hands out the held configuration.
  void serve(rpc_server& server, news_handlers handlers);

  // A request of this gateway failed at the endpoint.
  void report_failure(const endpoint_identity& endpoint);

  // This gateway has met another instance at the endpoint's address.
  void report_superseded(const endpoint_identity& endpoint);

  // This gateway knows the endpoints' records up to this change.
  void note_endpoints(std::uint64_t revision);

  // This gateway has a new configuration.
  void note_configuration(std::uint64_t version);

 private:
  void send_soon();
  void send();
  records::GatewayNews batch();
  void fetch_configuration(const std::string& from);

  event_loop& loop_;
  rpc_pool& pool_;
  std::function<std::vector<std::string>()> receivers_;
  platform::gateway_entry own_;
  peer_notifier_policy policy_;
  news_handlers handlers_;
  std::set<endpoint_identity> failed_endpoints_;      // since the last batch
  std::set<endpoint_identity> superseded_endpoints_;  // likewise
  std::uint64_t configuration_ = 0;          // to be told with the next batch
  std::uint64_t endpoints_revision_ = 0;     // likewise
  std::map<std::string, rpc_call> sending_;  // by the peer's address
  rpc_call fetching_;
  timer batch_;
};

}  // namespace trayrock
