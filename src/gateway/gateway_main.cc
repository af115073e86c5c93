// trayrock-gateway: serves clients' requests on the platform's edge boxes.
#include <algorithm>
#include <csignal>

#include "platform/collection_watcher.h"
#include "platform/documents.h"
#include "platform/group_registry.h"
#include "trayrock/internal/gateway/gateway_stages.h"
#include "trayrock/internal/gateway/peer_news.h"
#include "trayrock/internal/gateway/request_flow.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/process.h"
#include "trayrock/internal/settings/service_settings.h"

namespace {

using namespace trayrock;

// Memory for the texts of recent chains. The next turn comes within about a
// second; at 30 turns a second of 10 KB that is 300 KB.
constexpr std::size_t chain_cache_bytes = 3U << 19;
// How long watches of the platform wait. Apart, so that a platform that has
// forgotten them shows by one of them within a few seconds.
constexpr milliseconds configuration_wait{5000};
constexpr milliseconds endpoints_wait{9000};
// Pause between watches of the configuration, which has two seconds to be in
// force.
constexpr milliseconds configuration_pause{100};
// Endpoints register and leave in numbers, and each watch costs a call. This
// share of the time in which a leaving endpoint must be known is spent between
// two watches; the rest is for a slow platform and a busy processor.
constexpr double endpoints_pause_share = 0.35;
constexpr milliseconds longest_endpoints_pause{1000};
constexpr milliseconds sweep_period{250};

platform::gateway_entry entry_of(const service_settings& from) {
  return {from.name, from.rpc_address.text(), from.data_centre};
}

milliseconds endpoints_pause(milliseconds notice) {
  const milliseconds share(static_cast<long>(
      static_cast<double>(notice.count()) * endpoints_pause_share));
  return std::min(share, longest_endpoints_pause);
}

class gateway_process {
 public:
  explicit gateway_process(const gateway_settings& settings)
      : settings_(settings),
        policy_(policy_without(settings.service.trial_without)),
        rpc_(loop_, {}),
        pool_(loop_),
        platform_(loop_, settings.service.platform, metrics_),
        registry_(loop_, platform_, policy_.repeats_listings),
        configurations_(loop_, platform_, platform::kind_configuration,
                        {configuration_wait, configuration_pause,
                         policy_.repeats_listings}),
        endpoints_watch_(
            loop_, platform_, platform::kind_endpoints,
            {endpoints_wait, endpoints_pause(settings.endpoint_notice),
             policy_.repeats_listings}),
        gateways_(platform_),
        relays_(loop_, gateways_, entry_of(settings.service)),
        news_(loop_, rpc_, relays_, entry_of(settings.service), policy_.news),
        peers_(loop_, {}),
        records_(loop_, rpc_, settings.service.data_centre, metrics_),
        endpoints_(policy_.endpoints),
        chains_(policy_.caches_chains ? chain_cache_bytes : 0),
        durations_(policy_.durations),
        parts_{loop_,
               pool_,
               records_,
               endpoints_,
               chains_,
               metrics_,
               durations_,
               late_rules_,
               settings.service.data_centre,
               policy_,
               [this] { return configuration_; },
               [this] { return endpoints_watch_.silence_ms(); },
               [this] { return stages_.time_to_end(); },
               [this] { return stages_.back_after_stopping(); },
               [this](const std::string& id) { news_.note_failure(id); },
               [this](const std::string& id) { news_.note_superseded(id); }},
        clients_(
            loop_, [this] { return limits(); },
            [this](http1_request request, http1_exchange_ptr out) {
              serve_request(parts_, std::move(request), std::move(out));
            }),
        stages_(loop_, clients_, settings.service.stop_limit,
                policy_.return_times),
        readiness_(
            loop_, [] { return http1_limits{}; },
            [this](const http1_request&, const http1_exchange_ptr& out) {
              out->respond(ready() ? 200 : 503, {}, "");
            }),
        figures_(
            loop_, [] { return http1_limits{}; },
            [this](const http1_request&, const http1_exchange_ptr& out) {
              out->respond(200, {}, metrics_.text());
            }) {}

  int run() {
    const bool listening = clients_.listen(settings_.http_listen) &&
                           readiness_.listen(settings_.ready_listen) &&
                           figures_.listen(settings_.service.metrics_listen) &&
                           peers_.listen(settings_.service.rpc_listen);
    if (!listening) {
      log_error("listen_failed", {{"gateway", settings_.service.name}});
      return exit_listen;
    }
    log_info("gateway_started", {{"gateway", settings_.service.name},
                                 {"version", TRAYROCK_VERSION}});
    warn_of_trial(settings_.service);
    observe_connections();
    serve_peers();
    relays_.start();
    stages_.begin([this] { return ready(); });
    watch_platform();
    const timer terminate =
        loop_.on_signal(SIGTERM, [this] { stages_.begin_drain(); });
    const timer reload = loop_.on_signal(SIGHUP, [] {
      log_info("reload", {{"outcome", "no setting can change while running"}});
    });
    const timer sweeping =
        loop_.every(sweep_period, [this] { endpoints_.sweep(loop_.now_ms()); });
    loop_.run();
    log_info("gateway_stopped", {{"gateway", settings_.service.name}});
    return stages_.exit_code();
  }

 private:
  void observe_connections() {
    clients_.on_refusal([this](int status) {
      metrics_.add("unreadable_requests_total",
                   {{"status", std::to_string(status)}});
      log_info("request_unreadable", {{"status", std::to_string(status)}});
    });
    pool_.on_connect([this](std::string_view) {
      metrics_.add("endpoint_connections_total");
    });
  }

  void serve_peers() {
    serve_relays(peers_, rpc_, records_);
    if (policy_.relays) {
      records_.use_relays(relays_.source());
    }
    news_.serve(
        peers_,
        {[this](const std::string& endpoint, const std::string& gateway) {
           take_failure_report(endpoint, gateway);
         },
         [this](const std::string& endpoint, const std::string& gateway) {
           take_superseded_report(endpoint, gateway);
         },
         [this](std::uint64_t revision) { endpoints_watch_.expect(revision); },
         [this](const configuration_document& document) {
           take_peer_configuration(document);
         },
         [this]() -> const configuration_document& { return document_; }});
  }

  http1_limits limits() const {
    http1_limits made;
    if (configuration_ != nullptr) {
      const client_limits& from = configuration_->limits;
      made.max_header_bytes = from.max_header_bytes;
      made.max_body_bytes = from.max_body_bytes;
      made.header_timeout = from.header_timeout;
      made.idle_timeout = from.idle_timeout;
    }
    return made;
  }

  bool ready() const {
    return !stages_.draining() && configuration_ != nullptr &&
           endpoints_.size() > 0 && records_.has_group();
  }

  void serve_if_ready() {
    if (!stages_.serving() && ready()) {
      stages_.begin_serving();
    }
  }

  void watch_platform() {
    registry_.watch_group([this](const records::Group& group) {
      records_.adopt(group);
      serve_if_ready();
    });
    configurations_.on_snapshot(
        [this](const platform::object_listing& found, bool) {
          for (const platform::stored_object& each : found.objects) {
            take_configuration(each);
          }
        });
    configurations_.on_change([this](const platform::object_change& change) {
      if (!change.removed) {
        take_configuration(change.object);
      }
    });
    configurations_.start();
    endpoints_watch_.on_snapshot(
        [this](const platform::object_listing& found, bool after_loss) {
          take_endpoints(found, after_loss);
        });
    endpoints_watch_.on_answer(
        [this](std::span<const platform::object_change> changes) {
          judge_removals(changes);
        });
    endpoints_watch_.on_change([this](const platform::object_change& change) {
      take_endpoint(change);
    });
    endpoints_watch_.start();
  }

  void take_configuration(const platform::stored_object& object) {
    result<configuration> decoded = platform::decode_configuration(object);
    if (!decoded) {
      log_error("configuration_unusable",
                {{"revision", std::to_string(object.revision)},
                 {"cause", decoded.error().message()}});
      return;
    }
    const std::uint64_t held =
        configuration_ == nullptr ? 0 : configuration_->version;
    if (decoded.value().version <= held) {
      return;
    }
    log_info("configuration_adopted",
             {{"version", std::to_string(decoded.value().version)},
              {"before", std::to_string(held)},
              {"revision", std::to_string(object.revision)},
              {"routes", std::to_string(decoded.value().routes.size())}});
    configuration_ =
        std::make_shared<const configuration>(std::move(decoded.value()));
    document_ = {configuration_->version, platform::text_of(object)};
    news_.note_configuration(configuration_->version);
    serve_if_ready();
  }

  // Another gateway has a newer configuration: this one's watch is late.
  void take_peer_configuration(const configuration_document& document) {
    const result<platform::stored_object> object =
        platform::object_of(document.text);
    if (!object) {
      log_error("peer_configuration_unusable",
                {{"version", std::to_string(document.version)},
                 {"cause", object.error().message()}});
      return;
    }
    log_info(
        "configuration_from_peer",
        {{"version", std::to_string(document.version)},
         {"platform_silent_ms", std::to_string(configurations_.silence_ms())}});
    take_configuration(object.value());
  }

  void take_endpoints(const platform::object_listing& found, bool after_loss) {
    std::vector<endpoint> listed;
    for (const platform::stored_object& each : found.objects) {
      result<endpoint> decoded = platform::decode_endpoint(each);
      if (decoded) {
        listed.push_back(std::move(decoded.value()));
      } else {
        log_error("endpoint_unusable", {{"endpoint", each.name}});
      }
    }
    log_info("endpoints_listed", {{"count", std::to_string(listed.size())},
                                  {"revision", std::to_string(found.revision)},
                                  {"after_loss", after_loss ? "yes" : "no"}});
    endpoints_.replace(listed, after_loss, loop_.now_ms());
    serve_if_ready();
  }

  void judge_removals(std::span<const platform::object_change> changes) {
    const auto removed = std::count_if(
        changes.begin(), changes.end(),
        [](const platform::object_change& each) { return each.removed; });
    removals_are_lapses_ =
        endpoints_.lapsed_at_once(static_cast<std::size_t>(removed));
    if (removals_are_lapses_) {
      metrics_.add("endpoint_lapses_total");
      log_warn("endpoints_lapsed",
               {{"removed", std::to_string(removed)},
                {"known", std::to_string(endpoints_.size())}});
    }
  }

  void take_endpoint(const platform::object_change& change) {
    news_.note_endpoints(change.object.revision);
    if (change.removed) {
      log_info("endpoint_removed", {{"endpoint", change.object.name}});
      if (removals_are_lapses_) {
        endpoints_.lapse(change.object.name, loop_.now_ms());
      } else {
        endpoints_.remove(change.object.name);
      }
      return;
    }
    result<endpoint> decoded = platform::decode_endpoint(change.object);
    if (!decoded) {
      log_error("endpoint_unusable", {{"endpoint", change.object.name}});
      return;
    }
    log_info("endpoint_changed",
             {{"endpoint", decoded.value().id},
              {"service", decoded.value().service},
              {"draining", decoded.value().draining ? "yes" : "no"},
              {"revision", std::to_string(decoded.value().revision)}});
    endpoints_.update(decoded.value());
  }

  void take_failure_report(const std::string& endpoint,
                           const std::string& gateway) {
    metrics_.add("endpoint_failures_reported_total");
    if (endpoints_.report_failure(endpoint, gateway, loop_.now_ms())) {
      log_info("endpoint_avoided",
               {{"endpoint", endpoint}, {"by", "report of " + gateway}});
    }
  }

  void take_superseded_report(const std::string& endpoint,
                              const std::string& gateway) {
    metrics_.add("superseded_endpoints_reported_total");
    if (endpoints_.supersede(endpoint)) {
      log_info("endpoint_avoided",
               {{"endpoint", endpoint}, {"by", "report of " + gateway}});
    }
  }

  gateway_settings settings_;
  gateway_policy policy_;
  event_loop loop_;
  metrics_registry metrics_;
  rpc_pool rpc_;
  http1_pool pool_;
  platform::object_store platform_;
  platform::group_registry registry_;
  platform::collection_watcher configurations_;
  platform::collection_watcher endpoints_watch_;
  platform::gateway_registry gateways_;
  peer_relays relays_;
  peer_news news_;
  rpc_server peers_;
  record_client records_;
  endpoint_directory endpoints_;
  chain_cache chains_;
  duration_book durations_;
  std::map<std::string, late_rule, std::less<>> late_rules_;
  configuration_ptr configuration_;
  configuration_document document_;   // that `configuration_` was read from
  bool removals_are_lapses_ = false;  // of the answer that is being taken
  gateway_parts parts_;
  http1_server clients_;
  gateway_stages stages_;
  http1_server readiness_;
  http1_server figures_;
};

}  // namespace

int main(int argc, char** argv) {
  int exit_code = exit_done;
  const auto settings =
      begin_process(argc, argv, "Gateway of trayrock: clients' requests",
                    read_gateway_settings, exit_code);
  return settings ? gateway_process(*settings).run() : exit_code;
}
