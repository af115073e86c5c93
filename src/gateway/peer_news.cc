#include "trayrock/internal/gateway/peer_news.h"

#include <vector>

#include "records.pb.h"
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
// Peers that get a batch. With more gateways each still tells this many, so
// that the work of one event does not grow with the fleet; a configuration is
// passed on by each that has taken it.
constexpr std::size_t most_peers = 24;
// Peers that are told how far the records of endpoints are known, if there is
// nothing else to tell. All gateways learn of a change by their own watches and
// tell each other; one that hears from nobody in a group of seven has a watch
// that is lost, but for 1 time in 700 (reckoned).
constexpr std::size_t peers_told_of_revision = 4;
constexpr milliseconds news_limit{500};
// Peers are read from the platform soon after the start; until then news wait.
constexpr milliseconds no_peers_pause{1000};
constexpr milliseconds fetch_limit{1000};

}  // namespace

peer_news::peer_news(event_loop& loop, rpc_pool& pool, peer_relays& peers,
                     platform::gateway_entry own, news_policy policy)
    : loop_(loop),
      pool_(pool),
      peers_(peers),
      own_(std::move(own)),
      policy_(policy) {}

void peer_news::serve(rpc_server& server, news_handlers handlers) {
  handlers_ = std::move(handlers);
  server.handle_typed<records::GatewayNews>(
      "News", [this](records::GatewayNews& news, const rpc_reply_ptr& reply) {
        reply->finish();
        peers_.add({news.gateway(), news.address(), news.data_centre()});
        for (const std::string& endpoint : news.failed_endpoints()) {
          handlers_.failure(endpoint, news.gateway());
        }
        for (const std::string& endpoint : news.superseded_endpoints()) {
          handlers_.superseded(endpoint, news.gateway());
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

void peer_news::note_failure(const std::string& endpoint) {
  if (policy_.failures && failed_endpoints_.size() < most_endpoints) {
    failed_endpoints_.insert(endpoint);
    send_soon();
  }
}

void peer_news::note_superseded(const std::string& endpoint) {
  if (policy_.superseded && superseded_endpoints_.size() < most_superseded) {
    superseded_endpoints_.insert(endpoint);
    send_soon();
  }
}

void peer_news::note_endpoints(std::uint64_t revision) {
  if (policy_.revisions && revision > endpoints_revision_) {
    endpoints_revision_ = revision;
    send_soon();
  }
}

void peer_news::note_configuration(std::uint64_t version) {
  configuration_ = version;
  send_soon();
}

void peer_news::send_soon() {
  if (!batch_.pending()) {
    batch_ = loop_.after(batch_delay, [this] { send(); });
  }
}

std::size_t peer_news::peers_to_tell() const {
  const bool more = configuration_ != 0 || !failed_endpoints_.empty() ||
                    !superseded_endpoints_.empty();
  return more ? most_peers : peers_told_of_revision;
}

void peer_news::send() {
  const std::vector<std::string> peers = peers_.addresses(peers_to_tell());
  if (peers.empty()) {
    batch_ = loop_.after(no_peers_pause, [this] { send(); });
    return;
  }
  records::GatewayNews news;
  news.set_gateway(own_.name);
  news.set_address(own_.address);
  news.set_data_centre(own_.data_centre);
  news.set_configuration(configuration_);
  news.set_endpoints_revision(endpoints_revision_);
  for (const std::string& endpoint : failed_endpoints_) {
    news.add_failed_endpoints(endpoint);
  }
  for (const std::string& endpoint : superseded_endpoints_) {
    news.add_superseded_endpoints(endpoint);
  }
  failed_endpoints_.clear();
  superseded_endpoints_.clear();
  configuration_ = 0;
  endpoints_revision_ = 0;
  for (const std::string& peer : peers) {
    if (!sending_[peer].running()) {  // a silent peer gets no second batch
      sending_[peer] =
          pool_.start(peer, "News", news, news_limit, nullptr, nullptr);
    }
  }
}

void peer_news::fetch_configuration(const std::string& from) {
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
