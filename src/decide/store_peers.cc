#include "trayrock/internal/decide/store_peers.h"

#include <algorithm>

#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Votes in the present epoch, or did in the one before.
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
  std::erase_if(peers_, [&](const auto& held) {
    return !votes(group, held.first) && !is_learner(group, held.first);
  });
  for (const auto* stores :
       {&group.voters(), &group.previous_voters(), &group.learners()}) {
    for (const records::Store& each : *stores) {
      if (each.id() != own.id()) {
        follow_one(each, votes(group, each.id()), now_ms);
      }
    }
  }
}

// What was known for the epoch before does not hold for this one.
void store_peers::begin_epoch(std::uint64_t epoch) {
  epoch_ = epoch;
  for (auto& [id, each] : peers_) {
    each.counts = false;
    each.fenced = false;
    each.read_since_fence = false;
  }
}

void store_peers::follow_one(const records::Store& store, bool is_voting,
                             std::uint64_t now_ms) {
  store_peer& followed = peers_[store.id()];
  if (followed.first_polled_ms == 0) {
    followed.first_polled_ms = now_ms;
  }
  followed.store = store;
  followed.learner = !is_voting;
}

void store_peers::on_pull_started(const std::string& id) {
  const auto held = peers_.find(id);
  if (held != peers_.end()) {
    held->second.pull_began_fenced = held->second.fenced;
  }
}

bool store_peers::on_pull_reply(const std::string& id,
                                const records::PullReply& answer,
                                std::uint64_t now_ms) {
  const auto held = peers_.find(id);
  if (held == peers_.end()) {
    return false;
  }
  store_peer& from = held->second;
  from.last_reply_ms = now_ms;
  from.id_at_address = answer.store();
  const bool same = answer.store() == id;
  from.counts = same && answer.counts() && answer.epoch() == epoch_;
  from.read_to_end = from.read_to_end && same;
  return same;
}

void store_peers::on_records_stored(const std::string& id, bool to_end) {
  const auto held = peers_.find(id);
  if (held == peers_.end()) {
    return;
  }
  store_peer& from = held->second;
  from.read_to_end = to_end;
  if (to_end && from.fenced && from.pull_began_fenced) {
    from.read_since_fence = true;
  }
}

bool store_peers::on_fence_reply(const std::string& id,
                                 const records::FenceReply& answer,
                                 std::uint64_t epoch) {
  const auto held = peers_.find(id);
  if (held == peers_.end() || epoch != epoch_) {
    return false;
  }
  store_peer& voter = held->second;
  voter.fenced =
      answer.store() == id && answer.counts() && answer.epoch() >= epoch;
  voter.pull_began_fenced = false;
  return voter.fenced;
}

std::size_t store_peers::read_since_fence(
    const records::StoreState& own) const {
  const records::Group& group = own.group();
  const auto others = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& held) {
        return held.second.read_since_fence &&
               find_store(group.previous_voters(), held.first) != nullptr;
      }));
  const bool self = find_store(group.previous_voters(), own.id()) != nullptr &&
                    answer_fence(own, group.epoch()).counts();
  return others + (self ? 1 : 0);
}

bool store_peers::has_joined(const records::StoreState& own) const {
  const records::Group& group = own.group();
  if (group.epoch() != epoch_) {
    return false;  // what was read belongs to an older epoch
  }
  const auto before = static_cast<std::size_t>(group.previous_voters_size());
  return before == 0 ||
         read_since_fence(own) >= read_quorum(before, group.tolerated());
}

const store_peer* store_peers::find(const std::string& id) const {
  const auto held = peers_.find(id);
  return held == peers_.end() ? nullptr : &held->second;
}

std::map<std::string, peer_view> store_peers::views(
    std::uint64_t now_ms) const {
  std::map<std::string, peer_view> made;
  for (const auto& [id, each] : peers_) {
    const std::uint64_t heard =
        std::max(each.last_reply_ms, each.first_polled_ms);
    made[id] = {now_ms - heard, each.read_to_end, each.counts,
                each.id_at_address};
  }
  return made;
}

}  // namespace trayrock
