#include "endless_endpoint.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <utility>

#include "loopback.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int backlog = 16;
constexpr std::size_t block_bytes = std::size_t{64} << 10;
// A connection that was not closed by then ends, so that the test goes on.
constexpr std::size_t max_bytes = std::size_t{320} << 20;

}  // namespace

endless_endpoint::endless_endpoint(script respond)
    : respond_(std::move(respond)),
      listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in at = loopback(0);
  socklen_t size = sizeof(at);
  const int bound =
      bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
  TRAYROCK_CHECK(bound == 0 && listen(listener_, backlog) == 0,
                 "the endpoint cannot listen: " << std::strerror(errno));
  getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
  port_ = ntohs(at.sin_port);
  acceptor_ = std::jthread([this] { accept_connections(); });
}

endless_endpoint::~endless_endpoint() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  connections_.clear();
  close(listener_);
}

std::string endless_endpoint::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void endless_endpoint::accept_connections() {
  while (!stopping_) {
    const int made = accept(listener_, nullptr, nullptr);
    if (made >= 0) {
      connections_.emplace_back([this, made] { serve(made); });
    }
  }
}

void endless_endpoint::serve(int socket) {
  std::string request;
  std::array<char, 4096> piece{};
  while (request.find("\r\n\r\n") == std::string::npos) {
    const ssize_t got = recv(socket, piece.data(), piece.size(), 0);
    if (got <= 0) {
      close(socket);
      return;
    }
    request.append(piece.data(), static_cast<std::size_t>(got));
  }
  const endless_response response = respond_(request);
  send(socket, response.begin.data(), response.begin.size(), MSG_NOSIGNAL);
  std::string block;
  while (block.size() < block_bytes) {
    block += response.repeated;
  }
  std::size_t sent = 0;
  while (!stopping_ && sent < max_bytes) {
    const ssize_t went = send(socket, block.data(), block.size(), MSG_NOSIGNAL);
    if (went <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(went);
  }
  sent_ += sent;
  ++ended_;
  close(socket);
}

std::size_t resident_bytes(pid_t process) {
  std::ifstream pages("/proc/" + std::to_string(process) + "/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  pages >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace trayrock::testing
