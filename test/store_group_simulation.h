// Simulates boxes with record stores, a platform and gateways around the real
// decision code of the stores' group. Each step is drawn from a seed: delayed
// writes; competing proposals and lost responses; pulled records that reach the
// disk later; stores that lose their disks, pause, are retired, or lose power
// together; an outage of the platform.
//
// Example:
//   simulation run(seed, 4, 1, omitted_rule::none);
//   for (int i = 0; i < 700 && run.violation().empty(); ++i) {
//     run.step();
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

// A rule of the protocol that a run omits.
enum class omitted_rule {
  none,
  fence,        // a new voter counts without sending its epoch to the others
  last_read,    // a new voter counts without reading the others after the fence
  store_ids,    // a store keeps its id after the loss of its disk
  two_denials,  // a single voter may deny a record
  durable_reads,  // pulled records count as read before they are on disk
  pull_start,     // a pull counts by what is true when its records are on disk
};

using record_set = std::set<int>;

// Pulled records that are not on disk yet.
struct pulled_records {
  std::string from;
  pull_start start;
  record_set records;
};

// A store process with its disk. Replaced when the disk is lost.
struct store {
  records::Store self;
  records::StoreState state;
  record_set stored;                   // on disk
  std::deque<pulled_records> writing;  // in the order of the disk's writes
  store_peers peers;
  std::uint64_t vacancy_since_ms = 0;
};

struct box {
  std::string name;
  std::shared_ptr<store> current;  // nullptr: the box is removed
  bool paused = false;
};

struct write_operation {
  int record = 0;
  records::Group group;
  std::set<std::string> acknowledged;
  record_set visible;  // at the stores that acknowledged it
};

// A change of the group that may still reach the platform.
struct proposal {
  records::Group group;
  std::uint64_t base = 0;  // revision that it replaces
};

class simulation {
 public:
  // A group of `boxes` stores, one per box, that tolerates `tolerated` losses.
  simulation(std::uint64_t seed, int boxes, std::uint32_t tolerated,
             omitted_rule omitted);

  // Takes the next random step.
  void step();

  // The violated invariant; empty: none.
  const std::string& violation() const { return violation_; }

  // The number of changes of the group.
  std::uint64_t changes() const { return group_.epoch() - 1; }

 private:
  bool chance(unsigned percent) { return random_() % 100 < percent; }
  void add_box();
  void replace_disk(box& at);
  box* box_at(const std::string& address);
  box* random_box();

  // ---- Writes and reads ----------------------------------------------------
  // Gateways may have an older group.
  const records::Group& random_known_group();
  void begin_write();
  records::Outcome evaluate_write(const store& at, const std::string& id,
                                  const records::Group& group) const;
  void deliver_write();
  void acknowledge(const write_operation& write);
  // A gateway reads an acknowledged record, which must not be denied.
  void read_random_record();

  // ---- Stores --------------------------------------------------------------
  // One round of a store's membership driver.
  void run_store();
  void pull_random_peer(store& self);
  void pull(store& self, const records::Store& from);
  void finish_random_disk_writes(store& self);
  void finish_disk_write(store& self);
  void join(store& self);
  bool has_joined(const store& self) const;
  membership_view view_of(store& self) const;
  void act(store&, const do_nothing&) {}
  void act(store& self, const become_learner& learning);
  void act(store& self, const become_voter& place);
  void act(store& self, const leave_group&);
  // Removes the box with its disk, which does not count as a loss.
  void act(store& self, const finish_retirement&);

  // ---- The platform --------------------------------------------------------
  // A store proposes a change of the group that it has.
  void propose(const store& self, const records::Group& next);
  void deliver_proposal();
  void send_group();

  // ---- Faults --------------------------------------------------------------
  // All voters are present and count.
  bool is_group_complete();
  void inject_fault();
  std::size_t count_boxes() const;
  void lose_store(bool disk);
  // All processes lose their memory: pending calls, what has been read, and
  // what is not on disk yet.
  void lose_power(bool with_a_disk);
  void retire();

  std::mt19937_64 random_;
  omitted_rule omitted_;
  unsigned disk_write_percent_;  // of all disks of the run
  std::uint64_t now_ms_ = 100000;
  std::deque<box> boxes_;
  int boxes_made_ = 0;
  int stores_made_ = 0;
  records::Group group_;  // as stored by the platform
  std::uint64_t revision_ = 1;
  bool platform_down_ = false;
  std::vector<proposal> proposals_;
  std::vector<records::Group> known_groups_;
  std::vector<write_operation> writes_;
  int records_made_ = 0;
  std::map<int, record_set> visible_records_;  // by acknowledged record
  bool has_loss_ = false;
  std::set<std::string> retiring_;
  std::uint64_t retiring_since_ms_ = 0;
  std::string violation_;
};

}  // namespace trayrock::testing::store_group
