#include "trayrock/internal/decide/watch_roles.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace trayrock {
namespace {

constexpr std::size_t watchers_a_data_centre = 2;
// Of all peers so many are told news where every gateway watches by itself, so
// that the work of one event does not grow with the fleet.
constexpr std::size_t most_told = 24;
// A gateway that gave no answer, or does not watch, is left alone this long,
// doubled with each failure in a row. A restart takes about a second.
constexpr std::uint64_t first_pause_ms = 1000;
constexpr std::uint64_t longest_pause_ms = 8000;
constexpr std::uint32_t most_doublings = 3;
// After so many in a row of whom none was of use, this gateway asks the
// platform itself for a while: a platform that turns some boxes away does so
// for several seconds.
constexpr std::uint32_t failures_before_alone = 3;
constexpr std::uint64_t alone_ms = 3000;
// So long a gateway that has just started waits to be told by others.
constexpr std::chrono::milliseconds first_patience{2500};

std::uint64_t order_of(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

bool before(const std::string& left, const std::string& right) {
  const std::uint64_t left_order = order_of(left);
  const std::uint64_t right_order = order_of(right);
  return left_order != right_order ? left_order < right_order : left < right;
}

}  // namespace

watch_roles::watch_roles(std::string own_name, std::string own_data_centre,
                         watch_sharing sharing)
    : own_name_(std::move(own_name)),
      own_data_centre_(std::move(own_data_centre)),
      sharing_(sharing) {}

bool watch_roles::left_alone(const std::string& address,
                             std::uint64_t now_ms) const {
  const auto held = asked_.find(address);
  return held != asked_.end() && held->second.left_alone_until_ms > now_ms;
}

// The peers of a data centre that are to watch: the first ones in the order of
// their names' hashes that are not left alone.
std::vector<const relay_peer*> watch_roles::watchers_of(
    std::span<const relay_peer> peers, std::string_view data_centre,
    std::uint64_t now_ms) const {
  std::vector<const relay_peer*> found;
  for (const relay_peer& each : peers) {
    if (each.data_centre == data_centre && !left_alone(each.address, now_ms)) {
      found.push_back(&each);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const relay_peer* left, const relay_peer* right) {
              return before(left->name, right->name);
            });
  if (found.size() > watchers_a_data_centre) {
    found.resize(watchers_a_data_centre);
  }
  return found;
}

bool watch_roles::is_watcher(std::span<const relay_peer> peers,
                             std::uint64_t now_ms) const {
  if (std::holds_alternative<all_watch>(sharing_)) {
    return true;
  }
  const auto near = watchers_of(peers, own_data_centre_, now_ms);
  return near.size() < watchers_a_data_centre ||
         before(own_name_, near.back()->name);
}

// Those of the own data centre by turns, then one of each other one.
std::vector<std::string> watch_roles::candidates(
    std::span<const relay_peer> peers, std::uint64_t now_ms) const {
  std::vector<std::string> found;
  const auto near = watchers_of(peers, own_data_centre_, now_ms);
  for (std::size_t i = 0; i < near.size(); ++i) {
    found.push_back(near[(i + turn_) % near.size()]->address);
  }
  std::set<std::string_view> others;
  for (const relay_peer& each : peers) {
    if (each.data_centre != own_data_centre_) {
      others.insert(each.data_centre);
    }
  }
  for (const std::string_view each : others) {
    const auto far = watchers_of(peers, each, now_ms);
    if (!far.empty()) {
      found.push_back(far.front()->address);
    }
  }
  return found;
}

first_watch_step watch_roles::initial_step(
    std::span<const relay_peer> peers, bool listed,
    std::chrono::milliseconds since_start, std::uint64_t now_ms) {
  const bool alone = std::holds_alternative<all_watch>(sharing_) ||
                     alone_until_ms_ > now_ms || since_start >= first_patience;
  if (alone || (listed && is_watcher(peers, now_ms))) {
    return watch_platform{};
  }
  return peer_step(peers, now_ms);
}

first_watch_step watch_roles::peer_step(std::span<const relay_peer> peers,
                                        std::uint64_t now_ms) {
  ++turn_;
  const std::vector<std::string> found = candidates(peers, now_ms);
  if (found.empty()) {
    return wait_for_peers{};
  }
  return poll_watcher{found.front()};
}

watch_step watch_roles::next_step(std::span<const relay_peer> peers,
                                  std::uint64_t now_ms) {
  if (is_watcher(peers, now_ms)) {
    failures_in_row_ = 0;
    return watch_platform{};
  }
  if (alone_until_ms_ > now_ms) {
    return watch_platform{};
  }
  ++turn_;
  const std::vector<std::string> found = candidates(peers, now_ms);
  if (found.empty()) {
    return watch_platform{};
  }
  return poll_watcher{found.front()};
}

std::vector<std::string> watch_roles::watchers(
    std::span<const relay_peer> peers, std::uint64_t now_ms) const {
  std::vector<std::string> found;
  if (std::holds_alternative<all_watch>(sharing_)) {
    for (const relay_peer& each : peers) {
      if (found.size() < most_told) {
        found.push_back(each.address);
      }
    }
    return found;
  }
  std::set<std::string_view> data_centres{own_data_centre_};
  for (const relay_peer& each : peers) {
    data_centres.insert(each.data_centre);
  }
  for (const std::string_view data_centre : data_centres) {
    for (const relay_peer* each : watchers_of(peers, data_centre, now_ms)) {
      found.push_back(each->address);
    }
  }
  return found;
}

void watch_roles::on_reply(const std::string& address) {
  asked_.erase(address);
  failures_in_row_ = 0;
  alone_until_ms_ = 0;
}

void watch_roles::on_failure(const std::string& address, std::uint64_t now_ms) {
  view& held = asked_[address];
  const std::uint32_t doublings =
      std::min(held.failures_in_row, most_doublings);
  ++held.failures_in_row;
  held.left_alone_until_ms =
      now_ms + std::min(first_pause_ms << doublings, longest_pause_ms);
  ++failures_in_row_;
  if (failures_in_row_ >= failures_before_alone) {
    failures_in_row_ = 0;
    alone_until_ms_ = now_ms + alone_ms;
  }
}

}  // namespace trayrock
