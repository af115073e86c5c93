#include "raw_http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace trayrock::fakes {
namespace {

constexpr int backlog = 1024;
constexpr std::string_view head_end = "\r\n\r\n";
// How long the rest of a body waits after an early response.
constexpr milliseconds early_pause{100};
// A reset discards what its receiver has not read.
constexpr milliseconds reset_delay{30};
// How long a closed connection still reads, so that the kernel sends no reset.
constexpr milliseconds linger_limit{1000};

// The next line, without its end, which is removed from `text` too.
std::string_view take_line(std::string_view& text) {
  const std::size_t end = std::min(text.find("\r\n"), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 2, text.size()));
  return line;
}

raw_request parse_head(std::string_view head) {
  raw_request made;
  const std::string_view first = take_line(head);
  const std::size_t target = first.find(' ') + 1;
  const std::size_t version = first.rfind(' ');
  made.method = first.substr(0, target - 1);
  made.target = first.substr(target, version - target);
  while (!head.empty()) {
    const std::string_view line = take_line(head);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    made.headers.add(line.substr(0, colon), value);
  }
  const std::string length(made.headers.find("Content-Length"));
  made.length = std::strtoull(length.c_str(), nullptr, 10);
  return made;
}

}  // namespace

raw_http_server::raw_http_server(event_loop& loop, raw_http_handlers handlers)
    : loop_(loop), handlers_(std::move(handlers)) {}

raw_http_server::~raw_http_server() {
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

bool raw_http_server::listen(const address& where) {
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(where.port());
  inet_pton(AF_INET, where.host().c_str(), &bound.sin_addr);
  listener_ = evconnlistener_new_bind(
      loop_.base(), accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      backlog, reinterpret_cast<sockaddr*>(&bound), sizeof(bound));
  return listener_ != nullptr;
}

void raw_http_server::accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                             int, void* context) {
  auto* self = static_cast<raw_http_server*>(context);
  const auto made = std::make_shared<raw_connection>(*self, socket);
  self->connections_[made.get()] = made;
}

void raw_http_server::limit_unread(milliseconds limit) {
  unread_check_ = loop_.every(limit / 4, [this, limit] { drop_unread(limit); });
}

void raw_http_server::drop_unread(milliseconds limit) {
  std::vector<raw_connection_ptr> late;
  for (const auto& [key, each] : connections_) {
    if (each->unread_for(limit)) {
      late.push_back(each);
    }
  }
  for (const raw_connection_ptr& each : late) {
    each->lose();
  }
}

raw_connection::raw_connection(raw_http_server& server, evutil_socket_t socket)
    : server_(server),
      loop_(server.loop_),
      bev_(bufferevent_socket_new(server.loop_.base(), socket,
                                  BEV_OPT_CLOSE_ON_FREE)) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(bev_, on_readable, on_written, on_event, this);
  evbuffer_add_cb(bufferevent_get_output(bev_), on_output_changed, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

raw_connection::~raw_connection() { bufferevent_free(bev_); }

void raw_connection::send(std::string_view bytes) {
  if (!dropped_ && ending_ == ending::none) {
    bufferevent_write(bev_, bytes.data(), bytes.size());
  }
}

void raw_connection::send_surplus(std::string bytes, milliseconds delay) {
  surplus_ = std::move(bytes);
  if (delay.count() == 0) {
    flush_surplus();
    return;
  }
  surplus_timer_ = loop_.after(delay, [this] { flush_surplus(); });
}

void raw_connection::flush_surplus() { send(std::exchange(surplus_, {})); }

void raw_connection::finish() {
  if (same_name(request_.headers.find("Connection"), "close")) {
    close();
    return;
  }
  answered_ = true;
  gone_ = nullptr;
  attached_.reset();
  loop_.post([weak = weak_from_this()] {
    if (const auto held = weak.lock()) {
      held->read();
    }
  });
}

void raw_connection::close() { begin_end(ending::close); }

void raw_connection::reset() { begin_end(ending::reset); }

void raw_connection::begin_end(ending how) {
  if (dropped_ || ending_ != ending::none) {
    return;
  }
  const auto keep = shared_from_this();
  ending_ = how;
  gone_ = nullptr;
  attached_.reset();
  if (evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
    end_output();
  }
}

// What was sent has left.
void raw_connection::end_output() {
  if (ending_ == ending::close) {
    shutdown(bufferevent_getfd(bev_), SHUT_WR);
    guard_ = loop_.after(linger_limit, [this] { drop(); });
    return;
  }
  guard_ = loop_.after(reset_delay, [this] {
    const linger discard{1, 0};
    setsockopt(bufferevent_getfd(bev_), SOL_SOCKET, SO_LINGER, &discard,
               sizeof(discard));
    drop();
  });
}

void raw_connection::drop() {
  if (dropped_) {
    return;
  }
  const auto keep = shared_from_this();
  dropped_ = true;
  guard_.cancel();
  resume_.cancel();
  surplus_timer_.cancel();
  gone_ = nullptr;
  attached_.reset();
  end_body();
  server_.connections_.erase(this);
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
  loop_.post([keep] {});  // freed outside of libevent's callbacks
}

void raw_connection::lose() {
  const auto gone = std::exchange(gone_, nullptr);
  drop();
  if (gone) {
    gone();
  }
}

void raw_connection::read() {
  const auto keep = shared_from_this();
  evbuffer* input = bufferevent_get_input(bev_);
  const std::size_t size = evbuffer_get_length(input);
  const std::size_t before = received_.size();
  received_.resize(before + size);
  evbuffer_remove(input, received_.data() + before, size);
  while (!dropped_ && !paused_ && step()) {
  }
}

// Goes on with the request; false: waits for bytes or for the response.
bool raw_connection::step() {
  if (!head_read_) {
    return ending_ == ending::none && read_head();
  }
  const std::size_t taken =
      std::min(request_.length - request_.body.size(), received_.size());
  request_.body.append(received_, 0, taken);
  received_.erase(0, taken);
  if (!request_.complete()) {
    return false;
  }
  end_body();
  if (!started_) {
    serve();
    return !dropped_;
  }
  if (!answered_) {
    return false;
  }
  head_read_ = false;
  return true;
}

bool raw_connection::read_head() {
  const std::size_t end = received_.find(head_end);
  if (end == std::string::npos) {
    return false;
  }
  request_ = parse_head(std::string_view(received_).substr(0, end + 2));
  received_.erase(0, end + head_end.size());
  head_read_ = true;
  started_ = false;
  answered_ = false;
  if (request_.headers.has("Expect")) {
    send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  const auto& serves_early = server_.handlers_.serves_early;
  if (serves_early && serves_early(request_)) {
    serve_early();
  }
  return !dropped_;
}

void raw_connection::serve_early() {
  paused_ = true;
  bufferevent_disable(bev_, EV_READ);
  resume_ = loop_.after(early_pause, [this] {
    paused_ = false;
    bufferevent_enable(bev_, EV_READ);
    read();
  });
  serve();
}

void raw_connection::serve() {
  started_ = true;
  flush_surplus();
  server_.handlers_.serve(request_, shared_from_this());
}

void raw_connection::end_body() {
  if (const auto ended = std::exchange(body_ended_, nullptr)) {
    ended(request_);
  }
}

bool raw_connection::unread_for(milliseconds limit) const {
  return evbuffer_get_length(bufferevent_get_output(bev_)) > 0 &&
         loop_.now_ms() - unread_since_ms_ >=
             static_cast<std::uint64_t>(limit.count());
}

void raw_connection::on_readable(bufferevent*, void* context) {
  static_cast<raw_connection*>(context)->read();
}

void raw_connection::on_written(bufferevent*, void* context) {
  auto* self = static_cast<raw_connection*>(context);
  if (!self->dropped_ && self->ending_ != ending::none) {
    self->end_output();
  }
}

void raw_connection::on_event(bufferevent*, short what, void* context) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<raw_connection*>(context)->lose();
  }
}

void raw_connection::on_output_changed(evbuffer*, const evbuffer_cb_info* info,
                                       void* context) {
  auto* self = static_cast<raw_connection*>(context);
  if (info->n_deleted > 0 || info->orig_size == 0) {
    self->unread_since_ms_ = self->loop_.now_ms();
  }
}

}  // namespace trayrock::fakes
