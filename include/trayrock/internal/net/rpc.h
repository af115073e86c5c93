// Calls between trayrock's processes: one nghttp2 stream each.
//
// A call sends one protobuf message and gets a sequence of protobuf messages
// back. The path of the stream is the method's name. Each message travels as
// a four-byte big-endian length and its bytes. Nothing here resends a call:
// a broken connection ends every call on it with errc::connection_lost, and
// the caller decides what may be repeated.
//
// Example (server):
//   rpc_server server(loop, limits);
//   server.handle("Open", [](std::string_view body, rpc_reply_ptr reply) {
//     reply->send(answer);
//     reply->finish();
//   });
//   server.listen(address);
//
// Example (client):
//   rpc_pool pool(loop, limits);
//   rpc_call call = pool.start(peer, "Open", request, milliseconds(500),
//       [](std::string_view body) { ... },
//       [](std::error_code ended) { ... });
#pragma once

#include <google/protobuf/message_lite.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

struct rpc_limits {
  std::size_t max_message_bytes = 64U << 20;
  milliseconds connect_timeout{1000};
};

// Bytes and calls that crossed this process's RPC connections.
struct rpc_counters {
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t calls_in = 0;
  std::uint64_t calls_out = 0;
  std::uint64_t garbled = 0;
};

// The server's side of one call. Stays usable after the peer is gone: sends
// are then dropped.
class rpc_reply {
 public:
  virtual ~rpc_reply() = default;

  // Queues one message.
  virtual void send(const google::protobuf::MessageLite& message) = 0;

  // Ends the stream after what is queued.
  virtual void finish() = 0;

  // Called once if the peer goes away or cancels before finish().
  virtual void on_gone(std::function<void()> callback) = 0;

  // True once nothing that is sent can arrive.
  virtual bool gone() const = 0;
};
using rpc_reply_ptr = std::shared_ptr<rpc_reply>;

using rpc_handler = std::function<void(std::string_view body, rpc_reply_ptr)>;

class rpc_server {
 public:
  rpc_server(event_loop& loop, rpc_limits limits);
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;
  ~rpc_server();

  // Registers a method; the name may not hold a slash.
  void handle(std::string_view method, rpc_handler handler);

  // Registers a method that takes a parsed message.
  // A body that does not parse is refused and counted, not handed on.
  template <typename request_type>
  void handle_typed(std::string_view method,
                    std::function<void(request_type&, rpc_reply_ptr)> handler) {
    handle(method, [this, handler = std::move(handler)](
                       std::string_view body, const rpc_reply_ptr& reply) {
      request_type request;
      if (!request.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        ++counters().garbled;
        reply->finish();
        return;
      }
      handler(request, reply);
    });
  }

  // Errors: errc::connect_failed when the address cannot be bound.
  result<void> listen(const address& where);

  rpc_counters& counters();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

// Handle of a running call; dropping it cancels the call silently.
class rpc_call {
 public:
  rpc_call() = default;
  bool running() const;
  void cancel();

  struct state;

 private:
  friend class rpc_pool;
  explicit rpc_call(std::shared_ptr<state> held) : state_(std::move(held)) {}
  struct canceller {
    std::shared_ptr<state> held;
    ~canceller();
  };
  std::shared_ptr<state> state_;
  std::shared_ptr<canceller> canceller_;
};

// The time by which a call times out. Attended time (decide/loop_delay.h)
// leaves out the delay of this process; calls with a bound of their own in real
// time, as those that pass changes on, go by the steady clock.
enum class timeout_clock { steady, attended };

// Connections to peers, one for each address, made when first used.
class rpc_pool {
 public:
  using message_callback = std::function<void(std::string_view body)>;
  using end_callback = std::function<void(std::error_code)>;

  rpc_pool(event_loop& loop, rpc_limits limits);
  rpc_pool(const rpc_pool&) = delete;
  rpc_pool& operator=(const rpc_pool&) = delete;
  ~rpc_pool();

  // Starts a call. `on_end` comes exactly once unless the handle is dropped:
  // no error after the peer finished, errc::connect_failed when nothing was
  // sent, errc::connection_lost or errc::rpc_timeout otherwise. The timeout
  // covers the silence before each message; zero means none.
  rpc_call start(const std::string& peer, std::string_view method,
                 const google::protobuf::MessageLite& request,
                 milliseconds timeout, message_callback on_message,
                 end_callback on_end,
                 timeout_clock clock = timeout_clock::steady);

  // A call that may report progress, timed by attended time: replies with
  // pending() set go to `on_progress` and restart the timeout; the last reply
  // goes to `done`.
  template <typename reply_type>
  rpc_call ask_with_progress(const std::string& peer, std::string_view method,
                             const google::protobuf::MessageLite& request,
                             milliseconds timeout,
                             std::function<void(const reply_type&)> on_progress,
                             std::function<void(result<reply_type>)> done) {
    auto reply = std::make_shared<std::optional<reply_type>>();
    return start(
        peer, method, request, timeout,
        [reply, on_progress = std::move(on_progress)](std::string_view body) {
          reply_type received;
          if (!received.ParseFromArray(body.data(),
                                       static_cast<int>(body.size()))) {
            reply->reset();
          } else if (received.pending()) {
            on_progress(received);
          } else {
            *reply = std::move(received);
          }
        },
        [reply, done = std::move(done)](std::error_code ended) {
          if (ended) {
            done(ended);
          } else if (!reply->has_value()) {
            done(errc::wire_garbled);
          } else {
            done(std::move(**reply));
          }
        },
        timeout_clock::attended);
  }

  // A call with exactly one reply, parsed.
  template <typename reply_type>
  rpc_call ask(const std::string& peer, std::string_view method,
               const google::protobuf::MessageLite& request,
               milliseconds timeout,
               std::function<void(result<reply_type>)> done) {
    auto reply = std::make_shared<reply_type>();
    auto seen = std::make_shared<bool>(false);
    return start(
        peer, method, request, timeout,
        [reply, seen](std::string_view body) {
          *seen =
              reply->ParseFromArray(body.data(), static_cast<int>(body.size()));
        },
        [reply, seen, done = std::move(done)](std::error_code ended) {
          if (ended) {
            done(ended);
          } else if (!*seen) {
            done(errc::wire_garbled);
          } else {
            done(std::move(*reply));
          }
        });
  }

  rpc_counters& counters();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace trayrock
