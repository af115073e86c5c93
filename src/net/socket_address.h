// An address as the sockets' own calls take it.
//
// Example:
//   sockaddr_in to = internal::socket_address_of(peer);
//   bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&to),
//                              sizeof(to));
#pragma once

#include <netinet/in.h>

#include "trayrock/internal/net/address.h"

namespace trayrock::internal {

sockaddr_in socket_address_of(const address& from);

}  // namespace trayrock::internal
