// Quorums and membership changes of a group of record stores, and which writes
// a voter accepts.
//
// A group of n voters tolerates the loss of f. A write is committed once
// `write_quorum` voters have it on disk. Any `read_quorum` voters together
// store every committed write, so they can confirm that a record is missing; as
// many must be fenced with a new epoch before a new voter can have read
// everything.
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

constexpr std::uint64_t first_epoch = 1;

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

// Whether a store of this state accepts the write. Learners accept writes of
// every epoch, since they are not part of a quorum. A store that has not
// received the epoch in which the group shrank cannot confirm that a record is
// missing.
records::Outcome judge_write(const records::StoreState& state,
                             const records::WriteRequest& request);

// Stores a group in a store's state unless the state has a newer one. A voter
// continues to count unless the group shrank after the epoch in which it
// counted. Returns true if the epoch is newer.
bool adopt_group(records::StoreState& state, const records::Group& group);

// The reply of a store of this state to a fence for `epoch`, which it has
// adopted. A store that is leaving the group counts: it stores all that the
// previous epoch requires.
records::FenceReply answer_fence(const records::StoreState& state,
                                 std::uint64_t epoch);

// The first group of a system: one announced store of each data centre, then
// more until the group is full, in the order of their boxes.
records::Group first_group(std::span<const records::Store> announced,
                           std::uint32_t tolerated);

// The group with `joining` as a voter: in place of `leaving`, or added where
// `leaving` is empty. Raises the epoch. Other learners stay.
records::Group with_voter(const records::Group& from,
                          const records::Store& joining,
                          const std::string& leaving);

// The group without a voter. Raises the epoch.
records::Group without_voter(const records::Group& from,
                             const std::string& leaving);

// The group with one more learner and without the lost ones; older learners of
// the same address are removed too.
records::Group with_learner(const records::Group& from,
                            const records::Store& joining,
                            std::span<const std::string> lost);

}  // namespace trayrock
