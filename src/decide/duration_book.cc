#include "trayrock/internal/decide/duration_book.h"

#include <algorithm>

namespace trayrock {

void duration_book::add(std::string_view route,
                        std::chrono::milliseconds taken) {
  auto held = routes_.find(route);
  if (held == routes_.end()) {
    held = routes_.emplace(route, samples{}).first;
  }
  samples& of_route = held->second;
  of_route.last[of_route.seen % kept] = taken;
  ++of_route.seen;
}

std::chrono::milliseconds duration_book::longest(std::string_view route) const {
  const auto held = routes_.find(route);
  if (held == routes_.end() || held->second.seen < enough) {
    return unknown;
  }
  return *std::max_element(held->second.last.begin(), held->second.last.end());
}

}  // namespace trayrock
