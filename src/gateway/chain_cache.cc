#include "trayrock/internal/gateway/chain_cache.h"

#include <iterator>

namespace trayrock {

void chain_cache::put(const std::string& attempt, chain_ptr added,
                      std::uint64_t until_ms) {
  const auto before = by_attempt_.find(attempt);
  if (before != by_attempt_.end()) {
    erase(before->second);
  }
  bytes_ += added->text.size();
  entries_.push_front({attempt, std::move(added), until_ms});
  by_attempt_[attempt] = entries_.begin();
  while (bytes_ > max_bytes_ && !entries_.empty()) {
    erase(std::prev(entries_.end()));
  }
}

chain_cache::chain_ptr chain_cache::find(const std::string& attempt,
                                         std::uint64_t now_ms) {
  const auto found = by_attempt_.find(attempt);
  if (found == by_attempt_.end()) {
    return nullptr;
  }
  if (found->second->until_ms <= now_ms) {
    erase(found->second);
    return nullptr;
  }
  entries_.splice(entries_.begin(), entries_, found->second);
  return entries_.front().value;
}

void chain_cache::erase(entry_list::iterator at) {
  bytes_ -= at->value->text.size();
  by_attempt_.erase(at->attempt);
  entries_.erase(at);
}

}  // namespace trayrock
