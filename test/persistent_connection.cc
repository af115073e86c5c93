#include "persistent_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

#include "loopback.h"

namespace trayrock::testing {
namespace {

using clock = std::chrono::steady_clock;

// `complete_and_last`: the server closes the connection after the response.
enum class progress { incomplete, complete, complete_and_last };

progress progress_of(const std::string& response) {
  const std::size_t head = response.find("\r\n\r\n");
  if (head == std::string::npos) {
    return progress::incomplete;
  }
  const std::string headers = response.substr(0, head);
  const std::size_t body = response.size() - head - 4;
  const std::string length_name = "Content-Length: ";
  const std::size_t length = headers.find(length_name);
  const bool complete =
      length == std::string::npos
          ? response.ends_with("0\r\n\r\n")
          : body >= std::strtoull(headers.c_str() + length + length_name.size(),
                                  nullptr, 10);
  if (!complete) {
    return progress::incomplete;
  }
  return headers.find("Connection: close") == std::string::npos
             ? progress::complete
             : progress::complete_and_last;
}

}  // namespace

bool persistent_connection::open() {
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in where = loopback(port_);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&where),
              sizeof(where)) != 0) {
    close();
    return false;
  }
  return true;
}

void persistent_connection::close() {
  if (socket_ >= 0) {
    ::close(socket_);
    socket_ = -1;
  }
}

bool persistent_connection::idle_connection_usable() {
  std::array<char, 16384> bytes{};
  const ssize_t got = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (got > 0) {
    unexpected_.assign(bytes.data(), static_cast<std::size_t>(got));
  }
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool persistent_connection::send_all(const std::vector<std::string>& pieces,
                                     std::chrono::milliseconds pause) const {
  for (const std::string& each : pieces) {
    if (&each != &pieces.front()) {
      std::this_thread::sleep_for(pause);
    }
    if (send(socket_, each.data(), each.size(), MSG_NOSIGNAL) < 0) {
      return false;
    }
  }
  return true;
}

std::string persistent_connection::exchange(const std::string& request,
                                            int seconds) {
  return exchange_in_pieces({request}, std::chrono::milliseconds(0), seconds);
}

std::string persistent_connection::exchange_in_pieces(
    const std::vector<std::string>& pieces, std::chrono::milliseconds pause,
    int seconds) {
  closed_ = false;
  unexpected_.clear();
  if (socket_ >= 0 && !idle_connection_usable()) {
    close();
  }
  if (socket_ < 0 && !open()) {
    return {};
  }
  const bool sent = send_all(pieces, pause);
  std::string response;
  const auto end = clock::now() + std::chrono::seconds(seconds);
  progress reached = progress::incomplete;
  while (sent && reached == progress::incomplete) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - clock::now());
    pollfd readable{socket_, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    std::array<char, 16384> bytes{};
    const ssize_t got = recv(socket_, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      closed_ = got == 0;
      break;
    }
    response.append(bytes.data(), static_cast<std::size_t>(got));
    reached = progress_of(response);
  }
  if (reached != progress::complete) {
    close();
  }
  return response;
}

}  // namespace trayrock::testing
