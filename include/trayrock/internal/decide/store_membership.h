// Decides how a record store joins, leaves or stays out of its group's voters.
//
// A store that is not a voter is a spare and holds no records. There is a
// vacancy when a voter has lost its disk, is to be retired or is silent for too
// long, or when the group has too few voters. Then a spare becomes a learner,
// reads the records of the voters, and becomes a voter. A retiring voter waits
// for its successor, and leaves without one after a bounded wait.
//
// The number of learners is bounded by the vacancies or by the tolerated
// losses, since all learners read from the same voters; one more joins whenever
// the others have had their time. Learners keep learning after a vacancy is
// filled, so that they can fill the next one at once.
//
// No I/O and no clock: a view goes in, one action comes out.
//
// Example:
//   const membership_action next = next_membership_action(view);
//   std::visit(carry_out, next);
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "records.pb.h"

namespace trayrock {

// The state of a peer as this store last received it.
struct peer_view {
  std::uint64_t silent_ms = 0;  // since its last reply or the first poll
  bool read_to_end = false;     // the last pull reached the end of its records
  bool counts = false;          // as a voter of the current epoch
  std::string id_at_address;    // store that replies there; empty: none yet
};

struct membership_view {
  records::Store self;
  records::Group group;
  std::map<std::string, peer_view> peers;  // by the id in the group
  std::set<std::string> retiring_boxes;
  bool peer_reported_retirement = false;  // of this store's box
  std::uint64_t retiring_ms = 0;  // since this box was to retire; 0: it is not
  bool change_pending = false;    // a change of the group is in progress
  // Learners keep learning, in order to fill the next vacancy.
  bool keeps_learners_ready = true;
  std::uint64_t vacancy_ms = 0;  // time since the vacancy; 0: there is none
};

struct do_nothing {};
// Gateways then copy writes to this store, and no longer to lost learners.
struct become_learner {
  std::vector<std::string> lost_learners;  // ids
};
struct become_voter {
  std::string replaced;  // the voter to replace; empty: one is missing
  std::string_view cause;
};
// Leave the group, which is smaller afterwards.
struct leave_group {};
// The data of this box is no longer needed.
struct finish_retirement {};

using membership_action = std::variant<do_nothing, become_learner, become_voter,
                                       leave_group, finish_retirement>;

// Whether the store has to watch the platform for changes of the group. A spare
// store without a vacancy receives them from the voters instead, so that the
// calls to the platform do not grow with the number of stores.
bool needs_platform(const membership_view& view);

// Whether a voter has to be replaced, or one is missing.
bool has_vacancy(const membership_view& view);

membership_action next_membership_action(const membership_view& view);

}  // namespace trayrock
