#include "fault_proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <vector>

#include "loopback.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int backlog = 256;
constexpr int tick_ms = 5;
constexpr std::chrono::milliseconds slow_delay{150};
constexpr std::size_t read_bytes = 65536;

int open_socket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

fault_proxy::fault_proxy(int listen_port, int target_port)
    : listener_(open_socket()), target_port_(target_port) {
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in where = loopback(listen_port);
  const bool bound = bind(listener_, reinterpret_cast<const sockaddr*>(&where),
                          sizeof(where)) == 0 &&
                     listen(listener_, backlog) == 0;
  TRAYROCK_CHECK(bound, "proxy cannot listen on port " << listen_port);
  thread_ = std::thread([this] { run(); });
}

fault_proxy::~fault_proxy() {
  over_ = true;
  thread_.join();
  for (const connection& each : connections_) {
    close_both(each, false);
  }
  close(listener_);
}

void fault_proxy::run() {
  while (!over_) {
    std::vector<pollfd> watched{{listener_, POLLIN, 0}};
    for (const connection& each : connections_) {
      watched.push_back({each.requests.from, POLLIN, 0});
      watched.push_back({each.answers.from, POLLIN, 0});
    }
    // A readable side that is being held up must not make this spin.
    const bool calm = fault_ == link_fault::none;
    poll(watched.data(), calm ? watched.size() : 1, tick_ms);
    if (fault_ != link_fault::silence) {
      accept_one();
    }
    const bool reset = reset_.exchange(false);
    const bool mute = mute_.exchange(false);
    for (auto each = connections_.begin(); each != connections_.end();) {
      each->muted = each->muted || mute;
      carry(*each);
      const bool done = each->requests.told_end && each->answers.told_end;
      if (!reset && !each->lost && !done) {
        ++each;
        continue;
      }
      close_both(*each, reset || each->lost);
      each = connections_.erase(each);
    }
  }
}

void fault_proxy::accept_one() {
  const int client =
      accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (client < 0) {
    return;
  }
  const int server = open_socket();
  const sockaddr_in where = loopback(target_port_);
  const int made =
      connect(server, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
  connection each;
  each.lost = made != 0 && errno != EINPROGRESS;
  each.requests = {client, server, {}, false, false};
  each.answers = {server, client, {}, false, false};
  connections_.push_back(std::move(each));
}

bool fault_proxy::passes(link_fault cut) const {
  const link_fault now = fault_;
  return now != cut && now != link_fault::silence;
}

void fault_proxy::carry(connection& each) {
  if (each.muted) {
    return;
  }
  const clock::time_point due =
      clock::now() +
      (fault_ == link_fault::slow ? slow_delay : std::chrono::milliseconds(0));
  read_some(each.requests, due, each.lost);
  read_some(each.answers, due, each.lost);
  if (passes(link_fault::cut_requests)) {
    write_due(each.requests, each.lost);
  }
  if (passes(link_fault::cut_answers)) {
    write_due(each.answers, each.lost);
  }
}

void fault_proxy::read_some(direction& way, clock::time_point due, bool& lost) {
  if (way.ended || lost) {
    return;
  }
  std::array<char, read_bytes> bytes{};
  const ssize_t got = recv(way.from, bytes.data(), bytes.size(), 0);
  if (got > 0) {
    way.waiting.push_back(
        {due, std::string(bytes.data(), static_cast<std::size_t>(got))});
  } else if (got == 0) {
    way.ended = true;
  } else if (!would_block() && errno != ENOTCONN) {
    lost = true;
  }
}

void fault_proxy::write_due(direction& way, bool& lost) {
  while (!way.waiting.empty() && way.waiting.front().due <= clock::now()) {
    std::string& bytes = way.waiting.front().bytes;
    const ssize_t done = send(way.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (done < 0) {
      lost = lost || (!would_block() && errno != ENOTCONN);
      return;
    }
    bytes.erase(0, static_cast<std::size_t>(done));
    if (bytes.empty()) {
      way.waiting.pop_front();
    }
  }
  if (way.ended && way.waiting.empty() && !way.told_end) {
    way.told_end = true;
    shutdown(way.to, SHUT_WR);
  }
}

void fault_proxy::close_both(const connection& each, bool reset) {
  for (const int side : {each.requests.from, each.answers.from}) {
    if (reset) {
      const linger at_once{1, 0};
      setsockopt(side, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    close(side);
  }
}

}  // namespace trayrock::testing
