#include "stalled_reader.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>

#include "loopback.h"

namespace trayrock::testing {
namespace {

using clock = std::chrono::steady_clock;

constexpr int segment_bytes = 1000;
constexpr int window_bytes = 4096;
constexpr int reading_window_bytes = 262144;

}  // namespace

stalled_reader::stalled_reader(int port, const std::string& request)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
             sizeof(segment_bytes));
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &window_bytes,
             sizeof(window_bytes));
  const sockaddr_in where = loopback(port);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&where),
              sizeof(where)) == 0) {
    send(socket_, request.data(), request.size(), MSG_NOSIGNAL);
  }
}

stalled_reader::~stalled_reader() { close(socket_); }

std::string stalled_reader::read_to_end(int seconds) {
  return read(std::numeric_limits<std::size_t>::max(), seconds);
}

std::string stalled_reader::read(std::size_t bytes, int seconds) {
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &reading_window_bytes,
             sizeof(reading_window_bytes));
  const auto end = clock::now() + std::chrono::seconds(seconds);
  std::string received;
  while (received.size() < bytes && !received.ends_with("0\r\n\r\n")) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - clock::now());
    pollfd readable{socket_, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    std::array<char, 16384> piece{};
    const ssize_t got =
        recv(socket_, piece.data(),
             std::min(piece.size(), bytes - received.size()), 0);
    if (got <= 0) {
      closed_ = got == 0;
      break;
    }
    received.append(piece.data(), static_cast<std::size_t>(got));
  }
  return received;
}

}  // namespace trayrock::testing
