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
enum class tail_reply { not_requested, unreachable, other_start, received };

struct tail_state {
  bool holder_named = false;        // in the segments that were read
  bool holder_box_removed = false;  // from the platform's list of boxes
  tail_reply holder = tail_reply::not_requested;
  bool owner_stopped = false;  // its box was removed, or it restarted
  tail_reply owner = tail_reply::not_requested;
};

enum class tail_step {
  no_tail,                // no copies were ever made
  request_from_holder,    // repeated while it is unreachable
  request_from_owner,     // repeated while it is unreachable
  apply_tail,             // the received tail is complete
  continue_without_tail,  // both stopped: records that were not stored are lost
};

inline tail_step next_tail_step(const tail_state& state) {
  if (!state.holder_named) {
    return tail_step::no_tail;
  }
  if (state.holder == tail_reply::received ||
      state.owner == tail_reply::received) {
    return tail_step::apply_tail;
  }
  const bool holder_stopped =
      state.holder_box_removed || state.holder == tail_reply::other_start;
  if (!holder_stopped) {
    return tail_step::request_from_holder;
  }
  const bool owner_stopped =
      state.owner_stopped || state.owner == tail_reply::other_start;
  return owner_stopped ? tail_step::continue_without_tail
                       : tail_step::request_from_owner;
}

}  // namespace trayrock
