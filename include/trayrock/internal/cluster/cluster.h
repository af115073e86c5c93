// State that all processes share: members, configuration, shard map.
//
// Every spread period, a process exchanges its own entry and a few others with
// a random peer, and with the processes that it watches. Messages carry
// versions; an outdated process fetches the difference from the sender and
// forwards it. Two nodes of each data centre watch the platform; a process that
// starts in an outage gets the state from peers.
//
// Example:
//   cluster shared(loop, settings, server, pool, platform, metrics, kind);
//   shared.on_map([&] { ... });
//   shared.start();
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "trayrock/internal/decide/declarations.h"
#include "trayrock/internal/decide/membership.h"
#include "trayrock/internal/decide/shard_map.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http_server.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/platform/platform_client.h"
#include "trayrock/internal/settings/settings.h"

namespace trayrock {

enum class process_kind { entry, node };

class cluster {
 public:
  cluster(event_loop& loop, const process_settings& settings,
          rpc_server& server, rpc_pool& pool, platform_client& platform,
          metrics_registry& metrics, process_kind kind);
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;
  ~cluster();

  // Starts the exchange with peers.
  void start();

  // Called after each change.
  void on_config(std::function<void()> callback);
  void on_map(std::function<void()> callback);
  // Called when this process judges another one gone.
  void on_gone(std::function<void(const wire::Peer&)> callback);

  const configuration& config() const { return config_.current(); }
  const shard_map_store& map() const { return map_; }
  const membership& members() const { return members_; }
  membership& members() { return members_; }

  // This process's start: the time it was made, then a random part.
  const std::string& start_id() const { return start_id_; }

  // Takes a map that this process has just stored or read.
  void adopt_map(const wire::ShardMap& newer);

  // Asks any peer for a map newer than the held one.
  void refresh_map();

  // Exchanges versions with one process at once.
  void tell(const std::string& address) { send_spread(address, true); }

  // What the process says of itself.
  void set_leaving();
  bool leaving() const { return members_.self().leaving(); }
  void set_loads(std::vector<wire::RunnerLoad> loads);
  void set_journal(const std::string& journal);

  // True when the box list says that the box is gone.
  bool box_gone(std::string_view node) const;

  // True when the box list, the configuration or the process itself says
  // that the node is leaving.
  bool node_leaving(std::string_view node) const;

  // Members, versions and generation as JSON, for /status; with a program's
  // id, its owner as well.
  std::string status_json(std::string_view program) const;

 private:
  class config_watcher;

  void exchange();
  void send_spread(const std::string& address, bool brief);
  wire::Spread make_spread(bool brief);
  void hear(const wire::Spread& news, const std::string& address);
  void fetch_config(const std::string& address);
  void fetch_map(const std::string& address);
  bool adopt_config(const wire::ConfigDelta& delta);
  void spread_news();
  std::string random_peer();
  void serve();
  void stamp_versions();
  void share_platform_rate();

  event_loop& loop_;
  process_settings settings_;
  rpc_server& server_;
  rpc_pool& pool_;
  platform_client& platform_;
  metrics_registry& metrics_;
  std::string start_id_;
  membership members_;
  config_store config_;
  shard_map_store map_;
  std::mt19937_64 random_;
  std::uint64_t started_ms_ = 0;
  std::vector<std::function<void()>> config_callbacks_;
  std::vector<std::function<void()>> map_callbacks_;
  std::function<void(const wire::Peer&)> gone_callback_;
  std::map<std::string, rpc_call> spreads_;
  std::map<std::string, rpc_call> fetches_;
  std::unique_ptr<config_watcher> watcher_;
  timer beat_;
};

// A name for one start or journal: milliseconds since 1970, then random.
std::string make_start_id();

}  // namespace trayrock
