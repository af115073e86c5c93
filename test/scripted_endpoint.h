// An endpoint in the test's own process that answers with given bytes, so that
// a test chooses how a response is framed and how its connection ends.
//
// Example:
//   scripted_endpoint endpoint([](const std::string& request) {
//     return scripted_response{"HTTP/1.1 200 OK\r\n\r\nabc"};
//   });
//   system.put_object("servers", "scripted",
//                     service_deployment::endpoint_entry(endpoint.address(),
//                                                        "ready"));
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <utility>

#include "loopback_listener.h"

namespace trayrock::testing {

enum class connection_end {
  close,      // ends the response without an error
  reset,      // once the bytes have been received
  keep_open,  // for the next request
};

struct scripted_response {
  std::string bytes;
  connection_end end = connection_end::close;
};

class scripted_endpoint {
 public:
  // Called with the head and body of each request, by several threads.
  using script = std::function<scripted_response(const std::string& request)>;

  explicit scripted_endpoint(script respond) : respond_(std::move(respond)) {}

  std::string address() const { return listener_.address(); }

  // How many requests were received, and on how many connections.
  int requests() const { return requests_; }
  int connections() const { return used_connections_; }

 private:
  void serve(int socket);

  script respond_;
  std::atomic<int> requests_ = 0;
  std::atomic<int> used_connections_ = 0;
  loopback_listener listener_{[this](int socket) { serve(socket); }};
};

// The value of a header in a request's bytes; empty: it has none.
std::string header_of(const std::string& request, const std::string& name);

}  // namespace trayrock::testing
