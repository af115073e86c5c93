#include "trayrock/internal/decide/permit_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// The part of the operator's tolerance that is given out.
constexpr double given_tolerance = 0.5;
// The part of a share that requests which begin a program leave alone: a
// program that cannot go on is lost with all that was spent on it.
constexpr double kept_for_programs = 0.25;
// The part of a share that may be given out ahead of the disk, and one permit
// more. With a tenth of the limit and 20 requests as tolerance, half of which
// is kept, a loss of power on five stores takes less than half of what is kept.
constexpr double unsynced_share = 0.01;
// Far above what operators configure; others that ask for more are refused.
constexpr std::size_t most_workspaces = 65536;

}  // namespace

std::uint64_t requests_in_window(const request_limit& of,
                                 const limit_terms& terms) {
  using seconds = std::chrono::duration<double>;
  const double window =
      std::chrono::duration_cast<seconds>(terms.window).count();
  const double limit = of.per_second * window + of.burst;
  const double beyond = limit * terms.overshoot + terms.tolerance;
  return static_cast<std::uint64_t>(limit + beyond * given_tolerance);
}

// ---- One workspace
// -----------------------------------------------------------

void permit_window::advance(std::uint64_t slot) {
  if (slot <= newest_) {
    return;
  }
  const std::uint64_t passed =
      std::min<std::uint64_t>(slot - newest_, counts_.size());
  for (std::uint64_t i = 1; i <= passed; ++i) {
    counts_[(slot - passed + i) % counts_.size()] = 0;
  }
  newest_ = slot;
}

std::uint32_t permit_window::count(std::uint64_t slot) {
  advance(slot);
  return std::accumulate(counts_.begin(), counts_.end(), 0U);
}

void permit_window::add(std::uint64_t slot, std::uint32_t permits) {
  advance(slot);
  counts_[newest_ % counts_.size()] += permits;
}

void permit_window::take_back(std::uint64_t slot) {
  const bool counted = slot <= newest_ && newest_ - slot < counts_.size();
  if (counted && counts_[slot % counts_.size()] > 0) {
    --counts_[slot % counts_.size()];
  }
}

std::uint64_t permit_window::slots_until_below(std::uint64_t slot,
                                               std::uint64_t share) {
  std::uint64_t left = count(slot);
  std::uint64_t passed = 0;
  while (left >= share && passed < counts_.size()) {
    ++passed;
    left -= counts_[(newest_ + passed) % counts_.size()];
  }
  return passed;
}

std::vector<std::uint32_t> permit_window::counts(std::uint64_t slot) {
  advance(slot);
  std::vector<std::uint32_t> made;
  for (std::uint64_t i = 0; i < counts_.size() && i <= newest_; ++i) {
    made.push_back(counts_[(newest_ - i) % counts_.size()]);
  }
  while (!made.empty() && made.back() == 0) {
    made.pop_back();
  }
  return made;
}

// ---- All
// ---------------------------------------------------------------------

std::uint64_t permit_limiter::slot_ms() const {
  return std::max<std::uint64_t>(
      static_cast<std::uint64_t>(terms_.window.count()) / permit_window::slots,
      1);
}

// The first slots of the clock are left free for what was given before it.
std::uint64_t permit_limiter::slot_of(std::uint64_t now_ms) const {
  return now_ms / slot_ms() + permit_window::slots + 1;
}

// A window and the slot in which it begins.
std::uint64_t permit_limiter::window_end_ms(std::uint64_t now_ms) const {
  return now_ms + static_cast<std::uint64_t>(terms_.window.count()) + slot_ms();
}

void permit_limiter::begin(std::vector<std::string> stores,
                           const std::string& own) {
  std::sort(stores.begin(), stores.end());
  const auto at = std::find(stores.begin(), stores.end(), own);
  division_ = at == stores.end()
                  ? division()
                  : division{stores.size(),
                             static_cast<std::size_t>(at - stores.begin())};
}

void permit_limiter::restore(std::string_view workspace,
                             std::vector<std::uint32_t> counts,
                             std::uint64_t now_ms) {
  permit_window& window = held_[std::string(workspace)].window;
  window = permit_window();  // a log may show what has been replaced since
  const std::uint64_t now = slot_of(now_ms);
  counts.resize(std::min<std::size_t>(counts.size(), permit_window::slots + 1));
  for (std::size_t i = counts.size(); i > 0; --i) {
    window.add(now + 1 - i, counts[i - 1]);
  }
}

void permit_limiter::set_stores(std::vector<std::string> stores,
                                const std::string& own, std::uint64_t now_ms) {
  std::erase_if(former_, [now_ms](const former_division& each) {
    return each.until_ms <= now_ms;
  });
  if (division_.stores == 0) {
    // The store whose place it takes may have given its whole share.
    closed_until_ms_ = window_end_ms(now_ms);
  } else {
    former_.push_back({division_, window_end_ms(now_ms)});
  }
  begin(std::move(stores), own);
}

// Whole permits; those that are left over go to stores in an order of each
// workspace's own.
std::uint64_t permit_limiter::part_of(std::uint64_t all,
                                      std::string_view workspace,
                                      const division& by) {
  const std::uint64_t turned =
      (by.place + XXH3_64bits(workspace.data(), workspace.size())) % by.stores;
  return all / by.stores + (turned < all % by.stores ? 1 : 0);
}

std::uint64_t permit_limiter::share_of(std::string_view workspace,
                                       const request_limit& limit,
                                       std::uint64_t now_ms) const {
  const std::uint64_t all = requests_in_window(limit, terms_);
  std::uint64_t share = part_of(all, workspace, division_);
  for (const former_division& each : former_) {
    if (each.until_ms > now_ms) {
      share = std::min(share, part_of(all, workspace, each.held));
    }
  }
  return share;
}

permit_verdict permit_limiter::acquire(std::string_view workspace,
                                       const request_limit& limit,
                                       permit_use use, std::uint64_t now_ms) {
  if (division_.stores == 0 || now_ms < closed_until_ms_) {
    const std::uint64_t left =
        now_ms < closed_until_ms_ ? closed_until_ms_ - now_ms : slot_ms();
    return permit_refused{milliseconds(left)};
  }
  const auto known = held_.find(workspace);
  if (known == held_.end() && held_.size() >= most_workspaces) {
    return permit_refused{terms_.window};
  }
  entry& held =
      known != held_.end() ? known->second : held_[std::string(workspace)];
  if (limit.configuration >= held.limit.configuration) {
    held.limit = limit;
  }
  const std::uint64_t share = share_of(workspace, held.limit, now_ms);
  const auto kept = static_cast<std::uint64_t>(static_cast<double>(share) *
                                               kept_for_programs);
  const std::uint64_t most =
      use == permit_use::starts_program ? share - kept : share;
  const std::uint64_t slot = slot_of(now_ms);
  const std::uint64_t wait = held.window.slots_until_below(slot, most);
  if (wait == 0) {
    held.window.add(slot, 1);
    return permit_given{slot};
  }
  const std::uint64_t next_ms = wait * slot_ms() - now_ms % slot_ms();
  return permit_refused{milliseconds(next_ms)};
}

void permit_limiter::give_back(std::string_view workspace, std::uint64_t slot) {
  const auto held = held_.find(workspace);
  if (held != held_.end()) {
    held->second.window.take_back(slot);
  }
}

std::vector<std::uint32_t> permit_limiter::counts(std::string_view workspace,
                                                  std::uint64_t now_ms) {
  const auto held = held_.find(workspace);
  return held == held_.end() ? std::vector<std::uint32_t>()
                             : held->second.window.counts(slot_of(now_ms));
}

std::uint64_t permit_limiter::max_unsynced(std::string_view workspace) const {
  const auto held = held_.find(workspace);
  if (held == held_.end() || division_.stores == 0) {
    return 1;
  }
  const double share =
      static_cast<double>(requests_in_window(held->second.limit, terms_)) /
      static_cast<double>(division_.stores);
  return 1 + static_cast<std::uint64_t>(share * unsynced_share);
}

std::vector<std::string> permit_limiter::drop_unused(std::uint64_t now_ms) {
  std::vector<std::string> dropped;
  const std::uint64_t now = slot_of(now_ms);
  for (auto each = held_.begin(); each != held_.end();) {
    if (each->second.window.count(now) > 0) {
      ++each;
      continue;
    }
    dropped.push_back(each->first);
    each = held_.erase(each);
  }
  return dropped;
}

}  // namespace trayrock
