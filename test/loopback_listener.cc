#include "loopback_listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "loopback.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int backlog = 64;

}  // namespace

loopback_listener::loopback_listener(connection_server serve)
    : serve_(std::move(serve)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in where = loopback(0);
  socklen_t length = sizeof(where);
  const bool listens =
      bind(listener_, reinterpret_cast<sockaddr*>(&where), length) == 0 &&
      listen(listener_, backlog) == 0 &&
      getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &length) == 0;
  TRAYROCK_CHECK(listens,
                 "expected a free port on loopback: " << std::strerror(errno));
  port_ = ntohs(where.sin_port);
  acceptor_ = std::jthread([this] { accept_connections(); });
}

loopback_listener::~loopback_listener() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  const std::scoped_lock lock(guard_);
  for (const int each : open_) {
    shutdown(each, SHUT_RDWR);
  }
  // The threads join when `connections_` is destroyed, without the lock.
}

std::string loopback_listener::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void loopback_listener::accept_connections() {
  while (!stopping_) {
    const int made = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (made < 0) {
      return;
    }
    const std::scoped_lock lock(guard_);
    open_.push_back(made);
    connections_.emplace_back([this, made] { serve(made); });
  }
}

void loopback_listener::serve(int socket) {
  serve_(socket);
  const std::scoped_lock lock(guard_);
  open_.remove(socket);
  close(socket);
}

}  // namespace trayrock::testing
