// An exchange of bytes over a connection on loopback, and how it ended.
//
// Example:
//   const raw_exchange seen = exchange_raw(port, "GET / HTTP/1.0\r\n\r\n", 10);
//   CPPUNIT_ASSERT_EQUAL(0, seen.error);
#pragma once

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <string>

#include "loopback.h"

namespace trayrock::testing {

struct raw_exchange {
  std::string bytes;  // that were received
  int error = 0;      // at which the connection ended; 0: the peer closed it
};

// Sends bytes and reads until the connection ends, or nothing comes for so
// long (EAGAIN). `on_received` is called after each receipt.
inline raw_exchange exchange_raw(
    int port, const std::string& bytes, int seconds,
    const std::function<void()>& on_received = [] {}) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval longest{seconds, 0};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
  const sockaddr_in where = loopback(port);
  raw_exchange seen;
  if (connect(socket, reinterpret_cast<const sockaddr*>(&where),
              sizeof(where)) != 0) {
    seen.error = errno;
    close(socket);
    return seen;
  }
  send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::array<char, 65536> piece{};
  ssize_t got = 0;
  while ((got = recv(socket, piece.data(), piece.size(), 0)) > 0) {
    seen.bytes.append(piece.data(), static_cast<std::size_t>(got));
    on_received();
  }
  seen.error = got < 0 ? errno : 0;
  close(socket);
  return seen;
}

}  // namespace trayrock::testing
