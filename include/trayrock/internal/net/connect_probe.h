// Checks whether a process listens at an address, by a connection that carries
// nothing.
//
// A refused connection shows that the process has ended. Silence shows nothing:
// the path may be cut. A process that is ending may still accept a connection
// and closes or resets it at once, so an accepted one is watched for a moment,
// and a connection that failed otherwise than by a refusal is made once more.
//
// Example:
//   connect_probe probe(loop, "10.0.0.1:8040", limit,
//                       [](probe_result result) { ... });
#pragma once

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <string>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

enum class probe_result { accepted, refused, silent };

// Dropping the probe cancels it.
class connect_probe {
 public:
  using callback = std::function<void(probe_result)>;

  // Calls back exactly once, from the loop.
  connect_probe(event_loop& loop, const std::string& peer, milliseconds limit,
                callback done);
  connect_probe(const connect_probe&) = delete;
  connect_probe& operator=(const connect_probe&) = delete;

 private:
  struct closer {
    void operator()(bufferevent* held) const { bufferevent_free(held); }
  };

  static void on_event(bufferevent* bev, short what, void* context);
  void end(probe_result result);

  void connect();

  event_loop& loop_;
  result<address> to_;
  milliseconds time_limit_;
  std::unique_ptr<bufferevent, closer> bev_;
  bool connected_ = false;
  bool repeated_ = false;
  timer limit_;
  callback done_;
};

}  // namespace trayrock
