// A client's persistent (keep-alive) connection to a port on loopback.
//
// Example:
//   kept_connection to_gateway(port);
//   const std::string response = to_gateway.exchange(request, 10);
#pragma once

#include <string>

namespace trayrock::testing {

class kept_connection {
 public:
  explicit kept_connection(int port) : port_(port) {}
  kept_connection(const kept_connection&) = delete;
  kept_connection& operator=(const kept_connection&) = delete;
  ~kept_connection() { close(); }

  // Sends a request once and returns the raw response: what was received before
  // the connection ended or the timeout. Reconnects first if the server has
  // closed the connection.
  std::string exchange(const std::string& request, int seconds);

 private:
  bool open();
  void close();
  bool closed_by_peer() const;

  int port_;
  int socket_ = -1;
};

}  // namespace trayrock::testing
