// HTTP/1.1 server whose user sends the bytes of responses, so that a stand-in
// chooses how a response is framed, where it is cut and how its connection
// ends.
//
// Requests have a Content-Length or no body. A connection serves one request at
// a time; others that a client sends ahead wait.
//
// Example:
//   raw_http_server server(loop, {.serve = [](const auto& request, auto out) {
//     out->send("HTTP/1.1 200 OK\r\n\r\nabc");
//     out->close();
//   }});
//   server.listen(address);
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/header_list.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock::fakes {

struct raw_request {
  std::string method;
  std::string target;  // path and query, as sent
  header_list headers;
  std::size_t length = 0;  // of the body, as announced
  std::string body;        // what of it has been received

  bool complete() const { return body.size() == length; }
};

class raw_connection;
using raw_connection_ptr = std::shared_ptr<raw_connection>;

struct raw_http_handlers {
  // Called once the body has been received, or with the head if
  // `serves_early` says so. Ends with finish(), close(), reset() or drop().
  std::function<void(const raw_request&, const raw_connection_ptr&)> serve;
  std::function<bool(const raw_request&)> serves_early = nullptr;
};

class raw_http_server {
 public:
  raw_http_server(event_loop& loop, raw_http_handlers handlers);
  raw_http_server(const raw_http_server&) = delete;
  raw_http_server& operator=(const raw_http_server&) = delete;
  ~raw_http_server();

  bool listen(const address& where);

  // Drops connections that have taken no byte for so long although some wait.
  void limit_unread(milliseconds limit);

 private:
  friend class raw_connection;

  static void accept(evconnlistener* listener, evutil_socket_t socket,
                     sockaddr* from, int length, void* context);
  void drop_unread(milliseconds limit);

  event_loop& loop_;
  raw_http_handlers handlers_;
  evconnlistener* listener_ = nullptr;
  timer unread_check_;
  std::unordered_map<raw_connection*, raw_connection_ptr> connections_;
};

// Calls after the connection has ended do nothing.
class raw_connection : public std::enable_shared_from_this<raw_connection> {
 public:
  raw_connection(raw_http_server& server, evutil_socket_t socket);
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;
  ~raw_connection();

  void send(std::string_view bytes);

  // Sends bytes that belong to no response: after the delay, but before the
  // next response.
  void send_surplus(std::string bytes, milliseconds delay);

  // The response has ended; the next request is read, unless this one asks to
  // close the connection.
  void finish();

  // Ends the connection without an error once what was sent has left.
  void close();

  // As close(), but with a reset, so late that the peer has received the rest.
  void reset();

  // Ends the connection at once.
  void drop();

  // Called at most once, if the client goes before the response has ended.
  void on_gone(std::function<void()> callback) { gone_ = std::move(callback); }

  // Called once if the request was served early: its body has been received, or
  // the connection ended before that.
  void on_body_ended(std::function<void(const raw_request&)> callback) {
    body_ended_ = std::move(callback);
  }

  // Lives until the response has ended.
  void attach(std::shared_ptr<void> owned) { attached_ = std::move(owned); }

 private:
  friend class raw_http_server;
  enum class ending { none, close, reset };

  void read();
  bool step();
  bool read_head();
  void serve();
  void serve_early();
  void flush_surplus();
  void end_body();
  void begin_end(ending how);
  void end_output();
  void lose();
  bool unread_for(milliseconds limit) const;

  static void on_readable(bufferevent*, void* context);
  static void on_written(bufferevent*, void* context);
  static void on_event(bufferevent*, short what, void* context);
  static void on_output_changed(evbuffer*, const evbuffer_cb_info* info,
                                void* context);

  raw_http_server& server_;
  event_loop& loop_;
  bufferevent* bev_;
  std::string received_;  // and not read yet
  raw_request request_;
  bool head_read_ = false;
  bool paused_ = false;    // reading, after that
  bool started_ = false;   // serve() was called
  bool answered_ = false;  // the response has ended
  bool dropped_ = false;
  ending ending_ = ending::none;
  std::uint64_t unread_since_ms_ = 0;
  std::string surplus_;  // not sent yet
  std::function<void()> gone_;
  std::function<void(const raw_request&)> body_ended_;
  std::shared_ptr<void> attached_;
  timer guard_;   // of the connection's end
  timer resume_;  // of reading
  timer surplus_timer_;
};

}  // namespace trayrock::fakes
