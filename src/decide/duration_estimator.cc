#include "trayrock/internal/decide/duration_estimator.h"

#include <algorithm>

namespace trayrock {

namespace {

// A stream needs this multiple of the longest recent duration, since an
// interrupted stream is lost. The minimum is needed where all recent samples
// were short: a much longer stream may follow them.
constexpr double stream_margin = 1.8;
constexpr std::chrono::milliseconds min_for_stream{2600};

}  // namespace

void duration_estimator::add(std::string_view route,
                             std::chrono::milliseconds taken) {
  auto entry = routes_.find(route);
  if (entry == routes_.end()) {
    entry = routes_.emplace(route, samples{}).first;
  }
  samples& recorded = entry->second;
  recorded.last[recorded.count % max_samples] = taken;
  ++recorded.count;
}

std::chrono::milliseconds duration_estimator::longest(
    std::string_view route) const {
  const auto entry = routes_.find(route);
  if (entry == routes_.end() || entry->second.count < min_samples) {
    return unknown;
  }
  return *std::max_element(entry->second.last.begin(),
                           entry->second.last.end());
}

std::chrono::milliseconds duration_estimator::needed(
    std::string_view route, partial_delivery delivery) const {
  return std::visit(
      [&](const auto& by) { return needed_by(by, route, delivery); }, source_);
}

std::chrono::milliseconds duration_estimator::needed_by(
    const by_recent_requests&, std::string_view route,
    partial_delivery delivery) const {
  const std::chrono::milliseconds estimate = longest(route);
  if (delivery == partial_delivery::no) {
    return estimate;
  }
  const std::chrono::milliseconds with_margin(
      static_cast<long>(static_cast<double>(estimate.count()) * stream_margin));
  return std::max(with_margin, min_for_stream);
}

}  // namespace trayrock
