// One record store's share of the workspaces' request limits.
//
// A limit holds over all gateways and in every sliding window. Each store of
// the group owns a fixed share of each workspace's limit and issues permits to
// any gateway until its share of the last window is used up. The shares add up
// to the limit, so that stores need no agreement, also when the network is
// partitioned; the share of a store that is down is not issued.
//
// Only half of the tolerance that the operator allows for distributed counting
// is issued. The rest covers permits whose records a power failure destroys
// (see max_unsynced()) and the delay between a permit and its request.
//
// Permits issued before a restart are restored from disk, and count as if they
// were issued at the start. A store that joins the group issues nothing for one
// window, unless the other stores confirm earlier that what they issued lies
// within their new shares (decide/permit_confirmations.h).
//
// Requests that start a program can't use a part of each share, since a program
// under way that is refused a permit loses all work done so far. Once one was
// refused, its workspace may not start more programs in a window than its
// permits suffice for: these would use up all permits at once, and none would
// complete.
//
// No I/O; times are of a steady clock.
//
// Example:
//   permit_limiter limiter(terms);
//   limiter.begin({"store-1", "store-2", "store-3"}, "store-2");
//   const permit_verdict verdict =
//       limiter.acquire("growers", limit, permit_use::regular, now);
//   if (const auto* given = std::get_if<permit_given>(&verdict)) serve();
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace trayrock {

// How limits are counted; from the operator's settings.
struct limit_terms {
  std::chrono::milliseconds window{5000};
  // Requests beyond the limit that are tolerated in a window: the sum of a
  // share of the limit and a number of requests.
  double overshoot = 0;
  double tolerance = 0;
};

// The limit of a workspace.
struct request_limit {
  double per_second = 0;
  double burst = 0;
  std::uint64_t configuration = 0;  // version that sets this limit
};

// The number of permits that all stores together may issue in a window.
std::uint64_t requests_in_window(const request_limit& of,
                                 const limit_terms& terms);

enum class permit_use {
  regular,        // continues a program, or belongs to none
  starts_program  // the first request of a program
};

struct permit_given {
  std::uint64_t slot = 0;  // passed to give_back() if the permit is not used
};
struct permit_refused {
  std::chrono::milliseconds next{0};  // until a permit may be available
};
using permit_verdict = std::variant<permit_given, permit_refused>;

// The permits that one store issued to a workspace in the last window.
class permit_window {
 public:
  static constexpr std::uint64_t slots = 20;  // per window

  std::uint32_t count(std::uint64_t slot);
  void add(std::uint64_t slot, std::uint32_t permits);
  void remove(std::uint64_t slot);

  // The number of slots until the window has fewer permits than `share`.
  std::uint64_t slots_until_below(std::uint64_t slot, std::uint64_t share);

  // By slot, newest first, without trailing empty slots.
  std::vector<std::uint32_t> counts(std::uint64_t slot);

 private:
  void advance(std::uint64_t slot);

  // One more than a window has, since a window begins within the oldest slot.
  std::array<std::uint32_t, slots + 1> counts_{};
  std::uint64_t newest_ = 0;
};

// Limits the programs of a workspace that start in a window, once programs
// under way were refused permits: by the mean number of requests that its
// programs made in windows without a refusal.
class program_starts {
 public:
  // A permit was issued.
  void add(std::uint64_t slot, permit_use use);

  // A request was refused a permit.
  void on_refusal(std::uint64_t slot, permit_use use);

  // Whether the mean may still be of use.
  bool is_needed(std::uint64_t slot) const;

  // The number of slots until a program may start. `share` is the number of
  // permits of a window.
  std::uint64_t slots_until_allowed(std::uint64_t slot, std::uint64_t share);

 private:
  void end_window(std::uint64_t slot);

  permit_window starts_;
  double mean_requests_ = 0;  // in a window
  double mean_starts_ = 0;    // likewise; 0: none yet
  std::uint64_t window_begin_ = 0;
  std::uint32_t window_requests_ = 0;
  std::uint32_t window_starts_ = 0;
  bool window_without_refusal_ = false;
  std::uint64_t limited_until_ = 0;  // slot
};

class permit_limiter {
 public:
  explicit permit_limiter(const limit_terms& terms) : terms_(terms) {}

  // Sets the stores that share the limits at the start: those stored on disk,
  // or the first ones of a new group. A store that is not among them issues
  // nothing.
  void begin(std::vector<std::string> stores, const std::string& own);

  // Restores the permits issued before the start, by slot, newest first.
  void restore(std::string_view workspace, std::vector<std::uint32_t> counts,
               std::uint64_t now_ms);

  // Changes the stores. A store that was not among them issues nothing for one
  // window. The others use the smaller of their shares before and after the
  // change for one window, since permits issued before still count.
  void set_stores(std::vector<std::string> stores, const std::string& own,
                  std::uint64_t now_ms);

  // True in the window in which a store that has joined issues nothing.
  bool is_closed(std::uint64_t now_ms) const;
  void open() { closed_until_ms_ = 0; }

  // Whether the permits of the last window lie within this store's share of the
  // current group, for every workspace. Once true, it stays true in this group.
  bool is_within_share(std::uint64_t now_ms);

  permit_verdict acquire(std::string_view workspace, const request_limit& limit,
                         permit_use use, std::uint64_t now_ms);

  // Returns a permit whose request has not run.
  void give_back(std::string_view workspace, std::uint64_t slot);

  // The permits of a workspace that must be on disk; empty: none.
  std::vector<std::uint32_t> counts(std::string_view workspace,
                                    std::uint64_t now_ms);

  // The number of permits of a workspace that may be issued before they are on
  // disk. A power failure loses at most that many.
  std::uint64_t max_unsynced(std::string_view workspace) const;

  // Removes workspaces without permits in the last window and returns their
  // names.
  std::vector<std::string> drop_unused(std::uint64_t now_ms);

  std::size_t size() const { return workspaces_.size(); }

 private:
  struct entry {
    permit_window window;
    request_limit limit;  // of the latest configuration received
    program_starts starts;
  };

  std::uint64_t window_end_ms(std::uint64_t now_ms) const;
  std::uint64_t slot_of(std::uint64_t now_ms) const;
  std::uint64_t slot_ms() const;
  std::uint64_t share_of(std::string_view workspace, const request_limit& limit,
                         std::uint64_t now_ms) const;

  // How limits are split among the stores.
  struct store_split {
    std::size_t stores = 0;  // 0: this store is not among them
    std::size_t index = 0;   // of this store, in the order of their names
  };
  // An earlier split that still limits the shares.
  struct former_split {
    store_split split;
    std::uint64_t until_ms = 0;
  };

  static std::uint64_t share_in(std::uint64_t limit, std::string_view workspace,
                                const store_split& split);

  limit_terms terms_;
  std::map<std::string, entry, std::less<>> workspaces_;
  store_split split_;
  std::vector<former_split> former_;
  std::uint64_t closed_until_ms_ = 0;
};

}  // namespace trayrock
