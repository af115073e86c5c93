// HTTP/1.1 towards clients, for a proxy: what evhttp's server hides is kept.
//
// bufferevent carries the bytes and http_parser reads them. A request is
// handed on once it is whole. A connection serves one request at a time; more
// that a client sends ahead waits. Requests that can not be read safely (both
// a length and chunks, more than the limits allow, too slow) are answered with
// 4xx here and close the connection.
//
// Example:
//   http1_server server(loop, [] { return limits; }, serve);
//   server.listen(address);
//   // in serve(request, out):
//   out->begin(200, headers);
//   out->write("data: 1\n\n");
//   out->finish();
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/header_list.h"
#include "trayrock/internal/net/loop.h"

struct evconnlistener;

namespace trayrock {

struct http1_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  milliseconds header_timeout{3000};  // from a request's first byte
  milliseconds idle_timeout{15000};   // of a connection or a slow body
};

struct http1_request {
  std::string method;
  std::string target;  // path and query, as sent
  header_list headers;
  std::string body;
};

// Bytes that one client's connection buffers in this process.
struct http1_buffered {
  std::size_t received = 0;  // requests that were not handed on yet
  std::size_t unread = 0;    // responses that the client has not taken

  std::size_t total() const { return received + unread; }
};

// The answer to one request. Calls after the client has gone do nothing.
class http1_exchange {
 public:
  virtual ~http1_exchange() = default;

  // A whole answer with its length.
  virtual void respond(int status, const header_list& headers,
                       std::string_view body) = 0;

  // An answer without a known length; finish() marks it as complete.
  virtual void begin(int status, const header_list& headers) = 0;
  virtual void write(std::string_view bytes) = 0;
  virtual void finish() = 0;

  // Ends the connection; what was begun stays incomplete. What was written of
  // a response in chunks is sent first.
  virtual void abort() = 0;

  // As abort(), but at once: what is not sent yet is dropped.
  virtual void discard() = 0;

  // Called at most once, if the client goes before the answer has ended.
  virtual void on_gone(std::function<void()> callback) = 0;

  // True once the answer's head is on its way.
  virtual bool begun() const = 0;

  // Of the client's connection, which other requests may follow on. Never
  // reused by the server.
  virtual std::uint64_t connection_id() const = 0;
};
using http1_exchange_ptr = std::shared_ptr<http1_exchange>;

class http1_server {
 public:
  using handler = std::function<void(http1_request, http1_exchange_ptr)>;
  using limits_source = std::function<http1_limits()>;
  // Told of each answer that the server gave by itself.
  using refusal_observer = std::function<void(int status)>;

  // Told of each change of what a connection buffers, also from within
  // http1_exchange's calls. No value: the connection was closed.
  using buffer_observer = std::function<void(
      std::uint64_t connection, std::optional<http1_buffered> held)>;

  http1_server(event_loop& loop, limits_source limits, handler serve);
  http1_server(const http1_server&) = delete;
  http1_server& operator=(const http1_server&) = delete;
  ~http1_server();

  // Errors: errc::connect_failed when the address cannot be bound.
  result<void> listen(const address& where);

  void on_refusal(refusal_observer observer);

  // Only connections that are accepted from now on are observed.
  void on_buffered(buffer_observer observer);

  // Closes a connection; a response that has begun stays incomplete. Must not
  // be called from a buffer_observer.
  void drop(std::uint64_t connection);

  // From now on every answer closes its connection.
  void close_after_answers(bool closes = true);

  // New connections wait, in number up to the backlog, until they are accepted
  // again.
  void pause_accepting();
  void resume_accepting();

  // Refuses new connections from here on.
  void stop_accepting();

  // Closes the connections on which no request has begun.
  void close_idle();

  // Since the last connection was accepted; the largest value if there was
  // none.
  milliseconds since_last_connection() const;

  // Requests handed on whose answers have not been sent in full.
  std::size_t open_requests() const;

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace trayrock
