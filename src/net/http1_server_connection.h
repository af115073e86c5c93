// One client's connection to an http1_server, and what the connections of a
// server share.
//
// bufferevent carries the bytes, http_parser reads them. A request is handed
// on once it is whole; the next one is read when its answer has ended.
//
// Example (in the server, with an accepted socket):
//   auto made = std::make_shared<http1_server_connection>(server, id);
//   server.connections[made.get()] = made;
//   made->open(socket);
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "trayrock/internal/net/http1_server.h"

namespace trayrock {
namespace internal {
class http1_server_connection;
class http1_server_exchange;
}  // namespace internal

// What the connections of one server share.
struct http1_server::impl {
  impl(event_loop& loop_in, limits_source limits_in, handler serve_in)
      : loop(loop_in),
        limits(std::move(limits_in)),
        serve(std::move(serve_in)) {}

  event_loop& loop;
  limits_source limits;
  handler serve;
  refusal_observer refused;
  buffer_observer buffered;
  std::uint64_t last_connection = 0;  // its id
  evconnlistener* listener = nullptr;
  bool closing = false;
  std::size_t open = 0;
  std::optional<std::uint64_t> accepted_at_ms;  // the last connection
  std::unordered_map<internal::http1_server_connection*,
                     std::shared_ptr<internal::http1_server_connection>>
      connections;

  static void accept(evconnlistener* listener, evutil_socket_t socket,
                     sockaddr* from, int length, void* context);
};

namespace internal {

// One client's connection: reads requests, one at a time, writes answers.
class http1_server_connection
    : public std::enable_shared_from_this<http1_server_connection> {
 public:
  http1_server_connection(http1_server::impl& server, std::uint64_t id)
      : server_(server), id_(id) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }
  http1_server_connection(const http1_server_connection&) = delete;
  http1_server_connection& operator=(const http1_server_connection&) = delete;
  ~http1_server_connection() {
    if (bev_ != nullptr) {
      bufferevent_free(bev_);
    }
  }

  // Takes over an accepted socket.
  void open(evutil_socket_t socket);

  std::uint64_t id() const { return id_; }

  // No request has begun on it.
  bool idle() const { return !serving_ && !reading_ && !closing_; }

  // Its answer is complete, but not all of it has left the process.
  bool unsent() const {
    return !serving_ && evbuffer_get_length(bufferevent_get_output(bev_)) > 0;
  }

  void send(std::string_view bytes) {
    bufferevent_write(bev_, bytes.data(), bytes.size());
  }

  bool closes_after_answer() const { return !keep_alive_ || server_.closing; }
  // One that knows no chunks (HTTP/1.0).
  bool old_client() const { return old_client_; }
  bool is_head_request() const { return head_request_; }

  // The answer is complete: go on with the next request, or close.
  void answered();

  // For a response that has neither a length nor chunks: until all of it has
  // been sent, the socket is closed with a reset, also by the end of the
  // process.
  void reset_if_cut();

  // Sends what is left of an answer that is cut, then closes.
  void cut();

  // Closes at once; an incomplete answer stays visibly incomplete.
  void drop();

  // As drop(), and tells the open exchange that its client has gone.
  void lose();

  // Sends what is left, then closes.
  void close_gently();

 private:
  static http1_server_connection& self(void* context) {
    return *static_cast<http1_server_connection*>(context);
  }
  static http1_server_connection& self(http_parser* parser) {
    return self(parser->data);
  }
  static const http_parser_settings& parser_settings();

  void arm(milliseconds delay) {
    guard_ = server_.loop.after(delay, [this] { timed_out(); });
  }
  void timed_out();
  void end_output();
  void read();
  void begin_request();
  void refuse(int status);
  void dispatch();
  void report_buffered() const;

  static int on_url(http_parser* parser, const char* at, std::size_t length);
  static int on_field(http_parser* parser, const char* at, std::size_t length);
  static int on_value(http_parser* parser, const char* at, std::size_t length);
  static int on_headers(http_parser* parser);
  static int on_body(http_parser* parser, const char* at, std::size_t length);
  static int on_message(http_parser* parser);
  static void on_readable(bufferevent*, void* context);
  static void on_written(bufferevent*, void* context);
  static void on_event(bufferevent*, short what, void* context);
  static void on_output_changed(evbuffer*, const evbuffer_cb_info*,
                                void* context);

  bool count_header_bytes(std::size_t length);

  http1_server::impl& server_;
  std::uint64_t id_;
  bool observed_ = false;  // changes of what is buffered are reported
  bufferevent* bev_ = nullptr;
  http_parser parser_{};
  http1_limits limits_;
  http1_request request_;
  std::size_t header_bytes_ = 0;
  header_collector collector_;
  bool whole_ = false;
  bool head_read_ = false;  // what follows are the body and trailers
  bool reading_ = false;    // a request has begun and is not whole
  bool serving_ = false;    // a request is being answered
  bool closing_ = false;
  bool keep_alive_ = true;
  bool old_client_ = false;
  bool head_request_ = false;
  bool resets_if_cut_ = false;
  int refusal_ = 0;
  timer guard_;
  std::shared_ptr<http1_server_exchange> exchange_;
};

}  // namespace internal
}  // namespace trayrock
