// A client that sends a request and reads its response only when told to.
//
// It announces small segments and a small window, as on a network, so that the
// kernel holds little of the response; on loopback it would hold megabytes.
//
// Example:
//   stalled_reader client(port, request);
//   const std::string response = client.read_to_end(seconds);
#pragma once

#include <string>

namespace trayrock::testing {

class stalled_reader {
 public:
  stalled_reader(int port, const std::string& request);
  stalled_reader(const stalled_reader&) = delete;
  stalled_reader& operator=(const stalled_reader&) = delete;
  ~stalled_reader();

  // Reads until the response is complete or the connection has ended. Returns
  // what was received within the time.
  std::string read_to_end(int seconds);

  // As read_to_end(), but only so many bytes.
  std::string read(std::size_t bytes, int seconds);

  // Whether the server has closed the connection, without an error.
  bool closed() const { return closed_; }

 private:
  int socket_ = -1;
  bool closed_ = false;
};

}  // namespace trayrock::testing
