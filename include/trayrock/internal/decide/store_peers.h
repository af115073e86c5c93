// What a record store has learned from the other stores of its group, and
// whether it has read enough from them to count as a voter.
//
// A new voter counts once it has read a read quorum of the voters of the
// previous epoch. Each of these has to be fenced first, that is, it has
// received the new epoch and refuses older ones; otherwise a write could be
// acknowledged after the read. The same holds for every voter of a group that
// shrank, whose quorums are smaller.
//
// No I/O; the caller supplies the time.
//
// Example:
//   store_peers peers;
//   peers.follow(state, now);
//   const pull_start pull = peers.on_pull_started("store-2", now);
//   if (peers.on_pull_reply("store-2", reply, now)) {
//     peers.on_records_stored("store-2", pull, true);
//   }
//   if (peers.has_joined(state)) count_as_voter();
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "records.pb.h"
#include "trayrock/internal/decide/store_membership.h"

namespace trayrock {

// What was true when a pull began. Its records may reach the disk when the peer
// has been fenced or a later pull has begun.
struct pull_start {
  std::uint64_t number = 0;        // in the order of the pulls
  std::uint64_t fenced_epoch = 0;  // that the peer was fenced for; 0: none
  std::uint64_t began_ms = 0;
};

struct store_peer {
  records::Store store;
  bool learner = false;  // polled for liveness only
  std::uint64_t first_polled_ms = 0;
  std::uint64_t last_reply_ms = 0;  // 0: never
  std::string id_at_address;        // store that replies there; empty: none yet
  bool counts = false;              // as a voter of the current epoch
  std::uint64_t counts_since_ms = 0;  // as far as this store knows
  bool read_to_end = false;  // the last pull reached the end of its records
  bool fenced = false;       // for the current epoch

  std::uint64_t stored_pull = 0;  // number of the last one that is on disk
  bool read_since_fence = false;
  // Start of the last pull that reached the end of its records and is on disk.
  std::uint64_t read_as_of_ms = 0;
};

class store_peers {
 public:
  // Updates the peers to the group of the store's state: its voters, those of
  // the previous epoch, and its learners.
  void follow(const records::StoreState& own, std::uint64_t now_ms);

  pull_start on_pull_started(const std::string& id, std::uint64_t now_ms);

  // Returns false if the store is no longer a peer, or if another store replied
  // at its address.
  bool on_pull_reply(const std::string& id, const records::PullReply& reply,
                     std::uint64_t now_ms);

  // The records of a pull are on this store's disk. Returns false if the store
  // is no longer a peer, or if the records of a later pull are on disk already.
  bool on_records_stored(const std::string& id, const pull_start& pull,
                         bool to_end);

  // Handles the reply to a fence for `epoch`. True if the peer is fenced now.
  bool on_fence_reply(const std::string& id, const records::FenceReply& reply,
                      std::uint64_t epoch);

  // The number of previous voters that have been read after their fence,
  // including this store if it was one that counted.
  std::size_t read_since_fence(const records::StoreState& own) const;

  // Whether this voter, which does not count yet, may do so.
  bool has_joined(const records::StoreState& own) const;

  // The time until which this store has all records that were acknowledged:
  // until then, a read quorum of the voters has been read to the end. Nothing
  // if no quorum has.
  std::optional<std::uint64_t> complete_as_of(const records::StoreState& own,
                                              std::uint64_t now_ms) const;

  const store_peer* find(const std::string& id) const;
  const std::map<std::string, store_peer>& all() const { return peers_; }
  std::map<std::string, peer_view> views(std::uint64_t now_ms) const;

 private:
  void begin_epoch(std::uint64_t epoch);
  void follow_store(const records::Store& store, bool is_voting,
                    std::uint64_t now_ms);

  std::map<std::string, store_peer> peers_;  // by id
  std::uint64_t epoch_ = 0;
  std::uint64_t pulls_ = 0;
};

}  // namespace trayrock
