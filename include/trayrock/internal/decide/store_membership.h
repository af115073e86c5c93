// What a record store does next about its place in the group.
//
// No I/O and no clock: the store's view goes in, one action comes out. A store
// that is no voter holds nothing until a voter has lost its disk, is to be
// retired, or has been silent for long, or the group lacks a voter. Then it
// becomes a learner, reads what the voters hold, and takes that place. A voter
// that is to be retired waits for a successor and leaves without one if none
// is there.
//
// Only as many stores learn as places are open or may be lost at once, since
// all of them read from the same voters; more do when those have had some
// seconds. Those that have learned go on, so that the next place is taken at
// once.
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

// What a store knows of another one.
struct peer_view {
  std::uint64_t silent_ms = 0;  // since its last answer, or since first asked
  bool read_to_end = false;     // all that it held lately has been read
  bool counts = false;
  std::string id_at_address;  // which store answers there; empty: none yet
};

struct membership_view {
  records::Store self;
  records::Group group;
  std::map<std::string, peer_view> peers;  // by the id in the group
  std::set<std::string> retiring_boxes;
  bool peer_reported_retirement =
      false;                      // of this store's box, by another store
  std::uint64_t retiring_ms = 0;  // how long this store's box has been asked to
  bool change_pending = false;    // a change of the group is under way
  // Stores that are learners already go on learning for the next places.
  bool keeps_learners_ready = true;
  // How long this store has seen a place that has to be filled; 0: none.
  std::uint64_t vacancy_ms = 0;
};

struct do_nothing {};
// Tell the gateways to copy writes here, and no more to learners that are gone.
struct become_learner {
  std::vector<std::string> lost_learners;  // their ids
};
// Become a voter; `leaving` is empty where the group lacks one.
struct become_voter {
  std::string replaced;
  std::string_view cause;
};
// Leave the group, which stays smaller.
struct leave_group {};
// This box's data is no longer needed.
struct finish_retirement {};

using membership_action = std::variant<do_nothing, become_learner, become_voter,
                                       leave_group, finish_retirement>;

// Whether the store has to ask the platform about the group by itself. One
// that takes no part, and has none to take, hears of it from the voters, so
// that the calls to the platform do not grow with the stores. A voter is no
// such store: the others rely on it.
bool needs_platform(const membership_view& view);

// True when a voter has to be replaced, or one is missing.
bool has_vacancy(const membership_view& view);

membership_action next_membership_action(const membership_view& view);

}  // namespace trayrock
