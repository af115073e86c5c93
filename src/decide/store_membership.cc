#include "trayrock/internal/decide/store_membership.h"

#include <algorithm>
#include <vector>

#include "trayrock/internal/records/group_rules.h"

namespace trayrock {
namespace {

// A voter that has not answered for this long is replaced. Shorter freezes
// and restarts are ridden out; a new store has to count 4.3 s after its start.
constexpr std::uint64_t silence_before_replacement_ms = 1600;
// How long a retiring voter waits for a successor before it leaves alone.
constexpr std::uint64_t successor_wait_ms = 2500;

// A retiring voter waits this long while a successor learns, which takes 3 to 5
// s: a group that shrinks bears no loss until it has grown again. Retirements
// are asked for with 8 s and more.
constexpr std::uint64_t learning_successor_wait_ms = 5000;

// A learner that has not answered for this long is taken as gone. Learners are
// asked every 400 ms; a busy one answers within some tens of ms.
constexpr std::uint64_t learner_silence_ms = 1000;

// How long the stores that learn have before one more joins them. Reading
// 38,000 records took 8 s at 0.3 cores, and takes longer with each reader.
constexpr std::uint64_t learner_time_ms = 5000;

const peer_view* view_of(const membership_view& view, const std::string& id) {
  const auto found = view.peers.find(id);
  return found == view.peers.end() ? nullptr : &found->second;
}

// Voters whose records have been read, so that this store can be one.
bool has_read_enough(const membership_view& view) {
  std::size_t read = 0;
  for (const records::Store& each : view.group.voters()) {
    const peer_view* peer = view_of(view, each.id());
    read += peer != nullptr && peer->read_to_end && peer->counts &&
                    peer->silent_ms < silence_before_replacement_ms
                ? 1
                : 0;
  }
  return read >= read_quorum(static_cast<std::size_t>(view.group.voters_size()),
                             view.group.tolerated());
}

// True while a voter that took a place has not read all it needs.
bool voter_is_catching_up(const membership_view& view) {
  for (const records::Store& each : view.group.voters()) {
    const peer_view* peer = view_of(view, each.id());
    if (peer != nullptr && !peer->counts && !peer->id_at_address.empty() &&
        peer->id_at_address == each.id() &&
        peer->silent_ms < silence_before_replacement_ms) {
      return true;
    }
  }
  return false;
}

bool every_voter_counts(const membership_view& view) {
  for (const records::Store& each : view.group.voters()) {
    const peer_view* peer = view_of(view, each.id());
    if (peer == nullptr || !peer->counts ||
        peer->silent_ms >= silence_before_replacement_ms) {
      return false;
    }
  }
  return true;
}

// The places that have to be filled, the most urgent first.
std::vector<take_place> open_places(const membership_view& view) {
  std::vector<take_place> lost;
  std::vector<take_place> retiring;
  std::vector<take_place> silent;
  for (const records::Store& each : view.group.voters()) {
    const peer_view* peer = view_of(view, each.id());
    const bool replaced = each.address() == view.self.address() ||
                          (peer != nullptr && !peer->id_at_address.empty() &&
                           peer->id_at_address != each.id());
    if (replaced) {
      lost.push_back({each.id(), "disk_lost"});
    } else if (view.retiring_boxes.contains(each.box())) {
      retiring.push_back({each.id(), "retiring"});
    } else if (peer != nullptr &&
               peer->silent_ms >= silence_before_replacement_ms) {
      silent.push_back({each.id(), "silent"});
    }
  }
  std::vector<take_place> places = std::move(lost);
  places.insert(places.end(), retiring.begin(), retiring.end());
  places.insert(places.end(), silent.begin(), silent.end());
  const auto voters = static_cast<std::size_t>(view.group.voters_size());
  if (voters < full_group(view.group.tolerated())) {
    places.push_back({"", "voter_missing"});
  }
  return places;
}

// True if a store that is listed as a learner can not be one any more.
bool is_gone(const membership_view& view, const records::Store& learner) {
  if (learner.id() == view.self.id()) {
    return false;
  }
  const peer_view* peer = view_of(view, learner.id());
  const bool asked = peer != nullptr;
  const bool replaced = asked && !peer->id_at_address.empty() &&
                        peer->id_at_address != learner.id();
  return replaced || learner.address() == view.self.address() ||
         (asked && peer->silent_ms >= learner_silence_ms);
}

std::vector<std::string> gone_learners(const membership_view& view) {
  std::vector<std::string> gone;
  for (const records::Store& each : view.group.learners()) {
    if (is_gone(view, each)) {
      gone.push_back(each.id());
    }
  }
  return gone;
}

std::size_t living_learners(const membership_view& view) {
  return static_cast<std::size_t>(view.group.learners_size()) -
         gone_learners(view).size();
}

// Whether the stores that learn already should have the places to themselves.
bool learners_suffice(const membership_view& view, std::size_t places) {
  const std::size_t learners = living_learners(view);
  const auto wanted =
      std::max(places, static_cast<std::size_t>(view.group.tolerated()));
  return learners >= wanted &&
         view.place_open_ms < learner_time_ms * (1 + learners - wanted);
}

membership_action next_of_voter(const membership_view& view) {
  const auto voters = static_cast<std::size_t>(view.group.voters_size());
  const bool retiring = view.retiring_boxes.contains(view.self.box());
  const bool can_shrink = voters > view.group.tolerated() + 1U;
  const std::uint64_t wait = living_learners(view) > 0
                                 ? learning_successor_wait_ms
                                 : successor_wait_ms;
  if (retiring && can_shrink && view.retiring_ms >= wait &&
      !voter_is_catching_up(view)) {
    return leave_group{};
  }
  return do_nothing{};
}

}  // namespace

bool has_open_place(const membership_view& view) {
  return !open_places(view).empty();
}

membership_action next_membership_action(const membership_view& view) {
  if (view.change_pending || view.group.voters().empty()) {
    return do_nothing{};
  }
  if (is_voter(view.group, view.self.id())) {
    return next_of_voter(view);
  }
  if (view.retiring_boxes.contains(view.self.box())) {
    return every_voter_counts(view) ? membership_action(finish_retirement{})
                                    : membership_action(do_nothing{});
  }
  const std::vector<take_place> places = open_places(view);
  if (places.empty()) {
    return do_nothing{};  // a spare store costs nothing until it is needed
  }
  if (!is_learner(view.group, view.self.id())) {
    return learners_suffice(view, places.size())
               ? membership_action(do_nothing{})
               : membership_action(become_learner{gone_learners(view)});
  }
  if (!has_read_enough(view) || voter_is_catching_up(view)) {
    return do_nothing{};
  }
  return places.front();
}

}  // namespace trayrock
