#include "trayrock/internal/node/shard_keeper.h"

#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/node/journal_loader.h"

namespace trayrock {
namespace {

constexpr milliseconds tick_period{100};
constexpr milliseconds map_retry_pause{150};
constexpr std::uint64_t first_map_wait_ms = 1500;
constexpr std::uint64_t balance_period_ms = 500;
constexpr std::uint64_t copy_check_period_ms = 5000;
constexpr double ms_per_minute = 60000;

std::string key_of(const std::vector<wire::JournalRange>& sources) {
  std::string key;
  for (const wire::JournalRange& each : sources) {
    key += each.journal() + ":" + std::to_string(each.end_segment()) + " ";
  }
  return key;
}

}  // namespace

shard_keeper::shard_keeper(event_loop& loop, const node_settings& settings,
                           cluster& shared, rpc_server& server, rpc_pool& pool,
                           platform_client& platform, metrics_registry& metrics,
                           owner& programs)
    : loop_(loop),
      settings_(settings),
      shared_(shared),
      pool_(pool),
      platform_(platform),
      metrics_(metrics),
      owner_(programs),
      copies_(shared.start_id(), settings.copy_limit_bytes) {
  serve_copies(server);
  shared_.on_map([this] { map_changed(); });
}

shard_keeper::~shard_keeper() = default;

void shard_keeper::start() {
  started_ms_ = loop_.now_ms();
  last_tick_ms_ = started_ms_;
  takeover_allowance_ = static_cast<double>(settings_.takeovers_per_minute);
  open_journal();
  tick_ = loop_.every(tick_period, [this] { tick(); });
}

bool shard_keeper::drained() const {
  return draining_ && owner_.served().empty() && handing_over_.empty() &&
         journal_->holds_no_copies();
}

shard_owner shard_keeper::self_as_owner() const {
  const wire::Peer& self = shared_.members().self();
  return {self.node(), journal_->name(), self.address()};
}

void shard_keeper::open_journal() {
  const journal_name name{shared_.members().self().node(), shared_.start_id(),
                          journals_opened_++};
  journal_options options;
  options.commit_interval_ms = settings_.commit_interval_ms;
  options.copy_after_ms = settings_.copy_after_ms;
  // Its waiters may hold the last references into the old one.
  old_journal_ = std::move(journal_);
  journal_ = std::make_unique<journal>(loop_, platform_, pool_, metrics_,
                                       options, name.text());
  journal_->on_sealed([this] { journal_sealed(); });
  owner_.use_journal(*journal_);
  shared_.set_journal(journal_->name());
  oldest_segment_ = 0;
  compacted_at_ = 0;
}

// A successor took over: nothing is owned any more. Go on under another
// journal, which may be given shards anew.
void shard_keeper::journal_sealed() {
  metrics_.add("journals_sealed_total");
  handing_over_.clear();
  loading_.clear();
  open_journal();
  shared_.refresh_map();
}

// ---- The stored map -------------------------------------------------------

void shard_keeper::change_map(const map_change& change, const map_done& done) {
  platform_.get(std::string(stored_map_key), [this, change,
                                              done](result<stored_object> got) {
    wire::ShardMap stored;
    if (!got || !stored.ParseFromString(got.value().bytes)) {
      done(false);
      return;
    }
    wire::ShardMap wanted = change(stored);
    if (wanted.version() == stored.version()) {
      shared_.adopt_map(stored);
      done(true);
      return;
    }
    wanted.set_writer(shared_.start_id());
    platform_.put(std::string(stored_map_key), wanted.SerializeAsString(),
                  got.value().version,
                  [this, change, done, wanted](result<std::uint64_t> put) {
                    if (put) {
                      shared_.adopt_map(wanted);
                      done(true);
                      return;
                    }
                    // Conflict or lost answer: read what is stored; if the
                    // change is in it, it changes nothing the second time.
                    const std::uint64_t id = ++next_call_;
                    map_retries_[id] =
                        loop_.after(map_retry_pause, [this, change, done, id] {
                          change_map(change, done);
                          loop_.post([this, id] { map_retries_.erase(id); });
                        });
                  });
  });
}

void shard_keeper::create_map() {
  changing_map_ = true;
  platform_.get(std::string(stored_map_key), [this](result<stored_object> got) {
    wire::ShardMap stored;
    if (got && stored.ParseFromString(got.value().bytes)) {
      shared_.adopt_map(stored);
      changing_map_ = false;
      return;
    }
    if (!got && got.error() != errc::not_found) {
      changing_map_ = false;
      return;
    }
    const wire::ShardMap first = make_initial_map(
        static_cast<std::uint32_t>(settings_.shards), self_as_owner());
    platform_.put(std::string(stored_map_key), first.SerializeAsString(), 0,
                  [this, first](result<std::uint64_t> put) {
                    changing_map_ = false;
                    if (put) {
                      shared_.adopt_map(first);
                    }
                  });
  });
}

// ---- Reading shards -------------------------------------------------------

void shard_keeper::map_changed() {
  std::set<std::uint32_t> lost(owner_.served());
  std::map<std::string, std::set<std::uint32_t>> groups;
  std::map<std::string, std::vector<wire::JournalRange>> sources;
  for (const std::uint32_t shard : shared_.map().owned_by(journal_->name())) {
    lost.erase(shard);
    if (owner_.serves(shard)) {
      continue;
    }
    const wire::ShardEntry& entry = *shared_.map().find(shard);
    std::vector<wire::JournalRange> read(entry.sources().begin(),
                                         entry.sources().end());
    const std::string key = key_of(read);
    groups[key].insert(shard);
    sources[key] = std::move(read);
  }
  if (!lost.empty()) {
    for (const std::uint32_t shard : lost) {
      handing_over_.erase(shard);
    }
    owner_.release_shards(lost);
  }
  for (const auto& [key, shards] : groups) {
    if (!loading_.contains(key)) {
      load(shards, sources[key]);
    }
  }
}

void shard_keeper::load(const std::set<std::uint32_t>& shards,
                        const std::vector<wire::JournalRange>& sources) {
  if (sources.empty()) {
    owner_.serve_shards(shards, {});
    return;
  }
  const std::string key = key_of(sources);
  loading_[key] = std::make_unique<journal_loader>(
      loop_, shared_, pool_, platform_, metrics_, journal_->name(), sources,
      [this, key, shards](std::vector<wire::Record> records,
                          const std::vector<wire::CopyHolderNamed>& claimed) {
        loaded(key, shards, std::move(records), claimed);
      });
}

void shard_keeper::loaded(const std::string& key,
                          const std::set<std::uint32_t>& shards,
                          std::vector<wire::Record> records,
                          const std::vector<wire::CopyHolderNamed>& claimed) {
  loop_.post(
      [held = std::shared_ptr<journal_loader>(std::move(loading_[key]))] {});
  loading_.erase(key);
  std::erase_if(records, [&](const wire::Record& each) {
    return !shards.contains(each.shard());
  });
  std::set<std::string> sources;
  for (const std::uint32_t shard : shards) {
    const wire::ShardEntry* entry = shared_.map().find(shard);
    if (entry == nullptr || entry->journal() != journal_->name()) {
      return;
    }
    for (const wire::JournalRange& each : entry->sources()) {
      sources.insert(each.journal());
    }
  }
  owner_.serve_shards(shards, records);
  for (const std::string& source : sources) {
    const auto begun = takeover_begun_ms_.find(source);
    if (begun != takeover_begun_ms_.end()) {
      metrics_.observe("takeover_ms", {{"part", "all"}},
                       static_cast<double>(loop_.now_ms() - begun->second));
      log_info("takeover_done",
               {{"journal", source},
                {"ms", std::to_string(loop_.now_ms() - begun->second)},
                {"records", std::to_string(records.size())}});
      takeover_begun_ms_.erase(begun);
    }
  }
  for (wire::Record& each : owner_.snapshots(shards)) {
    journal_->append(std::move(each));
  }
  map_changed();
  // Only when the state is in this node's own journal may the sources go.
  journal_->when_stored([this, shards, claimed, sources] {
    change_map(
        [this, shards](const wire::ShardMap& stored) {
          return remove_read_sources(stored, journal_->name(), shards);
        },
        [](bool) {});
    for (const wire::CopyHolderNamed& holder : claimed) {
      for (const std::string& source : sources) {
        wire::CopyRelease release;
        release.set_journal(source);
        const std::uint64_t id = ++next_call_;
        calls_[id] = pool_.ask<wire::CopyReleased>(
            holder.address(), "CopyRelease", release, milliseconds(2000),
            [this, id](const result<wire::CopyReleased>&) {
              loop_.post([this, id] { calls_.erase(id); });
            });
      }
    }
  });
}

void shard_keeper::tick() {
  const std::uint64_t now = loop_.now_ms();
  takeover_allowance_ =
      std::min(static_cast<double>(settings_.takeovers_per_minute),
               takeover_allowance_ +
                   static_cast<double>(now - last_tick_ms_) *
                       static_cast<double>(settings_.takeovers_per_minute) /
                       ms_per_minute);
  last_tick_ms_ = now;
  if (shared_.map().version() == 0) {
    if (!changing_map_ && now - started_ms_ > first_map_wait_ms &&
        shared_.members().is_config_watcher()) {
      create_map();
    }
    return;
  }
  set_commit_interval();
  choose_holder();
  look_for_owners_gone();
  if (now >= next_balance_ms_) {
    next_balance_ms_ = now + balance_period_ms;
    balance();
    compact();
  }
  if (now >= next_copy_check_ms_) {
    next_copy_check_ms_ = now + copy_check_period_ms;
    drop_unneeded_copies();
  }
  metrics_.set("shards_served", {},
               static_cast<double>(owner_.served().size()));
  metrics_.set("copies_held_bytes", {}, static_cast<double>(copies_.bytes()));
  metrics_.set("journal_waiting_bytes", {},
               static_cast<double>(journal_->writer().pending_bytes()));
}

void shard_keeper::serve_copies(rpc_server& server) {
  server.handle_typed<wire::CopyAppend>(
      "CopyAppend",
      [this](wire::CopyAppend& message, const rpc_reply_ptr& reply) {
        reply->send(copies_.append(message));
        reply->finish();
      });
  server.handle_typed<wire::CopyClaim>(
      "CopyClaim",
      [this](wire::CopyClaim& message, const rpc_reply_ptr& reply) {
        log_info("copies_claimed", {{"journal", message.journal()},
                                    {"successor", message.successor()}});
        reply->send(copies_.claim(message));
        reply->finish();
      });
  server.handle_typed<wire::CopyRelease>(
      "CopyRelease",
      [this](wire::CopyRelease& message, const rpc_reply_ptr& reply) {
        copies_.release(message.journal());
        reply->send(wire::CopyReleased());
        reply->finish();
      });
  server.handle_typed<wire::HandOverTail>(
      "HandOverTail",
      [this](wire::HandOverTail& message, const rpc_reply_ptr& reply) {
        wire::CopyTail tail;
        if (journal_ != nullptr && journal_->name() == message.journal()) {
          for (wire::Record& each : journal_->stop()) {
            *tail.add_records() = std::move(each);
          }
          loop_.post([this] { journal_sealed(); });
        } else if (journal_name::parse(message.journal()).start !=
                   shared_.start_id()) {
          tail.set_other_start(true);
        } else if (old_journal_ != nullptr &&
                   old_journal_->name() == message.journal()) {
          for (wire::Record& each : old_journal_->stop()) {
            *tail.add_records() = std::move(each);
          }
        }
        reply->send(tail);
        reply->finish();
      });
}

}  // namespace trayrock
