// Upkeep of the own journal: commit interval, copy holder, what is old.
#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/node/shard_keeper.h"

namespace trayrock {
namespace {

constexpr std::uint64_t segments_a_compaction = 512;
constexpr std::uint64_t ms_per_second = 1000;

}  // namespace

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
    const peer_state* member = shared_.members().find(named->node());
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
  for (const peer_state* each : shared_.members().live_peers()) {
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
  journal_->set_holder(holder);
}

// Copies of journals whose owner is gone and that the stored map does not
// name: nobody will claim or release them.
void shard_keeper::drop_unneeded_copies() {
  std::vector<std::string> orphaned;
  for (const std::string& each : copies_.journal_names()) {
    const journal_name name = journal_name::parse(each);
    const peer_state* member = shared_.members().find(name.node);
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
    journal_->set_holder(wire::CopyHolderNamed(*journal_->writer().holder()));
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

}  // namespace trayrock
