// Permits for requests of workspaces whose rate is limited, as one record store
// gives them out.
//
// A limit counts over all gateways, also those that are cut off from others, in
// every window of time wherever it lies. So each store of the group owns a
// fixed share of each workspace's limit, and gives a permit to any gateway that
// asks as long as its share of the last window is not used up. Shares add up to
// the limit whatever gateways and stores know of each other; a store that is
// away takes its share along, and a gateway that finds one share used up asks
// the next store. Nothing has to be agreed.
//
// Half of the tolerance that the operator grants for distributed counting is
// given out. The rest covers what a loss of power may take out of a store's
// memory (see max_unsynced()) and the way from a permit to the endpoint.
//
// What a store gave out before it started counts: it is read back from the disk
// as if it had been given at the start. A store that comes into the group anew
// cannot know what the one before it gave, and gives nothing for one window.
//
// Programs under way are served before new ones: a program that cannot go on is
// lost with all that was spent on it. So a part of each share is kept from
// requests that begin one (decide/permit_limiter.cc, `kept_for_programs`).
//
// No I/O; times are of the steady clock.
//
// Example:
//   permit_limiter book(terms);
//   book.begin({"store-1", "store-2", "store-3"}, "store-2");
//   const permit_verdict said =
//       book.acquire("growers", limit, permit_use::goes_on, now);
//   if (const auto* given = std::get_if<permit_given>(&said)) serve();
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

// How limits are counted, as the operator's settings say.
struct limit_terms {
  std::chrono::milliseconds window{5000};
  // Requests beyond the limit that a window may show: a share of it, and a
  // number.
  double overshoot = 0;
  double tolerance = 0;
};

// A workspace's limit; `configuration` is the version that it is from.
struct request_limit {
  double per_second = 0;
  double burst = 0;
  std::uint64_t configuration = 0;
};

// All that a window may show of a workspace, whole requests.
std::uint64_t requests_in_window(const request_limit& of,
                                 const limit_terms& terms);

enum class permit_use {
  regular,        // a request of a program under way, or of none
  starts_program  // the first of a program
};

struct permit_given {
  std::uint64_t slot = 0;  // to be named when it is given back
};
struct permit_refused {
  std::chrono::milliseconds next{0};  // until a permit may be there
};
using permit_verdict = std::variant<permit_given, permit_refused>;

// What one store has given a workspace in the last window.
class permit_window {
 public:
  static constexpr std::uint64_t slots = 20;  // that a window is counted in

  std::uint32_t count(std::uint64_t slot);
  void add(std::uint64_t slot, std::uint32_t permits);
  void take_back(std::uint64_t slot);

  // Slots until fewer than `share` are counted.
  std::uint64_t slots_until_below(std::uint64_t slot, std::uint64_t share);

  // By slot, the newest first, without empty ones at the end.
  std::vector<std::uint32_t> counts(std::uint64_t slot);

 private:
  void advance(std::uint64_t slot);

  // One more than a window has: it begins within the oldest one.
  std::array<std::uint32_t, slots + 1> counts_{};
  std::uint64_t newest_ = 0;
};

class permit_limiter {
 public:
  explicit permit_limiter(const limit_terms& terms) : terms_(terms) {}

  // The stores that share the limits when this one starts, as its disk says, or
  // the first ones that ever do. It gives nothing unless it is among them.
  void begin(std::vector<std::string> stores, const std::string& own);

  // What a workspace was given before the start, by slot, newest first.
  void restore(std::string_view workspace, std::vector<std::uint32_t> counts,
               std::uint64_t now_ms);

  // The stores have changed. A store that was not among them gives nothing for
  // one window. The others give the least of their shares before and after it
  // for one window: until then what has been given counts.
  void set_stores(std::vector<std::string> stores, const std::string& own,
                  std::uint64_t now_ms);

  permit_verdict acquire(std::string_view workspace, const request_limit& limit,
                         permit_use use, std::uint64_t now_ms);

  // A request that got a permit has not run.
  void give_back(std::string_view workspace, std::uint64_t slot);

  // What has to be on the disk of a workspace; empty: nothing.
  std::vector<std::uint32_t> counts(std::string_view workspace,
                                    std::uint64_t now_ms);

  // Permits of a workspace that may be given out before they are on the disk.
  // A loss of power takes no more than that out of the memory of a store.
  std::uint64_t max_unsynced(std::string_view workspace) const;

  // Drops workspaces that were given nothing in the last window, and names
  // them.
  std::vector<std::string> drop_unused(std::uint64_t now_ms);

  std::size_t size() const { return held_.size(); }

 private:
  struct entry {
    permit_window window;
    request_limit limit;  // of the latest version that was told
  };

  // Nothing is given for a window.
  void close(std::uint64_t now_ms);

  std::uint64_t window_end_ms(std::uint64_t now_ms) const;
  std::uint64_t slot_of(std::uint64_t now_ms) const;
  std::uint64_t slot_ms() const;
  std::uint64_t share_of(std::string_view workspace, const request_limit& limit,
                         std::uint64_t now_ms) const;

  // How limits are divided: among so many stores, of which this is one.
  struct division {
    std::size_t stores = 0;  // 0: this one is not among them
    std::size_t place = 0;   // in the order of their names
  };
  // One that is over, and still binds.
  struct former_division {
    division held;
    std::uint64_t until_ms = 0;
  };

  static std::uint64_t part_of(std::uint64_t all, std::string_view workspace,
                               const division& by);

  limit_terms terms_;
  std::map<std::string, entry, std::less<>> held_;
  division division_;
  std::vector<former_division> former_;
  std::uint64_t closed_until_ms_ = 0;
};

}  // namespace trayrock
