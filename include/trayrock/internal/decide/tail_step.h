// How a successor recovers the tail of a journal: records that were
// acknowledged but not stored.
//
// The copy holder has the tail. The successor requests it from the old owner
// only if the holder's process has stopped, and continues without it only if
// the owner's has stopped too. A process that is merely unreachable may be
// paused and still have acknowledged records.
#pragma once

namespace trayrock {

// The result of requesting the tail from a process.
enum class tail_answer { not_asked, unreachable, other_start, given };

struct tail_view {
  bool holder_named = false;     // in the segments that were read
  bool holder_box_gone = false;  // from the platform's list of boxes
  tail_answer holder = tail_answer::not_asked;
  bool owner_gone = false;  // its box was removed, or it restarted
  tail_answer owner = tail_answer::not_asked;
};

enum class tail_step {
  nothing_needed,  // no copies were ever made
  ask_holder,      // repeated while it is unreachable
  ask_owner,       // repeated while it is unreachable
  take_tail,       // the received tail is complete
  go_on_without,   // both stopped: records that were not stored are lost
};

inline tail_step next_tail_step(const tail_view& view) {
  if (!view.holder_named) {
    return tail_step::nothing_needed;
  }
  if (view.holder == tail_answer::given || view.owner == tail_answer::given) {
    return tail_step::take_tail;
  }
  const bool holder_gone =
      view.holder_box_gone || view.holder == tail_answer::other_start;
  if (!holder_gone) {
    return tail_step::ask_holder;
  }
  const bool owner_gone =
      view.owner_gone || view.owner == tail_answer::other_start;
  return owner_gone ? tail_step::go_on_without : tail_step::ask_owner;
}

}  // namespace trayrock
