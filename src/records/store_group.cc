#include "trayrock/internal/records/store_group.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace trayrock {
namespace {

using store_list = google::protobuf::RepeatedPtrField<records::Store>;

template <typename condition>
void erase_stores(store_list& from, condition removed) {
  store_list kept;
  for (const records::Store& each : from) {
    if (!removed(each)) {
      *kept.Add() = each;
    }
  }
  from.Swap(&kept);
}

records::Group next_epoch(const records::Group& from) {
  records::Group next = from;
  *next.mutable_previous_voters() = from.voters();
  next.set_epoch(from.epoch() + 1);
  return next;
}

}  // namespace

const records::Store* find_store(const store_list& among,
                                 const std::string& id) {
  for (const records::Store& each : among) {
    if (each.id() == id) {
      return &each;
    }
  }
  return nullptr;
}

records::Outcome judge_write(const records::StoreState& state,
                             const records::WriteRequest& request) {
  if (request.store() != state.id()) {
    return records::OUTCOME_WRONG_STORE;
  }
  const std::uint64_t epoch = state.group().epoch();
  if (request.epoch() < epoch) {
    return records::OUTCOME_STALE_EPOCH;
  }
  const bool counts = state.counts() && request.shrunk_epoch() <= epoch;
  return counts ? records::OUTCOME_OK : records::OUTCOME_CATCHING_UP;
}

bool adopt_group(records::StoreState& state, const records::Group& group) {
  if (group.epoch() < state.group().epoch()) {
    return false;
  }
  const std::uint64_t before = state.group().epoch();
  if (state.counts()) {
    state.set_counted_epoch(before);
  }
  const bool counts = state.counts() && is_voter(group, state.id()) &&
                      before >= group.shrunk_epoch();
  state.set_counts(counts);
  *state.mutable_group() = group;
  return group.epoch() > before;
}

records::FenceReply answer_fence(const records::StoreState& state,
                                 std::uint64_t epoch) {
  records::FenceReply made;
  made.set_store(state.id());
  made.set_counts(state.counts() || (state.counted_epoch() > 0 &&
                                     state.counted_epoch() + 1 >= epoch));
  made.set_epoch(state.group().epoch());
  return made;
}

records::Group first_group(std::span<const records::Store> announced,
                           std::uint32_t tolerated) {
  std::vector<records::Store> candidates(announced.begin(), announced.end());
  std::sort(candidates.begin(), candidates.end(),
            [](const records::Store& left, const records::Store& right) {
              return left.box() < right.box();
            });
  records::Group group;
  group.set_epoch(first_epoch);
  group.set_tolerated(tolerated);
  std::set<std::string> data_centres;
  std::set<std::string> chosen;
  const auto is_full = [&] {
    return static_cast<std::size_t>(group.voters_size()) >=
           full_group_size(tolerated);
  };
  for (const bool spread : {true, false}) {
    for (const records::Store& each : candidates) {
      if (is_full() || chosen.contains(each.id()) ||
          (spread && data_centres.contains(each.data_centre()))) {
        continue;
      }
      chosen.insert(each.id());
      data_centres.insert(each.data_centre());
      *group.add_voters() = each;
    }
  }
  return group;
}

records::Group with_voter(const records::Group& from,
                          const records::Store& joining,
                          const std::string& leaving) {
  records::Group next = next_epoch(from);
  erase_stores(*next.mutable_voters(), [&](const records::Store& each) {
    return each.id() == leaving || each.id() == joining.id();
  });
  erase_stores(*next.mutable_learners(), [&](const records::Store& each) {
    return each.id() == joining.id();
  });
  *next.add_voters() = joining;
  return next;
}

records::Group without_voter(const records::Group& from,
                             const std::string& leaving) {
  records::Group next = next_epoch(from);
  next.set_shrunk_epoch(next.epoch());
  erase_stores(*next.mutable_voters(), [&](const records::Store& each) {
    return each.id() == leaving;
  });
  return next;
}

records::Group with_learner(const records::Group& from,
                            const records::Store& joining,
                            std::span<const std::string> removed) {
  records::Group next = from;
  erase_stores(*next.mutable_learners(), [&](const records::Store& each) {
    return each.id() == joining.id() || each.address() == joining.address() ||
           std::find(removed.begin(), removed.end(), each.id()) !=
               removed.end();
  });
  *next.add_learners() = joining;
  return next;
}

}  // namespace trayrock
