// Selects the record store from which a gateway requests a permit.
//
// Each store issues a share of the workspace's limit
// (decide/permit_limiter.h). Stores of the same data centre come first. A store
// whose share is used up replies when it may have another permit, and is
// skipped until then. While all shares are used up, requests are rejected
// without a call to any store.
//
// No I/O; the caller supplies the time.
//
// Example:
//   permit_sources sources("north", seed);
//   sources.set_stores(stores);
//   const permit_source next = sources.next("growers", use, tried, now);
//   if (const auto* found = std::get_if<try_store>(&next)) call(found->store);
//   sources.on_refusal("growers", use, "store-1", milliseconds(250), now);
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
  bool in_backoff = false;  // no other store is left to try
};
// No share is left at the stores that replied.
struct limit_reached {
  std::chrono::milliseconds next{0};  // until a permit may be available
};
// All stores have been tried without a reply.
struct no_store_available {};
using permit_source =
    std::variant<try_store, limit_reached, no_store_available>;

class permit_sources {
 public:
  // `seed` differs between gateways, so that they try the stores of a data
  // centre in different orders.
  permit_sources(std::string data_centre, std::uint64_t seed);

  void set_stores(std::vector<permit_store_location> stores);

  // The next store to try for a request; `tried` are those it has tried.
  permit_source next(std::string_view workspace, permit_use use,
                     const std::set<std::string>& tried, std::uint64_t now_ms);

  // The store has no permit for such a request of the workspace.
  void on_refusal(std::string_view workspace, permit_use use,
                  const std::string& store, std::chrono::milliseconds next,
                  std::uint64_t now_ms);

  // The store did not reply in time.
  void on_failure(const std::string& store, std::uint64_t now_ms);
  void on_reply(const std::string& store);

 private:
  using refusal_key = std::pair<std::string, permit_use>;

  void remove_expired(std::uint64_t now_ms);

  std::string data_centre_;
  std::uint64_t seed_;
  std::vector<permit_store_location> stores_;  // in the order of trial
  // Until when a store has no permit, by workspace and use, then by store.
  std::map<refusal_key, std::map<std::string, std::uint64_t>> refused_until_ms_;
  std::map<std::string, std::uint64_t> backoff_until_ms_;
  std::uint64_t expiry_checked_ms_ = 0;
};

}  // namespace trayrock
