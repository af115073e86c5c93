// A client's persistent (keep-alive) connection to a port on loopback.
//
// Example:
//   persistent_connection to_gateway(port);
//   const std::string response = to_gateway.exchange(request, 10);
#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace trayrock::testing {

class persistent_connection {
 public:
  explicit persistent_connection(int port) : port_(port) {}
  persistent_connection(const persistent_connection&) = delete;
  persistent_connection& operator=(const persistent_connection&) = delete;
  ~persistent_connection() { close(); }

  // Sends a request once and returns the raw response: what was received before
  // the connection ended or the timeout. Reconnects first if the server has
  // closed the connection.
  std::string exchange(const std::string& request, int seconds);

  // The same for a request whose bytes are sent in pieces, with a pause before
  // each but the first.
  std::string exchange_in_pieces(const std::vector<std::string>& pieces,
                                 std::chrono::milliseconds pause, int seconds);

  // Whether the server ended the last exchange by closing the connection,
  // without an error.
  bool closed() const { return closed_; }

  // Bytes that were received before the last request was sent.
  const std::string& unexpected() const { return unexpected_; }

 private:
  bool open();
  void close();
  bool send_all(const std::vector<std::string>& pieces,
                std::chrono::milliseconds pause) const;
  bool idle_connection_usable();

  int port_;
  int socket_ = -1;
  bool closed_ = false;
  std::string unexpected_;
};

}  // namespace trayrock::testing
