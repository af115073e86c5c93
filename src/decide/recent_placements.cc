#include "trayrock/internal/decide/recent_placements.h"

#include <xxhash.h>

namespace trayrock {
namespace {

// Engines evict the prompts of programs that pause for longer than this.
constexpr std::uint64_t max_age_ms = 20000;
// Bounds the memory of the table; some 200 bytes for each entry.
constexpr std::size_t max_entries = 20000;

}  // namespace

std::uint64_t hash_of_program(const turn_line& line) {
  return XXH3_64bits_withSeed(
      line.program.data(), line.program.size(),
      XXH3_64bits(line.workspace.data(), line.workspace.size()));
}

std::uint64_t hash_of_line(const turn_line& line) {
  return XXH3_64bits_withSeed(line.session.data(), line.session.size(),
                              hash_of_program(line)) |
         1U;
}

void recent_placements::record(const turn_line& line,
                               const endpoint_identity& endpoint,
                               std::uint64_t now_ms) {
  remove_expired(now_ms);
  put(hash_of_program(line), endpoint, now_ms, false);
  put(hash_of_line(line), endpoint, now_ms, true);
}

void recent_placements::forget(const turn_line& line,
                               const endpoint_identity& endpoint) {
  erase(hash_of_program(line), endpoint);
  erase(hash_of_line(line), endpoint);
}

std::optional<endpoint_identity> recent_placements::find_line(
    const turn_line& line, std::uint64_t now_ms) const {
  return find(hash_of_line(line), now_ms);
}

std::optional<endpoint_identity> recent_placements::find_program(
    const turn_line& line, std::uint64_t now_ms) const {
  return find(hash_of_program(line), now_ms);
}

std::uint32_t recent_placements::active_lines(const endpoint_identity& endpoint,
                                              std::uint64_t now_ms) {
  remove_expired(now_ms);
  const auto found = active_.find(endpoint);
  return found == active_.end() ? 0 : found->second;
}

void recent_placements::put(std::uint64_t key,
                            const endpoint_identity& endpoint,
                            std::uint64_t now_ms, bool is_line) {
  entry& held = by_key_[key];
  deactivate(held);
  held = {endpoint, now_ms, is_line};
  marks_.push_back({now_ms, key});
  if (is_line) {
    ++active_[endpoint];
    active_marks_.push_back({now_ms, key});
  }
}

void recent_placements::erase(std::uint64_t key,
                              const endpoint_identity& endpoint) {
  const auto held = by_key_.find(key);
  if (held != by_key_.end() && held->second.endpoint == endpoint) {
    deactivate(held->second);
    by_key_.erase(held);
  }
}

void recent_placements::deactivate(entry& from) {
  if (!from.is_active) {
    return;
  }
  from.is_active = false;
  const auto found = active_.find(from.endpoint);
  if (--found->second == 0) {
    active_.erase(found);
  }
}

void recent_placements::remove_expired(std::uint64_t now_ms) {
  while (!active_marks_.empty() &&
         active_marks_.front().at_ms + active_ms < now_ms) {
    const auto held = by_key_.find(active_marks_.front().key);
    if (held != by_key_.end() &&
        held->second.at_ms == active_marks_.front().at_ms) {
      deactivate(held->second);
    }
    active_marks_.pop_front();
  }
  while (!marks_.empty() && (marks_.front().at_ms + max_age_ms < now_ms ||
                             by_key_.size() > max_entries)) {
    const auto held = by_key_.find(marks_.front().key);
    if (held != by_key_.end() && held->second.at_ms == marks_.front().at_ms) {
      deactivate(held->second);
      by_key_.erase(held);
    }
    marks_.pop_front();
  }
}

std::optional<endpoint_identity> recent_placements::find(
    std::uint64_t key, std::uint64_t now_ms) const {
  const auto found = by_key_.find(key);
  const bool recent =
      found != by_key_.end() && found->second.at_ms + max_age_ms >= now_ms;
  return recent ? std::optional(found->second.endpoint) : std::nullopt;
}

}  // namespace trayrock
