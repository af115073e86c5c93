// The versioned assignment of shards to nodes. Versions only increase.
//
// A program's shard is the hash of its id up to the first dot, so that
// sub-programs share the shard of the program whose budget they use.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock.pb.h"

namespace trayrock {

// The part of a program's id that it shares with its sub-programs.
std::string_view root_of(std::string_view program);

// The shard of a program. `shards` never changes within a deployment.
std::uint32_t shard_of(std::string_view program, std::uint32_t shards);

class shard_map_store {
 public:
  std::uint64_t version() const { return version_; }
  std::uint32_t shards() const { return shards_; }

  // The shard's entry; null before the first map was adopted.
  const wire::ShardEntry* find(std::uint32_t shard) const;

  // Entries that changed after version `since`.
  wire::ShardMap delta(std::uint64_t since) const;

  // Adopts a newer map or delta; ignores an older one. True if it was adopted.
  bool adopt(const wire::ShardMap& newer);

  // Shards whose owner writes this journal.
  std::vector<std::uint32_t> owned_by(std::string_view journal) const;

  const std::map<std::uint32_t, wire::ShardEntry>& entries() const {
    return entries_;
  }

 private:
  std::uint64_t version_ = 0;
  std::uint32_t shards_ = 0;
  std::map<std::uint32_t, wire::ShardEntry> entries_;
};

// The owner of a shard, as recorded in the map.
struct shard_owner {
  std::string node;
  std::string journal;
  std::string address;
};

// The functions below return the changed map with the next version, or with the
// same version if nothing is to change (another process made the change).

// The first map of a deployment, in which one node owns all shards.
wire::ShardMap make_initial_map(std::uint32_t shards, const shard_owner& owner);

// Reassigns all shards of a sealed journal. `end_segment` is the number of the
// segment with the seal.
wire::ShardMap reassign_sealed_shards(const wire::ShardMap& stored,
                                      const std::string& sealed_journal,
                                      std::uint64_t end_segment,
                                      const shard_owner& to);

// Segments of a journal; `end` is one past the last.
struct segment_range {
  std::uint64_t first;
  std::uint64_t end;
};

// The new owner of each shard that is handed over.
using shard_receivers = std::map<std::uint32_t, shard_owner>;

// Reassigns shards that their owner hands over. The segments hold the complete
// state of these shards.
wire::ShardMap hand_over_shards(const wire::ShardMap& stored,
                                const std::string& from_journal,
                                const shard_receivers& receivers,
                                segment_range segments);

// Removes the sources of shards whose state is now in the owner's own journal.
wire::ShardMap remove_read_sources(const wire::ShardMap& stored,
                                   const std::string& journal,
                                   const std::set<std::uint32_t>& shards);

// Journals that the map refers to, as an owner's journal or as a source.
std::set<std::string> journals_in_use(const wire::ShardMap& stored);

}  // namespace trayrock
