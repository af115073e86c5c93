// What the platform says, kept up to date in a gateway: the configuration in
// force, the endpoints, and the record stores' group.
//
// It comes from this gateway's own watches, or from a gateway that watches for
// others; what other gateways tell of endpoints goes the same ways.
//
// Example:
//   platform_view view(loop, pool, objects, settings, policy,
//                      {endpoints, records, metrics});
//   view.serve(peers);
//   view.start([] { begin_serving_if_ready(); });
//   if (const configuration_ptr held = view.configuration()) serve(*held);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "platform/collection_watcher.h"
#include "platform/gateway_registry.h"
#include "platform/group_registry.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/gateway/configuration_view.h"
#include "trayrock/internal/gateway/endpoint_directory.h"
#include "trayrock/internal/gateway/endpoint_entry_decoder.h"
#include "trayrock/internal/gateway/evacuation_view.h"
#include "trayrock/internal/gateway/gateway_policy.h"
#include "trayrock/internal/gateway/peer_notifier.h"
#include "trayrock/internal/gateway/peer_relays.h"
#include "trayrock/internal/gateway/watch_follower.h"
#include "trayrock/internal/gateway/watch_log.h"
#include "trayrock/internal/gateway/watch_server.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/records/record_client.h"
#include "trayrock/internal/settings/service_settings.h"

namespace trayrock {

// What the view keeps up to date beside itself.
struct view_parts {
  endpoint_directory& endpoints;
  record_client& records;
  metrics_registry& metrics;
};

class platform_view {
 public:
  // All that is passed in by reference outlives the object.
  platform_view(event_loop& loop, rpc_pool& pool,
                platform::object_store& objects,
                const gateway_settings& settings, const gateway_policy& policy,
                view_parts parts);
  platform_view(const platform_view&) = delete;
  platform_view& operator=(const platform_view&) = delete;

  // Answers other gateways by this server.
  void serve(rpc_server& server);

  // `changed` is told of each change by which the gateway may get ready.
  void start(std::function<void()> changed);

  // nullptr: none is known yet.
  const configuration_ptr& configuration() const {
    return configuration_.held();
  }

  // Whether requests that need a key may be served: the configuration was the
  // newest one a short time ago.
  bool is_configuration_proven() const { return configuration_.is_proven(); }

  // Milliseconds since the platform, or who watches it, last answered about
  // the endpoints.
  std::uint64_t endpoints_age_ms() const { return endpoints_.silence_ms(); }

  // A request of this gateway failed at the endpoint, or found another
  // instance at its address.
  void report_failure(const endpoint_identity& at) { news_.report_failure(at); }
  void report_superseded(const endpoint_identity& at) {
    news_.report_superseded(at);
  }

  peer_relays& relays() { return relays_; }

  // Asks a peer for nothing but an answer, which tells `heard`.
  void probe_peer(std::function<void()> heard);

 private:
  void watch_endpoints();
  void follow();

  bool hold();
  void release();
  bool watching() const;
  watch_position position() const;
  std::error_code take_told(const records::WatchReply& told,
                            std::uint64_t asked_ms);
  void expect(std::uint64_t revision);

  void take_group(const records::Group& group);
  void adopted(const configuration_document& held);
  void take_evacuations(const evacuation_list& held);
  void apply(const records::EndpointChanges& said, const reply_times& times);
  std::uint64_t apply_listing(const records::EndpointChanges& said,
                              const reply_times& times);
  std::uint64_t apply_changes(const records::EndpointChanges& said,
                              const reply_times& times);
  void take_news(const records::EndpointNews& news);
  void pass_on(const records::EndpointNews& news);
  bool is_new(const records::EndpointNews& news);

  void withdraw(const records::EndpointChanges& said);
  void note_start(const endpoint& listed);
  void share_cold_endpoints();
  void sweep();
  reply_times answered_now() const;
  reply_times told_now(const records::EndpointChanges& told) const;

  event_loop& loop_;
  rpc_pool& pool_;
  platform::object_store& objects_;
  view_parts parts_;
  relay_peer own_;
  platform::group_registry registry_;
  platform::collection_watcher endpoints_;
  platform::gateway_registry gateways_;
  peer_relays relays_;
  configuration_view configuration_;
  evacuation_view evacuations_;
  endpoint_entry_decoder entries_;
  watch_log log_;
  watch_follower follower_;
  watch_server server_;
  peer_notifier news_;
  std::function<void()> changed_;
  std::map<std::uint64_t, std::uint64_t> news_seen_ms_;  // when, by id
  timer sweeping_;
  rpc_call asking_sign_;
};

}  // namespace trayrock
