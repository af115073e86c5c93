// HTTP towards callers, operators and the platform's probes, by evhttp.
//
// A handler gets the whole request and an exchange to answer on, once or as
// a stream. The exchange may be kept and answered later; when the client has
// gone away, answers are dropped.
//
// Example:
//   http_server server(loop, limits);
//   server.handle([](const http_request& request, http_exchange_ptr out) {
//     out->reply(200, "application/json", "{}");
//   });
//   server.listen(address);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

struct http_limits {
  std::size_t max_body_bytes = 8U << 20;
  std::size_t max_header_bytes = 16U << 10;
  // A client that sends or takes nothing for this long is cut off.
  milliseconds idle_timeout{60000};
};

// Header names are kept in lower case.
using http_headers = std::map<std::string, std::string, std::less<>>;

struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string, std::less<>> query;
  http_headers headers;
  std::string body;

  // The header's value, or an empty view.
  std::string_view header(std::string_view lower_case_name) const;

  // The query parameter's value, or an empty view.
  std::string_view parameter(std::string_view name) const;

  // The query parameter as a number, or the fallback.
  std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
};

class http_exchange {
 public:
  virtual ~http_exchange() = default;

  // Adds a header to the answer; before reply() or start().
  virtual void add_header(std::string_view name, std::string_view value) = 0;

  // Answers at once and ends the exchange.
  virtual void reply(int status, std::string_view content_type,
                     std::string_view body) = 0;

  // Opens a chunked answer.
  virtual void start(int status, std::string_view content_type) = 0;
  virtual void chunk(std::string_view bytes) = 0;
  virtual void finish() = 0;

  // Cuts the connection without an answer (stand-ins use it).
  virtual void cut() = 0;

  // Called once if the client goes away before the answer is whole.
  virtual void on_gone(std::function<void()> callback) = 0;

  virtual bool answered() const = 0;
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;

class http_server {
 public:
  using handler =
      std::function<void(const http_request&, const http_exchange_ptr&)>;

  http_server(event_loop& loop, http_limits limits);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  // Sets the one handler for every path and method.
  void handle(handler callback);

  // Errors: errc::connect_failed when the address cannot be bound.
  result<void> listen(const address& where);

  // Takes no new connections from here on.
  void stop_accepting();

  // Exchanges that have no whole answer yet.
  std::size_t open_exchanges() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace trayrock
