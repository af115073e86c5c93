#include "trayrock/internal/net/connect_probe.h"

#include <event2/util.h>

#include <cerrno>
#include <utility>

#include "socket_address.h"

namespace trayrock {
namespace {

// A process closes its sockets within milliseconds when it ends.
constexpr milliseconds watched_for{20};

}  // namespace

connect_probe::connect_probe(event_loop& loop, const std::string& peer,
                             milliseconds limit, callback done)
    : loop_(loop),
      to_(address::parse(peer)),
      time_limit_(limit),
      done_(std::move(done)) {
  connect();
}

void connect_probe::connect() {
  connected_ = false;
  bool started = false;
  if (to_) {
    bev_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(bev_.get(), nullptr, nullptr, on_event, this);
    sockaddr_in target = internal::socket_address_of(to_.value());
    started = bufferevent_socket_connect(bev_.get(),
                                         reinterpret_cast<sockaddr*>(&target),
                                         sizeof(target)) == 0;
  }
  limit_ = loop_.after(started ? time_limit_ : milliseconds(0),
                       [this] { end(probe_result::silent); });
}

void connect_probe::on_event(bufferevent*, short what, void* context) {
  auto& me = *static_cast<connect_probe*>(context);
  const bool refused = !me.connected_ && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    me.connected_ = true;
    bufferevent_enable(me.bev_.get(), EV_READ);
    me.limit_ =
        me.loop_.after(watched_for, [&me] { me.end(probe_result::accepted); });
  } else if (refused) {
    me.end(probe_result::refused);
  } else if (!std::exchange(me.repeated_, true)) {
    me.limit_ = me.loop_.after(milliseconds(0), [&me] { me.connect(); });
  } else {
    // A process that runs closes connections beyond its limit.
    me.end(me.connected_ ? probe_result::accepted : probe_result::silent);
  }
}

// The callback may destroy this object.
void connect_probe::end(probe_result result) {
  if (const callback done = std::exchange(done_, nullptr)) {
    limit_.cancel();
    done(result);
  }
}

}  // namespace trayrock
