// Applies the budget of buffered bytes (decide/buffer_budget.h) to the
// connections of a gateway's clients.
//
// Without limits, nothing is counted and every call does nothing.
//
// Example:
//   buffer_limiter buffers(loop, metrics, limits, close_connection);
//   server.on_buffered([&](auto connection, auto held) {
//     buffers.update(connection, held);
//   });
//   buffers.attach(connection, weak_from_this(), request_bytes);
//   buffers.detach(connection);
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "trayrock/internal/decide/buffer_budget.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

// A request that is being served. Reading of its response may be paused and
// resumed from within its own writes to the client.
class buffering_request {
 public:
  virtual ~buffering_request() = default;

  virtual void pause_reading() = 0;
  virtual void resume_reading() = 0;

  // Ends the request and closes the client's connection. Called from the loop.
  virtual void end_for_memory() = 0;
};

class buffer_limiter {
 public:
  // `close_connection` closes a client's connection that serves no request.
  buffer_limiter(event_loop& loop, metrics_registry& metrics,
                 const std::optional<buffer_limits>& limits,
                 std::function<void(std::uint64_t connection)> close_connection)
      : loop_(loop),
        metrics_(metrics),
        close_connection_(std::move(close_connection)) {
    if (limits) {
      budget_.emplace(*limits);
    }
  }
  buffer_limiter(const buffer_limiter&) = delete;
  buffer_limiter& operator=(const buffer_limiter&) = delete;

  bool enabled() const { return budget_.has_value(); }
  bool refuses_new_requests() const {
    return budget_ && budget_->refuses_new_requests();
  }

  // What a connection buffers; no value: it was closed.
  void update(std::uint64_t connection,
              const std::optional<http1_buffered>& held);

  // The connection serves this request from now on, which holds so many bytes.
  void attach(std::uint64_t connection,
              const std::weak_ptr<buffering_request>& request,
              std::uint64_t bytes);

  // What its request holds in addition to what the connection buffers.
  void set_request_bytes(std::uint64_t connection, std::uint64_t bytes);

  // The request has ended.
  void detach(std::uint64_t connection);

  // Sets the gauges.
  void report();

 private:
  // Of a connection. It retains received + request_bytes.
  struct client {
    std::weak_ptr<buffering_request> request;
    std::uint64_t received = 0;
    std::uint64_t request_bytes = 0;
  };

  void set_retained(std::uint64_t connection, const client& of);
  void perform(const buffer_actions& actions);
  void perform(const pause_reading& action);
  void perform(const resume_reading& action);
  void perform(const end_holder& action);
  void end(const end_holder& which);
  void log_pressure();
  std::shared_ptr<buffering_request> request_of(std::uint64_t connection) const;

  event_loop& loop_;
  metrics_registry& metrics_;
  std::function<void(std::uint64_t)> close_connection_;
  std::optional<buffer_budget> budget_;
  std::unordered_map<std::uint64_t, client> clients_;
  std::uint64_t logged_at_ms_ = 0;
};

}  // namespace trayrock
