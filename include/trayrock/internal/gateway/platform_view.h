// The gateway's view of the platform: the configuration in force, the endpoints
// and the record stores' group.
//
// Updates come from this gateway's own watches or from a gateway that watches
// for others. Reports of endpoints by other gateways arrive here as well.
//
// Example:
//   platform_view view(loop, pool, objects, settings, policy,
//                      {endpoints, records, metrics});
//   view.serve(peers);
//   view.start([] { begin_serving_if_ready(); });
//   if (const auto current = view.configuration()) serve(*current);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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

// What the view updates besides itself.
struct view_targets {
  endpoint_directory& endpoints;
  record_client& records;
  metrics_registry& metrics;
  // Called before an instance that the platform has removed is dropped.
  std::function<void(const endpoint_identity&)> on_removed;
  // Called when another gateway has found another instance at its address.
  std::function<void(const endpoint_identity&)> on_superseded;
  // Called once the other gateways are known.
  std::function<void()> on_peers_listed;
};

class platform_view {
 public:
  // All references must outlive the object.
  platform_view(event_loop& loop, rpc_pool& pool,
                platform::object_store& objects,
                const gateway_settings& settings, const gateway_policy& policy,
                view_targets targets);
  platform_view(const platform_view&) = delete;
  platform_view& operator=(const platform_view&) = delete;

  // Serves other gateways through this server.
  void serve(rpc_server& server);

  // `changed` is called after each update that may make the gateway ready.
  void start(std::function<void()> changed);

  // nullptr: none is known yet.
  const configuration_ptr& configuration() const {
    return configuration_.current();
  }

  // Whether requests that require a key may be served: the configuration is
  // known to be recent enough.
  bool is_configuration_proven() const { return configuration_.is_proven(); }

  // Milliseconds since the last response about the endpoints, from the platform
  // or the gateway that watches it.
  std::uint64_t endpoints_age_ms() const { return endpoints_.silence_ms(); }

  // Until when the list shows that this instance was running, by the time in
  // which the platform removes endpoints that are silent; nothing: it shows
  // nothing.
  std::optional<std::uint64_t> listed_alive_ms(
      const endpoint_identity& at) const;

  // Reports to other gateways that a request failed at the endpoint, or that
  // another instance has its address.
  void report_failure(const endpoint_identity& at) {
    notifier_.report_failure(at);
  }
  void report_superseded(const endpoint_identity& at) {
    notifier_.report_superseded(at);
  }

  peer_relays& relays() { return relays_; }

  // Probes a peer; `on_reply` is called if it replies.
  void probe_peer(std::function<void()> on_reply);

 private:
  void watch_endpoints();
  void follow();

  bool pause_watches();
  void resume_watches();
  bool is_watching() const;
  watch_status status() const;
  watch_position position() const;
  std::error_code apply_reply(const records::WatchReply& reply,
                              std::uint64_t sent_ms);
  void expect_revision(std::uint64_t revision);

  void apply_group(const records::Group& group);
  void on_configuration(const configuration_document& current);
  void apply_evacuations(const evacuation_list& current);
  void apply(const records::EndpointChanges& changes, const reply_times& times);
  std::uint64_t apply_listing(const records::EndpointChanges& changes,
                              const reply_times& times);
  std::uint64_t apply_changes(const records::EndpointChanges& changes,
                              const reply_times& times);
  void apply_report(const records::EndpointNews& report);
  void forward_report(const records::EndpointNews& report);
  bool is_new(const records::EndpointNews& report);

  void withdraw(const records::EndpointChanges& changes);
  void log_restart(const endpoint& listed);
  void share_cold_endpoints();
  void sweep();
  reply_times times_from_platform() const;
  reply_times times_from_peer(const records::EndpointChanges& changes) const;

  event_loop& loop_;
  rpc_pool& pool_;
  platform::object_store& objects_;
  view_targets targets_;
  relay_peer own_;
  platform::group_registry registry_;
  platform::collection_watcher endpoints_;
  platform::gateway_registry gateways_;
  peer_relays relays_;
  configuration_view configuration_;
  evacuation_view evacuations_;
  endpoint_entry_decoder decoder_;
  watch_log log_;
  milliseconds endpoint_heartbeat_;
  std::uint64_t listed_after_loss_ms_ = 0;  // 0: never
  watch_follower follower_;
  watch_server server_;
  peer_notifier notifier_;
  std::function<void()> changed_;
  std::map<std::uint64_t, std::uint64_t> reports_received_ms_;  // by id
  timer sweep_timer_;
  rpc_call probe_call_;
};

}  // namespace trayrock
