#include "trayrock/internal/decide/shard_map.h"

#include <xxhash.h>

namespace trayrock {
namespace {

void set_owner(wire::ShardEntry& entry, const shard_owner& to,
               std::uint64_t version) {
  entry.set_term(entry.term() + 1);
  entry.set_node(to.node);
  entry.set_journal(to.journal);
  entry.set_address(to.address);
  entry.set_changed_in(version);
}

void add_source(wire::ShardEntry& entry, const std::string& journal,
                segment_range where, bool sealed) {
  wire::JournalRange* source = entry.add_sources();
  source->set_journal(journal);
  source->set_first_segment(where.first);
  source->set_end_segment(where.end);
  source->set_sealed(sealed);
}

// Raises the version if any entry was stamped with the next one.
wire::ShardMap finish(wire::ShardMap changed, bool any) {
  if (any) {
    changed.set_version(changed.version() + 1);
  }
  return changed;
}

}  // namespace

std::string_view root_of(std::string_view program) {
  return program.substr(0, program.find('.'));
}

std::uint32_t shard_of(std::string_view program, std::uint32_t shards) {
  const std::string_view root = root_of(program);
  return shards == 0 ? 0 : XXH64(root.data(), root.size(), 0) % shards;
}

const wire::ShardEntry* shard_map_store::find(std::uint32_t shard) const {
  const auto found = entries_.find(shard);
  return found == entries_.end() ? nullptr : &found->second;
}

wire::ShardMap shard_map_store::delta(std::uint64_t since) const {
  wire::ShardMap made;
  made.set_version(version_);
  made.set_shards(shards_);
  for (const auto& [shard, entry] : entries_) {
    if (entry.changed_in() > since) {
      *made.add_entries() = entry;
    }
  }
  return made;
}

bool shard_map_store::adopt(const wire::ShardMap& newer) {
  if (newer.version() <= version_) {
    return false;
  }
  version_ = newer.version();
  shards_ = newer.shards();
  for (const wire::ShardEntry& each : newer.entries()) {
    wire::ShardEntry& held = entries_[each.shard()];
    if (each.changed_in() >= held.changed_in()) {
      held = each;
    }
  }
  return true;
}

std::vector<std::uint32_t> shard_map_store::owned_by(
    std::string_view journal) const {
  std::vector<std::uint32_t> owned;
  for (const auto& [shard, entry] : entries_) {
    if (entry.journal() == journal) {
      owned.push_back(shard);
    }
  }
  return owned;
}

wire::ShardMap make_initial_map(std::uint32_t shards,
                                const shard_owner& owner) {
  wire::ShardMap made;
  made.set_shards(shards);
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    wire::ShardEntry* entry = made.add_entries();
    entry->set_shard(shard);
    set_owner(*entry, owner, 1);
  }
  return finish(std::move(made), true);
}

wire::ShardMap reassign_sealed_shards(const wire::ShardMap& stored,
                                      const std::string& sealed_journal,
                                      std::uint64_t end_segment,
                                      const shard_owner& to) {
  wire::ShardMap changed = stored;
  bool any = false;
  for (wire::ShardEntry& entry : *changed.mutable_entries()) {
    if (entry.journal() != sealed_journal) {
      continue;
    }
    add_source(entry, sealed_journal, {0, end_segment}, true);
    set_owner(entry, to, stored.version() + 1);
    any = true;
  }
  return finish(std::move(changed), any);
}

wire::ShardMap hand_over_shards(const wire::ShardMap& stored,
                                const std::string& from_journal,
                                const shard_receivers& receivers,
                                segment_range where) {
  wire::ShardMap changed = stored;
  bool any = false;
  for (wire::ShardEntry& entry : *changed.mutable_entries()) {
    const auto receiver = receivers.find(entry.shard());
    if (receiver == receivers.end() || entry.journal() != from_journal) {
      continue;
    }
    entry.clear_sources();
    add_source(entry, from_journal, where, false);
    set_owner(entry, receiver->second, stored.version() + 1);
    any = true;
  }
  return finish(std::move(changed), any);
}

wire::ShardMap remove_read_sources(const wire::ShardMap& stored,
                                   const std::string& journal,
                                   const std::set<std::uint32_t>& shards) {
  wire::ShardMap changed = stored;
  bool any = false;
  for (wire::ShardEntry& entry : *changed.mutable_entries()) {
    const bool mine =
        entry.journal() == journal && shards.contains(entry.shard());
    if (!mine || entry.sources_size() == 0) {
      continue;
    }
    entry.clear_sources();
    entry.set_changed_in(stored.version() + 1);
    any = true;
  }
  return finish(std::move(changed), any);
}

std::set<std::string> journals_in_use(const wire::ShardMap& stored) {
  std::set<std::string> used;
  for (const wire::ShardEntry& entry : stored.entries()) {
    used.insert(entry.journal());
    for (const wire::JournalRange& source : entry.sources()) {
      used.insert(source.journal());
    }
  }
  return used;
}

}  // namespace trayrock
