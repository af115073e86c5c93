#include "trayrock/internal/net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trayrock/internal/net/header_list.h"

namespace trayrock {
namespace {

constexpr std::size_t max_idle_connections = 256;
// A peer that sends more in reply to one request is disconnected.
constexpr ev_ssize_t max_header_bytes = 64 << 10;
constexpr ev_ssize_t max_body_bytes = 64 << 20;

evhttp_cmd_type command_of(std::string_view method) {
  if (method == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (method == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_POST;
}

// evhttp writes a body after these without saying how long it is; the other
// side then reads it as the next request.
bool may_have_body(std::string_view method) {
  return method != "GET" && method != "DELETE";
}

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char each) { return std::tolower(each); });
  return out;
}

}  // namespace

std::string_view http_reply::header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : found->second;
}

bool http_reply::is_framed() const {
  return headers.contains("content-length") ||
         same_name(header("transfer-encoding"), "chunked");
}

struct http_client::impl {
  explicit impl(event_loop& loop_in) : loop(loop_in) {}
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl() {
    for (auto& [peer, connections] : idle) {
      for (evhttp_connection* each : connections) {
        evhttp_connection_free(each);
      }
    }
  }

  event_loop& loop;
  std::unordered_map<std::string, std::vector<evhttp_connection*>> idle;

  evhttp_connection* take(const address& peer) {
    auto& waiting = idle[peer.text()];
    if (!waiting.empty()) {
      evhttp_connection* held = waiting.back();
      waiting.pop_back();
      return held;
    }
    evhttp_connection* const made = evhttp_connection_base_bufferevent_new(
        loop.base(), nullptr, nullptr, peer.host().c_str(), peer.port());
    evhttp_connection_set_max_headers_size(made, max_header_bytes);
    evhttp_connection_set_max_body_size(made, max_body_bytes);
    return made;
  }

  void give_back(const std::string& peer, evhttp_connection* connection) {
    auto& waiting = idle[peer];
    if (waiting.size() >= max_idle_connections) {
      free_later(connection);
      return;
    }
    waiting.push_back(connection);
  }

  // evhttp may still use the connection in the callback it is running.
  void free_later(evhttp_connection* connection) {
    loop.post([connection] { evhttp_connection_free(connection); });
  }
};

struct http_call::state {
  std::weak_ptr<http_client::impl> client;
  std::string peer;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  timer guard;
  milliseconds timeout{0};
  http_client::chunk_callback on_chunk;
  http_client::done_callback on_done;

  state() = default;
  state(const state&) = delete;
  state& operator=(const state&) = delete;
  ~state() { drop(); }

  // Closes the connection of a running request without a callback.
  void drop() {
    if (request != nullptr) {
      evhttp_cancel_request(std::exchange(request, nullptr));
    }
    if (connection != nullptr) {
      evhttp_connection* closing = std::exchange(connection, nullptr);
      if (const auto held = client.lock()) {
        held->free_later(closing);
      }
    }
  }

  void restart_guard() {
    const auto held = client.lock();
    if (held == nullptr || timeout.count() == 0) {
      return;
    }
    guard = held->loop.after(timeout, [this] {
      const auto done = std::move(on_done);
      drop();
      if (done) {
        done(errc::rpc_timeout);
      }
    });
  }

  void fail(errc why) {
    request = nullptr;
    guard.cancel();
    const auto done = std::move(on_done);
    on_done = nullptr;
    drop();
    if (done) {
      done(why);
    }
  }

  void succeed(evhttp_request* raw) {
    request = nullptr;
    guard.cancel();
    http_reply reply;
    reply.status = evhttp_request_get_response_code(raw);
    const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
    for (evkeyval* each = headers->tqh_first; each != nullptr;
         each = each->next.tqe_next) {
      reply.headers[lower(each->key)] = each->value;
    }
    evbuffer* input = evhttp_request_get_input_buffer(raw);
    reply.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, reply.body.data(), reply.body.size());
    if (const auto held = client.lock()) {
      held->give_back(peer, std::exchange(connection, nullptr));
    }
    const auto done = std::move(on_done);
    on_done = nullptr;
    if (done) {
      done(std::move(reply));
    }
  }

  static void on_complete(evhttp_request* raw, void* context) {
    auto* self = static_cast<state*>(context);
    if (self->request == nullptr) {
      return;
    }
    // evhttp hands back the request itself only where the connection was never
    // made; once anything may have been sent, it gives nothing.
    if (raw == nullptr) {
      self->fail(errc::connection_lost);
    } else if (evhttp_request_get_response_code(raw) == 0) {
      self->fail(errc::connect_failed);
    } else {
      self->succeed(raw);
    }
  }

  static void on_body(evhttp_request* raw, void* context) {
    auto* self = static_cast<state*>(context);
    self->restart_guard();
    evbuffer* input = evhttp_request_get_input_buffer(raw);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, bytes.data(), bytes.size());
    if (self->on_chunk) {
      const auto on_chunk = self->on_chunk;
      on_chunk(bytes);
    }
  }
};

http_client::http_client(event_loop& loop)
    : impl_(std::make_shared<impl>(loop)) {}

http_client::~http_client() = default;

http_call http_client::start(const address& peer, const http_message& message,
                             milliseconds timeout, chunk_callback on_chunk,
                             done_callback on_done) {
  auto call = std::make_shared<http_call::state>();
  if (!message.body.empty() && !may_have_body(message.method)) {
    impl_->loop.post(
        [done = std::move(on_done)] { done(errc::malformed_request); });
    return {};
  }
  call->client = impl_;
  call->peer = peer.text();
  call->timeout = timeout;
  call->connection = impl_->take(peer);
  call->on_done = std::move(on_done);
  call->request = evhttp_request_new(http_call::state::on_complete, call.get());
  if (on_chunk) {
    call->on_chunk = std::move(on_chunk);
    evhttp_request_set_chunked_cb(call->request, http_call::state::on_body);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(call->request);
  evhttp_add_header(headers, "Host", peer.text().c_str());
  for (const auto& [name, value] : message.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer* output = evhttp_request_get_output_buffer(call->request);
  evbuffer_add(output, message.body.data(), message.body.size());
  call->restart_guard();
  http_call handle;
  handle.state_ = call;
  evhttp_make_request(call->connection, call->request,
                      command_of(message.method), message.target.c_str());
  return handle;
}

}  // namespace trayrock
