// Estimates the duration of a route's requests from recent ones, to decide
// whether a new request can still complete before the gateway stops. No I/O and
// no clock.
//
// Example:
//   duration_estimator durations;
//   durations.add("chat", milliseconds(240));
//   if (durations.needed("chat", partial_delivery::yes) > time_left) reject();
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace trayrock {

// Whether the client may have received a part of the response when time runs
// out. An interrupted stream is lost; a response that has not begun can be
// replaced by an error.
enum class partial_delivery { no, yes };

// The source of the estimate: the route's last requests, or a fixed time for
// all routes.
struct by_recent_requests {
  bool operator==(const by_recent_requests&) const = default;
};
struct by_fixed_time {
  bool operator==(const by_fixed_time&) const = default;
};
using duration_source = std::variant<by_recent_requests, by_fixed_time>;

class duration_estimator {
 public:
  explicit duration_estimator(duration_source source = by_recent_requests{})
      : source_(source) {}

  // The estimate for a route with too few samples.
  static constexpr std::chrono::milliseconds unknown{2200};

  void add(std::string_view route, std::chrono::milliseconds taken);

  // The longest duration of a route's last requests.
  std::chrono::milliseconds longest(std::string_view route) const;

  // The time that must be left to start a request of the route.
  std::chrono::milliseconds needed(std::string_view route,
                                   partial_delivery delivery) const;

 private:
  // The longest of 64 samples is about the 98th percentile.
  static constexpr std::size_t max_samples = 64;
  static constexpr std::size_t min_samples = 16;

  struct samples {
    std::array<std::chrono::milliseconds, max_samples> last{};
    std::size_t count = 0;
  };

  std::chrono::milliseconds needed_by(const by_recent_requests&,
                                      std::string_view route,
                                      partial_delivery delivery) const;
  static std::chrono::milliseconds needed_by(const by_fixed_time&,
                                             std::string_view,
                                             partial_delivery) {
    return unknown;
  }

  duration_source source_;
  std::map<std::string, samples, std::less<>> routes_;
};

}  // namespace trayrock
