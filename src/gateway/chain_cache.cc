#include "trayrock/internal/gateway/chain_cache.h"

#include <iterator>

namespace trayrock {

void chain_cache::put(const std::string& attempt, text_ptr text,
                      std::uint64_t until_ms) {
  const auto held = by_attempt_.find(attempt);
  if (held != by_attempt_.end()) {
    erase(held->second);
  }
  bytes_ += text->size();
  entries_.push_front({attempt, std::move(text), until_ms});
  by_attempt_[attempt] = entries_.begin();
  while (bytes_ > max_bytes_ && !entries_.empty()) {
    erase(std::prev(entries_.end()));
  }
}

chain_cache::text_ptr chain_cache::find(const std::string& attempt,
                                        std::uint64_t now_ms) {
  const auto held = by_attempt_.find(attempt);
  if (held == by_attempt_.end()) {
    return nullptr;
  }
  if (held->second->until_ms <= now_ms) {
    erase(held->second);
    return nullptr;
  }
  entries_.splice(entries_.begin(), entries_, held->second);
  return entries_.front().text;
}

void chain_cache::erase(entry_list::iterator at) {
  bytes_ -= at->text->size();
  by_attempt_.erase(at->attempt);
  entries_.erase(at);
}

}  // namespace trayrock
