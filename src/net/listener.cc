#include "listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace trayrock::internal {

evconnlistener* bind_listener(event_loop& loop, const address& where,
                              int backlog, evconnlistener_cb accept,
                              void* context) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(where.port());
  inet_pton(AF_INET, where.host().c_str(), &bound.sin_addr);
  return evconnlistener_new_bind(
      loop.base(), accept, context, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      backlog, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
}

}  // namespace trayrock::internal
