// When a gateway takes connections: from its start, through its service, to
// its end.
//
// A process that has just started lets connections wait until it can serve
// them. One that is told to stop is "not ready" at once, but goes on taking
// what the balancer sends all the same, for as long as there is time to end
// it; then it closes what is idle and stops the loop, at the latest shortly
// before it would be killed.
//
// Example:
//   gateway_stages stages(loop, clients, stop_limit, by_balancer{});
//   stages.begin();          // connections wait
//   stages.begin_serving();  // once requests can be answered
//   stages.begin_drain();    // on SIGTERM
//   loop.run();
//   return stages.exit_code();
#pragma once

#include <cstdint>
#include <functional>

#include "trayrock/internal/decide/retry_after.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/process.h"

namespace trayrock {

class gateway_stages {
 public:
  // `clients` outlives the object. Within `stop_limit` of being told to stop
  // the process has ended.
  gateway_stages(event_loop& loop, http1_server& clients,
                 milliseconds stop_limit, retry_after_policy return_times)
      : loop_(loop),
        clients_(clients),
        stop_limit_(stop_limit),
        return_times_(return_times) {}
  gateway_stages(const gateway_stages&) = delete;
  gateway_stages& operator=(const gateway_stages&) = delete;

  // Lets the connections of `clients`, which listens, wait; but not for long.
  // `ready` says for the log whether requests can be answered.
  void begin(std::function<bool()> ready);

  // Takes the connections that wait; harmless when they are taken already.
  void begin_serving();

  // Ends the process, unless it is ending already.
  void begin_drain();

  bool serving() const { return serving_; }
  bool draining() const { return draining_; }

  // Until requests must have ended, shortly before the process does; the
  // largest value while it goes on.
  milliseconds time_to_end() const;

  // When clients that are turned away while draining should come back.
  milliseconds back_after_stopping() const;

  // Of the process, once the loop was stopped.
  int exit_code() const { return exit_code_; }

 private:
  void stop_taking();
  void check_drained();
  void end_unfinished();

  event_loop& loop_;
  http1_server& clients_;
  milliseconds stop_limit_;
  retry_after_policy return_times_;
  std::function<bool()> ready_;
  timer starting_;
  timer taking_;
  timer checking_;
  timer last_moment_;
  bool serving_ = false;  // connections are accepted
  bool draining_ = false;
  std::uint64_t drain_began_ms_ = 0;
  std::uint64_t ends_at_ms_ = 0;  // once draining
  int exit_code_ = exit_done;
};

}  // namespace trayrock
