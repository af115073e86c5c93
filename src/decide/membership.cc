#include "trayrock/internal/decide/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace trayrock {
namespace {

constexpr std::size_t watchers_a_node = 2;
constexpr std::size_t config_watchers_a_place = 2;

std::uint64_t hash_of(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

membership::membership(wire::Peer self) : self_(std::move(self)) {}

bool membership::apply_update(const wire::Peer& news, std::uint64_t now_ms) {
  if (news.node().empty() || news.node() == self_.node()) {
    return false;
  }
  const auto [place, unknown] = members_.try_emplace(news.node());
  peer_state& held = place->second;
  const bool restarted = !unknown && held.peer.start() != news.start();
  if (restarted && news.gone()) {
    return false;
  }
  // A start carries the time it was made in front, so that the later of two
  // starts compares higher.
  if (restarted && news.start() < held.peer.start()) {
    return false;
  }
  const bool rises = unknown || restarted || news.beat() > held.peer.beat();
  const bool judged_gone = !unknown && !restarted && news.gone() &&
                           !held.peer.gone() && news.beat() >= held.peer.beat();
  if (!rises && !judged_gone) {
    return false;
  }
  const bool came_back = held.peer.gone() && !news.gone();
  held.peer = news;
  if (rises && !news.gone()) {
    held.progress_ms = now_ms;
  }
  const bool notable = unknown || restarted || came_back || judged_gone;
  if (notable) {
    fresh_.push_back(news.node());
  }
  return notable;
}

std::vector<wire::Peer> membership::detect_failures(
    std::uint64_t now_ms, std::uint64_t suspect_after_ms) {
  const bool was_paused =
      judged_ms_ != 0 && now_ms - judged_ms_ > suspect_after_ms / 2;
  judged_ms_ = now_ms;
  std::vector<wire::Peer> newly_gone;
  if (was_paused) {
    for (auto& [name, each] : members_) {
      each.progress_ms = now_ms;
    }
    return newly_gone;
  }
  for (const std::string& name : watched_nodes()) {
    peer_state& each = members_.find(name)->second;
    if (each.progress_ms + suspect_after_ms < now_ms) {
      each.peer.set_gone(true);
      fresh_.push_back(name);
      newly_gone.push_back(each.peer);
    }
  }
  return newly_gone;
}

std::vector<const peer_state*> membership::live_peers() const {
  std::vector<const peer_state*> made;
  for (const auto& [name, each] : members_) {
    if (!each.peer.gone()) {
      made.push_back(&each);
    }
  }
  return made;
}

std::vector<std::string> membership::live_nodes() const {
  std::vector<std::string> made;
  if (!self_.entry()) {
    made.push_back(self_.node());
  }
  for (const auto& [name, each] : members_) {
    if (!each.peer.gone() && !each.peer.entry()) {
      made.push_back(name);
    }
  }
  std::sort(made.begin(), made.end());
  return made;
}

const peer_state* membership::find(std::string_view node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<membership::ring_place> membership::ring_with(
    std::string_view extra) const {
  std::vector<ring_place> ring;
  for (std::string& each : live_nodes()) {
    if (each != extra) {
      ring.push_back({hash_of(each), std::move(each)});
    }
  }
  std::sort(ring.begin(), ring.end(),
            [](const ring_place& left, const ring_place& right) {
              return left.hash < right.hash;
            });
  return ring;
}

std::optional<std::size_t> membership::watch_rank(std::string_view node) const {
  const std::vector<ring_place> ring = ring_with(node);
  const auto next =
      std::upper_bound(ring.begin(), ring.end(), hash_of(node),
                       [](std::uint64_t hash, const ring_place& each) {
                         return hash < each.hash;
                       });
  const auto first = static_cast<std::size_t>(next - ring.begin());
  for (std::size_t rank = 0; rank < std::min(watchers_a_node, ring.size());
       ++rank) {
    if (ring[(first + rank) % ring.size()].node == self_.node()) {
      return rank;
    }
  }
  return std::nullopt;
}

std::vector<std::string> membership::watched_nodes() const {
  std::vector<std::string> made;
  if (self_.entry()) {
    return made;
  }
  const std::vector<ring_place> ring = ring_with("");
  const std::size_t size = ring.size();
  for (std::size_t i = 0; i < size; ++i) {
    for (std::size_t step = 1; step <= watchers_a_node; ++step) {
      const bool mine = ring[(i + step) % size].node == self_.node();
      if (mine && ring[i].node != self_.node()) {
        made.push_back(ring[i].node);
        break;
      }
    }
  }
  return made;
}

bool membership::is_config_watcher() const {
  if (self_.entry()) {
    return false;
  }
  const std::uint64_t own = hash_of(self_.node());
  std::size_t before = 0;
  for (const auto& [name, each] : members_) {
    const bool same_place = each.peer.place() == self_.place();
    if (same_place && !each.peer.gone() && !each.peer.entry() &&
        hash_of(name) < own) {
      ++before;
    }
  }
  return before < config_watchers_a_place;
}

std::vector<wire::Peer> membership::next_updates(std::size_t count) {
  std::vector<wire::Peer> made;
  while (!fresh_.empty() && made.size() < count / 2) {
    const auto found = members_.find(fresh_.back());
    fresh_.pop_back();
    if (found != members_.end()) {
      made.push_back(found->second.peer);
    }
  }
  auto next = members_.upper_bound(turn_);
  const std::size_t most = std::min(count, members_.size());
  while (made.size() < most) {
    if (next == members_.end()) {
      next = members_.begin();
    }
    made.push_back(next->second.peer);
    turn_ = next->first;
    ++next;
  }
  return made;
}

}  // namespace trayrock
