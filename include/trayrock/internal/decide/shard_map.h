// Which node owns which shard, by version; versions only rise.
//
// A program's id hashes to its shard by the part before the first dot, so
// that sub-programs live with the program that they share a budget with.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock.pb.h"

namespace trayrock {

// The part of a program's id that its sub-programs share.
std::string_view root_of(std::string_view program);

// The shard of a program; `shards` is fixed for a deployment.
std::uint32_t shard_of(std::string_view program, std::uint32_t shards);

class shard_map_store {
 public:
  std::uint64_t version() const { return version_; }
  std::uint32_t shards() const { return shards_; }

  // The owner's entry; null while no map is known.
  const wire::ShardEntry* find(std::uint32_t shard) const;

  // What has changed after `since`.
  wire::ShardMap delta(std::uint64_t since) const;

  // Takes a newer map or part of one; an older one is ignored. True when
  // something was taken.
  bool adopt(const wire::ShardMap& newer);

  // Shards held by a journal.
  std::vector<std::uint32_t> owned_by(std::string_view journal) const;

  const std::map<std::uint32_t, wire::ShardEntry>& entries() const {
    return entries_;
  }

 private:
  std::uint64_t version_ = 0;
  std::uint32_t shards_ = 0;
  std::map<std::uint32_t, wire::ShardEntry> entries_;
};

// A new owner of shards, as the map names it.
struct shard_owner {
  std::string node;
  std::string journal;
  std::string address;
};

// Changes to a stored map. Each gives the next version, or the same version
// when there is nothing to change (somebody else did it already).
wire::ShardMap make_initial_map(std::uint32_t shards, const shard_owner& owner);

// Moves every shard of a sealed journal. `end_segment` is the seal's number.
wire::ShardMap reassign_sealed_shards(const wire::ShardMap& stored,
                                      const std::string& sealed_journal,
                                      std::uint64_t end_segment,
                                      const shard_owner& to);

// Segments of a journal, the last one excluded.
struct segment_range {
  std::uint64_t first;
  std::uint64_t end;
};

// Who gets which shard by agreement.
using shard_receivers = std::map<std::uint32_t, shard_owner>;

// Moves shards by agreement; their whole state stands in these segments.
wire::ShardMap hand_over_shards(const wire::ShardMap& stored,
                                const std::string& from_journal,
                                const shard_receivers& receivers,
                                segment_range where);

// Drops the sources of shards whose state is in the owner's own journal.
wire::ShardMap remove_read_sources(const wire::ShardMap& stored,
                                   const std::string& journal,
                                   const std::set<std::uint32_t>& shards);

// Journals that the map still needs, as owner or as source.
std::set<std::string> journals_in_use(const wire::ShardMap& stored);

}  // namespace trayrock
