#include "scripted_endpoint.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "loopback.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

// A reset discards what its receiver has not read.
constexpr std::chrono::milliseconds reset_delay{50};

// Adds what the connection brings next; false once it has ended.
bool read_more(int socket, std::string& bytes) {
  std::array<char, 16384> piece{};
  const ssize_t got = recv(socket, piece.data(), piece.size(), 0);
  if (got <= 0) {
    return false;
  }
  bytes.append(piece.data(), static_cast<std::size_t>(got));
  return true;
}

// One request with its body; empty once the connection has ended.
std::string read_request(int socket) {
  std::string bytes;
  std::size_t head = 0;
  while ((head = bytes.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more(socket, bytes)) {
      return {};
    }
  }
  const std::size_t length =
      std::strtoul(header_of(bytes, "Content-Length").c_str(), nullptr, 10);
  while (bytes.size() < head + 4 + length) {
    if (!read_more(socket, bytes)) {
      return {};
    }
  }
  return bytes;
}

void send_all(int socket, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t now =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(now);
  }
}

}  // namespace

std::string header_of(const std::string& request, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = request.find(start);
  if (at == std::string::npos || at > request.find("\r\n\r\n")) {
    return {};
  }
  const std::size_t begin = at + start.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

void scripted_endpoint::serve(int socket) {
  bool used = false;
  for (std::string request = read_request(socket); !request.empty();
       request = read_request(socket)) {
    ++requests_;
    used_connections_ += std::exchange(used, true) ? 0 : 1;
    const scripted_response response = respond_(request);
    send_all(socket, response.bytes);
    if (response.end == connection_end::keep_open) {
      continue;
    }
    if (response.end == connection_end::reset) {
      std::this_thread::sleep_for(reset_delay);
      const linger discard{1, 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    return;
  }
}

}  // namespace trayrock::testing
