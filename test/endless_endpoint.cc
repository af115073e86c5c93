#include "endless_endpoint.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <fstream>

namespace trayrock::testing {
namespace {

constexpr std::size_t block_bytes = std::size_t{64} << 10;
// A connection that its caller has not closed by then is closed here.
constexpr std::size_t max_bytes = std::size_t{320} << 20;

}  // namespace

void endless_endpoint::serve(int socket) {
  std::string request;
  std::array<char, 4096> piece{};
  while (request.find("\r\n\r\n") == std::string::npos) {
    const ssize_t got = recv(socket, piece.data(), piece.size(), 0);
    if (got <= 0) {
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
  while (sent < max_bytes) {
    const ssize_t went = send(socket, block.data(), block.size(), MSG_NOSIGNAL);
    if (went <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(went);
  }
  sent_ += sent;
  ++ended_;
}

std::size_t resident_bytes(pid_t process) {
  std::ifstream pages("/proc/" + std::to_string(process) + "/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  pages >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace trayrock::testing
