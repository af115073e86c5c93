#include "trayrock/internal/records/store_paths.h"

namespace trayrock {
namespace {

// Calls to a store that only a relay reached go by relays this long, then the
// direct way is tried again.
constexpr std::uint64_t relay_spell_ms = 2000;

}  // namespace

void store_paths::asked(const std::string& store, std::uint64_t now_ms) {
  path& to = paths_[store];
  if (to.unanswered_since_ms == 0) {
    to.unanswered_since_ms = now_ms;
  }
}

bool store_paths::answered(const std::string& store) {
  path& to = paths_[store];
  const bool was_relayed = to.relayed;
  to = path{};
  return was_relayed;
}

bool store_paths::answered_by_relay(const std::string& store,
                                    std::uint64_t now_ms) {
  path& to = paths_[store];
  const bool was_direct = !to.relayed;
  to.relayed = true;
  if (to.relayed_until_ms <= now_ms) {
    to.relayed_until_ms = now_ms + relay_spell_ms;
  }
  return was_direct;
}

bool store_paths::silent(const std::string& store, std::uint64_t now_ms,
                         std::chrono::milliseconds longest) const {
  const auto to = paths_.find(store);
  return to != paths_.end() && to->second.unanswered_since_ms != 0 &&
         now_ms - to->second.unanswered_since_ms >=
             static_cast<std::uint64_t>(longest.count());
}

bool store_paths::by_relay(const std::string& store,
                           std::uint64_t now_ms) const {
  const auto to = paths_.find(store);
  return to != paths_.end() && to->second.relayed_until_ms > now_ms;
}

}  // namespace trayrock
