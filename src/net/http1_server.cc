#include "trayrock/internal/net/http1_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <netinet/tcp.h>

#include <array>
#include <cstdio>

#include "http2_session.h"
#include "listener.h"

namespace trayrock {
namespace {

constexpr int accept_backlog = 1024;
// Bytes that a client may send ahead of the answers that it waits for.
constexpr std::size_t read_ahead_bytes = 65536;
// How long a closing connection goes on reading, so that the last answer is
// not lost in a reset.
constexpr milliseconds linger_limit{1000};

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;

class server_connection;

}  // namespace

struct http1_server::impl {
  impl(event_loop& loop_in, limits_source limits_in, handler serve_in)
      : loop(loop_in),
        limits(std::move(limits_in)),
        serve(std::move(serve_in)) {}

  event_loop& loop;
  limits_source limits;
  handler serve;
  refusal_observer refused;
  evconnlistener* listener = nullptr;
  bool closing = false;
  std::size_t open = 0;
  std::unordered_map<server_connection*, std::shared_ptr<server_connection>>
      connections;

  static void accept(evconnlistener* listener, evutil_socket_t socket,
                     sockaddr* from, int length, void* context);
};

namespace {

class exchange;

// One client's connection: reads requests, one at a time, writes answers.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
 public:
  explicit server_connection(http1_server::impl& server) : server_(server) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;
  ~server_connection() {
    if (bev_ != nullptr) {
      bufferevent_free(bev_);
    }
  }

  void open(evutil_socket_t socket) {
    bev_ = bufferevent_socket_new(server_.loop.base(), socket,
                                  BEV_OPT_CLOSE_ON_FREE);
    internal::set_no_delay(bev_);
    bufferevent_setcb(bev_, on_readable, on_written, on_event, this);
    bufferevent_setwatermark(bev_, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    arm(server_.limits().idle_timeout);
  }

  bool idle() const { return !serving_ && !reading_ && !closing_; }
  void send(std::string_view bytes) {
    bufferevent_write(bev_, bytes.data(), bytes.size());
  }
  bool closes_after_answer() const { return !keep_alive_ || server_.closing; }
  bool old_client() const { return old_client_; }
  bool without_body() const { return head_request_; }

  // The answer is complete: go on with the next request, or close.
  void answered();

  // Closes at once; an incomplete answer stays visibly incomplete.
  void drop();

  // Sends what is left, then closes.
  void close_gently();

 private:
  static server_connection& self(void* context) {
    return *static_cast<server_connection*>(context);
  }
  static server_connection& self(http_parser* parser) {
    return self(parser->data);
  }
  static const http_parser_settings& parser_settings();

  void arm(milliseconds delay) {
    guard_ = server_.loop.after(delay, [this] { timed_out(); });
  }
  void timed_out();
  void read();
  void begin_request();
  void refuse(int status);
  void dispatch();
  void lose();

  static int on_url(http_parser* parser, const char* at, std::size_t length);
  static int on_field(http_parser* parser, const char* at, std::size_t length);
  static int on_value(http_parser* parser, const char* at, std::size_t length);
  static int on_headers(http_parser* parser);
  static int on_body(http_parser* parser, const char* at, std::size_t length);
  static int on_message(http_parser* parser);
  static void on_readable(bufferevent*, void* context);
  static void on_written(bufferevent*, void* context);
  static void on_event(bufferevent*, short what, void* context);

  bool count_header_bytes(std::size_t length);

  http1_server::impl& server_;
  bufferevent* bev_ = nullptr;
  http_parser parser_{};
  http1_limits limits_;
  http1_request request_;
  std::size_t header_bytes_ = 0;
  header_collector collector_;
  bool whole_ = false;
  bool reading_ = false;  // a request has begun and is not whole
  bool serving_ = false;  // a request is being answered
  bool closing_ = false;
  bool keep_alive_ = true;
  bool old_client_ = false;
  bool head_request_ = false;
  int refusal_ = 0;
  timer guard_;
  std::shared_ptr<exchange> exchange_;
};

// The handle that the handler answers on.
class exchange final : public http1_exchange {
 public:
  explicit exchange(std::weak_ptr<server_connection> connection)
      : connection_(std::move(connection)) {}

  void respond(int status, const header_list& headers,
               std::string_view body) override {
    const auto connection = take();
    if (connection == nullptr || begun_) {
      return;
    }
    begun_ = true;
    std::string out = head(status, headers, connection->closes_after_answer());
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (!connection->without_body()) {
      out += body;
    }
    connection->send(out);
    end(*connection);
  }

  void begin(int status, const header_list& headers) override {
    const auto connection = take();
    if (connection == nullptr || begun_) {
      return;
    }
    begun_ = true;
    chunked_ = !connection->old_client();
    std::string out =
        head(status, headers, connection->closes_after_answer() || !chunked_);
    out += chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    connection->send(out);
  }

  void write(std::string_view bytes) override {
    const auto connection = take();
    if (connection == nullptr || bytes.empty()) {
      return;
    }
    if (!chunked_) {
      connection->send(bytes);
      return;
    }
    std::array<char, 24> size{};
    const int length =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out(size.data(), static_cast<std::size_t>(length));
    out.append(bytes).append("\r\n");
    connection->send(out);
  }

  void finish() override {
    const auto connection = take();
    if (connection == nullptr) {
      return;
    }
    if (chunked_) {
      connection->send("0\r\n\r\n");
    }
    end(*connection);
  }

  void abort() override {
    const auto connection = take();
    if (connection != nullptr) {
      gone_ = nullptr;
      connection_.reset();
      connection->drop();
    }
  }

  void on_gone(std::function<void()> callback) override {
    gone_ = std::move(callback);
  }

  bool begun() const override { return begun_; }

  // The client has gone.
  void lose() {
    connection_.reset();
    auto callback = std::move(gone_);
    gone_ = nullptr;
    if (callback) {
      callback();
    }
  }

 private:
  std::shared_ptr<server_connection> take() const { return connection_.lock(); }

  void end(server_connection& connection) {
    gone_ = nullptr;
    connection_.reset();
    connection.answered();
  }

  static std::string head(int status, const header_list& headers, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += http_status_str(static_cast<enum http_status>(status));
    out += "\r\n";
    for (const header_field& each : headers.fields()) {
      out.append(each.name).append(": ").append(each.value).append("\r\n");
    }
    if (close) {
      out += "Connection: close\r\n";
    }
    return out;
  }

  std::weak_ptr<server_connection> connection_;
  std::function<void()> gone_;
  bool begun_ = false;
  bool chunked_ = false;
};

const http_parser_settings& server_connection::parser_settings() {
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

bool server_connection::count_header_bytes(std::size_t length) {
  header_bytes_ += length;
  if (header_bytes_ > limits_.max_header_bytes) {
    refusal_ = status_header_too_large;
    return false;
  }
  return true;
}

int server_connection::on_url(http_parser* parser, const char* at,
                              std::size_t length) {
  server_connection& me = self(parser);
  me.request_.target.append(at, length);
  return me.count_header_bytes(length) ? 0 : 1;
}

int server_connection::on_field(http_parser* parser, const char* at,
                                std::size_t length) {
  server_connection& me = self(parser);
  if (me.whole_ || !me.count_header_bytes(length)) {
    return 1;
  }
  me.collector_.add_name(me.request_.headers, {at, length});
  return 0;
}

int server_connection::on_value(http_parser* parser, const char* at,
                                std::size_t length) {
  server_connection& me = self(parser);
  if (!me.count_header_bytes(length)) {
    return 1;
  }
  me.collector_.add_value(me.request_.headers, {at, length});
  return 0;
}

int server_connection::on_headers(http_parser* parser) {
  server_connection& me = self(parser);
  me.keep_alive_ = http_should_keep_alive(parser) != 0;
  me.old_client_ = parser->http_major < 1 ||
                   (parser->http_major == 1 && parser->http_minor == 0);
  me.request_.method =
      http_method_str(static_cast<enum http_method>(parser->method));
  me.head_request_ = parser->method == HTTP_HEAD;
  const bool chunked = me.request_.headers.has("Transfer-Encoding");
  const bool sized = me.request_.headers.has("Content-Length");
  if (parser->upgrade != 0 || (chunked && sized)) {
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

int server_connection::on_body(http_parser* parser, const char* at,
                               std::size_t length) {
  server_connection& me = self(parser);
  if (me.request_.body.size() + length > me.limits_.max_body_bytes) {
    me.refusal_ = status_too_large;
    return 1;
  }
  me.request_.body.append(at, length);
  return 0;
}

int server_connection::on_message(http_parser* parser) {
  self(parser).whole_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

void server_connection::begin_request() {
  reading_ = true;
  whole_ = false;
  collector_.restart();
  refusal_ = 0;
  header_bytes_ = 0;
  limits_ = server_.limits();
  request_ = {};
  arm(limits_.header_timeout);
}

void server_connection::read() {
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
}

void server_connection::dispatch() {
  reading_ = false;
  serving_ = true;
  guard_.cancel();
  http_parser_pause(&parser_, 0);
  ++server_.open;
  exchange_ = std::make_shared<exchange>(weak_from_this());
  const std::shared_ptr<exchange> handed = exchange_;
  server_.serve(std::move(request_), handed);
}

void server_connection::answered() {
  serving_ = false;
  --server_.open;
  exchange_.reset();
  if (closes_after_answer() || old_client_) {
    close_gently();
    return;
  }
  arm(server_.limits().idle_timeout);
  std::weak_ptr<server_connection> weak = weak_from_this();
  server_.loop.post([weak] {
    if (const auto held = weak.lock()) {
      held->read();
    }
  });
}

// Answers a request that was not handed on.
void server_connection::refuse(int status) {
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

void server_connection::timed_out() {
  if (closing_ || !reading_) {
    drop();
    return;
  }
  refuse(status_timeout);
}

void server_connection::close_gently() {
  if (closing_) {
    return;
  }
  closing_ = true;
  arm(linger_limit);
  if (evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
    shutdown(bufferevent_getfd(bev_), SHUT_WR);
  }
  evbuffer* input = bufferevent_get_input(bev_);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void server_connection::drop() {
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
  server_.loop.post([keep] {});
}

void server_connection::lose() {
  const std::shared_ptr<exchange> lost = std::move(exchange_);
  drop();
  if (lost != nullptr) {
    lost->lose();
  }
}

void server_connection::on_readable(bufferevent*, void* context) {
  self(context).read();
}

void server_connection::on_written(bufferevent* bev, void* context) {
  server_connection& me = self(context);
  if (me.closing_) {
    shutdown(bufferevent_getfd(bev), SHUT_WR);
  }
}

void server_connection::on_event(bufferevent*, short what, void* context) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    self(context).lose();
  }
}

}  // namespace

void http1_server::impl::accept(evconnlistener*, evutil_socket_t socket,
                                sockaddr*, int, void* context) {
  auto* self = static_cast<impl*>(context);
  auto made = std::make_shared<server_connection>(*self);
  self->connections[made.get()] = made;
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

void http1_server::close_after_answers() { impl_->closing = true; }

void http1_server::close_idle() {
  std::vector<std::shared_ptr<server_connection>> idle;
  for (const auto& [key, each] : impl_->connections) {
    if (each->idle()) {
      idle.push_back(each);
    }
  }
  for (const auto& each : idle) {
    each->close_gently();
  }
}

std::size_t http1_server::open_requests() const { return impl_->open; }

}  // namespace trayrock
