#include "trayrock/internal/decide/relay_selector.h"

#include <xxhash.h>

#include <algorithm>

namespace trayrock {
namespace {

// A peer that failed is left alone this long, doubled with each failure in a
// row. A cut lasts seconds; a call by a peer that fails costs 0.35 s.
constexpr std::uint64_t first_avoid_ms = 1500;
constexpr std::uint64_t longest_avoid_ms = 6000;
constexpr std::uint32_t most_doublings = 2;
// A peer that has passed a call on within this time is known to work: a call
// that it cannot pass on now says that the store is down.
constexpr std::uint64_t proven_ms = 1000;

bool proven(std::uint64_t passed_on_at_ms, std::uint64_t now_ms) {
  return passed_on_at_ms != 0 && passed_on_at_ms + proven_ms >= now_ms;
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

// What is known of the peer, and nothing of a new one.
relay_selector::state relay_selector::state_of(const relay_peer& peer) {
  const state* known = find(peer.address);
  state made = known == nullptr ? state{} : *known;
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
  const state* const known = find(peer.address);
  if (known != nullptr && known->peer.name == peer.name) {
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

bool relay_selector::better(const state& left, const state& right,
                            std::uint64_t now_ms) const {
  const bool left_avoided = left.avoided_until_ms > now_ms;
  const bool right_avoided = right.avoided_until_ms > now_ms;
  if (left_avoided != right_avoided) {
    return right_avoided;
  }
  if (left_avoided) {
    return left.avoided_until_ms < right.avoided_until_ms;
  }
  const bool left_proven = proven(left.passed_on_at_ms, now_ms);
  if (left_proven != proven(right.passed_on_at_ms, now_ms)) {
    return left_proven;
  }
  const bool left_near = left.peer.data_centre == own_data_centre_;
  if (left_near != (right.peer.data_centre == own_data_centre_)) {
    return left_near;
  }
  return left.order < right.order;
}

std::string relay_selector::pick(std::uint64_t now_ms) const {
  const auto best = std::min_element(
      peers_.begin(), peers_.end(), [&](const state& left, const state& right) {
        return better(left, right, now_ms);
      });
  return best == peers_.end() ? std::string() : best->peer.address;
}

bool relay_selector::all_in_backoff(std::uint64_t now_ms) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const state& each) {
    return each.avoided_until_ms > now_ms;
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
  peer->passed_on_at_ms = now_ms;
  peer->avoided_until_ms = 0;
  peer->failures_in_row = 0;
}

void relay_selector::record_failure(std::string_view address, relay_failure how,
                                    std::uint64_t now_ms) {
  state* const peer = find(address);
  if (peer == nullptr || peer->avoided_until_ms > now_ms) {
    return;
  }
  const bool store_is_down = how == relay_failure::store_unreachable &&
                             proven(peer->passed_on_at_ms, now_ms);
  if (store_is_down) {
    return;
  }
  const std::uint32_t doublings =
      std::min(peer->failures_in_row, most_doublings);
  ++peer->failures_in_row;
  peer->avoided_until_ms =
      now_ms + std::min(first_avoid_ms << doublings, longest_avoid_ms);
}

}  // namespace trayrock
