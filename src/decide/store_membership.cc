#include "trayrock/internal/decide/store_membership.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "trayrock/internal/records/store_group.h"

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

// A spare store that has heard a voter within this time leaves the platform to
// the voters. It asks each of them every 400 ms.
constexpr std::uint64_t voter_heard_ms = 1200;

// How long the stores that learn have before one more joins them. Reading
// 38,000 records took 8 s at 0.3 cores, and takes longer with each reader.
constexpr std::uint64_t learner_time_ms = 5000;

// Why a voter is replaced, the most urgent cause first.
constexpr std::string_view disk_lost = "disk_lost";
constexpr std::string_view retiring = "retiring";
constexpr std::string_view silent = "silent";
constexpr std::array urgency = {disk_lost, retiring, silent};

const peer_view* view_of(const membership_view& view, const std::string& id) {
  const auto found = view.peers.find(id);
  return found == view.peers.end() ? nullptr : &found->second;
}

bool is_silent(const peer_view& voter) {
  return voter.silent_ms >= silence_before_replacement_ms;
}

// True if another store answers at the address of the one with this id.
bool another_answers(const peer_view& peer, const std::string& id) {
  return !peer.id_at_address.empty() && peer.id_at_address != id;
}

bool has_been_read(const membership_view& view, const records::Store& voter) {
  const peer_view* peer = view_of(view, voter.id());
  return peer != nullptr && peer->read_to_end && peer->counts &&
         !is_silent(*peer);
}

// True if enough voters' records have been read, so that this store can be one.
bool has_read_enough(const membership_view& view) {
  const auto& voters = view.group.voters();
  const auto read = static_cast<std::size_t>(std::count_if(
      voters.begin(), voters.end(),
      [&](const records::Store& each) { return has_been_read(view, each); }));
  return read >= read_quorum(static_cast<std::size_t>(voters.size()),
                             view.group.tolerated());
}

bool is_catching_up(const membership_view& view, const records::Store& voter) {
  const peer_view* peer = view_of(view, voter.id());
  return peer != nullptr && !peer->counts && !peer->id_at_address.empty() &&
         peer->id_at_address == voter.id() && !is_silent(*peer);
}

// True while a voter that took a place has not read all it needs.
bool voter_is_catching_up(const membership_view& view) {
  const auto& voters = view.group.voters();
  return std::any_of(
      voters.begin(), voters.end(),
      [&](const records::Store& each) { return is_catching_up(view, each); });
}

bool every_voter_counts(const membership_view& view) {
  const auto& voters = view.group.voters();
  return std::all_of(
      voters.begin(), voters.end(), [&](const records::Store& each) {
        const peer_view* peer = view_of(view, each.id());
        return peer != nullptr && peer->counts && !is_silent(*peer);
      });
}

// Why the voter has to be replaced; empty: it need not be.
std::string_view cause_to_replace(const membership_view& view,
                                  const records::Store& voter) {
  const peer_view* peer = view_of(view, voter.id());
  if (voter.address() == view.self.address() ||
      (peer != nullptr && another_answers(*peer, voter.id()))) {
    return disk_lost;
  }
  if (view.retiring_boxes.contains(voter.box())) {
    return retiring;
  }
  return peer != nullptr && is_silent(*peer) ? silent : std::string_view();
}

// The places that have to be filled, the most urgent first.
std::vector<become_voter> open_places(const membership_view& view) {
  std::vector<become_voter> places;
  for (const std::string_view cause : urgency) {
    for (const records::Store& each : view.group.voters()) {
      if (cause_to_replace(view, each) == cause) {
        places.push_back({each.id(), cause});
      }
    }
  }
  const auto voters = static_cast<std::size_t>(view.group.voters_size());
  if (voters < full_group_size(view.group.tolerated())) {
    places.push_back({"", "voter_missing"});
  }
  return places;
}

// True if a store that is listed as a learner can not be one any more.
bool is_gone(const membership_view& view, const records::Store& learner) {
  if (learner.id() == view.self.id()) {
    return false;
  }
  if (learner.address() == view.self.address()) {
    return true;
  }
  const peer_view* peer = view_of(view, learner.id());
  return peer != nullptr && (another_answers(*peer, learner.id()) ||
                             peer->silent_ms >= learner_silence_ms);
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
  const auto ready = static_cast<std::size_t>(
      view.keeps_learners_ready ? view.group.tolerated() : 0);
  const std::size_t wanted = std::max(places, ready);
  return learners >= wanted &&
         view.vacancy_ms < learner_time_ms * (1 + learners - wanted);
}

membership_action next_of_voter(const membership_view& view) {
  const auto voters = static_cast<std::size_t>(view.group.voters_size());
  const bool leaving = view.retiring_boxes.contains(view.self.box());
  const bool can_shrink = voters > view.group.tolerated() + 1U;
  const std::uint64_t wait = living_learners(view) > 0
                                 ? learning_successor_wait_ms
                                 : successor_wait_ms;
  if (leaving && can_shrink && view.retiring_ms >= wait &&
      !voter_is_catching_up(view)) {
    return leave_group{};
  }
  return do_nothing{};
}

// Of a store that is no voter, nor to be retired.
membership_action next_of_spare(const membership_view& view) {
  const std::vector<become_voter> places = open_places(view);
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

}  // namespace

bool has_vacancy(const membership_view& view) {
  return !open_places(view).empty();
}

bool needs_platform(const membership_view& view) {
  const bool takes_part = is_voter(view.group, view.self.id()) ||
                          is_learner(view.group, view.self.id());
  const bool leaves = view.peer_reported_retirement ||
                      view.retiring_boxes.contains(view.self.box());
  if (takes_part || leaves || has_vacancy(view)) {
    return true;
  }
  return std::none_of(view.group.voters().begin(), view.group.voters().end(),
                      [&](const records::Store& each) {
                        const peer_view* peer = view_of(view, each.id());
                        return peer != nullptr &&
                               !peer->id_at_address.empty() &&
                               peer->silent_ms < voter_heard_ms;
                      });
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
  return next_of_spare(view);
}

}  // namespace trayrock
