// Gets permits for requests of workspaces whose rate is limited, from the
// group's record stores.
//
// Which store is asked is decided by decide/permit_sources.h. One that is known
// to be out of reach is asked by way of another gateway, and all are once two
// have given no direct answer.
//
// Example:
//   permit_client permits(loop, pool, records, metrics, "north");
//   permits.acquire({"growers", limit, permit_use::goes_on}, milliseconds(500),
//                   [](const permit_result& said) { ... });
//   permits.give_back(permit);  // its request has not run
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
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
// No store answered in time whether the limit is reached.
struct permit_unknown {};
using permit_result = std::variant<permit, limit_reached, permit_unknown>;

class permit_client {
 public:
  using answer_callback = std::function<void(const permit_result&)>;

  // All that is passed in by reference outlives the object.
  permit_client(event_loop& loop, rpc_pool& pool, record_client& records,
                metrics_registry& metrics, std::string data_centre);
  permit_client(const permit_client&) = delete;
  permit_client& operator=(const permit_client&) = delete;

  // Calls to a store that does not answer also go by a relay.
  void use_relays(relay_source relays) { relays_ = std::move(relays); }

  // Calls back once, at once if the answer is known. The callback keeps what it
  // needs alive.
  void acquire(permit_request wish, milliseconds limit, answer_callback done);

  // The permit's request has not run and will not. The store hears of it with
  // the next question for the workspace.
  void give_back(const permit& unused);

 private:
  struct operation;
  void adopt_group();
  records::PermitRequest request_for(const permit_request& wish,
                                     const records::Store& store);

  event_loop& loop_;
  rpc_pool& pool_;
  record_client& records_;
  metrics_registry& metrics_;
  permit_sources sources_;
  relay_source relays_;
  std::uint64_t epoch_ = 0;  // of the group that the sources are from
  // Slots of permits to be given back, by store and workspace.
  std::map<std::pair<std::string, std::string>, std::vector<std::uint64_t>>
      unused_;
};

}  // namespace trayrock
