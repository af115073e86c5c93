#include "trayrock/internal/decide/store_peers.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Whether the store votes in the current epoch, or did in the previous one.
bool votes(const records::Group& group, const std::string& id) {
  return is_voter(group, id) ||
         find_store(group.previous_voters(), id) != nullptr;
}

}  // namespace

void store_peers::follow(const records::StoreState& own, std::uint64_t now_ms) {
  const records::Group& group = own.group();
  if (group.epoch() != epoch_) {
    begin_epoch(group.epoch());
  }
  std::erase_if(peers_, [&](const auto& peer) {
    return !votes(group, peer.first) && !is_learner(group, peer.first);
  });
  for (const auto* stores :
       {&group.voters(), &group.previous_voters(), &group.learners()}) {
    for (const records::Store& each : *stores) {
      if (each.id() != own.id()) {
        follow_store(each, votes(group, each.id()), now_ms);
      }
    }
  }
}

// Clears the state that is valid for one epoch only.
void store_peers::begin_epoch(std::uint64_t epoch) {
  epoch_ = epoch;
  for (auto& [id, each] : peers_) {
    each.counts = false;
    each.fenced = false;
    each.read_since_fence = false;
    each.read_as_of_ms = 0;
  }
}

void store_peers::follow_store(const records::Store& store, bool is_voting,
                               std::uint64_t now_ms) {
  store_peer& peer = peers_[store.id()];
  if (peer.first_polled_ms == 0) {
    peer.first_polled_ms = now_ms;
  }
  peer.store = store;
  peer.learner = !is_voting;
}

pull_start store_peers::on_pull_started(const std::string& id,
                                        std::uint64_t now_ms) {
  const auto found = peers_.find(id);
  const bool fenced = found != peers_.end() && found->second.fenced;
  return {++pulls_, fenced ? epoch_ : 0, now_ms};
}

bool store_peers::on_pull_reply(const std::string& id,
                                const records::PullReply& reply,
                                std::uint64_t now_ms) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) {
    return false;
  }
  store_peer& peer = found->second;
  peer.last_reply_ms = now_ms;
  peer.id_at_address = reply.store();
  const bool same = reply.store() == id;
  const bool counted = peer.counts;
  peer.counts = same && reply.counts() && reply.epoch() == epoch_;
  if (peer.counts && !counted) {
    peer.counts_since_ms = now_ms;
  }
  peer.read_to_end = peer.read_to_end && same;
  return same;
}

bool store_peers::on_records_stored(const std::string& id,
                                    const pull_start& pull, bool to_end) {
  const auto found = peers_.find(id);
  if (found == peers_.end() || pull.number <= found->second.stored_pull) {
    return false;
  }
  store_peer& peer = found->second;
  peer.stored_pull = pull.number;
  peer.read_to_end = to_end;
  if (to_end && peer.fenced && pull.fenced_epoch == epoch_) {
    peer.read_since_fence = true;
  }
  if (to_end) {
    peer.read_as_of_ms = pull.began_ms;
  }
  return true;
}

bool store_peers::on_fence_reply(const std::string& id,
                                 const records::FenceReply& reply,
                                 std::uint64_t epoch) {
  const auto found = peers_.find(id);
  if (found == peers_.end() || epoch != epoch_) {
    return false;
  }
  store_peer& voter = found->second;
  voter.fenced =
      reply.store() == id && reply.counts() && reply.epoch() >= epoch;
  return voter.fenced;
}

std::size_t store_peers::read_since_fence(
    const records::StoreState& own) const {
  const records::Group& group = own.group();
  const auto peers = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return peer.second.read_since_fence &&
               find_store(group.previous_voters(), peer.first) != nullptr;
      }));
  const bool self = find_store(group.previous_voters(), own.id()) != nullptr &&
                    answer_fence(own, group.epoch()).counts();
  return peers + (self ? 1 : 0);
}

bool store_peers::has_joined(const records::StoreState& own) const {
  const records::Group& group = own.group();
  if (group.epoch() != epoch_) {
    return false;  // the reads belong to an older epoch
  }
  const auto previous = static_cast<std::size_t>(group.previous_voters_size());
  return previous == 0 ||
         read_since_fence(own) >= read_quorum(previous, group.tolerated());
}

std::optional<std::uint64_t> store_peers::complete_as_of(
    const records::StoreState& own, std::uint64_t now_ms) const {
  const records::Group& group = own.group();
  std::vector<std::uint64_t> read;
  for (const records::Store& each : group.voters()) {
    const store_peer* const peer = find(each.id());
    if (each.id() == own.id() && own.counts()) {
      read.push_back(now_ms);
    } else if (peer != nullptr && peer->counts &&
               peer->read_as_of_ms >= peer->counts_since_ms) {
      read.push_back(peer->read_as_of_ms);
    }
  }
  const std::size_t needed = read_quorum(
      static_cast<std::size_t>(group.voters_size()), group.tolerated());
  if (group.epoch() != epoch_ || needed == 0 || read.size() < needed) {
    return std::nullopt;
  }
  std::sort(read.begin(), read.end(), std::greater<>());
  return read[needed - 1];
}

const store_peer* store_peers::find(const std::string& id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

std::map<std::string, peer_view> store_peers::views(
    std::uint64_t now_ms) const {
  std::map<std::string, peer_view> made;
  for (const auto& [id, each] : peers_) {
    const std::uint64_t last_contact_ms =
        std::max(each.last_reply_ms, each.first_polled_ms);
    made[id] = {now_ms - last_contact_ms, each.read_to_end, each.counts,
                each.id_at_address};
  }
  return made;
}

}  // namespace trayrock
