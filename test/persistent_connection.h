// A client's connection to one port of loopback that is kept from request to
// request, until the server closes it.
//
// Example:
//   persistent_connection to_gateway(port);
//   const std::string answer = to_gateway.exchange(request, 10);
#pragma once

#include <string>

namespace trayrock::testing {

class persistent_connection {
 public:
  explicit persistent_connection(int port) : port_(port) {}
  persistent_connection(const persistent_connection&) = delete;
  persistent_connection& operator=(const persistent_connection&) = delete;
  ~persistent_connection() { close(); }

  // Sends a request once and reads its answer: head and body as they came,
  // nothing more than what came before the connection or the time ended. A
  // kept connection that the server has closed is replaced beforehand.
  std::string exchange(const std::string& request, int seconds);

 private:
  bool open();
  void close();
  bool closed_by_peer() const;

  int port_;
  int socket_ = -1;
};

}  // namespace trayrock::testing
