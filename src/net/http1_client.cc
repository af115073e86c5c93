#include "trayrock/internal/net/http1_client.h"

#include "http1_client_connection.h"

namespace trayrock {
namespace {

// The bytes of a request as they are sent.
std::string encode(const http1_request& request, const std::string& peer) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (!request.headers.has("Host")) {
    out += "Host: " + peer + "\r\n";
  }
  for (const header_field& each : request.headers.fields()) {
    out.append(each.name).append(": ").append(each.value).append("\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT" || request.method == "PATCH") {
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return out + "\r\n" + request.body;
}

std::string key_of(const std::string& peer, std::string_view owner) {
  return peer + " " + std::string(owner);
}

}  // namespace

struct http1_call::canceller {
  std::weak_ptr<internal::http1_client_connection> connection;
  bool ended = false;

  canceller() = default;
  canceller(const canceller&) = delete;
  canceller& operator=(const canceller&) = delete;
  ~canceller() {
    const auto held = connection.lock();
    if (!ended && held != nullptr) {
      held->drop();
    }
  }
};

void http1_call::pause_reading() {
  const auto held =
      held_ == nullptr || held_->ended ? nullptr : held_->connection.lock();
  if (held != nullptr) {
    held->pause_reading();
  }
}

void http1_call::resume_reading() {
  const auto held =
      held_ == nullptr || held_->ended ? nullptr : held_->connection.lock();
  if (held != nullptr) {
    held->resume_reading();
  }
}

http1_pool::http1_pool(event_loop& loop)
    : impl_(std::make_shared<impl>(loop)) {}

http1_pool::~http1_pool() = default;

http1_call http1_pool::start(const std::string& peer, std::string_view owner,
                             const http1_request& request,
                             http1_observer observer) {
  http1_call handle;
  handle.held_ = std::make_shared<http1_call::canceller>();
  internal::running_call call;
  call.bytes = encode(request, peer);
  call.head_request = request.method == "HEAD";
  call.observer = std::move(observer);
  // The handle must not close a connection that has gone on to another call.
  std::weak_ptr<http1_call::canceller> weak = handle.held_;
  call.observer.on_end =
      [weak, tell = std::move(call.observer.on_end)](http1_end how) {
        if (const auto held = weak.lock()) {
          held->ended = true;
        }
        tell(how);
      };
  const std::string key = key_of(peer, owner);
  std::shared_ptr<internal::http1_client_connection> connection =
      impl_->take_idle(key);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = impl_->open(key, peer);
  }
  if (connection == nullptr) {
    impl_->loop.post([tell = std::move(call.observer.on_end)] {
      tell(http1_end::never_sent);
    });
    return handle;
  }
  handle.held_->connection = connection;
  connection->start(std::move(call));
  if (!reused && impl_->connected) {
    impl_->connected(peer);
  }
  return handle;
}

std::shared_ptr<internal::http1_client_connection> http1_pool::impl::take_idle(
    const std::string& key) {
  const auto found = peers.find(key);
  if (found == peers.end() || found->second.idle.empty()) {
    return nullptr;
  }
  std::shared_ptr<internal::http1_client_connection> taken =
      found->second.idle.back();
  found->second.idle.pop_back();
  return taken;
}

std::shared_ptr<internal::http1_client_connection> http1_pool::impl::open(
    const std::string& key, const std::string& peer) {
  const result<address> to = address::parse(peer);
  auto made = std::make_shared<internal::http1_client_connection>(
      weak_from_this(), loop, key);
  if (!to || !made->open(to.value())) {
    return nullptr;
  }
  peers[key].all.insert(made);
  return made;
}

void http1_pool::forget(const std::string& peer, std::string_view owner) {
  const auto found = impl_->peers.find(key_of(peer, owner));
  if (found == impl_->peers.end()) {
    return;
  }
  const auto idle = found->second.idle;
  for (const auto& each : idle) {
    each->drop();
  }
}

bool http1_pool::has_idle(const std::string& peer,
                          std::string_view owner) const {
  const auto found = impl_->peers.find(key_of(peer, owner));
  return found != impl_->peers.end() && !found->second.idle.empty();
}

void http1_pool::on_connect(connect_observer observer) {
  impl_->connected = std::move(observer);
}

std::size_t http1_pool::connections(const std::string& peer,
                                    std::string_view owner) const {
  const auto found = impl_->peers.find(key_of(peer, owner));
  return found == impl_->peers.end() ? 0 : found->second.all.size();
}

}  // namespace trayrock
