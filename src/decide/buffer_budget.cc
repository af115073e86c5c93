#include "trayrock/internal/decide/buffer_budget.h"

#include <algorithm>

namespace trayrock {
namespace {

// Sixteenths of the process's memory. The other half is for the process itself,
// unused parts of buffers, and data that is being copied.
constexpr std::uint64_t parts = 16;
constexpr std::uint64_t pause_parts = 4;
constexpr std::uint64_t settle_parts = 5;
constexpr std::uint64_t refuse_parts = 6;
constexpr std::uint64_t end_parts = 8;

// A holder may have this part of what is left up to `settle_at`. With hundreds
// of holders at their share, the total settles just below that. Each may exceed
// its share by one read from its endpoint (4 KB), for which there is room up to
// the refusals: 1,400 holders on the smallest boxes (88 MB).
constexpr std::uint64_t share_divisor = 8;
// One round of the event loop sends up to 16 KB to a client; with less, reading
// would pause for clients that read.
constexpr std::uint64_t min_share = 16384;
// A paused client has to read half of its share before reading resumes, and the
// total has to fall by an eighth. Without this, reading would stop and go with
// every write.
constexpr std::uint64_t resume_divisor = 2;
constexpr std::uint64_t hysteresis_divisor = 8;

}  // namespace

buffer_limits buffer_limits::of_memory(std::uint64_t bytes) {
  buffer_limits made;
  made.pause_at = bytes / parts * pause_parts;
  made.settle_at = bytes / parts * settle_parts;
  made.refuse_at = bytes / parts * refuse_parts;
  made.end_at = bytes / parts * end_parts;
  return made;
}

buffer_actions buffer_budget::set_unread(std::uint64_t holder,
                                         std::uint64_t bytes) {
  holding& of = holders_[holder];
  set(of, of.unread, bytes);
  buffer_actions actions;
  if (!of.ended) {
    pause_or_resume(holder, of.unread, actions);
  }
  end_largest(actions);
  resume_all_if_low(actions);
  return actions;
}

buffer_actions buffer_budget::set_retained(std::uint64_t holder,
                                           std::uint64_t bytes) {
  holding& of = holders_[holder];
  set(of, of.retained, bytes);
  buffer_actions actions;
  end_largest(actions);
  resume_all_if_low(actions);
  return actions;
}

buffer_actions buffer_budget::remove(std::uint64_t holder) {
  const auto found = holders_.find(holder);
  buffer_actions actions;
  if (found == holders_.end()) {
    return actions;
  }
  if (!found->second.ended) {
    held_ -= found->second.total();
  }
  holders_.erase(found);
  paused_.erase(holder);
  resume_all_if_low(actions);
  return actions;
}

void buffer_budget::set(holding& of, std::uint64_t& part, std::uint64_t bytes) {
  if (!of.ended) {
    held_ = held_ - part + bytes;
  }
  part = bytes;
}

std::uint64_t buffer_budget::unread_share() const {
  const std::uint64_t left =
      limits_.settle_at > held_ ? limits_.settle_at - held_ : 0;
  return std::max(left / share_divisor, min_share);
}

void buffer_budget::pause_or_resume(std::uint64_t holder, std::uint64_t unread,
                                    buffer_actions& actions) {
  if (held_ <= limits_.pause_at && paused_.empty()) {
    return;
  }
  if (is_paused(holder)) {
    if (unread <= unread_share() / resume_divisor) {
      paused_.erase(holder);
      actions.emplace_back(resume_reading{holder});
    }
  } else if (held_ > limits_.pause_at && unread > unread_share()) {
    paused_.insert(holder);
    actions.emplace_back(pause_reading{holder});
  }
}

void buffer_budget::end_largest(buffer_actions& actions) {
  while (held_ > limits_.end_at) {
    const auto size = [](const auto& each) {
      return each.second.ended ? 0 : each.second.total();
    };
    const auto largest = std::max_element(
        holders_.begin(), holders_.end(),
        [&](const auto& a, const auto& b) { return size(a) < size(b); });
    const std::uint64_t bytes = size(*largest);
    held_ -= bytes;
    largest->second.ended = true;
    paused_.erase(largest->first);
    actions.emplace_back(end_holder{largest->first, bytes});
  }
}

void buffer_budget::resume_all_if_low(buffer_actions& actions) {
  if (paused_.empty() ||
      held_ > limits_.pause_at - limits_.pause_at / hysteresis_divisor) {
    return;
  }
  for (const std::uint64_t each : paused_) {
    actions.emplace_back(resume_reading{each});
  }
  paused_.clear();
}

}  // namespace trayrock
