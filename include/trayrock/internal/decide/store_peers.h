// What a record store knows of the other stores of its group, and whether it
// has read enough of them to count as a voter.
//
// No I/O; the caller gives the time. A store that becomes a voter of an epoch
// counts once it has read a read quorum of the voters of the epoch before, each
// after that one was told of the new epoch (fenced) and so refuses older ones.
// The same holds for every voter of a group that shrank, whose quorums are
// smaller. Without the fence, a write could be acknowledged behind the reading.
//
// Example:
//   store_peers peers;
//   peers.follow(state, now);
//   peers.on_pull_started("store-2");
//   if (peers.answered("store-2", reply, now)) {
//     peers.read("store-2", true);
//   }
//   if (peers.joined(state)) count_as_voter();
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "records.pb.h"
#include "trayrock/internal/decide/store_membership.h"

namespace trayrock {

struct store_peer {
  records::Store store;
  bool learner = false;  // only asked whether it lives
  std::uint64_t first_polled_ms = 0;
  std::uint64_t last_reply_ms = 0;  // 0: never
  std::string id_at_address;  // which store answers there; empty: none yet
  bool counts = false;        // in the present epoch
  bool read_to_end = false;   // all that it held lately has been read
  bool fenced = false;        // for the present epoch

  bool pull_began_fenced = false;
  bool read_since_fence = false;
};

class store_peers {
 public:
  // Follows the group of the store's state: its voters, those of the epoch
  // before, and its learners.
  void follow(const records::StoreState& own, std::uint64_t now_ms);

  void on_pull_started(const std::string& id);

  // A pull was answered. False if the peer is not followed any more or if
  // another store has taken its address.
  bool on_pull_reply(const std::string& id, const records::PullReply& answer,
                     std::uint64_t now_ms);

  // What the last pull brought is on this store's disk.
  void on_records_stored(const std::string& id, bool to_end);

  // A fence for `epoch` was answered. True if the peer is fenced now.
  bool on_fence_reply(const std::string& id, const records::FenceReply& answer,
                      std::uint64_t epoch);

  // Previous voters that have been read as a voter that joins has to, itself
  // included if it is one that counted.
  std::size_t read_since_fence(const records::StoreState& own) const;

  // True when a voter that does not count yet may do so.
  bool has_joined(const records::StoreState& own) const;

  const store_peer* find(const std::string& id) const;
  const std::map<std::string, store_peer>& all() const { return peers_; }
  std::map<std::string, peer_view> views(std::uint64_t now_ms) const;

 private:
  void begin_epoch(std::uint64_t epoch);
  void follow_one(const records::Store& store, bool is_voting,
                  std::uint64_t now_ms);

  std::map<std::string, store_peer> peers_;  // by id
  std::uint64_t epoch_ = 0;
};

}  // namespace trayrock
