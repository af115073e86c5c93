// Acquires permits for requests of rate-limited workspaces from the group's
// record stores.
//
// decide/permit_sources.h selects the store. A store that is unreachable is
// called through a relay, and so are all stores once two direct calls of a
// request have failed. A call that is dropped is cancelled at its store, so
// that its permit, if it was given, does not count.
//
// Example:
//   permit_client permits(loop, pool, records, metrics, "north");
//   permits.acquire({"growers", limit, permit_use::regular}, milliseconds(500),
//                   [](const permit_result& reply) { ... });
//   permits.give_back(permit);  // the request was not run
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/permit_sources.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/record_client.h"

namespace trayrock {

struct permit_request {
  std::string workspace;
  request_limit limit;
  permit_use use = permit_use::regular;
};

struct permit {
  std::string workspace;
  std::string store;
  std::uint64_t slot = 0;
};
// No store granted or refused a permit in time.
struct permit_unknown {};
using permit_result = std::variant<permit, limit_reached, permit_unknown>;

class permit_client {
 public:
  using acquire_callback = std::function<void(const permit_result&)>;

  // All references must outlive the object.
  permit_client(event_loop& loop, rpc_pool& pool, record_client& records,
                metrics_registry& metrics, std::string data_centre);
  permit_client(const permit_client&) = delete;
  permit_client& operator=(const permit_client&) = delete;

  // Calls to an unresponsive store also go through a relay.
  void use_relays(relay_source relays) { relays_ = std::move(relays); }

  // Calls back once, possibly before returning. The callback must keep what it
  // uses alive.
  void acquire(permit_request request, milliseconds limit,
               acquire_callback done);

  // Nothing unless acquire() would report that the limit is reached without
  // asking a store.
  std::optional<limit_reached> known_limit(std::string_view workspace,
                                           permit_use use);

  // Returns a permit whose request was not run and will not be. It is sent to
  // the store with the next request for the workspace.
  void give_back(const permit& unused);

 private:
  struct operation;
  void adopt_group();
  records::PermitRequest request_for(const permit_request& request,
                                     const records::Store& store);
  // Returns the permit of a dropped call to the store at this address.
  void cancel_permit(const std::string& store,
                     const records::CancelPermitRequest& message);

  event_loop& loop_;
  rpc_pool& pool_;
  record_client& records_;
  metrics_registry& metrics_;
  permit_sources sources_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, rpc_call> cancellations_;  // by call, without a reply
  relay_source relays_;
  std::uint64_t epoch_ = 0;  // of the group in `sources_`
  // Slots of permits to return, by store and workspace.
  std::map<std::pair<std::string, std::string>, std::vector<std::uint64_t>>
      unused_slots_;
};

}  // namespace trayrock
