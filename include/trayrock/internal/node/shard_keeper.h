// Which shards this node serves: reading, taking over, handing over.
//
// Taking over: seal the journal of a node that is gone, move its shards in
// the map by conditional update, read what the journal and its copy holder
// have, serve. Handing over: write the programs' state at the end of the own
// journal, move the shards in the map, let them go. A shard whose state
// cannot be had yet says "not run, come back".
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/decide/balance.h"
#include "trayrock/internal/decide/copy_buffer.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/node/journal.h"
#include "trayrock/internal/node/owner.h"
#include "trayrock/internal/settings/settings.h"

namespace trayrock {

class journal_loader;

// The platform's key of the shard map.
constexpr std::string_view stored_map_key = "c/shardmap";

class shard_keeper {
 public:
  shard_keeper(event_loop& loop, const node_settings& settings, cluster& shared,
               rpc_server& server, rpc_pool& pool, platform_client& platform,
               metrics_registry& metrics, owner& programs);
  shard_keeper(const shard_keeper&) = delete;
  shard_keeper& operator=(const shard_keeper&) = delete;
  ~shard_keeper();

  // Begins to take part.
  void start();

  // Hands every shard over; done() says when none is left.
  void begin_drain() { draining_ = true; }
  bool drained() const;

  const copy_buffer& copies() const { return copies_; }

 private:
  using map_change = std::function<wire::ShardMap(const wire::ShardMap&)>;
  using map_done = std::function<void(bool)>;

  shard_owner self_as_owner() const;
  void open_journal();
  void journal_sealed();

  // Reads, changes and writes the stored map until it is as wanted.
  void change_map(const map_change& change, const map_done& done);
  void create_map();

  void map_changed();
  void load(const std::set<std::uint32_t>& shards,
            const std::vector<wire::JournalRange>& sources);
  void loaded(const std::string& key, const std::set<std::uint32_t>& shards,
              std::vector<wire::Record> records,
              const std::vector<wire::CopyHolderNamed>& claimed);

  void tick();
  void look_for_owners_gone();
  bool may_take_over(const std::string& node, bool confirmed);
  void take_over(const std::string& journal);
  void seal(const std::string& journal, std::uint64_t number);
  void sealed(const std::string& journal, std::uint64_t number);

  void balance();
  void hand_over(const std::map<std::uint32_t, std::string>& plan);
  void choose_holder();
  void set_commit_interval();
  void compact();
  void drop_unneeded_copies();
  void erase_segments(std::uint64_t first, std::uint64_t end);
  void serve_copies(rpc_server& server);

  event_loop& loop_;
  node_settings settings_;
  cluster& shared_;
  rpc_pool& pool_;
  platform_client& platform_;
  metrics_registry& metrics_;
  owner& owner_;
  copy_buffer copies_;
  std::unique_ptr<journal> journal_;
  std::unique_ptr<journal> old_journal_;
  std::uint64_t journals_opened_ = 0;
  std::map<std::string, std::unique_ptr<journal_loader>> loading_;
  std::set<std::string> taking_over_;
  std::map<std::string, std::uint64_t> gone_since_ms_;
  std::map<std::string, std::uint64_t> takeover_begun_ms_;
  std::set<std::uint32_t> handing_over_;
  bool changing_map_ = false;
  bool draining_ = false;
  bool compacting_ = false;
  std::uint64_t started_ms_ = 0;
  double takeover_allowance_ = 0;
  std::uint64_t last_tick_ms_ = 0;
  std::uint64_t next_balance_ms_ = 0;
  std::uint64_t next_copy_check_ms_ = 0;
  std::uint64_t oldest_segment_ = 0;
  std::uint64_t compacted_at_ = 0;
  timer tick_;
  std::map<std::uint64_t, timer> map_retries_;
  std::map<std::uint64_t, rpc_call> calls_;
  std::uint64_t next_call_ = 0;
};

}  // namespace trayrock
