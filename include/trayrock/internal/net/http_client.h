// HTTP towards the platform, engines and plain services, by http1_client.h:
// replies are read, bounded and checked as those of the endpoints.
//
// Connections are kept and reused, one request on each at a time. Nothing is
// resent: a connection that breaks ends its request with an error, whatever
// the method.
//
// Example:
//   http_client client(loop);
//   http_call call = client.start(peer, {"GET", "/v1/boxes"}, timeout,
//       nullptr, [](result<http_reply> reply) { ... });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

struct http_message {
  std::string method;
  std::string target;  // path and query
  std::string body;
  std::map<std::string, std::string> headers;
};

struct http_reply {
  int status = 0;
  std::map<std::string, std::string, std::less<>> headers;  // lower case
  std::string body;

  // True if the body has a length or chunks. Otherwise it ended with its
  // connection, and may have been cut.
  bool is_framed() const;

  std::string_view header(std::string_view lower_case_name) const;
};

// Handle of a running request; dropping it closes the connection under it.
class http_call {
 public:
  http_call() = default;
  void cancel() { state_.reset(); }
  struct state;

 private:
  friend class http_client;
  std::shared_ptr<state> state_;
};

class http_client {
 public:
  using chunk_callback = std::function<void(std::string_view)>;
  using done_callback = std::function<void(result<http_reply>)>;

  explicit http_client(event_loop& loop);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  // Sends one request. With `on_chunk` the body is handed on as it comes and
  // the reply's body stays empty. The timeout is the longest silence.
  // Errors: errc::connect_failed when the peer could not be reached and
  // nothing was sent, errc::connection_lost when the connection broke or the
  // reply is not one of HTTP, errc::rpc_timeout after silence,
  // errc::malformed_request for a GET or DELETE with a body.
  http_call start(const address& peer, const http_message& message,
                  milliseconds timeout, chunk_callback on_chunk,
                  done_callback on_done);

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace trayrock
