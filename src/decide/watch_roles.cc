#include "trayrock/internal/decide/watch_roles.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace trayrock {
namespace {

constexpr std::size_t watchers_per_data_centre = 2;
// Where every gateway watches, updates go to at most this many peers, so that
// the cost of one does not grow with the fleet.
constexpr std::size_t max_notified = 24;
// Exponential backoff from a peer that did not reply, or does not watch. A
// restart takes about a second.
constexpr std::uint64_t initial_backoff_ms = 1000;
constexpr std::uint64_t max_backoff_ms = 8000;
constexpr std::uint32_t max_doublings = 3;
// After this many consecutive failures of any peers the gateway watches the
// platform itself for a time: a platform that rejects the calls of some boxes
// does so for several seconds.
constexpr std::uint32_t failures_before_platform = 3;
constexpr std::uint64_t platform_period_ms = 3000;
// How long a gateway that has just started waits for data from its peers.
constexpr std::chrono::milliseconds initial_peer_wait{2500};

std::uint64_t name_hash(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

bool before(const std::string& left, const std::string& right) {
  const std::uint64_t left_hash = name_hash(left);
  const std::uint64_t right_hash = name_hash(right);
  return left_hash != right_hash ? left_hash < right_hash : left < right;
}

}  // namespace

watch_roles::watch_roles(std::string own_name, std::string own_data_centre,
                         watch_sharing sharing)
    : own_name_(std::move(own_name)),
      own_data_centre_(std::move(own_data_centre)),
      sharing_(sharing) {}

bool watch_roles::in_backoff(const std::string& address,
                             std::uint64_t now_ms) const {
  const auto found = backoffs_.find(address);
  return found != backoffs_.end() && found->second.until_ms > now_ms;
}

// The peers of a data centre that should watch: those with the lowest hashes of
// their names that are not in backoff.
std::vector<const relay_peer*> watch_roles::watchers_of(
    std::span<const relay_peer> peers, std::string_view data_centre,
    std::uint64_t now_ms) const {
  std::vector<const relay_peer*> found;
  for (const relay_peer& each : peers) {
    if (each.data_centre == data_centre && !in_backoff(each.address, now_ms)) {
      found.push_back(&each);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const relay_peer* left, const relay_peer* right) {
              return before(left->name, right->name);
            });
  if (found.size() > watchers_per_data_centre) {
    found.resize(watchers_per_data_centre);
  }
  return found;
}

bool watch_roles::is_watcher(std::span<const relay_peer> peers,
                             std::uint64_t now_ms) const {
  if (std::holds_alternative<all_watch>(sharing_)) {
    return true;
  }
  const auto near = watchers_of(peers, own_data_centre_, now_ms);
  return near.size() < watchers_per_data_centre ||
         before(own_name_, near.back()->name);
}

// The watchers of the own data centre in rotating order, then one watcher of
// each other data centre.
std::vector<std::string> watch_roles::candidates(
    std::span<const relay_peer> peers, std::uint64_t now_ms) const {
  std::vector<std::string> found;
  const auto near = watchers_of(peers, own_data_centre_, now_ms);
  for (std::size_t i = 0; i < near.size(); ++i) {
    found.push_back(near[(i + rotation_) % near.size()]->address);
  }
  std::set<std::string_view> other_data_centres;
  for (const relay_peer& each : peers) {
    if (each.data_centre != own_data_centre_) {
      other_data_centres.insert(each.data_centre);
    }
  }
  for (const std::string_view each : other_data_centres) {
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
  const bool without_peers = std::holds_alternative<all_watch>(sharing_) ||
                             platform_until_ms_ > now_ms ||
                             since_start >= initial_peer_wait;
  if (without_peers || (listed && is_watcher(peers, now_ms))) {
    return watch_platform{};
  }
  return peer_step(peers, now_ms);
}

first_watch_step watch_roles::peer_step(std::span<const relay_peer> peers,
                                        std::uint64_t now_ms) {
  ++rotation_;
  const std::vector<std::string> found = candidates(peers, now_ms);
  if (found.empty()) {
    return wait_for_peers{};
  }
  return poll_watcher{found.front()};
}

watch_step watch_roles::next_step(std::span<const relay_peer> peers,
                                  std::uint64_t now_ms) {
  if (is_watcher(peers, now_ms)) {
    consecutive_failures_ = 0;
    return watch_platform{};
  }
  if (platform_until_ms_ > now_ms) {
    return watch_platform{};
  }
  ++rotation_;
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
      if (found.size() < max_notified) {
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
  backoffs_.erase(address);
  consecutive_failures_ = 0;
  platform_until_ms_ = 0;
}

void watch_roles::on_failure(const std::string& address, std::uint64_t now_ms) {
  peer_backoff& backoff = backoffs_[address];
  const std::uint32_t doublings =
      std::min(backoff.consecutive_failures, max_doublings);
  ++backoff.consecutive_failures;
  backoff.until_ms =
      now_ms + std::min(initial_backoff_ms << doublings, max_backoff_ms);
  ++consecutive_failures_;
  if (consecutive_failures_ >= failures_before_platform) {
    consecutive_failures_ = 0;
    platform_until_ms_ = now_ms + platform_period_ms;
  }
}

}  // namespace trayrock
