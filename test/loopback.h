// An address of this machine for itself, as the sockets' own calls take it.
//
// Example:
//   const sockaddr_in where = loopback(port);
//   connect(socket, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace trayrock::testing {

// Port 0: the system chooses one that is free, for a socket that is bound.
inline sockaddr_in loopback(int port) {
  sockaddr_in made{};
  made.sin_family = AF_INET;
  made.sin_port = htons(static_cast<std::uint16_t>(port));
  made.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return made;
}

}  // namespace trayrock::testing
