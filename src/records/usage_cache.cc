#include "trayrock/internal/records/usage_cache.h"

#include <algorithm>

namespace trayrock {

known_usage usage_cache::find(const std::string& program) {
  const auto found = by_program_.find(program);
  return found == by_program_.end() ? known_usage() : found->second->known;
}

void usage_cache::put(const std::string& program, const known_usage& added) {
  const auto found = by_program_.find(program);
  if (found == by_program_.end()) {
    entries_.push_front({program, added});
    by_program_[program] = entries_.begin();
  } else {
    entries_.splice(entries_.begin(), entries_, found->second);
    known_usage& known = entries_.front().known;
    if (known.usage != added.usage) {
      known = added;
    }
    // Operations on the same program may end in any order.
    for (const auto& [store, reached] : added.positions) {
      usage_position& last = known.positions[store];
      const bool newer =
          last.log != reached.log || last.position < reached.position;
      last = newer ? reached : last;
    }
  }
  count(entries_.front());
  evict();
}

void usage_cache::count(entry& each) {
  turns_ -= each.counted_turns;
  each.counted_turns = each.known.usage->turns();
  turns_ += each.counted_turns;
}

void usage_cache::evict() {
  while (turns_ > max_turns_ && !entries_.empty()) {
    turns_ -= entries_.back().counted_turns;
    by_program_.erase(entries_.back().program);
    entries_.pop_back();
  }
}

}  // namespace trayrock
