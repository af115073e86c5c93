// Keeps the bound on endpoints that end under one request over all gateways
// (decide/poison_requests.h).
//
// A broken connection doesn't show whether the endpoint's process has ended, so
// the guard tries to connect: a refused connection shows that it has. That
// something accepts the connection shows nothing, since that may be a proxy. An
// endpoint is alive if it responds to a request, or if the platform still lists
// it after the time in which it would have removed an endpoint that is silent.
//
// Tries are registered at the record stores before they are sent
// (records/try_ledger_client.h), but for those of requests outside of programs
// that an endpoint has responded to. If the stores are out of reach, a
// program's request may have no other try that this gateway and those in reach
// know of. The other gateways receive a report of what has ended and confirm it
// before the request is sent again or its client gets a response.
//
// Example:
//   poison_guard guard(loop, pool, metrics, own);
//   guard.serve(rpc);
//   guard.admit(request, [&](try_verdict verdict) { ... });
//   guard.sent(request, endpoint, [&](bool admitted) { ... });
//   guard.broken(request, endpoint, [&] { send_to_another(); });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/decide/relay_selector.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/connect_probe.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/try_ledger_client.h"

namespace trayrock {

// A request, as far as its tries are counted.
struct guarded_request {
  request_fingerprint content = 0;
  request_scope scope = request_scope::shared;
};

class poison_guard {
 public:
  using verdict_callback = std::function<void(try_verdict)>;
  using callback = std::function<void()>;
  using admission_callback = std::function<void(bool admitted)>;

  struct own_gateway {
    std::string name;                                // its name
    std::string data_centre;                         // of this gateway
    std::function<std::vector<relay_peer>()> peers;  // the other gateways
    // The address of a listed instance; empty: none.
    std::function<std::string(const endpoint_identity&)> address_of;
    // Whether another instance has taken over the address of this one.
    std::function<bool(const endpoint_identity&, std::string_view address)>
        is_replaced;
    // Until when the platform's list shows that this instance was running;
    // nothing: it shows nothing.
    std::function<std::optional<std::uint64_t>(const endpoint_identity&)>
        listed_alive_ms;
    std::function<const records::Group&()> group;  // of the record stores
  };

  // All references must outlive the object.
  poison_guard(event_loop& loop, rpc_pool& pool, metrics_registry& metrics,
               own_gateway own);
  poison_guard(const poison_guard&) = delete;
  poison_guard& operator=(const poison_guard&) = delete;

  // Receives the tries of other gateways.
  void serve(rpc_server& server);

  // Asks other gateways which endpoints have ended, once after the start.
  void fetch_ended_tries();

  // Whether the request is refused, by what is known now.
  bool refuses(request_fingerprint request) const;

  // A program's request was refused, and is likely to be repeated.
  void renew(request_fingerprint request);

  // The number of endpoints that ended under the request.
  std::size_t ended(request_fingerprint request) const;

  // Calls back with the verdict: at once for a request that may be sent, else
  // after its earlier endpoints have been checked and the record stores asked.
  void admit(const guarded_request& request, const verdict_callback& done);

  // The request is about to be sent. Calls back once its try is registered, at
  // once where that is not needed. One that is not admitted must be withdrawn.
  void sent(const guarded_request& request, const endpoint_identity& at,
            const admission_callback& then);

  // The request was not sent after all, and may be sent elsewhere.
  void withdrawn(const guarded_request& request, const endpoint_identity& at);

  // The connection ended before the response did. Calls back once the endpoint
  // has been checked, and the other gateways have confirmed its end.
  void broken(const guarded_request& request, const endpoint_identity& at,
              callback then);

  // The gateway no longer waits for the endpoint, which may still run the
  // request.
  void left(const guarded_request& request, const endpoint_identity& at);

  // The endpoint responded in full.
  void responded(const guarded_request& request, const endpoint_identity& at,
                 bool succeeded);

  // The endpoint survived the request without a response in full, or never
  // received it.
  void survived(const guarded_request& request, const endpoint_identity& at);

  // The endpoint responded to a request that was sent at that time.
  void record_alive(const endpoint_identity& at, std::uint64_t sent_ms) {
    tries_.record_alive(at, sent_ms);
  }

  // The endpoint does not accept connections, or is no longer listed.
  void check_endpoint(const endpoint_identity& at);

  // Another instance has the endpoint's address.
  void instance_ended(const endpoint_identity& at);

 private:
  using try_key = std::pair<request_fingerprint, endpoint_identity>;

  struct check {
    std::unique_ptr<connect_probe> probe;
    std::vector<callback> waiting;
  };
  struct round {
    std::vector<rpc_call> calls;
    std::size_t open = 0;
    callback then;
  };

  try_verdict verdict_on(const guarded_request& request) const;
  void decide(const guarded_request& request, const verdict_callback& done);
  void open_try(const guarded_request& request, const endpoint_identity& at,
                const try_ledger_client::callback& done);
  void close(const guarded_request& request, request_try closed,
             bool was_suspected);
  void register_try(const guarded_request& request, const endpoint_identity& at,
                    bool repeated, const admission_callback& then);
  void add_known(const guarded_request& request,
                 std::span<const request_try> known);
  void report_open(const guarded_request& request, const endpoint_identity& at,
                   callback then);
  void register_at_peers(const guarded_request& request,
                         const endpoint_identity& at, bool repeated,
                         const admission_callback& then);
  void start_check(const endpoint_identity& at, callback then);
  std::string address_of(const endpoint_identity& at) const;
  void end_check(const endpoint_identity& at, probe_result result);
  void on_ended(const endpoint_identity& at, callback then);
  void log_ended(const endpoint_identity& at, request_fingerprint request,
                 std::string_view seen_by) const;
  void report(const records::RequestTries& tries, callback then);
  void send(const records::RequestTries& message,
            const std::vector<std::string>& peers, callback then);
  void end_call(std::uint64_t round_number);
  void post_unknown(const guarded_request& request,
                    const endpoint_identity& at);
  void report_unknown(const request_try& unknown);
  void flush_unknown();
  void refresh_alive(request_fingerprint request);
  std::vector<std::string> receivers() const;
  void receive(const records::RequestTriesReply& reply);
  records::RequestTriesReply reply_to(const records::RequestTries& message);
  void remove_expired();
  void remove_closed(std::set<try_key>& from) const;

  event_loop& loop_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  own_gateway own_;
  std::uint64_t own_id_;
  poison_requests tries_;
  try_ledger_client ledger_;
  std::map<endpoint_identity, std::string> addresses_;  // of tries
  std::map<endpoint_identity, check> checks_;           // in progress
  // Requests that wait for a reply of the stores.
  std::map<request_fingerprint, std::vector<callback>> queries_;
  // Tries that the stores have as open.
  std::set<try_key> registered_;
  // Tries that were reported as open to the other gateways.
  std::set<try_key> known_to_peers_;
  std::map<std::uint64_t, round> rounds_;  // of notifications
  std::uint64_t next_round_ = 0;
  records::RequestTries unknown_;  // not reported yet
  timer unknown_timer_;            // until the next such report
  timer expiry_;
};

}  // namespace trayrock
