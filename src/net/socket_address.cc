#include "socket_address.h"

#include <arpa/inet.h>

namespace trayrock::internal {

sockaddr_in socket_address_of(const address& from) {
  sockaddr_in made{};
  made.sin_family = AF_INET;
  made.sin_port = htons(from.port());
  inet_pton(AF_INET, from.host().c_str(), &made.sin_addr);
  return made;
}

}  // namespace trayrock::internal
