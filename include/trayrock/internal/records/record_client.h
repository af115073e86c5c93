// Writes and reads records at the group's voters.
//
// A reservation and the query for a turn's chain share a request, so that a
// turn costs one round trip before it is sent. An operation restarts with the
// new group when the epoch changes, and retries a voter that did not reply.
// Records are immutable, so retries are harmless.
//
// An operation fails at its time limit, unless enough voters for a write quorum
// are still writing the record: their disks are slow, and a retry by the client
// would only wait for them again.
//
// Example:
//   client.reserve({program, attempt, 30}, previous, limit,
//                  [](result<reserved_turn> made) { ... });
//   client.keep(record, limit, [](std::error_code failed) { ... });
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "records.pb.h"
#include "trayrock/internal/decide/token_budget.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/store_calls.h"
#include "trayrock/internal/records/usage_cache.h"

namespace trayrock {

struct reserved_turn {
  std::shared_ptr<const program_usage> usage;
  bool chain_found = false;  // false: a read quorum of voters lacks it
  std::string text;          // of the chain, oldest turn first
  std::string endpoint;      // that produced the newest turn's output
  // Of the last settled turn of the reservation's line, or of its program;
  // empty: unknown.
  std::string last_endpoint;
  bool last_of_line = false;  // last_endpoint is the line's
};

class record_client {
 public:
  using reserve_callback = std::function<void(result<reserved_turn>)>;
  using done_callback = std::function<void(std::error_code)>;

  record_client(event_loop& loop, rpc_pool& pool, std::string data_centre,
                metrics_registry& metrics);
  record_client(const record_client&) = delete;
  record_client& operator=(const record_client&) = delete;
  ~record_client();

  // Calls to an unresponsive store also go through a relay.
  void use_relays(relay_source relays) {
    connectivity_.relays = std::move(relays);
  }

  // Detects that neither stores nor relays reply. Other clients may report
  // replies that they receive (decide/isolation_detector.h).
  isolation_detector& isolation() { return connectivity_.isolation; }

  // Adopts a group unless a newer one is known.
  void adopt(const records::Group& group);

  bool has_group() const { return !group_.voters().empty(); }
  const records::Group& group() const { return group_; }

  // False while direct calls to the store get no reply.
  bool reaches(const std::string& store) const {
    return !connectivity_.is_silent(store);
  }

  // Makes the reservation durable (if it names a program) and reads the chain
  // of `previous` (if it is not empty), from several voters if no single one
  // stores all of it. A chain that is missing ends the operation at once.
  // Errors: errc::history_unavailable.
  void reserve(const records::Reservation& reservation,
               const std::string& previous, milliseconds limit,
               reserve_callback done);

  // Makes a record durable. Errors: errc::not_durable.
  void keep(records::Record record, milliseconds limit, done_callback done);

  struct operation;

 private:
  friend struct operation;
  void begin(const std::shared_ptr<operation>& made, milliseconds limit);

  store_connectivity connectivity_;
  std::string data_centre_;
  records::Group group_;
  std::set<std::shared_ptr<operation>> running_;
  usage_cache usages_;
};

}  // namespace trayrock
