// An endpoint in the test's own process that sends bytes without an end, until
// its caller closes the connection.
//
// Example:
//   endless_endpoint endpoint([](const std::string& request) {
//     return endless_response{"HTTP/1.1 200 OK\r\n\r\n", "line\n"};
//   });
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "loopback_listener.h"

namespace trayrock::testing {

// A beginning, then the same bytes again and again.
struct endless_response {
  std::string begin;
  std::string repeated;
};

class endless_endpoint {
 public:
  // Called with the head of a request, by several threads.
  using script = std::function<endless_response(const std::string& request)>;

  explicit endless_endpoint(script respond) : respond_(std::move(respond)) {}

  std::string address() const { return listener_.address(); }

  // Bytes that were sent on connections that have ended.
  std::size_t sent() const { return sent_; }

  // How many connections have ended after a request.
  int ended() const { return ended_; }

 private:
  void serve(int socket);

  script respond_;
  std::atomic<std::size_t> sent_ = 0;
  std::atomic<int> ended_ = 0;
  loopback_listener listener_{[this](int socket) { serve(socket); }};
};

// The memory that a process holds, in bytes.
std::size_t resident_bytes(pid_t process);

}  // namespace trayrock::testing
