#include "trayrock/internal/gateway/peer_notifier.h"

#include <random>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// News wait this long for others to be sent with them.
constexpr milliseconds batch_delay{120};
// Failing endpoints that one batch names at the most.
constexpr std::size_t most_endpoints = 32;
// Superseded ones: all endpoints of a service may start anew at once, 84 on
// the largest site.
constexpr std::size_t most_superseded = 128;
constexpr milliseconds news_limit{500};
// Peers are read from the platform soon after the start; until then news wait.
constexpr milliseconds no_peers_pause{1000};
constexpr milliseconds fetch_limit{1000};

bool too_long(const records::GatewayNews& news) {
  return static_cast<std::size_t>(news.failed_size()) > most_endpoints ||
         static_cast<std::size_t>(news.superseded_size()) > most_superseded;
}

records::EndpointNews endpoint_news_of(const records::GatewayNews& news) {
  records::EndpointNews made;
  made.set_gateway(news.gateway());
  made.set_id(news.id());
  *made.mutable_failed() = news.failed();
  *made.mutable_superseded() = news.superseded();
  return made;
}

std::uint64_t drawn_id() {
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

void peer_notifier::serve(rpc_server& server, news_handlers handlers) {
  handlers_ = std::move(handlers);
  server.handle_typed<records::GatewayNews>(
      "News", [this](records::GatewayNews& news, const rpc_reply_ptr& reply) {
        reply->finish();
        if (too_long(news)) {
          log_warn("news_refused",
                   {{"gateway", news.gateway()},
                    {"error",
                     std::to_string(static_cast<int>(errc::wire_too_large))}});
          return;
        }
        handlers_.sender({news.gateway(), news.address(), news.data_centre()});
        if (news.failed_size() + news.superseded_size() > 0) {
          handlers_.endpoint_news(endpoint_news_of(news));
        }
        if (news.endpoints_revision() != 0) {
          handlers_.endpoints(news.endpoints_revision());
        }
        if (news.configuration() > handlers_.held().version) {
          fetch_configuration(news.address());
        }
      });
  server.handle_typed<records::ConfigurationRequest>(
      "Configuration",
      [this](records::ConfigurationRequest&, const rpc_reply_ptr& reply) {
        records::ConfigurationReply answer;
        answer.set_version(handlers_.held().version);
        answer.set_document(handlers_.held().text);
        reply->send(answer);
        reply->finish();
      });
}

void peer_notifier::report_failure(const endpoint_identity& endpoint) {
  if (policy_.failures && failed_endpoints_.size() < most_endpoints) {
    failed_endpoints_.insert(endpoint);
    send_soon();
  }
}

void peer_notifier::report_superseded(const endpoint_identity& endpoint) {
  if (policy_.superseded && superseded_endpoints_.size() < most_superseded) {
    superseded_endpoints_.insert(endpoint);
    send_soon();
  }
}

void peer_notifier::note_endpoints(std::uint64_t revision) {
  if (policy_.revisions && revision > endpoints_revision_) {
    endpoints_revision_ = revision;
    send_soon();
  }
}

void peer_notifier::note_configuration(std::uint64_t version) {
  configuration_ = version;
  send_soon();
}

void peer_notifier::send_soon() {
  if (!batch_.pending()) {
    batch_ = loop_.after(batch_delay, [this] { send(); });
  }
}

records::GatewayNews peer_notifier::batch() {
  records::GatewayNews news;
  news.set_gateway(own_.name);
  news.set_address(own_.address);
  news.set_data_centre(own_.data_centre);
  news.set_id(drawn_id());
  news.set_configuration(configuration_);
  news.set_endpoints_revision(endpoints_revision_);
  for (const endpoint_identity& each : failed_endpoints_) {
    *news.add_failed() = encode(each);
  }
  for (const endpoint_identity& each : superseded_endpoints_) {
    *news.add_superseded() = encode(each);
  }
  failed_endpoints_.clear();
  superseded_endpoints_.clear();
  configuration_ = 0;
  endpoints_revision_ = 0;
  return news;
}

void peer_notifier::send() {
  const std::vector<std::string> peers = receivers_();
  if (peers.empty()) {
    batch_ = loop_.after(no_peers_pause, [this] { send(); });
    return;
  }
  const records::GatewayNews news = batch();
  if (news.failed_size() + news.superseded_size() > 0) {
    handlers_.sent(endpoint_news_of(news));
  }
  for (const std::string& peer : peers) {
    if (!sending_[peer].running()) {  // a silent peer gets no second batch
      sending_[peer] =
          pool_.start(peer, "News", news, news_limit, nullptr, nullptr);
    }
  }
}

void peer_notifier::fetch_configuration(const std::string& from) {
  if (fetching_.running()) {
    return;
  }
  fetching_ = pool_.ask<records::ConfigurationReply>(
      from, "Configuration", records::ConfigurationRequest(), fetch_limit,
      [this, from](const result<records::ConfigurationReply>& answer) {
        if (!answer) {
          log_info("peer_configuration_unknown",
                   {{"peer", from}, {"cause", answer.error().message()}});
          return;
        }
        if (answer.value().version() > handlers_.held().version) {
          handlers_.configuration(
              {answer.value().version(), answer.value().document()});
        }
      });
}

}  // namespace trayrock
