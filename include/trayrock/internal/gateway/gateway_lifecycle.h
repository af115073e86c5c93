// Start, service and graceful shutdown of a gateway.
//
// Connections wait until the gateway can serve them. While draining it is not
// ready, but accepts connections for as long as there is time to respond; then
// it closes idle connections and stops the loop, shortly before the process
// would be killed.
//
// Example:
//   gateway_lifecycle lifecycle(loop, clients, stop_limit, by_balancer{},
//                               observers);
//   lifecycle.begin();          // connections wait
//   lifecycle.begin_serving();  // once requests can be served
//   lifecycle.begin_drain();    // on SIGTERM
//   loop.run();
//   return lifecycle.exit_code();
#pragma once

#include <cstdint>
#include <functional>

#include "trayrock/internal/decide/retry_after.h"
#include "trayrock/internal/gateway/shutdown_observers.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/process.h"

namespace trayrock {

class gateway_lifecycle {
 public:
  // `clients` and `observers` outlive the object. The process ends within
  // `stop_limit` of begin_drain(), and notifies the observers shortly before.
  gateway_lifecycle(event_loop& loop, http1_server& clients,
                    milliseconds stop_limit, retry_after_policy retry_after,
                    shutdown_observers& observers)
      : loop_(loop),
        clients_(clients),
        stop_limit_(stop_limit),
        retry_after_(retry_after),
        observers_(observers) {}
  gateway_lifecycle(const gateway_lifecycle&) = delete;
  gateway_lifecycle& operator=(const gateway_lifecycle&) = delete;

  // Pauses accepting on `clients`, which listens, for a bounded time. `ready`
  // is whether requests can be served, for the log.
  void begin(std::function<bool()> ready);

  // Accepts connections from now on. Idempotent.
  void begin_serving();

  // Begins the graceful shutdown. Idempotent.
  void begin_drain();

  bool serving() const { return serving_; }
  bool draining() const { return draining_; }

  // Time left to send responses to open requests; less than the time until the
  // process ends. The largest value while not draining.
  milliseconds time_to_shutdown() const;

  // Retry-After for requests that are rejected while draining.
  milliseconds retry_after_draining() const;

  // Of the process, once the loop has stopped.
  int exit_code() const { return exit_code_; }

 private:
  void stop_accepting_connections();
  void check_drained();
  void await_last_responses();
  void stop_unfinished();

  event_loop& loop_;
  http1_server& clients_;
  milliseconds stop_limit_;
  retry_after_policy retry_after_;
  shutdown_observers& observers_;
  std::function<bool()> ready_;
  timer start_timer_;
  timer accept_timer_;
  timer drain_check_timer_;
  timer observers_timer_;
  timer end_timer_;
  bool serving_ = false;  // connections are accepted
  bool draining_ = false;
  std::uint64_t drain_began_ms_ = 0;
  std::uint64_t ends_at_ms_ = 0;  // once draining
  int exit_code_ = exit_done;
};

}  // namespace trayrock
