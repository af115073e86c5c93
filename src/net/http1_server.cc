#include "trayrock/internal/net/http1_server.h"

#include <event2/listener.h>

#include <algorithm>
#include <vector>

#include "http1_server_connection.h"
#include "listener.h"

namespace trayrock {
namespace {

constexpr int accept_backlog = 1024;

}  // namespace

void http1_server::impl::accept(evconnlistener*, evutil_socket_t socket,
                                sockaddr*, int, void* context) {
  auto* self = static_cast<impl*>(context);
  auto made = std::make_shared<internal::http1_server_connection>(
      *self, ++self->last_connection);
  self->connections[made.get()] = made;
  self->accepted_at_ms = self->loop.now_ms();
  made->open(socket);
}

http1_server::http1_server(event_loop& loop, limits_source limits,
                           handler serve)
    : impl_(std::make_shared<impl>(loop, std::move(limits), std::move(serve))) {
}

http1_server::~http1_server() { stop_accepting(); }

void http1_server::pause_accepting() {
  if (impl_->listener != nullptr) {
    evconnlistener_disable(impl_->listener);
  }
}

void http1_server::resume_accepting() {
  if (impl_->listener != nullptr) {
    evconnlistener_enable(impl_->listener);
  }
}

void http1_server::stop_accepting() {
  if (impl_->listener != nullptr) {
    evconnlistener_free(impl_->listener);
    impl_->listener = nullptr;
  }
}

result<void> http1_server::listen(const address& where) {
  impl_->listener = internal::bind_listener(impl_->loop, where, accept_backlog,
                                            impl::accept, impl_.get());
  if (impl_->listener == nullptr) {
    return errc::connect_failed;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void http1_server::on_refusal(refusal_observer observer) {
  impl_->refused = std::move(observer);
}

void http1_server::on_buffered(buffer_observer observer) {
  impl_->buffered = std::move(observer);
}

void http1_server::drop(std::uint64_t connection) {
  const auto found =
      std::find_if(impl_->connections.begin(), impl_->connections.end(),
                   [connection](const auto& each) {
                     return each.second->id() == connection;
                   });
  if (found != impl_->connections.end()) {
    const auto keep = found->second;
    keep->lose();
  }
}

void http1_server::close_after_answers(bool closes) { impl_->closing = closes; }

void http1_server::close_idle() {
  std::vector<std::shared_ptr<internal::http1_server_connection>> idle;
  for (const auto& [key, each] : impl_->connections) {
    if (each->idle()) {
      idle.push_back(each);
    }
  }
  for (const auto& each : idle) {
    each->close_gently();
  }
}

milliseconds http1_server::since_last_connection() const {
  if (!impl_->accepted_at_ms) {
    return milliseconds::max();
  }
  return milliseconds(impl_->loop.now_ms() - *impl_->accepted_at_ms);
}

std::size_t http1_server::open_requests() const {
  const auto unsent =
      std::count_if(impl_->connections.begin(), impl_->connections.end(),
                    [](const auto& each) { return each.second->unsent(); });
  return impl_->open + static_cast<std::size_t>(unsent);
}

}  // namespace trayrock
