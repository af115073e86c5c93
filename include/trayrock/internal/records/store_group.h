// The arithmetic of a group of record stores, and what a voter accepts.
//
// A group of n voters bears the loss of f. A write counts once `write_quorum`
// voters have it on disk. Any `read_quorum` voters together hold every write
// that counts, so they may say that something is not there; as many must be
// told of a new epoch (fenced) before a new voter can have read everything.
//
// Example:
//   write_quorum(3, 1);  // 2
//   const records::Group next = with_voter(group, spare, lost_id);
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "records.pb.h"

namespace trayrock {

constexpr std::size_t write_quorum(std::size_t voters, std::size_t tolerated) {
  const std::size_t majority = voters / 2 + 1;
  return majority > tolerated + 1 ? majority : tolerated + 1;
}

constexpr std::size_t read_quorum(std::size_t voters, std::size_t tolerated) {
  const std::size_t writes = write_quorum(voters, tolerated);
  return writes > voters ? voters : voters - writes + 1;
}

// The number of voters that a group should have.
constexpr std::size_t full_group_size(std::size_t tolerated) {
  return 2 * tolerated + 1;
}

const records::Store* find_store(
    const google::protobuf::RepeatedPtrField<records::Store>& among,
    const std::string& id);

inline bool is_voter(const records::Group& group, const std::string& id) {
  return find_store(group.voters(), id) != nullptr;
}

inline bool is_learner(const records::Group& group, const std::string& id) {
  return find_store(group.learners(), id) != nullptr;
}

// Whether a store of this state takes the write. Learners take writes of every
// epoch, since nobody counts them. A store that has not heard yet that the
// group shrank can not say what there is not.
records::Outcome judge_write(const records::StoreState& state,
                             const records::WriteRequest& request);

// Takes a group into a store's state unless a newer one is known. A voter goes
// on counting unless the group shrank behind the epoch in which it counted.
// True if the epoch is a newer one.
bool adopt_group(records::StoreState& state, const records::Group& group);

// What a store of this state answers to a fence for `epoch`, which it has
// adopted. A store that is leaving the group counts: it holds all that the
// epoch before asked of it.
records::FenceReply answer_fence(const records::StoreState& state,
                                 std::uint64_t epoch);

// The first group of a system: of the announced stores one of each data
// centre, then more until the group is full, in the order of their boxes.
records::Group first_group(std::span<const records::Store> announced,
                           std::uint32_t tolerated);

// The group with `joining` as a voter: in place of `leaving`, or added where
// `leaving` is empty. Raises the epoch. Other stores that
// learn go on, and are ready for the next place.
records::Group with_voter(const records::Group& from,
                          const records::Store& joining,
                          const std::string& leaving);

// The group without a voter.
records::Group without_voter(const records::Group& from,
                             const std::string& leaving);

// The group with one more learner and without those named as gone; older ones
// of the same address go too.
records::Group with_learner(const records::Group& from,
                            const records::Store& joining,
                            std::span<const std::string> gone);

}  // namespace trayrock
