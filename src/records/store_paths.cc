#include "trayrock/internal/records/store_paths.h"

namespace trayrock {
namespace {

// Calls to a store that only a relay reached use relays for this long; then a
// direct call is tried again.
constexpr std::uint64_t relay_period_ms = 2000;

}  // namespace

void store_paths::on_request_sent(const std::string& store,
                                  std::uint64_t now_ms) {
  path& to = paths_[store];
  if (to.unanswered_since_ms == 0) {
    to.unanswered_since_ms = now_ms;
  }
}

bool store_paths::on_reply(const std::string& store) {
  path& to = paths_[store];
  const bool was_relayed = to.relayed;
  to = path{};
  return was_relayed;
}

bool store_paths::on_relayed_reply(const std::string& store,
                                   std::uint64_t now_ms) {
  path& to = paths_[store];
  const bool was_direct = !to.relayed;
  to.relayed = true;
  if (to.relayed_until_ms <= now_ms) {
    to.relayed_until_ms = now_ms + relay_period_ms;
  }
  return was_direct;
}

bool store_paths::is_silent(const std::string& store, std::uint64_t now_ms,
                            std::chrono::milliseconds timeout) const {
  const auto to = paths_.find(store);
  return to != paths_.end() && to->second.unanswered_since_ms != 0 &&
         now_ms - to->second.unanswered_since_ms >=
             static_cast<std::uint64_t>(timeout.count());
}

bool store_paths::uses_relay(const std::string& store,
                             std::uint64_t now_ms) const {
  const auto to = paths_.find(store);
  return to != paths_.end() && to->second.relayed_until_ms > now_ms;
}

}  // namespace trayrock
