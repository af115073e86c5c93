// Accepts connections on a free port of loopback and serves each by a thread of
// its own, in the test's own process.
//
// Example:
//   loopback_listener listener([](int socket) { answer(socket); });
//   connect_to(listener.address());
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace trayrock::testing {

class loopback_listener {
 public:
  // Called by several threads. The connection is closed when it returns.
  using connection_server = std::function<void(int socket)>;

  explicit loopback_listener(connection_server serve);
  loopback_listener(const loopback_listener&) = delete;
  loopback_listener& operator=(const loopback_listener&) = delete;
  // Ends the open connections and waits for their threads.
  ~loopback_listener();

  std::string address() const;

 private:
  void accept_connections();
  void serve(int socket);

  connection_server serve_;
  int listener_;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex guard_;
  std::list<int> open_;
  std::list<std::jthread> connections_;
  std::jthread acceptor_;
};

}  // namespace trayrock::testing
