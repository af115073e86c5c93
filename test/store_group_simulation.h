// A small world of boxes with record stores, a platform, and gateways, which
// runs the real decision code of the stores' group. What happens next is drawn
// from a seed: writes that arrive late; proposals that race, or whose answers
// are lost; stores that lose their disks, freeze, are retired, or lose power
// together; a platform that is out.
//
// Example:
//   world held(seed, 4, 1, left_out::nothing);
//   for (int i = 0; i < 700 && held.fault().empty(); ++i) {
//     held.step();
//   }
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "trayrock/internal/decide/store_membership.h"
#include "trayrock/internal/decide/store_peers.h"

namespace trayrock::testing::store_group {

// Rules that can be left out.
enum class left_out {
  nothing,
  fence,        // a new voter counts without telling the others of its epoch
  last_read,    // it counts without reading them once more behind that
  store_names,  // a box whose disk was lost goes on under its former name
  two_denials,  // one voter suffices to say that a record is not there
};

using record_set = std::set<int>;

// One life of a disk, and the process on it.
struct store {
  records::Store self;
  records::StoreState state;
  record_set held;
  store_peers peers;
  std::uint64_t place_open_since_ms = 0;
};

struct box {
  std::string name;
  std::shared_ptr<store> life;  // nullptr: taken away
  bool frozen = false;
};

struct write_operation {
  int record = 0;
  records::Group group;
  std::set<std::string> acknowledged;
  record_set seen;
};

// A change of the group that may still reach the platform.
struct proposal {
  records::Group group;
  std::uint64_t base = 0;  // revision that it replaces
};

class world {
 public:
  // `boxes` stores, one a box, found a group that bears `tolerated` losses.
  world(std::uint64_t seed, int boxes, std::uint32_t tolerated, left_out rule);

  // What the seed draws next.
  void step();

  // What was broken; empty if nothing.
  const std::string& fault() const { return fault_; }

  // Of the group, so far.
  std::uint64_t changes() const { return group_.epoch() - 1; }

 private:
  bool chance(unsigned percent) { return random_() % 100 < percent; }
  void add_box();
  void replace_disk(box& at);
  box* box_at(const std::string& address);
  box* some_box();

  // ---- Writes and reads ----------------------------------------------------
  // Gateways may know of an older group only.
  const records::Group& some_known_group();
  void begin_write();
  records::Outcome judge(const store& at, const std::string& meant,
                         const records::Group& group) const;
  void deliver_write();
  void acknowledge(const write_operation& write);
  // A gateway asks for an acknowledged record; voters answer in any order.
  void deny_some_record();

  // ---- Stores --------------------------------------------------------------
  // One round of a store's membership driver.
  void run_store();
  void pull_some_peer(store& self);
  void pull(store& self, const records::Store& from);
  void join(store& self);
  bool has_joined(const store& self) const;
  membership_view view_of(store& self) const;
  void act(store&, const do_nothing&) {}
  void act(store& self, const become_learner& learning);
  void act(store& self, const become_voter& place);
  void act(store& self, const leave_group&);
  // The box goes with its disk, which is not a loss.
  void act(store& self, const finish_retirement&);

  // ---- The platform --------------------------------------------------------
  // A store proposes on top of the revision that it knows: its epoch and
  // learners.
  void propose(const store& self, const records::Group& next);
  void reach_platform();
  void tell_of_group();

  // ---- Faults --------------------------------------------------------------
  bool whole();
  void inject();
  std::size_t living_boxes() const;
  void lose_one(bool disk);
  // What only processes know is gone: calls under way, and what has been read.
  void lose_power(bool with_a_disk);
  void retire();

  std::mt19937_64 random_;
  left_out rule_;
  std::uint64_t now_ms_ = 100000;
  std::deque<box> boxes_;
  int boxes_made_ = 0;
  int stores_made_ = 0;
  records::Group group_;  // as the platform holds it
  std::uint64_t revision_ = 1;
  bool platform_out_ = false;
  std::vector<proposal> proposals_;
  std::vector<records::Group> known_groups_;
  std::vector<write_operation> writes_;
  int records_made_ = 0;
  std::map<int, record_set> seen_by_;  // of acknowledged records
  bool lost_ = false;
  std::set<std::string> retiring_;
  std::uint64_t retiring_since_ms_ = 0;
  std::string fault_;
};

}  // namespace trayrock::testing::store_group
