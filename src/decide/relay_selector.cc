#include "trayrock/internal/decide/relay_selector.h"

#include <xxhash.h>

#include <algorithm>

namespace trayrock {
namespace {

// Doubled with each consecutive failure. A network partition lasts for seconds,
// and each call by way of a peer that fails costs its whole timeout.
constexpr std::uint64_t initial_backoff_ms = 1500;
constexpr std::uint64_t max_backoff_ms = 6000;
constexpr std::uint32_t max_doublings = 2;
// A peer that relayed a call within this time is proven to work: if it can't
// reach a store now, the store is down.
constexpr std::uint64_t proven_ms = 1000;

bool is_proven(std::uint64_t last_success_ms, std::uint64_t now_ms) {
  return last_success_ms != 0 && last_success_ms + proven_ms >= now_ms;
}

}  // namespace

relay_selector::relay_selector(std::string own_name,
                               std::string own_data_centre)
    : own_name_(std::move(own_name)),
      own_data_centre_(std::move(own_data_centre)) {}

void relay_selector::replace(const std::vector<relay_peer>& peers) {
  std::vector<state> listed;
  for (const relay_peer& each : peers) {
    if (each.name == own_name_ || each.address.empty()) {
      continue;
    }
    listed.push_back(state_of(each));
  }
  peers_ = std::move(listed);
  sort();
}

// The peer's current state, or a new one.
relay_selector::state relay_selector::state_of(const relay_peer& peer) {
  const state* current = find(peer.address);
  state made = current == nullptr ? state{} : *current;
  made.peer = peer;
  const std::string pair = own_name_ + " " + peer.name;
  made.order = XXH3_64bits(pair.data(), pair.size());
  return made;
}

void relay_selector::sort() {
  std::sort(peers_.begin(), peers_.end(),
            [](const state& left, const state& right) {
              return left.order < right.order;
            });
}

void relay_selector::add(const relay_peer& peer) {
  if (peer.name == own_name_ || peer.address.empty()) {
    return;
  }
  const state* const current = find(peer.address);
  if (current != nullptr && current->peer.name == peer.name) {
    return;
  }
  state made = state_of(peer);
  std::erase_if(peers_, [&](const state& each) {
    return each.peer.name == peer.name || each.peer.address == peer.address;
  });
  peers_.push_back(std::move(made));
  sort();
}

std::vector<relay_peer> relay_selector::peers() const {
  std::vector<relay_peer> made;
  for (const state& each : peers_) {
    made.push_back(each.peer);
  }
  return made;
}

bool relay_selector::is_preferred(const state& left, const state& right,
                                  std::uint64_t now_ms) const {
  const bool left_in_backoff = left.backoff_until_ms > now_ms;
  const bool right_in_backoff = right.backoff_until_ms > now_ms;
  if (left_in_backoff != right_in_backoff) {
    return right_in_backoff;
  }
  if (left_in_backoff) {
    return left.backoff_until_ms < right.backoff_until_ms;
  }
  const bool left_is_proven = is_proven(left.last_success_ms, now_ms);
  if (left_is_proven != is_proven(right.last_success_ms, now_ms)) {
    return left_is_proven;
  }
  const bool left_is_near = left.peer.data_centre == own_data_centre_;
  if (left_is_near != (right.peer.data_centre == own_data_centre_)) {
    return left_is_near;
  }
  return left.order < right.order;
}

std::string relay_selector::pick(std::uint64_t now_ms) const {
  const auto best = std::min_element(
      peers_.begin(), peers_.end(), [&](const state& left, const state& right) {
        return is_preferred(left, right, now_ms);
      });
  return best == peers_.end() ? std::string() : best->peer.address;
}

bool relay_selector::all_in_backoff(std::uint64_t now_ms) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const state& each) {
    return each.backoff_until_ms > now_ms;
  });
}

relay_selector::state* relay_selector::find(std::string_view address) {
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [&](const state& each) { return each.peer.address == address; });
  return found == peers_.end() ? nullptr : &*found;
}

void relay_selector::record_success(std::string_view address,
                                    std::uint64_t now_ms) {
  state* const peer = find(address);
  if (peer == nullptr) {
    return;
  }
  peer->last_success_ms = now_ms;
  peer->backoff_until_ms = 0;
  peer->consecutive_failures = 0;
}

void relay_selector::record_failure(std::string_view address, relay_failure how,
                                    std::uint64_t now_ms) {
  state* const peer = find(address);
  if (peer == nullptr || peer->backoff_until_ms > now_ms) {
    return;
  }
  const bool store_is_down = how == relay_failure::store_unreachable &&
                             is_proven(peer->last_success_ms, now_ms);
  if (store_is_down) {
    return;
  }
  const std::uint32_t doublings =
      std::min(peer->consecutive_failures, max_doublings);
  ++peer->consecutive_failures;
  peer->backoff_until_ms =
      now_ms + std::min(initial_backoff_ms << doublings, max_backoff_ms);
}

}  // namespace trayrock
