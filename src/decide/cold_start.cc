#include "trayrock/internal/decide/cold_start.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace trayrock {
namespace {

// With a share of one request, a gateway would reject the second of any two
// requests within a second.
constexpr std::uint32_t min_share = 2;
constexpr std::uint64_t second_ms = 1000;

// Order in which gateways get a share; lower is first.
struct precedence {
  bool elsewhere = false;
  std::uint64_t order = 0;
  std::string_view name;

  bool operator<(const precedence& other) const {
    return std::tie(elsewhere, order, name) <
           std::tie(other.elsewhere, other.order, other.name);
  }
};

precedence precedence_of(const relay_peer& gateway, const endpoint_identity& of,
                         std::string_view data_centre) {
  const std::uint64_t seed = XXH3_64bits(of.id.data(), of.id.size());
  const std::uint64_t order =
      XXH3_64bits_withSeed(gateway.name.data(), gateway.name.size(), seed);
  return {gateway.data_centre != data_centre, order, gateway.name};
}

}  // namespace

std::uint32_t cold_share(const cold_limit& limit, const endpoint_identity& of,
                         std::string_view data_centre, const relay_peer& own,
                         std::span<const relay_peer> peers) {
  const auto allowed = static_cast<std::uint32_t>(
      std::max(1.0, std::floor(limit.requests_per_second)));
  const auto gateways = static_cast<std::uint32_t>(peers.size() + 1);
  const std::uint32_t share =
      std::min(allowed, std::max(min_share, allowed / gateways));
  const std::uint32_t share_count = allowed / share;
  const precedence own_precedence = precedence_of(own, of, data_centre);
  const auto preceding =
      std::count_if(peers.begin(), peers.end(), [&](const relay_peer& each) {
        return precedence_of(each, of, data_centre) < own_precedence;
      });
  return preceding < share_count ? share : 0;
}

void one_second_window::add(std::uint64_t now_ms) {
  while (!sent_at_ms_.empty() && sent_at_ms_.front() + second_ms <= now_ms) {
    sent_at_ms_.pop_front();
  }
  sent_at_ms_.push_back(now_ms);
}

std::size_t one_second_window::count(std::uint64_t now_ms) const {
  return static_cast<std::size_t>(std::count_if(
      sent_at_ms_.begin(), sent_at_ms_.end(),
      [&](std::uint64_t sent) { return sent + second_ms > now_ms; }));
}

}  // namespace trayrock
