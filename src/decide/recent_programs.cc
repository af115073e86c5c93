#include "trayrock/internal/decide/recent_programs.h"

#include <xxhash.h>

namespace trayrock {
namespace {

// Longer than a program rests between two turns.
constexpr std::uint64_t life_ms = 20000;

std::uint64_t hash_of(std::string_view program) {
  return XXH3_64bits(program.data(), program.size());
}

}  // namespace

void recent_programs::record(std::string_view program, std::uint64_t now_ms) {
  forget_old(now_ms);
  const std::uint64_t hash = hash_of(program);
  last_ms_[hash] = now_ms;
  order_.push_back({now_ms, hash});
}

bool recent_programs::contains(std::string_view program,
                               std::uint64_t now_ms) const {
  const auto found = last_ms_.find(hash_of(program));
  return found != last_ms_.end() && found->second + life_ms >= now_ms;
}

void recent_programs::forget_old(std::uint64_t now_ms) {
  while (!order_.empty() && order_.front().at_ms + life_ms < now_ms) {
    const auto held = last_ms_.find(order_.front().hash);
    if (held != last_ms_.end() && held->second == order_.front().at_ms) {
      last_ms_.erase(held);
    }
    order_.pop_front();
  }
}

}  // namespace trayrock
