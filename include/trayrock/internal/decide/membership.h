// Gossip membership and failure detection, as seen by one process.
//
// Each process increments its own heartbeat counter; counters spread by gossip.
// If a node's counter doesn't increase in time, the nodes that watch it mark it
// as gone, and gossip spreads the mark until a higher counter clears it.
//
// A mark is no proof that a node has stopped: ownership of shards is decided by
// the seal of the journal alone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock.pb.h"

namespace trayrock {

struct peer_state {
  wire::Peer peer;
  std::uint64_t progress_ms = 0;  // when the heartbeat counter last increased
};

class membership {
 public:
  // `self` is this process's own state. Updates from peers never change it.
  explicit membership(wire::Peer self);

  wire::Peer& self() { return self_; }
  const wire::Peer& self() const { return self_; }

  // Applies a received state of another process. True if the process is new,
  // has restarted, was marked as gone, or is no longer marked.
  bool apply_update(const wire::Peer& update, std::uint64_t now_ms);

  // Marks watched nodes as gone if their heartbeat has not increased in time,
  // and returns those newly marked. If this process itself was paused, it
  // marks none and restarts the time limits.
  std::vector<wire::Peer> detect_failures(std::uint64_t now_ms,
                                          std::uint64_t suspect_after_ms);

  // All processes not marked as gone, except this one.
  std::vector<const peer_state*> live_peers() const;

  // Sorted names of the nodes not marked as gone, this one included. Entry
  // processes are not listed.
  std::vector<std::string> live_nodes() const;

  const peer_state* find(std::string_view node) const;

  // The nodes that this one watches: it is one of the two nodes after them on
  // the hash ring.
  std::vector<std::string> watched_nodes() const;

  // This process's position among a node's watchers, from 0; nothing if it
  // doesn't watch the node.
  std::optional<std::size_t> watch_rank(std::string_view node) const;

  // True if this node is one of the two in its data centre that watch the
  // platform's configuration on behalf of the rest.
  bool is_config_watcher() const;

  // States of up to `count` processes to send: recent changes first, then round
  // robin.
  std::vector<wire::Peer> next_updates(std::size_t count);

 private:
  struct ring_position {
    std::uint64_t hash;
    std::string node;
  };
  // The hash ring of the live nodes, except one.
  std::vector<ring_position> ring_without(std::string_view excluded) const;

  wire::Peer self_;
  std::map<std::string, peer_state, std::less<>> members_;
  std::vector<std::string> changed_;
  std::string last_sent_;
  std::uint64_t checked_ms_ = 0;
};

}  // namespace trayrock
