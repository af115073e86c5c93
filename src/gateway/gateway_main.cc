// trayrock-gateway: serves client requests on the platform's edge boxes.
#include <algorithm>
#include <csignal>

#include "trayrock/internal/gateway/buffer_limiter.h"
#include "trayrock/internal/gateway/gateway_lifecycle.h"
#include "trayrock/internal/gateway/platform_view.h"
#include "trayrock/internal/gateway/poison_guard.h"
#include "trayrock/internal/gateway/request_flow.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/net/loop_delay_reporter.h"
#include "trayrock/internal/process.h"
#include "trayrock/internal/settings/service_settings.h"

namespace {

using namespace trayrock;

// Bounds the texts of recent chains; enough for several seconds of turns.
constexpr std::size_t chain_cache_bytes = 3U << 19;

std::uint64_t reconnect_ms(const gateway_settings& settings) {
  return static_cast<std::uint64_t>(settings.reconnect_limit.count());
}

directory_policy directory_policy_of(const gateway_settings& settings,
                                     const gateway_policy& policy) {
  directory_policy made = policy.endpoints;
  made.reconnect_ms = reconnect_ms(settings);
  return made;
}

// No value: buffers have no bound.
std::optional<buffer_limits> buffer_limits_of(const gateway_settings& settings,
                                              const gateway_policy& policy) {
  if (!settings.memory_limit || !policy.bounds_buffers) {
    return std::nullopt;
  }
  return buffer_limits::of_memory(*settings.memory_limit);
}

class gateway_process {
 public:
  explicit gateway_process(const gateway_settings& settings)
      : settings_(settings),
        policy_(policy_without(settings.service.trial_without)),
        rpc_(loop_, {}),
        pool_(loop_),
        platform_(loop_, settings.service.platform, metrics_,
                  probe_schedule_within(reconnect_ms(settings))),
        peer_server_(loop_, {}),
        records_(loop_, rpc_, settings.service.data_centre, metrics_),
        permits_(loop_, rpc_, records_, metrics_, settings.service.data_centre),
        endpoints_(directory_policy_of(settings, policy_)),
        chains_(policy_.caches_chains ? chain_cache_bytes : 0),
        durations_(policy_.durations),
        buffers_(loop_, metrics_, buffer_limits_of(settings, policy_),
                 [this](std::uint64_t connection) {
                   client_server_.drop(connection);
                 }),
        view_(loop_, rpc_, platform_, settings, policy_,
              {endpoints_, records_, metrics_,
               [this](const endpoint_identity& at) {
                 poison_.check_endpoint(at);
               },
               [this](const endpoint_identity& at) {
                 poison_.instance_ended(at);
               },
               [this] { poison_.fetch_ended_tries(); }}),
        poison_(
            loop_, rpc_, metrics_,
            {settings.service.name, settings.service.data_centre,
             [this] { return view_.relays().peers(); },
             [this](const endpoint_identity& at) { return address_of(at); },
             [this](const endpoint_identity& at, std::string_view address) {
               return endpoints_.is_replaced(at, address);
             },
             [this](const endpoint_identity& at) {
               return view_.listed_alive_ms(at);
             },
             [this]() -> const records::Group& { return records_.group(); }}),
        context_{
            loop_,
            pool_,
            records_,
            permits_,
            endpoints_,
            chains_,
            metrics_,
            durations_,
            slow_detectors_,
            programs_,
            placements_,
            buffers_,
            poison_,
            on_shutdown_,
            settings.service.data_centre,
            policy_,
            [this] { return view_.configuration(); },
            [this] { return view_.is_configuration_proven(); },
            [this] { return view_.endpoints_age_ms(); },
            [this] { return lifecycle_.time_to_shutdown(); },
            [this] { return lifecycle_.retry_after_draining(); },
            [this] { return isolated_for(); },
            [this](const endpoint_identity& at) { view_.report_failure(at); },
            [this](const endpoint_identity& at) {
              view_.report_superseded(at);
            }},
        client_server_(
            loop_, [this] { return limits(); },
            [this](http1_request request, http1_exchange_ptr out) {
              serve_request(context_, std::move(request), std::move(out));
            }),
        lifecycle_(loop_, client_server_, settings.service.stop_limit,
                   policy_.retry_after, on_shutdown_),
        readiness_server_(
            loop_, [] { return http1_limits{}; },
            [this](const http1_request&, const http1_exchange_ptr& out) {
              out->respond(ready() ? 200 : 503, {}, "");
            }),
        metrics_server_(
            loop_, [] { return http1_limits{}; },
            [this](const http1_request&, const http1_exchange_ptr& out) {
              buffers_.report();
              out->respond(200, {}, metrics_.text());
            }) {}

  int run() {
    const bool listening =
        client_server_.listen(settings_.http_listen) &&
        readiness_server_.listen(settings_.ready_listen) &&
        metrics_server_.listen(settings_.service.metrics_listen) &&
        peer_server_.listen(settings_.service.rpc_listen);
    if (!listening) {
      log_error("listen_failed", {{"gateway", settings_.service.name}});
      return exit_listen;
    }
    log_info("gateway_started", {{"gateway", settings_.service.name},
                                 {"version", TRAYROCK_VERSION}});
    warn_of_trial(settings_.service);
    const loop_delay_reporter delay_reporter(loop_, metrics_);
    observe_connections();
    serve_peers();
    lifecycle_.begin([this] { return ready(); });
    view_.start([this] { serve_if_ready(); });
    const timer terminate =
        loop_.on_signal(SIGTERM, [this] { lifecycle_.begin_drain(); });
    const timer reload = loop_.on_signal(SIGHUP, [] {
      log_info("reload", {{"outcome", "no setting can change while running"}});
    });
    const timer contact =
        loop_.every(milliseconds(isolation_detector::tick_period_ms),
                    [this] { update_isolation(); });
    loop_.run();
    log_info("gateway_stopped", {{"gateway", settings_.service.name}});
    return lifecycle_.exit_code();
  }

 private:
  void observe_connections() {
    client_server_.on_refusal([this](int status) {
      metrics_.add("unreadable_requests_total",
                   {{"status", std::to_string(status)}});
      log_info("request_unreadable", {{"status", std::to_string(status)}});
    });
    if (buffers_.enabled()) {
      client_server_.on_buffered(
          [this](std::uint64_t connection,
                 const std::optional<http1_buffered>& held) {
            buffers_.update(connection, held);
          });
    }
    pool_.on_connect([this](std::string_view) {
      metrics_.add("endpoint_connections_total");
    });
  }

  void serve_peers() {
    serve_relays(peer_server_, rpc_, records_);
    if (policy_.relays) {
      records_.use_relays(view_.relays().source());
      permits_.use_relays(view_.relays().source());
    }
    view_.serve(peer_server_);
    poison_.serve(peer_server_);
  }

  http1_limits limits() const {
    http1_limits made;
    if (view_.configuration() != nullptr) {
      const client_limits& from = view_.configuration()->limits;
      made.max_header_bytes = from.max_header_bytes;
      made.max_body_bytes = from.max_body_bytes;
      made.header_timeout = from.header_timeout;
      made.idle_timeout = from.idle_timeout;
    }
    return made;
  }

  bool ready() {
    return !lifecycle_.draining() && view_.configuration() != nullptr &&
           endpoints_.size() > 0 && records_.has_group() &&
           !records_.isolation().is_isolated();
  }

  // Of a listed instance; empty: none.
  std::string address_of(const endpoint_identity& at) const {
    const endpoint* const known = endpoints_.find(at.id);
    return known == nullptr || known->identity != at ? std::string()
                                                     : known->address;
  }

  milliseconds isolated_for() {
    const std::uint64_t since = records_.isolation().isolated_since_ms();
    return milliseconds(since == 0 ? 0 : loop_.now_ms() - since);
  }

  // Checks whether this gateway is isolated from all peers. If so, it
  // closes keep-alive connections, so that clients move to another gateway, and
  // polls its peers, since no request would notice the end of the isolation.
  void update_isolation() {
    isolation_detector& contact = records_.isolation();
    contact.tick(loop_.now_ms());
    if (contact.is_isolated() != was_isolated_) {
      was_isolated_ = contact.is_isolated();
      metrics_.set("cut_off", {}, was_isolated_ ? 1 : 0);
      log_warn(was_isolated_ ? "cut_off" : "cut_off_over",
               {{"ready", ready() ? "yes" : "no"}});
      client_server_.close_after_answers(was_isolated_ ||
                                         lifecycle_.draining());
    }
    if (was_isolated_) {
      view_.probe_peer([this] { records_.isolation().on_reply(); });
    }
  }

  void serve_if_ready() {
    if (!lifecycle_.serving() && ready()) {
      lifecycle_.begin_serving();
    }
  }

  gateway_settings settings_;
  gateway_policy policy_;
  event_loop loop_;
  shutdown_observers on_shutdown_;
  metrics_registry metrics_;
  rpc_pool rpc_;
  http1_pool pool_;
  platform::object_store platform_;
  rpc_server peer_server_;
  record_client records_;
  permit_client permits_;
  endpoint_directory endpoints_;
  chain_cache chains_;
  duration_estimator durations_;
  std::map<std::string, slow_endpoint_detector, std::less<>> slow_detectors_;
  recent_programs programs_;
  recent_placements placements_;
  buffer_limiter buffers_;
  platform_view view_;
  poison_guard poison_;
  gateway_context context_;
  http1_server client_server_;
  gateway_lifecycle lifecycle_;
  http1_server readiness_server_;
  http1_server metrics_server_;
  bool was_isolated_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  int exit_code = exit_done;
  const auto settings =
      begin_process(argc, argv, "Gateway of trayrock: clients' requests",
                    read_gateway_settings, exit_code);
  return settings ? gateway_process(*settings).run() : exit_code;
}
