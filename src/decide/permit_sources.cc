#include "trayrock/internal/decide/permit_sources.h"

#include <xxhash.h>

#include <algorithm>

namespace trayrock {
namespace {

using std::chrono::milliseconds;

// A store that gave no answer is asked last for this long: a restart takes
// about a second.
constexpr std::uint64_t silence_ms = 1000;
// How often refusals that are over are dropped.
constexpr std::uint64_t forgetting_ms = 5000;

}  // namespace

permit_sources::permit_sources(std::string data_centre, std::uint64_t seed)
    : data_centre_(std::move(data_centre)), seed_(seed) {}

void permit_sources::set_stores(std::vector<permit_store_location> stores) {
  const auto place = [this](const permit_store_location& of) {
    return std::pair(
        of.data_centre != data_centre_,
        XXH3_64bits_withSeed(of.store.data(), of.store.size(), seed_));
  };
  std::sort(stores.begin(), stores.end(),
            [&](const permit_store_location& left,
                const permit_store_location& right) {
              return place(left) < place(right);
            });
  stores_ = std::move(stores);
}

permit_source permit_sources::next(std::string_view workspace, permit_use use,
                                   const std::set<std::string>& tried,
                                   std::uint64_t now_ms) {
  const auto empty = empty_until_ms_.find({std::string(workspace), use});
  std::uint64_t soonest = 0;
  std::string silent;
  for (const permit_store_location& each : stores_) {
    if (empty != empty_until_ms_.end()) {
      const auto until = empty->second.find(each.store);
      if (until != empty->second.end() && until->second > now_ms) {
        soonest =
            soonest == 0 ? until->second : std::min(soonest, until->second);
        continue;
      }
    }
    if (tried.contains(each.store)) {
      continue;
    }
    const auto quiet = silent_until_ms_.find(each.store);
    if (quiet == silent_until_ms_.end() || quiet->second <= now_ms) {
      return try_store{each.store};
    }
    if (silent.empty()) {
      silent = each.store;
    }
  }
  if (!silent.empty()) {
    return try_store{silent};
  }
  if (soonest != 0) {
    return limit_reached{milliseconds(soonest - now_ms)};
  }
  return no_store_available{};
}

void permit_sources::on_refusal(std::string_view workspace, permit_use use,
                                const std::string& store, milliseconds next,
                                std::uint64_t now_ms) {
  forget_old(now_ms);
  empty_until_ms_[{std::string(workspace), use}][store] =
      now_ms + static_cast<std::uint64_t>(next.count());
}

void permit_sources::on_failure(const std::string& store,
                                std::uint64_t now_ms) {
  silent_until_ms_[store] = now_ms + silence_ms;
}

void permit_sources::on_reply(const std::string& store) {
  silent_until_ms_.erase(store);
}

void permit_sources::forget_old(std::uint64_t now_ms) {
  if (now_ms - forgotten_at_ms_ < forgetting_ms) {
    return;
  }
  forgotten_at_ms_ = now_ms;
  std::erase_if(empty_until_ms_, [now_ms](const auto& held) {
    return std::all_of(
        held.second.begin(), held.second.end(),
        [now_ms](const auto& each) { return each.second <= now_ms; });
  });
}

}  // namespace trayrock
