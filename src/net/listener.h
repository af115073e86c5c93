// Listening for TCP connections on an address, as the servers of this folder
// do it.
//
// Example:
//   evconnlistener* listener = internal::bind_listener(
//       loop, where, 512, impl::accept, this);
//   ...
//   evconnlistener_free(listener);
#pragma once

#include <event2/listener.h>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock::internal {

// Hands each new connection to `accept` with `context`. `backlog` is how many
// connections may wait to be accepted. The caller owns the listener and frees
// it, which closes its socket. nullptr: the address can not be bound.
evconnlistener* bind_listener(event_loop& loop, const address& where,
                              int backlog, evconnlistener_cb accept,
                              void* context);

}  // namespace trayrock::internal
