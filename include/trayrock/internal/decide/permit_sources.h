// Which record store a gateway asks for a permit of a workspace.
//
// Each store gives out a share of the workspace's limit
// (decide/permit_limiter.h). Near ones are asked first; one whose share is used
// up says when it may have another permit, and is passed over until then. When
// all say so, the request is refused without a call: of a workspace at six
// times its limit five requests of six are.
//
// No I/O; the caller gives the time.
//
// Example:
//   permit_sources sources("north");
//   sources.set_stores(group.voters());
//   const permit_source next = sources.next("growers", tried, now);
//   if (const auto* ask = std::get_if<try_store>(&next)) ask_for(ask->store);
//   sources.refused("growers", use, "store-1", milliseconds(250), now);
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "trayrock/internal/decide/permit_limiter.h"

namespace trayrock {

struct permit_store_location {
  std::string store;  // its id
  std::string data_centre;
};

struct try_store {
  std::string store;
};
// Every share is used up.
struct limit_reached {
  std::chrono::milliseconds next{0};  // until a permit may be there
};
// Those that are left do not answer.
struct no_store_available {};
using permit_source =
    std::variant<try_store, limit_reached, no_store_available>;

class permit_sources {
 public:
  // `seed` gives each gateway an order of its own among equally near stores.
  permit_sources(std::string data_centre, std::uint64_t seed);

  void set_stores(std::vector<permit_store_location> stores);

  // The next store to ask for this request; `tried` are those it has asked.
  permit_source next(std::string_view workspace, permit_use use,
                     const std::set<std::string>& tried, std::uint64_t now_ms);

  // A store has no permit of the workspace for such a request.
  void on_refusal(std::string_view workspace, permit_use use,
                  const std::string& store, std::chrono::milliseconds next,
                  std::uint64_t now_ms);

  // A store gave no answer.
  void on_failure(const std::string& store, std::uint64_t now_ms);
  void on_reply(const std::string& store);

 private:
  using refusal_key = std::pair<std::string, permit_use>;

  void forget_old(std::uint64_t now_ms);

  std::string data_centre_;
  std::uint64_t seed_;
  std::vector<permit_store_location> stores_;  // in the order of asking
  // Until when a store has no permit, by workspace and use, then by store.
  std::map<refusal_key, std::map<std::string, std::uint64_t>> empty_until_ms_;
  std::map<std::string, std::uint64_t> silent_until_ms_;
  std::uint64_t forgotten_at_ms_ = 0;
};

}  // namespace trayrock
