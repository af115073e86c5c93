// Where a successor gets the records that were acknowledged and not stored.
//
// The copy holder has them. Being out of reach is not being gone: a paused
// owner may hold records that were acknowledged and never stored. Only when
// the holder's start is gone does the successor ask the old owner, and only
// when that start is gone as well does it go on without.
#pragma once

namespace trayrock {

// What asking a process for the tail gave.
enum class tail_answer { not_asked, unreachable, other_start, given };

struct tail_view {
  bool holder_named = false;     // in what was read of the journal
  bool holder_box_gone = false;  // by the platform's box list
  tail_answer holder = tail_answer::not_asked;
  bool owner_gone = false;  // its box is gone, or it runs under a new start
  tail_answer owner = tail_answer::not_asked;
};

enum class tail_step {
  nothing_needed,  // no copies were ever made
  ask_holder,      // (again)
  ask_owner,       // (again)
  take_tail,       // what was given is all there is
  go_on_without,   // both are gone; what was not stored is lost
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
