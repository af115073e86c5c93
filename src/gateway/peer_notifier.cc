#include "trayrock/internal/gateway/peer_notifier.h"

#include <random>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Gathers notifications into one message.
constexpr milliseconds batch_delay{120};
// Endpoints in one batch. All endpoints of a service may be superseded at once.
constexpr std::size_t max_failed = 32;
constexpr std::size_t max_superseded = 128;
constexpr milliseconds send_timeout{500};
// No peers are known until they have been read from the platform.
constexpr milliseconds no_peers_retry_delay{1000};
constexpr milliseconds fetch_timeout{1000};

bool is_too_large(const records::GatewayNews& notification) {
  return static_cast<std::size_t>(notification.failed_size()) > max_failed ||
         static_cast<std::size_t>(notification.superseded_size()) >
             max_superseded;
}

records::EndpointNews report_from(const records::GatewayNews& notification) {
  records::EndpointNews made;
  made.set_gateway(notification.gateway());
  made.set_id(notification.id());
  *made.mutable_failed() = notification.failed();
  *made.mutable_superseded() = notification.superseded();
  return made;
}

std::uint64_t random_id() {
  static std::mt19937_64 source{std::random_device()()};
  return source();
}

}  // namespace

peer_notifier::peer_notifier(
    event_loop& loop, rpc_pool& pool,
    std::function<std::vector<std::string>()> receivers,
    platform::gateway_entry own, peer_notifier_policy policy)
    : loop_(loop),
      pool_(pool),
      receivers_(std::move(receivers)),
      own_(std::move(own)),
      policy_(policy) {}

void peer_notifier::serve(rpc_server& server, notification_handlers handlers) {
  handlers_ = std::move(handlers);
  server.handle_typed<records::GatewayNews>(
      "News",
      [this](records::GatewayNews& notification, const rpc_reply_ptr& reply) {
        reply->finish();
        if (is_too_large(notification)) {
          log_warn("news_refused",
                   {{"gateway", notification.gateway()},
                    {"error",
                     std::to_string(static_cast<int>(errc::wire_too_large))}});
          return;
        }
        handlers_.on_sender({notification.gateway(), notification.address(),
                             notification.data_centre()});
        if (notification.failed_size() + notification.superseded_size() > 0) {
          handlers_.on_report(report_from(notification));
        }
        if (notification.endpoints_revision() != 0) {
          handlers_.on_endpoints_revision(notification.endpoints_revision());
        }
        if (notification.configuration() >
            handlers_.current_configuration().version) {
          fetch_configuration(notification.address());
        }
      });
  server.handle_typed<records::ConfigurationRequest>(
      "Configuration",
      [this](records::ConfigurationRequest&, const rpc_reply_ptr& reply) {
        records::ConfigurationReply message;
        message.set_version(handlers_.current_configuration().version);
        message.set_document(handlers_.current_configuration().text);
        reply->send(message);
        reply->finish();
      });
}

void peer_notifier::report_failure(const endpoint_identity& endpoint) {
  if (policy_.failures && failed_endpoints_.size() < max_failed) {
    failed_endpoints_.insert(endpoint);
    schedule_send();
  }
}

void peer_notifier::report_superseded(const endpoint_identity& endpoint) {
  if (policy_.superseded && superseded_endpoints_.size() < max_superseded) {
    superseded_endpoints_.insert(endpoint);
    schedule_send();
  }
}

void peer_notifier::announce_endpoints_revision(std::uint64_t revision) {
  if (policy_.revisions && revision > endpoints_revision_) {
    endpoints_revision_ = revision;
    schedule_send();
  }
}

void peer_notifier::announce_configuration(std::uint64_t version) {
  configuration_ = version;
  schedule_send();
}

void peer_notifier::schedule_send() {
  if (!batch_timer_.pending()) {
    batch_timer_ = loop_.after(batch_delay, [this] { send(); });
  }
}

records::GatewayNews peer_notifier::take_batch() {
  records::GatewayNews notification;
  notification.set_gateway(own_.name);
  notification.set_address(own_.address);
  notification.set_data_centre(own_.data_centre);
  notification.set_id(random_id());
  notification.set_configuration(configuration_);
  notification.set_endpoints_revision(endpoints_revision_);
  for (const endpoint_identity& each : failed_endpoints_) {
    *notification.add_failed() = encode(each);
  }
  for (const endpoint_identity& each : superseded_endpoints_) {
    *notification.add_superseded() = encode(each);
  }
  failed_endpoints_.clear();
  superseded_endpoints_.clear();
  configuration_ = 0;
  endpoints_revision_ = 0;
  return notification;
}

void peer_notifier::send() {
  const std::vector<std::string> peers = receivers_();
  if (peers.empty()) {
    batch_timer_ = loop_.after(no_peers_retry_delay, [this] { send(); });
    return;
  }
  const records::GatewayNews notification = take_batch();
  if (notification.failed_size() + notification.superseded_size() > 0) {
    handlers_.on_sent(report_from(notification));
  }
  for (const std::string& peer : peers) {
    if (!calls_[peer].running()) {  // skips peers with a call in progress
      calls_[peer] = pool_.start(peer, "News", notification, send_timeout,
                                 nullptr, nullptr);
    }
  }
}

void peer_notifier::fetch_configuration(const std::string& from) {
  if (fetch_call_.running()) {
    return;
  }
  fetch_call_ = pool_.ask<records::ConfigurationReply>(
      from, "Configuration", records::ConfigurationRequest(), fetch_timeout,
      [this, from](const result<records::ConfigurationReply>& reply) {
        if (!reply) {
          log_info("peer_configuration_unknown",
                   {{"peer", from}, {"cause", reply.error().message()}});
          return;
        }
        if (reply.value().version() >
            handlers_.current_configuration().version) {
          handlers_.on_configuration(
              {reply.value().version(), reply.value().document()});
        }
      });
}

}  // namespace trayrock
