#include "trayrock/internal/cluster/cluster.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <set>

#include "config_watcher.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr std::size_t entries_a_message = 4;
constexpr int random_peers_on_news = 3;
constexpr milliseconds fetch_timeout{2000};
constexpr milliseconds spread_timeout{1500};

wire::Peer make_self(const process_settings& settings, process_kind kind,
                     const std::string& start) {
  wire::Peer self;
  self.set_node(settings.name);
  self.set_start(start);
  self.set_address(settings.rpc_listen.text());
  self.set_place(settings.place);
  self.set_entry(kind == process_kind::entry);
  return self;
}

}  // namespace

std::string make_start_id() {
  constexpr std::size_t random_length = 8;
  const std::string random =
      boost::uuids::to_string(boost::uuids::random_generator()());
  return padded(wall_clock_ms()) + "-" + random.substr(0, random_length);
}

cluster::cluster(event_loop& loop, const process_settings& settings,
                 rpc_server& server, rpc_pool& pool, platform_client& platform,
                 metrics_registry& metrics, process_kind kind)
    : loop_(loop),
      settings_(settings),
      server_(server),
      pool_(pool),
      platform_(platform),
      metrics_(metrics),
      start_id_(make_start_id()),
      members_(make_self(settings, kind, start_id_)),
      random_(std::random_device{}()) {
  if (kind == process_kind::node) {
    watcher_ = std::make_unique<config_watcher>(*this);
  }
}

cluster::~cluster() = default;

void cluster::start() {
  started_ms_ = loop_.now_ms();
  serve();
  beat_ = loop_.every(milliseconds(settings_.spread_period_ms),
                      [this] { exchange(); });
  exchange();
}

void cluster::on_config(std::function<void()> callback) {
  config_callbacks_.push_back(std::move(callback));
}

void cluster::on_map(std::function<void()> callback) {
  map_callbacks_.push_back(std::move(callback));
}

void cluster::on_gone(std::function<void(const wire::Peer&)> callback) {
  gone_callback_ = std::move(callback);
}

void cluster::serve() {
  server_.handle_typed<wire::Spread>(
      "Spread", [this](wire::Spread& news, const rpc_reply_ptr& reply) {
        reply->send(make_spread(news.brief()));
        reply->finish();
        hear(news, news.self().address());
      });
  server_.handle_typed<wire::FetchRequest>(
      "FetchConfig",
      [this](wire::FetchRequest& request, const rpc_reply_ptr& reply) {
        reply->send(config_.delta(request.since()));
        reply->finish();
      });
  server_.handle_typed<wire::FetchRequest>(
      "FetchMap",
      [this](wire::FetchRequest& request, const rpc_reply_ptr& reply) {
        reply->send(map_.delta(request.since()));
        reply->finish();
      });
}

void cluster::stamp_versions() {
  members_.self().set_config_generation(config_.generation());
  members_.self().set_map_version(map_.version());
}

// A brief one carries the versions and this process alone: watchers send it
// often, and news of others travels with the random exchange.
wire::Spread cluster::make_spread(bool brief) {
  stamp_versions();
  wire::Spread made;
  *made.mutable_self() = members_.self();
  made.set_brief(brief);
  if (brief) {
    made.mutable_self()->clear_loads();
    return made;
  }
  for (wire::Peer& each : members_.next_updates(entries_a_message)) {
    each.clear_loads();
    *made.add_peers() = std::move(each);
  }
  return made;
}

void cluster::exchange() {
  members_.self().set_beat(members_.self().beat() + 1);
  const std::uint64_t now = loop_.now_ms();
  for (const wire::Peer& each :
       members_.detect_failures(now, settings_.suspect_after_ms)) {
    log_warn("node_judged_gone",
             {{"node", each.node()}, {"start", each.start()}});
    if (gone_callback_) {
      gone_callback_(each);
    }
  }
  for (const std::string& node : members_.watched_nodes()) {
    send_spread(members_.find(node)->peer.address(), true);
  }
  send_spread(random_peer(), false);
  share_platform_rate();
  metrics_.set("members", {},
               static_cast<double>(members_.live_peers().size() + 1));
  metrics_.set("config_generation", {},
               static_cast<double>(config_.generation()));
  metrics_.set("map_version", {}, static_cast<double>(map_.version()));
}

// Half of the deployment's rate is shared by all processes, the other half
// by the watchers, who read for everybody. A process that knows nobody yet
// begins low, so that many that start at once stay within the rate.
void cluster::share_platform_rate() {
  constexpr double least_rate = 2;
  constexpr std::uint64_t alone_after_ms = 5000;
  const bool may_be_alone =
      settings_.seeds.empty() || loop_.now_ms() > started_ms_ + alone_after_ms;
  if (members_.live_peers().empty() && !may_be_alone) {
    return;
  }
  const double half =
      static_cast<double>(settings_.platform_calls_per_second) / 2;
  std::set<std::string> places{members_.self().place()};
  for (const peer_state* each : members_.live_peers()) {
    places.insert(each->peer.place());
  }
  const auto known = static_cast<double>(members_.live_peers().size() + 1);
  const auto watchers = static_cast<double>(2 * places.size());
  const double extra = members_.is_config_watcher() ? half / watchers : 0;
  platform_.set_rate(std::max(least_rate, half / known) + extra);
}

std::string cluster::random_peer() {
  const std::vector<const peer_state*> others = members_.live_peers();
  // Seeds stay in the draw, so that halves of a cut find each other again.
  constexpr std::uint64_t seed_chance = 10;
  const bool seed = others.empty() || random_() % seed_chance == 0;
  if (seed && !settings_.seeds.empty()) {
    return settings_.seeds[random_() % settings_.seeds.size()];
  }
  return others.empty() ? std::string()
                        : others[random_() % others.size()]->peer.address();
}

void cluster::send_spread(const std::string& address, bool brief) {
  if (address.empty() || address == settings_.rpc_listen.text() ||
      spreads_[address].running()) {
    return;
  }
  spreads_[address] = pool_.ask<wire::Spread>(
      address, "Spread", make_spread(brief), spread_timeout,
      [this, address](const result<wire::Spread>& news) {
        if (news) {
          hear(news.value(), address);
        }
      });
}

void cluster::spread_news() {
  for (int i = 0; i < random_peers_on_news; ++i) {
    send_spread(random_peer(), false);
  }
}

void cluster::hear(const wire::Spread& news, const std::string& address) {
  const std::uint64_t now = loop_.now_ms();
  bool notable = members_.apply_update(news.self(), now);
  for (const wire::Peer& each : news.peers()) {
    notable = members_.apply_update(each, now) || notable;
  }
  if (news.self().config_generation() > config_.generation()) {
    fetch_config(address);
  }
  if (news.self().map_version() > map_.version()) {
    fetch_map(address);
  }
  if (notable) {
    log_debug("members_changed", {{"from", news.self().node()}});
  }
}

void cluster::fetch_config(const std::string& address) {
  rpc_call& call = fetches_["config " + address];
  if (call.running()) {
    return;
  }
  wire::FetchRequest request;
  request.set_since(config_.generation());
  call = pool_.ask<wire::ConfigDelta>(
      address, "FetchConfig", request, fetch_timeout,
      [this](const result<wire::ConfigDelta>& delta) {
        if (delta) {
          adopt_config(delta.value());
        }
      });
}

void cluster::fetch_map(const std::string& address) {
  rpc_call& call = fetches_["map " + address];
  if (call.running()) {
    return;
  }
  wire::FetchRequest request;
  request.set_since(map_.version());
  call = pool_.ask<wire::ShardMap>(address, "FetchMap", request, fetch_timeout,
                                   [this](const result<wire::ShardMap>& map) {
                                     if (map) {
                                       adopt_map(map.value());
                                     }
                                   });
}

bool cluster::adopt_config(const wire::ConfigDelta& delta) {
  if (!config_.adopt(delta)) {
    return false;
  }
  log_info("generation_in_force",
           {{"generation", std::to_string(config_.generation())}});
  for (const auto& callback : config_callbacks_) {
    callback();
  }
  spread_news();
  return true;
}

void cluster::adopt_map(const wire::ShardMap& newer) {
  if (!map_.adopt(newer)) {
    return;
  }
  log_info("map_adopted", {{"version", std::to_string(map_.version())}});
  for (const auto& callback : map_callbacks_) {
    callback();
  }
  spread_news();
}

void cluster::refresh_map() {
  const std::string peer = random_peer();
  if (!peer.empty()) {
    fetch_map(peer);
  }
}

void cluster::set_leaving() {
  members_.self().set_leaving(true);
  members_.self().set_beat(members_.self().beat() + 1);
  spread_news();
}

void cluster::set_loads(std::vector<wire::RunnerLoad> loads) {
  members_.self().clear_loads();
  for (wire::RunnerLoad& each : loads) {
    *members_.self().add_loads() = std::move(each);
  }
}

void cluster::set_journal(const std::string& journal) {
  members_.self().set_journal(journal);
}

bool cluster::box_gone(std::string_view node) const {
  const auto found = config_.current().boxes.find(node);
  return found != config_.current().boxes.end() && found->second.gone;
}

bool cluster::node_leaving(std::string_view node) const {
  const auto found = config_.current().boxes.find(node);
  if (found != config_.current().boxes.end() &&
      (found->second.leaving || found->second.gone)) {
    return true;
  }
  if (node == members_.self().node()) {
    return leaving();
  }
  const peer_state* member = members_.find(node);
  return member != nullptr && (member->peer.leaving() || member->peer.gone());
}

std::string cluster::status_json(std::string_view program) const {
  nlohmann::json members = nlohmann::json::array();
  for (const peer_state* each : members_.live_peers()) {
    members.push_back({{"node", each->peer.node()},
                       {"start", each->peer.start()},
                       {"leaving", each->peer.leaving()},
                       {"entry", each->peer.entry()},
                       {"generation", each->peer.config_generation()},
                       {"map_version", each->peer.map_version()}});
  }
  std::map<std::string, int> owned;
  for (const auto& [shard, entry] : map_.entries()) {
    ++owned[entry.node()];
  }
  const wire::ShardEntry* entry =
      program.empty() ? nullptr : map_.find(shard_of(program, map_.shards()));
  return nlohmann::json{{"owner", entry == nullptr ? "" : entry->node()},
                        {"node", members_.self().node()},
                        {"start", start_id_},
                        {"generation", config_.generation()},
                        {"map_version", map_.version()},
                        {"shards", map_.shards()},
                        {"owned", owned},
                        {"members", members}}
      .dump();
}

}  // namespace trayrock
