// Keeps the bound on endpoints that end under one request over all gateways
// (decide/poison_requests.h).
//
// A broken connection doesn't show whether the endpoint's process has ended, so
// the guard tries to connect: a refused connection shows that it has. The other
// gateways receive a report and confirm it before the request is sent again or
// its client gets a response. Their replies bring the tries of the same request
// that they have open.
//
// Example:
//   poison_guard guard(loop, pool, metrics, peers, address_of);
//   guard.serve(rpc);
//   guard.admit(request, in_program, [&](try_verdict verdict) { ... });
//   guard.sent(request, endpoint, [&] { send(); });
//   guard.broken(request, endpoint, [&] { send_to_another(); });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/decide/relay_selector.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/connect_probe.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

class poison_guard {
 public:
  using verdict_callback = std::function<void(try_verdict)>;
  using callback = std::function<void()>;

  struct own_gateway {
    std::string name;                                // its name
    std::string data_centre;                         // of this gateway
    std::function<std::vector<relay_peer>()> peers;  // the other gateways
    // The address of a listed instance; empty: none.
    std::function<std::string(const endpoint_identity&)> address_of;
    // Whether another instance has taken over the address of this one.
    std::function<bool(const endpoint_identity&, std::string_view address)>
        is_replaced;
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

  // Calls back with the verdict: at once for a request without suspicion, else
  // after its earlier endpoints have been checked.
  void admit(request_fingerprint request, bool in_program,
             const verdict_callback& done);

  // The request is about to be sent. Calls back at once, or for a suspected
  // request once the other gateways have confirmed its report.
  void sent(request_fingerprint request, const endpoint_identity& at,
            const callback& then);

  // The connection ended before the response did. Calls back once it is known
  // whether the endpoint has ended, and the other gateways have confirmed it.
  void broken(request_fingerprint request, const endpoint_identity& at,
              callback then);

  // The gateway no longer waits for the endpoint, which may still run the
  // request.
  void left(request_fingerprint request, const endpoint_identity& at);

  // The endpoint responded, refused, or never received the request.
  void survived(request_fingerprint request, const endpoint_identity& at);

  // The endpoint does not accept connections, or is no longer listed.
  void check_endpoint(const endpoint_identity& at);

  // Another instance has the endpoint's address.
  void instance_ended(const endpoint_identity& at);

 private:
  struct check {
    std::unique_ptr<connect_probe> probe;
    std::vector<callback> waiting;
  };
  struct round {
    std::vector<rpc_call> calls;
    std::size_t open = 0;
    callback then;
  };

  void start_check(const endpoint_identity& at, callback then);
  std::string address_of(const endpoint_identity& at) const;
  void end_check(const endpoint_identity& at, probe_result result);
  void on_ended(const endpoint_identity& at, callback then);
  void report(const records::RequestTries& tries, callback then);
  void send(const records::RequestTries& message,
            const std::vector<std::string>& peers, callback then);
  void end_call(std::uint64_t round_number);
  void close_announced(request_fingerprint request,
                       const endpoint_identity& at);
  std::vector<std::string> receivers() const;
  void receive(const records::RequestTriesReply& reply);
  records::RequestTriesReply reply_to(const records::RequestTries& message);
  void remove_expired();

  event_loop& loop_;
  rpc_pool& pool_;
  metrics_registry& metrics_;
  own_gateway own_;
  poison_requests tries_;
  std::map<endpoint_identity, std::string> addresses_;  // of tries
  std::map<endpoint_identity, check> checks_;           // in progress
  std::map<std::uint64_t, round> rounds_;               // of notifications
  std::uint64_t next_round_ = 0;
  timer expiry_;
};

}  // namespace trayrock
