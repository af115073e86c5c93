// How long requests of each route have lately taken, to say whether one that
// comes now can still be ended.
//
// No I/O, no clock.
//
// Example:
//   duration_estimator durations;
//   durations.add("chat", milliseconds(240));
//   if (durations.needed("chat", partial_delivery::yes) > time_left) refuse();
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace trayrock {

// Whether an answer may have reached its client in part when time runs out. A
// stream that is broken off is lost; a whole answer can be replaced by an
// error.
enum class partial_delivery { no, yes };

// What the time that a route needs is estimated by: its last requests, or one
// time for all routes.
struct by_recent_requests {
  bool operator==(const by_recent_requests&) const = default;
};
struct by_fixed_time {
  bool operator==(const by_fixed_time&) const = default;
};
using duration_source = std::variant<by_recent_requests, by_fixed_time>;

class duration_estimator {
 public:
  explicit duration_estimator(duration_source estimate = by_recent_requests{})
      : estimate_(estimate) {}

  // Expected of a route with too few samples. Of 52,000 requests on a busy
  // day one took longer than 2.0 s.
  static constexpr std::chrono::milliseconds unknown{2200};

  void add(std::string_view route, std::chrono::milliseconds taken);

  // The longest of the last requests of a route.
  std::chrono::milliseconds longest(std::string_view route) const;

  // How much time has to be left for a request of the route to be begun.
  std::chrono::milliseconds needed(std::string_view route,
                                   partial_delivery kind) const;

 private:
  // The longest of 64 is about the 98th percentile.
  static constexpr std::size_t kept = 64;
  static constexpr std::size_t enough = 16;

  struct samples {
    std::array<std::chrono::milliseconds, kept> last{};
    std::size_t seen = 0;
  };

  std::chrono::milliseconds needed_by(const by_recent_requests&,
                                      std::string_view route,
                                      partial_delivery kind) const;
  static std::chrono::milliseconds needed_by(const by_fixed_time&,
                                             std::string_view,
                                             partial_delivery) {
    return unknown;
  }

  duration_source estimate_;
  std::map<std::string, samples, std::less<>> routes_;
};

}  // namespace trayrock
