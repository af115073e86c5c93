// Where a successor gets the records that were acknowledged and not stored.
//
// The copy holder has them. Being out of reach is not being gone: a paused
// owner may hold records that were acknowledged and never stored. Only when
// the holder's start is gone does the successor ask the old owner, and only
// when that start is gone as well does it go on without.
#pragma once

namespace trayrock {

// What asking a process for the tail gave.
enum class tail_reply { not_requested, unreachable, other_start, received };

struct tail_state {
  bool holder_named = false;        // in what was read of the journal
  bool holder_box_removed = false;  // by the platform's box list
  tail_reply holder = tail_reply::not_requested;
  bool owner_stopped = false;  // its box is gone, or it runs under a new start
  tail_reply owner = tail_reply::not_requested;
};

enum class tail_step {
  no_tail,                // no copies were ever made
  request_from_holder,    // (again)
  request_from_owner,     // (again)
  apply_tail,             // what was given is all there is
  continue_without_tail,  // both are gone; what was not stored is lost
};

inline tail_step next_tail_step(const tail_state& view) {
  if (!view.holder_named) {
    return tail_step::no_tail;
  }
  if (view.holder == tail_reply::received ||
      view.owner == tail_reply::received) {
    return tail_step::apply_tail;
  }
  const bool holder_gone =
      view.holder_box_removed || view.holder == tail_reply::other_start;
  if (!holder_gone) {
    return tail_step::request_from_holder;
  }
  const bool owner_stopped =
      view.owner_stopped || view.owner == tail_reply::other_start;
  return owner_stopped ? tail_step::continue_without_tail
                       : tail_step::request_from_owner;
}

}  // namespace trayrock
