#include "listener.h"

#include "socket_address.h"

namespace trayrock::internal {

evconnlistener* bind_listener(event_loop& loop, const address& where,
                              int backlog, evconnlistener_cb accept,
                              void* context) {
  sockaddr_in bound = socket_address_of(where);
  return evconnlistener_new_bind(
      loop.base(), accept, context, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      backlog, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
}

}  // namespace trayrock::internal
