#include "trayrock/internal/decide/permit_sources.h"

#include <xxhash.h>

#include <algorithm>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// A store that did not reply in time is tried last for this long; a restart
// takes about a second.
constexpr std::uint64_t backoff_ms = 1000;
// How often expired refusals are removed.
constexpr std::uint64_t expiry_period_ms = 5000;

}  // namespace

permit_sources::permit_sources(std::string data_centre, std::uint64_t seed)
    : data_centre_(std::move(data_centre)), seed_(seed) {}

void permit_sources::set_stores(std::vector<permit_store_location> stores) {
  const auto rank = [this](const permit_store_location& of) {
    return std::pair(
        of.data_centre != data_centre_,
        XXH3_64bits_withSeed(of.store.data(), of.store.size(), seed_));
  };
  std::sort(stores.begin(), stores.end(),
            [&](const permit_store_location& left,
                const permit_store_location& right) {
              return rank(left) < rank(right);
            });
  stores_ = std::move(stores);
}

permit_source permit_sources::next(std::string_view workspace, permit_use use,
                                   const std::set<std::string>& tried,
                                   std::uint64_t now_ms) {
  const auto refusals = refused_until_ms_.find({std::string(workspace), use});
  std::uint64_t earliest_ms = 0;
  std::string unresponsive;
  for (const permit_store_location& each : stores_) {
    if (refusals != refused_until_ms_.end()) {
      const auto until = refusals->second.find(each.store);
      if (until != refusals->second.end() && until->second > now_ms) {
        earliest_ms = earliest_ms == 0 ? until->second
                                       : std::min(earliest_ms, until->second);
        continue;
      }
    }
    if (tried.contains(each.store)) {
      continue;
    }
    const auto backoff = backoff_until_ms_.find(each.store);
    if (backoff == backoff_until_ms_.end() || backoff->second <= now_ms) {
      return try_store{each.store};
    }
    if (unresponsive.empty()) {
      unresponsive = each.store;
    }
  }
  if (!unresponsive.empty()) {
    return try_store{unresponsive, true};
  }
  if (earliest_ms != 0) {
    return limit_reached{milliseconds(earliest_ms - now_ms)};
  }
  return no_store_available{};
}

void permit_sources::on_refusal(std::string_view workspace, permit_use use,
                                const std::string& store, milliseconds next,
                                std::uint64_t now_ms) {
  remove_expired(now_ms);
  refused_until_ms_[{std::string(workspace), use}][store] =
      now_ms + static_cast<std::uint64_t>(next.count());
}

void permit_sources::on_failure(const std::string& store,
                                std::uint64_t now_ms) {
  backoff_until_ms_[store] = now_ms + backoff_ms;
}

void permit_sources::on_reply(const std::string& store) {
  backoff_until_ms_.erase(store);
}

void permit_sources::remove_expired(std::uint64_t now_ms) {
  if (now_ms - expiry_checked_ms_ < expiry_period_ms) {
    return;
  }
  expiry_checked_ms_ = now_ms;
  std::erase_if(refused_until_ms_, [now_ms](const auto& refusals) {
    return std::all_of(
        refusals.second.begin(), refusals.second.end(),
        [now_ms](const auto& each) { return each.second <= now_ms; });
  });
}

}  // namespace trayrock
