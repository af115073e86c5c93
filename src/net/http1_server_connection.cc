#include "http1_server_connection.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include "http1_server_exchange.h"
#include "http2_session.h"

namespace trayrock::internal {
namespace {

// Bytes that a client may send while a response is pending.
constexpr std::size_t read_ahead_bytes = 65536;
// How long a closing connection still reads, so that a reset doesn't discard
// the last response.
constexpr milliseconds linger_limit{1000};

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;

void set_reset_on_close(evutil_socket_t socket, bool resets) {
  const linger option{resets ? 1 : 0, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace

void http1_server_connection::open(evutil_socket_t socket) {
  bev_ = bufferevent_socket_new(server_.loop.base(), socket,
                                BEV_OPT_CLOSE_ON_FREE);
  set_no_delay(bev_);
  bufferevent_setcb(bev_, on_readable, on_written, on_event, this);
  bufferevent_setwatermark(bev_, EV_READ, 0, read_ahead_bytes);
  observed_ = static_cast<bool>(server_.buffered);
  if (observed_) {
    evbuffer_add_cb(bufferevent_get_output(bev_), on_output_changed, this);
  }
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  arm(server_.limits().idle_timeout);
}

const http_parser_settings& http1_server_connection::parser_settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_url = on_url;
    made.on_header_field = on_field;
    made.on_header_value = on_value;
    made.on_headers_complete = on_headers;
    made.on_body = on_body;
    made.on_message_complete = on_message;
    return made;
  }();
  return settings;
}

bool http1_server_connection::count_header_bytes(std::size_t length) {
  header_bytes_ += length;
  if (header_bytes_ > limits_.max_header_bytes) {
    refusal_ = status_header_too_large;
    return false;
  }
  return true;
}

int http1_server_connection::on_url(http_parser* parser, const char* at,
                                    std::size_t length) {
  http1_server_connection& me = self(parser);
  me.request_.target.append(at, length);
  return me.count_header_bytes(length) ? 0 : 1;
}

int http1_server_connection::on_field(http_parser* parser, const char* at,
                                      std::size_t length) {
  http1_server_connection& me = self(parser);
  if (me.whole_ || !me.count_header_bytes(length)) {
    return 1;
  }
  if (me.head_read_) {
    return 0;  // a trailer: it must not pass for a header
  }
  me.collector_.add_name(me.request_.headers, {at, length});
  return 0;
}

int http1_server_connection::on_value(http_parser* parser, const char* at,
                                      std::size_t length) {
  http1_server_connection& me = self(parser);
  if (!me.count_header_bytes(length)) {
    return 1;
  }
  if (me.head_read_) {
    return 0;
  }
  me.collector_.add_value(me.request_.headers, {at, length});
  return 0;
}

int http1_server_connection::on_headers(http_parser* parser) {
  http1_server_connection& me = self(parser);
  me.head_read_ = true;
  me.keep_alive_ = http_should_keep_alive(parser) != 0;
  me.old_client_ = parser->http_major < 1 ||
                   (parser->http_major == 1 && parser->http_minor == 0);
  me.request_.method =
      http_method_str(static_cast<enum http_method>(parser->method));
  me.head_request_ = parser->method == HTTP_HEAD;
  const bool chunked = me.request_.headers.has("Transfer-Encoding");
  const bool sized = me.request_.headers.has("Content-Length");
  if (parser->upgrade != 0 || (chunked && sized) ||
      !me.request_.headers.has_only_chunked_coding()) {
    me.refusal_ = status_bad_request;
    return -1;
  }
  if (sized && parser->content_length > me.limits_.max_body_bytes) {
    me.refusal_ = status_too_large;
    return -1;
  }
  me.arm(me.limits_.idle_timeout);
  if (me.request_.headers.has("Expect")) {
    me.send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return 0;
}

int http1_server_connection::on_body(http_parser* parser, const char* at,
                                     std::size_t length) {
  http1_server_connection& me = self(parser);
  if (me.request_.body.size() + length > me.limits_.max_body_bytes) {
    me.refusal_ = status_too_large;
    return 1;
  }
  me.request_.body.append(at, length);
  return 0;
}

int http1_server_connection::on_message(http_parser* parser) {
  self(parser).whole_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

void http1_server_connection::begin_request() {
  reading_ = true;
  whole_ = false;
  head_read_ = false;
  collector_.restart();
  refusal_ = 0;
  header_bytes_ = 0;
  limits_ = server_.limits();
  request_ = {};
  arm(limits_.header_timeout);
}

void http1_server_connection::read() {
  const auto keep = shared_from_this();
  evbuffer* input = bufferevent_get_input(bev_);
  while (!serving_ && !closing_ && evbuffer_get_length(input) > 0) {
    if (!reading_) {
      begin_request();
    }
    evbuffer_iovec piece{};
    evbuffer_peek(input, -1, nullptr, &piece, 1);
    const std::size_t used = http_parser_execute(
        &parser_, &parser_settings(), static_cast<const char*>(piece.iov_base),
        piece.iov_len);
    evbuffer_drain(input, used);
    if (whole_) {
      dispatch();
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      refuse(refusal_ == 0 ? status_bad_request : refusal_);
    }
  }
  if (closing_) {
    evbuffer_drain(input, evbuffer_get_length(input));
  }
  report_buffered();
}

void http1_server_connection::report_buffered() const {
  if (!observed_) {
    return;
  }
  http1_buffered held;
  held.received = evbuffer_get_length(bufferevent_get_input(bev_)) +
                  (reading_ ? request_.body.size() : 0);
  held.unread = evbuffer_get_length(bufferevent_get_output(bev_));
  server_.buffered(id_, held);
}

void http1_server_connection::on_output_changed(evbuffer*,
                                                const evbuffer_cb_info*,
                                                void* context) {
  self(context).report_buffered();
}

void http1_server_connection::dispatch() {
  reading_ = false;
  serving_ = true;
  guard_.cancel();
  http_parser_pause(&parser_, 0);
  report_buffered();  // without the request, which its handler counts
  ++server_.open;
  exchange_ = std::make_shared<http1_server_exchange>(weak_from_this(), id_);
  const std::shared_ptr<http1_server_exchange> handed = exchange_;
  server_.serve(std::move(request_), handed);
}

void http1_server_connection::answered() {
  serving_ = false;
  --server_.open;
  exchange_.reset();
  if (closes_after_answer() || old_client_) {
    close_gently();
    return;
  }
  arm(server_.limits().idle_timeout);
  std::weak_ptr<http1_server_connection> weak = weak_from_this();
  server_.loop.post([weak] {
    if (const auto held = weak.lock()) {
      held->read();
    }
  });
}

// Answers a request that was not handed on.
void http1_server_connection::refuse(int status) {
  reading_ = false;
  const std::string out =
      "HTTP/1.1 " + std::to_string(status) + " " +
      http_status_str(static_cast<enum http_status>(status)) +
      "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  send(out);
  if (server_.refused) {
    server_.refused(status);
  }
  close_gently();
}

void http1_server_connection::timed_out() {
  if (closing_ || !reading_) {
    drop();
    return;
  }
  refuse(status_timeout);
}

void http1_server_connection::close_gently() {
  if (closing_) {
    return;
  }
  closing_ = true;
  if (evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
    end_output();
  } else {
    arm(server_.limits().idle_timeout);
  }
  evbuffer* input = bufferevent_get_input(bev_);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void http1_server_connection::reset_if_cut() {
  resets_if_cut_ = true;
  set_reset_on_close(bufferevent_getfd(bev_), true);
}

// All bytes have been handed to the kernel, which sends them before the end of
// the connection.
void http1_server_connection::end_output() {
  const evutil_socket_t socket = bufferevent_getfd(bev_);
  if (resets_if_cut_) {
    resets_if_cut_ = false;
    set_reset_on_close(socket, false);
  }
  shutdown(socket, SHUT_WR);
  arm(linger_limit);
}

void http1_server_connection::cut() {
  serving_ = false;
  --server_.open;
  exchange_.reset();
  close_gently();
  arm(linger_limit);  // also if its client does not read
}

void http1_server_connection::drop() {
  const auto keep = shared_from_this();
  server_.connections.erase(this);
  guard_.cancel();
  closing_ = true;
  if (serving_) {
    serving_ = false;
    --server_.open;
  }
  if (bev_ != nullptr) {
    bufferevent_disable(bev_, EV_READ | EV_WRITE);
  }
  if (observed_) {
    observed_ = false;
    server_.buffered(id_, std::nullopt);
  }
  server_.loop.post([keep] {});
}

void http1_server_connection::lose() {
  const std::shared_ptr<http1_server_exchange> lost = std::move(exchange_);
  drop();
  if (lost != nullptr) {
    lost->lose();
  }
}

void http1_server_connection::on_readable(bufferevent*, void* context) {
  self(context).read();
}

void http1_server_connection::on_written(bufferevent*, void* context) {
  http1_server_connection& me = self(context);
  if (me.closing_) {
    me.end_output();
  }
}

void http1_server_connection::on_event(bufferevent*, short what,
                                       void* context) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self(context).lose();
  }
}

}  // namespace trayrock::internal
