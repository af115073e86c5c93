// Who is up, as one process sees it, and who watches whom.
//
// Each process has a beat that it raises; news of beats travels by the spread
// messages. A process that has made no progress for too long is taken as
// gone by its watchers, and the others hear it from them. "Gone" is a
// judgement at a beat: a higher beat takes it back. Nothing here is a lease:
// ownership is decided by the journal's seal alone.
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
  std::uint64_t progress_ms = 0;  // when the beat was last seen to rise
};

class membership {
 public:
  // `self` is this process's own entry; its name keeps others from changing
  // what it says of itself.
  explicit membership(wire::Peer self);

  wire::Peer& self() { return self_; }
  const wire::Peer& self() const { return self_; }

  // Takes news of another process. True when the process was not known, has
  // a new start, or came back.
  bool apply_update(const wire::Peer& news, std::uint64_t now_ms);

  // Marks as gone those of the watched that made no progress. Gives the
  // processes that were newly marked. After a pause of this process itself
  // the others get a new chance first.
  std::vector<wire::Peer> detect_failures(std::uint64_t now_ms,
                                          std::uint64_t suspect_after_ms);

  // Everybody known and not gone, without this process.
  std::vector<const peer_state*> live_peers() const;

  // Nodes (not entries) that are not gone, with this one; sorted by name.
  std::vector<std::string> live_nodes() const;

  const peer_state* find(std::string_view node) const;

  // The processes that this one watches: it is among their next two nodes on
  // the ring of names.
  std::vector<std::string> watched_nodes() const;

  // This process's place among a node's watchers: 0 first, 1 second; nothing
  // when it is none.
  std::optional<std::size_t> watch_rank(std::string_view node) const;

  // True when this node is one of the two of its place that watch the
  // platform's configuration for the others.
  bool is_config_watcher() const;

  // Up to `count` entries to pass on: fresh news first, then in turn.
  std::vector<wire::Peer> next_updates(std::size_t count);

 private:
  struct ring_place {
    std::uint64_t hash;
    std::string node;
  };
  std::vector<ring_place> ring_with(std::string_view extra) const;

  wire::Peer self_;
  std::map<std::string, peer_state, std::less<>> members_;
  std::vector<std::string> fresh_;
  std::string turn_;
  std::uint64_t judged_ms_ = 0;
};

}  // namespace trayrock
