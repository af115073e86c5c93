#include "trayrock/internal/decide/store_membership.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// A voter that has not replied for this long is replaced. Longer than short
// pauses and restarts.
constexpr std::uint64_t silence_before_replacement_ms = 1600;

// How long a retiring voter waits for a learner before it leaves the group
// without a successor.
constexpr std::uint64_t successor_wait_ms = 2500;

// The same while there is a learner. Longer, since a smaller group tolerates no
// loss until it has grown again; retirements are requested 8 s ahead or more.
constexpr std::uint64_t learning_successor_wait_ms = 5000;

// A learner that has not replied for this long is lost. Learners are polled
// every 400 ms.
constexpr std::uint64_t learner_silence_ms = 1000;

// A spare store that received a voter's reply within this time does not watch
// the platform. It polls each voter every 400 ms.
constexpr std::uint64_t max_voter_silence_ms = 1200;

// How long the learners have before one more store may join them. Each further
// reader slows the others down.
constexpr std::uint64_t time_per_learner_ms = 5000;

// Causes to replace a voter, the most urgent first.
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

// True if a store with another id replies at the peer's address, since the disk
// of the peer was lost.
bool has_lost_disk(const peer_view& peer, const std::string& id) {
  return !peer.id_at_address.empty() && peer.id_at_address != id;
}

bool has_been_read(const membership_view& view, const records::Store& voter) {
  const peer_view* peer = view_of(view, voter.id());
  return peer != nullptr && peer->read_to_end && peer->counts &&
         !is_silent(*peer);
}

// Whether this store has read a read quorum of the voters.
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

// Whether a new voter has not yet read enough to count.
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

// The cause to replace the voter; empty: there is none.
std::string_view replacement_cause(const membership_view& view,
                                   const records::Store& voter) {
  const peer_view* peer = view_of(view, voter.id());
  if (voter.address() == view.self.address() ||
      (peer != nullptr && has_lost_disk(*peer, voter.id()))) {
    return disk_lost;
  }
  if (view.retiring_boxes.contains(voter.box())) {
    return retiring;
  }
  return peer != nullptr && is_silent(*peer) ? silent : std::string_view();
}

// In order of urgency.
std::vector<become_voter> find_vacancies(const membership_view& view) {
  std::vector<become_voter> vacancies;
  for (const std::string_view cause : urgency) {
    for (const records::Store& each : view.group.voters()) {
      if (replacement_cause(view, each) == cause) {
        vacancies.push_back({each.id(), cause});
      }
    }
  }
  const auto voters = static_cast<std::size_t>(view.group.voters_size());
  if (voters < full_group_size(view.group.tolerated())) {
    vacancies.push_back({"", "voter_missing"});
  }
  return vacancies;
}

// True if a learner of the group's list has stopped or lost its disk.
bool is_lost(const membership_view& view, const records::Store& learner) {
  if (learner.id() == view.self.id()) {
    return false;
  }
  if (learner.address() == view.self.address()) {
    return true;
  }
  const peer_view* peer = view_of(view, learner.id());
  return peer != nullptr && (has_lost_disk(*peer, learner.id()) ||
                             peer->silent_ms >= learner_silence_ms);
}

std::vector<std::string> find_lost_learners(const membership_view& view) {
  std::vector<std::string> lost;
  for (const records::Store& each : view.group.learners()) {
    if (is_lost(view, each)) {
      lost.push_back(each.id());
    }
  }
  return lost;
}

std::size_t count_live_learners(const membership_view& view) {
  return static_cast<std::size_t>(view.group.learners_size()) -
         find_lost_learners(view).size();
}

// Whether there are enough learners for now, so that this store need not become
// one.
bool learners_suffice(const membership_view& view, std::size_t vacancies) {
  const std::size_t learners = count_live_learners(view);
  const auto ready = static_cast<std::size_t>(
      view.keeps_learners_ready ? view.group.tolerated() : 0);
  const std::size_t wanted = std::max(vacancies, ready);
  return learners >= wanted &&
         view.vacancy_ms < time_per_learner_ms * (1 + learners - wanted);
}

membership_action next_for_voter(const membership_view& view) {
  const auto voters = static_cast<std::size_t>(view.group.voters_size());
  const bool is_retiring = view.retiring_boxes.contains(view.self.box());
  const bool can_shrink = voters > view.group.tolerated() + 1U;
  const std::uint64_t wait = count_live_learners(view) > 0
                                 ? learning_successor_wait_ms
                                 : successor_wait_ms;
  if (is_retiring && can_shrink && view.retiring_ms >= wait &&
      !voter_is_catching_up(view)) {
    return leave_group{};
  }
  return do_nothing{};
}

// For a store that is neither a voter nor to be retired.
membership_action next_for_spare(const membership_view& view) {
  const std::vector<become_voter> vacancies = find_vacancies(view);
  if (vacancies.empty()) {
    return do_nothing{};  // a spare store has no work until it is needed
  }
  if (!is_learner(view.group, view.self.id())) {
    return learners_suffice(view, vacancies.size())
               ? membership_action(do_nothing{})
               : membership_action(become_learner{find_lost_learners(view)});
  }
  if (!has_read_enough(view) || voter_is_catching_up(view)) {
    return do_nothing{};
  }
  return vacancies.front();
}

}  // namespace

bool has_vacancy(const membership_view& view) {
  return !find_vacancies(view).empty();
}

bool needs_platform(const membership_view& view) {
  const bool is_member = is_voter(view.group, view.self.id()) ||
                         is_learner(view.group, view.self.id());
  const bool is_retiring = view.peer_reported_retirement ||
                           view.retiring_boxes.contains(view.self.box());
  if (is_member || is_retiring || has_vacancy(view)) {
    return true;
  }
  return std::none_of(view.group.voters().begin(), view.group.voters().end(),
                      [&](const records::Store& each) {
                        const peer_view* peer = view_of(view, each.id());
                        return peer != nullptr &&
                               !peer->id_at_address.empty() &&
                               peer->silent_ms < max_voter_silence_ms;
                      });
}

membership_action next_membership_action(const membership_view& view) {
  if (view.change_pending || view.group.voters().empty()) {
    return do_nothing{};
  }
  if (is_voter(view.group, view.self.id())) {
    return next_for_voter(view);
  }
  if (view.retiring_boxes.contains(view.self.box())) {
    return every_voter_counts(view) ? membership_action(finish_retirement{})
                                    : membership_action(do_nothing{});
  }
  return next_for_spare(view);
}

}  // namespace trayrock
