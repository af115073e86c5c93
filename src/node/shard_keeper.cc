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
constexpr std::uint64_t segments_a_compaction = 512;
constexpr std::uint64_t ms_per_second = 1000;
constexpr std::string_view stored_map_key = "c/shardmap";

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
    const wire::ShardMap first = first_map(
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
          return with_sources_read(stored, journal_->name(), shards);
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

// ---- Taking over ----------------------------------------------------------

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
               static_cast<double>(journal_->writer().waiting_bytes()));
}

void shard_keeper::look_for_owners_gone() {
  const std::uint64_t now = loop_.now_ms();
  const wire::Peer& self = shared_.members().self();
  std::set<std::string> gone;
  for (const auto& [shard, entry] : shared_.map().entries()) {
    const std::string& held_by = entry.journal();
    if (held_by == journal_->name() || gone.contains(held_by) ||
        taking_over_.contains(held_by)) {
      continue;
    }
    const journal_name name = journal_name::parse(held_by);
    const member_view* member = shared_.members().find(name.node);
    const bool own_past = name.node == self.node();
    const bool restarted =
        member != nullptr && member->peer.start() > name.start;
    const bool judged_gone = member == nullptr || member->peer.gone();
    const bool box_gone = shared_.box_gone(name.node);
    if (!own_past && !restarted && !judged_gone && !box_gone) {
      gone_since_ms_.erase(held_by);
      continue;
    }
    gone.insert(held_by);
    const std::uint64_t since =
        gone_since_ms_.try_emplace(held_by, now).first->second;
    const auto rank = shared_.members().watch_rank(name.node);
    // The node's own next start comes first, then its watchers in turn; a
    // node that was never heard of gets time to be heard.
    const std::uint64_t suspect = settings_.process.suspect_after_ms;
    std::uint64_t patience = 0;
    if (!own_past) {
      patience = rank.value_or(4) * suspect;
      patience += restarted ? suspect : 0;
      patience += member == nullptr ? 2 * suspect : 0;
    }
    const bool mine = own_past || rank.has_value();
    if (mine && now - since >= patience &&
        may_take_over(name.node, own_past || restarted || box_gone)) {
      take_over(held_by);
    }
  }
}

// A cut must not make everyone seal everyone: without confirmation the rate
// is bounded, and a node that sees less than half of the others waits.
bool shard_keeper::may_take_over(const std::string& node, bool confirmed) {
  if (confirmed) {
    return true;
  }
  std::set<std::string> owners;
  for (const auto& [shard, entry] : shared_.map().entries()) {
    owners.insert(entry.node());
  }
  const std::size_t seen = static_cast<std::size_t>(
      std::count_if(owners.begin(), owners.end(), [this](const auto& each) {
        const member_view* member = shared_.members().find(each);
        return each == shared_.members().self().node() ||
               (member != nullptr && !member->peer.gone());
      }));
  if (2 * seen < owners.size() || takeover_allowance_ < 1) {
    metrics_.add("takeovers_held_back_total");
    return false;
  }
  takeover_allowance_ -= 1;
  log_info("takeover_unconfirmed", {{"node", node}});
  return true;
}

void shard_keeper::take_over(const std::string& journal) {
  taking_over_.insert(journal);
  takeover_begun_ms_[journal] = loop_.now_ms();
  metrics_.add("takeovers_total");
  log_info("takeover_begun", {{"journal", journal}});
  platform_.list(segment_prefix(journal), [this, journal](result<listing> got) {
    if (!got) {
      taking_over_.erase(journal);
      return;
    }
    std::uint64_t next = 0;
    for (const listed_object& each : got.value().items) {
      const std::uint64_t number =
          std::stoull(each.key.substr(each.key.rfind('/') + 1));
      next = std::max(next, number + 1);
    }
    // The last one may be a seal by another successor: look at it first.
    seal(journal, next == 0 ? 0 : next - 1);
  });
}

void shard_keeper::seal(const std::string& journal, std::uint64_t number) {
  platform_.get(segment_key(journal, number),
                [this, journal, number](const result<stored_object>& got) {
                  wire::Segment found;
                  if (got && found.ParseFromString(got.value().bytes)) {
                    if (found.has_seal()) {
                      sealed(journal, number);
                    } else {
                      seal(journal, number + 1);
                    }
                    return;
                  }
                  if (!got && got.error() != errc::not_found) {
                    taking_over_.erase(journal);
                    return;
                  }
                  wire::Segment made;
                  made.set_writer(journal_->name());
                  made.set_number(number);
                  made.mutable_seal()->set_by(journal_->name());
                  platform_.put(
                      segment_key(journal, number), made.SerializeAsString(), 0,
                      [this, journal, number](result<std::uint64_t> put) {
                        if (put) {
                          sealed(journal, number);
                        } else if (put.error() == errc::version_conflict) {
                          seal(journal, number);
                        } else {
                          taking_over_.erase(journal);
                        }
                      });
                });
}

void shard_keeper::sealed(const std::string& journal, std::uint64_t number) {
  metrics_.observe(
      "takeover_ms", {{"part", "seal"}},
      static_cast<double>(loop_.now_ms() - takeover_begun_ms_[journal]));
  change_map(
      [this, journal, number](const wire::ShardMap& stored) {
        return with_sealed_moved(stored, journal, number, self_as_owner());
      },
      [this, journal](bool) { taking_over_.erase(journal); });
}

// ---- Handing over ---------------------------------------------------------

void shard_keeper::balance() {
  if (!handing_over_.empty() || !loading_.empty()) {
    return;
  }
  owned_counts owned;
  for (const std::string& node : shared_.members().live_nodes()) {
    const bool self = node == shared_.members().self().node();
    if (!shared_.node_leaving(node) && !(self && draining_)) {
      owned[node] = 0;
    }
  }
  for (const auto& [shard, entry] : shared_.map().entries()) {
    const auto found = owned.find(entry.node());
    if (found != owned.end()) {
      ++found->second;
    }
  }
  hand_over(plan_balance(shared_.members().self().node(), owner_.served(),
                         std::move(owned), shared_.map().shards()));
}

void shard_keeper::hand_over(const std::map<std::uint32_t, std::string>& plan) {
  shard_receivers receivers;
  std::set<std::uint32_t> shards;
  for (const auto& [shard, node] : plan) {
    const member_view* member = shared_.members().find(node);
    if (member != nullptr && !member->peer.journal().empty()) {
      receivers[shard] = {node, member->peer.journal(), member->peer.address()};
      shards.insert(shard);
    }
  }
  if (shards.empty()) {
    return;
  }
  log_info("hand_over", {{"shards", std::to_string(shards.size())}});
  metrics_.add("handovers_total");
  handing_over_ = shards;
  owner_.pause_shards(shards);
  const std::uint64_t first = journal_->writer().segments();
  for (wire::Record& each : owner_.snapshots(shards)) {
    journal_->append(std::move(each));
  }
  journal_->when_stored([this, shards, receivers, first] {
    const std::string from = journal_->name();
    const std::uint64_t end = journal_->writer().segments();
    change_map(
        [from, receivers, first, end](const wire::ShardMap& stored) {
          return with_handed_over(stored, from, receivers, {first, end});
        },
        [this, shards, receivers](bool changed) {
          if (changed) {
            for (const auto& [shard, to] : receivers) {
              shared_.tell(to.address);
            }
            return;
          }
          // The platform did not answer: serve them again.
          handing_over_.clear();
          owner_.resume_shards(shards);
        });
  });
}

// ---- Journal upkeep -------------------------------------------------------

// All nodes together keep to the rate; docs/CAPACITY.md has the reckoning.
void shard_keeper::set_commit_interval() {
  const std::uint64_t nodes = shared_.members().live_nodes().size();
  const std::uint64_t fair =
      nodes * ms_per_second / settings_.journal_writes_per_second;
  journal_->set_commit_interval(std::max(settings_.commit_interval_ms, fair));
}

// The copy holder: one node, in another place where there is one.
void shard_keeper::choose_holder() {
  const auto& named = journal_->writer().holder();
  if (draining_ && owner_.served().empty()) {
    if (named.has_value()) {
      journal_->drop_holder();
    }
    return;
  }
  if (named.has_value()) {
    const member_view* member = shared_.members().find(named->node());
    const bool fine = member != nullptr && !member->peer.gone() &&
                      member->peer.start() == named->start() &&
                      !shared_.node_leaving(named->node()) &&
                      !journal_->holder_failing();
    if (fine) {
      return;
    }
    metrics_.add("copy_holders_dropped_total");
    journal_->drop_holder();
  }
  const wire::Peer* best = nullptr;
  std::uint64_t best_score = 0;
  for (const member_view* each : shared_.members().others()) {
    const wire::Peer& peer = each->peer;
    if (peer.entry() || shared_.node_leaving(peer.node())) {
      continue;
    }
    const bool elsewhere = peer.place() != shared_.members().self().place();
    constexpr std::uint64_t elsewhere_first = 1ULL << 62;
    const std::string pair = journal_->name() + peer.start();
    const std::uint64_t score = (elsewhere ? elsewhere_first : 0) +
                                (std::hash<std::string>()(pair) >> 2);
    if (best == nullptr || score > best_score) {
      best = &peer;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return;
  }
  wire::CopyHolderNamed holder;
  holder.set_node(best->node());
  holder.set_start(best->start());
  holder.set_address(best->address());
  journal_->name_holder(holder);
}

// Copies of journals whose owner is gone and that the stored map does not
// name: nobody will claim or release them.
void shard_keeper::drop_unneeded_copies() {
  std::vector<std::string> orphaned;
  for (const std::string& each : copies_.journal_names()) {
    const journal_name name = journal_name::parse(each);
    const member_view* member = shared_.members().find(name.node);
    const bool gone = member == nullptr || member->peer.gone() ||
                      member->peer.start() != name.start ||
                      member->peer.journal() != each;
    if (gone && name.node != shared_.members().self().node()) {
      orphaned.push_back(each);
    }
  }
  if (orphaned.empty()) {
    return;
  }
  // The map that is known here may be behind: ask for the stored one.
  platform_.get(std::string(stored_map_key),
                [this, orphaned](const result<stored_object>& got) {
                  wire::ShardMap stored;
                  if (!got || !stored.ParseFromString(got.value().bytes)) {
                    return;
                  }
                  const std::set<std::string> used = journals_in_use(stored);
                  for (const std::string& each : orphaned) {
                    if (!used.contains(each)) {
                      copies_.release(each);
                      metrics_.add("copies_dropped_total");
                    }
                  }
                });
}

// Writes the live state anew and erases what is older, now and then, so that
// a successor has little to read and the platform little to keep.
void shard_keeper::compact() {
  const std::uint64_t now_at = journal_->writer().segments();
  if (compacting_ || now_at < compacted_at_ + segments_a_compaction ||
      !handing_over_.empty() || !loading_.empty()) {
    return;
  }
  for (const auto& [shard, entry] : shared_.map().entries()) {
    for (const wire::JournalRange& source : entry.sources()) {
      if (source.journal() == journal_->name() ||
          entry.journal() == journal_->name()) {
        return;
      }
    }
  }
  compacting_ = true;
  metrics_.add("compactions_total");
  if (journal_->writer().holder().has_value()) {
    journal_->name_holder(wire::CopyHolderNamed(*journal_->writer().holder()));
  }
  for (wire::Record& each : owner_.snapshots(owner_.served())) {
    journal_->append(std::move(each));
  }
  journal_->when_stored([this, now_at, log = journal_->name()] {
    compacting_ = false;
    if (log != journal_->name()) {
      return;
    }
    compacted_at_ = journal_->writer().segments();
    erase_segments(oldest_segment_, now_at);
  });
}

// Oldest first: what is left always begins with a program's opening or its
// snapshot.
void shard_keeper::erase_segments(std::uint64_t first, std::uint64_t end) {
  if (first >= end) {
    return;
  }
  const std::string log = journal_->name();
  platform_.erase(segment_key(log, first),
                  [this, first, end, log](const result<bool>& erased) {
                    if (!erased || log != journal_->name()) {
                      return;
                    }
                    oldest_segment_ = first + 1;
                    erase_segments(first + 1, end);
                  });
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
