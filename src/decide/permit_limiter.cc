#include "trayrock/internal/decide/permit_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// The share of the operator's tolerance that is issued.
constexpr double issued_tolerance_share = 0.5;
// The share of each store's permits that requests which start a program can't
// use, since a program under way that is refused one loses all work done so
// far.
constexpr double program_reserve_share = 0.25;
// The programs that start in a window may need this share of the permits; the
// rest covers programs that need more than the mean.
constexpr double start_share = 0.9;
// How long the mean of a workspace without requests is kept, in windows: an
// overload often follows a pause.
constexpr std::uint64_t kept_windows = 60;
// How long programs that start are limited after a program under way was
// refused a permit, in windows. At other times the limit has room for them.
constexpr std::uint64_t limited_windows = 3;
// Weight of the last window in the mean number of requests of a program.
constexpr double window_weight = 0.3;
// The share of each store's permits that may be issued before they are on disk,
// and one permit more. With a tolerance of a tenth of the limit and 20
// requests, a power failure on five stores loses less than half of what is not
// issued.
constexpr double unsynced_share = 0.01;
// Bounds the memory; permits of further workspaces are refused. Far above the
// number that operators configure.
constexpr std::size_t max_workspaces = 65536;

}  // namespace

std::uint64_t requests_in_window(const request_limit& of,
                                 const limit_terms& terms) {
  using seconds = std::chrono::duration<double>;
  const double window =
      std::chrono::duration_cast<seconds>(terms.window).count();
  const double limit = of.per_second * window + of.burst;
  const double beyond = limit * terms.overshoot + terms.tolerance;
  return static_cast<std::uint64_t>(limit + beyond * issued_tolerance_share);
}

// ---- One workspace ---------------------------------------------------------

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

void permit_window::remove(std::uint64_t slot) {
  const bool counted = slot <= newest_ && newest_ - slot < counts_.size();
  if (counted && counts_[slot % counts_.size()] > 0) {
    --counts_[slot % counts_.size()];
  }
}

std::uint64_t permit_window::slots_until_below(std::uint64_t slot,
                                               std::uint64_t share) {
  std::uint64_t remaining = count(slot);
  std::uint64_t passed = 0;
  while (remaining >= share && passed < counts_.size()) {
    ++passed;
    remaining -= counts_[(newest_ + passed) % counts_.size()];
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

// ---- Programs that start ---------------------------------------------------

void program_starts::add(std::uint64_t slot, permit_use use) {
  end_window(slot);
  ++window_requests_;
  if (use == permit_use::starts_program) {
    ++window_starts_;
    starts_.add(slot, 1);
  }
}

void program_starts::on_refusal(std::uint64_t slot, permit_use use) {
  end_window(slot);
  window_without_refusal_ = false;
  if (use == permit_use::regular) {
    limited_until_ = slot + limited_windows * permit_window::slots;
  }
}

// A window in which requests were refused says little about the number that a
// program needs.
void program_starts::end_window(std::uint64_t slot) {
  if (slot < window_begin_ + permit_window::slots) {
    return;
  }
  if (window_without_refusal_ && window_starts_ > 0) {
    mean_requests_ += window_weight * (window_requests_ - mean_requests_);
    mean_starts_ += window_weight * (window_starts_ - mean_starts_);
  }
  window_begin_ = slot;
  window_requests_ = 0;
  window_starts_ = 0;
  window_without_refusal_ = true;
}

bool program_starts::is_needed(std::uint64_t slot) const {
  return mean_starts_ > 0 &&
         slot < window_begin_ + kept_windows * permit_window::slots;
}

std::uint64_t program_starts::slots_until_allowed(std::uint64_t slot,
                                                  std::uint64_t share) {
  if (mean_starts_ <= 0 || slot >= limited_until_) {
    return 0;
  }
  const double requests_of_program =
      std::max(mean_requests_ / mean_starts_, 1.0);
  const double allowed =
      static_cast<double>(share) * start_share / requests_of_program;
  const std::uint64_t wait = starts_.slots_until_below(
      slot, std::max<std::uint64_t>(1, static_cast<std::uint64_t>(allowed)));
  return std::min(wait, limited_until_ - slot);
}

// ---- All workspaces --------------------------------------------------------

std::uint64_t permit_limiter::slot_ms() const {
  return std::max<std::uint64_t>(
      static_cast<std::uint64_t>(terms_.window.count()) / permit_window::slots,
      1);
}

// The first slots of the clock are reserved for permits issued before it began.
std::uint64_t permit_limiter::slot_of(std::uint64_t now_ms) const {
  return now_ms / slot_ms() + permit_window::slots + 1;
}

// The end of a window and of the slot in which it begins.
std::uint64_t permit_limiter::window_end_ms(std::uint64_t now_ms) const {
  return now_ms + static_cast<std::uint64_t>(terms_.window.count()) + slot_ms();
}

void permit_limiter::begin(std::vector<std::string> stores,
                           const std::string& own) {
  std::sort(stores.begin(), stores.end());
  const auto found = std::find(stores.begin(), stores.end(), own);
  split_ = found == stores.end()
               ? store_split()
               : store_split{stores.size(),
                             static_cast<std::size_t>(found - stores.begin())};
}

void permit_limiter::restore(std::string_view workspace,
                             std::vector<std::uint32_t> counts,
                             std::uint64_t now_ms) {
  permit_window& window = workspaces_[std::string(workspace)].window;
  // A log may hold several versions of a workspace; the last one counts.
  window = permit_window();
  const std::uint64_t now = slot_of(now_ms);
  counts.resize(std::min<std::size_t>(counts.size(), permit_window::slots + 1));
  for (std::size_t i = counts.size(); i > 0; --i) {
    window.add(now + 1 - i, counts[i - 1]);
  }
}

void permit_limiter::set_stores(std::vector<std::string> stores,
                                const std::string& own, std::uint64_t now_ms) {
  std::erase_if(former_, [now_ms](const former_split& each) {
    return each.until_ms <= now_ms;
  });
  if (split_.stores == 0) {
    // The store that this one replaces may have issued its whole share.
    closed_until_ms_ = window_end_ms(now_ms);
  } else {
    former_.push_back({split_, window_end_ms(now_ms)});
  }
  begin(std::move(stores), own);
}

// Permits that the stores do not divide evenly go to stores in an order that
// depends on the workspace.
std::uint64_t permit_limiter::share_in(std::uint64_t limit,
                                       std::string_view workspace,
                                       const store_split& split) {
  const std::uint64_t position =
      (split.index + XXH3_64bits(workspace.data(), workspace.size())) %
      split.stores;
  return limit / split.stores + (position < limit % split.stores ? 1 : 0);
}

std::uint64_t permit_limiter::share_of(std::string_view workspace,
                                       const request_limit& limit,
                                       std::uint64_t now_ms) const {
  const std::uint64_t all = requests_in_window(limit, terms_);
  std::uint64_t share = share_in(all, workspace, split_);
  for (const former_split& each : former_) {
    if (each.until_ms > now_ms) {
      share = std::min(share, share_in(all, workspace, each.split));
    }
  }
  return share;
}

bool permit_limiter::is_closed(std::uint64_t now_ms) const {
  return now_ms < closed_until_ms_;
}

bool permit_limiter::is_within_share(std::uint64_t now_ms) {
  const std::uint64_t slot = slot_of(now_ms);
  return std::all_of(workspaces_.begin(), workspaces_.end(), [&](auto& each) {
    auto& [workspace, usage] = each;
    const std::uint64_t share =
        split_.stores == 0 ? 0
                           : share_in(requests_in_window(usage.limit, terms_),
                                      workspace, split_);
    return usage.window.count(slot) <= share;
  });
}

permit_verdict permit_limiter::acquire(std::string_view workspace,
                                       const request_limit& limit,
                                       permit_use use, std::uint64_t now_ms) {
  if (split_.stores == 0 || is_closed(now_ms)) {
    const std::uint64_t wait_ms =
        is_closed(now_ms) ? closed_until_ms_ - now_ms : slot_ms();
    return permit_refused{milliseconds(wait_ms)};
  }
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end() && workspaces_.size() >= max_workspaces) {
    return permit_refused{terms_.window};
  }
  entry& usage = found != workspaces_.end()
                     ? found->second
                     : workspaces_[std::string(workspace)];
  if (limit.configuration >= usage.limit.configuration) {
    usage.limit = limit;
  }
  const std::uint64_t share = share_of(workspace, usage.limit, now_ms);
  const auto reserved = static_cast<std::uint64_t>(static_cast<double>(share) *
                                                   program_reserve_share);
  const std::uint64_t available =
      use == permit_use::starts_program ? share - reserved : share;
  const std::uint64_t slot = slot_of(now_ms);
  std::uint64_t wait = usage.window.slots_until_below(slot, available);
  if (use == permit_use::starts_program) {
    wait = std::max(wait, usage.starts.slots_until_allowed(slot, share));
  }
  if (wait == 0) {
    usage.window.add(slot, 1);
    usage.starts.add(slot, use);
    return permit_given{slot};
  }
  usage.starts.on_refusal(slot, use);
  const std::uint64_t next_ms = wait * slot_ms() - now_ms % slot_ms();
  return permit_refused{milliseconds(next_ms)};
}

void permit_limiter::give_back(std::string_view workspace, std::uint64_t slot) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) {
    found->second.window.remove(slot);
  }
}

std::vector<std::uint32_t> permit_limiter::counts(std::string_view workspace,
                                                  std::uint64_t now_ms) {
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end()
             ? std::vector<std::uint32_t>()
             : found->second.window.counts(slot_of(now_ms));
}

std::uint64_t permit_limiter::max_unsynced(std::string_view workspace) const {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end() || split_.stores == 0) {
    return 1;
  }
  const double share =
      static_cast<double>(requests_in_window(found->second.limit, terms_)) /
      static_cast<double>(split_.stores);
  return 1 + static_cast<std::uint64_t>(share * unsynced_share);
}

std::vector<std::string> permit_limiter::drop_unused(std::uint64_t now_ms) {
  std::vector<std::string> dropped;
  const std::uint64_t now = slot_of(now_ms);
  for (auto each = workspaces_.begin(); each != workspaces_.end();) {
    if (each->second.window.count(now) > 0 ||
        each->second.starts.is_needed(now)) {
      ++each;
      continue;
    }
    dropped.push_back(each->first);
    each = workspaces_.erase(each);
  }
  return dropped;
}

}  // namespace trayrock
