#include <event2/listener.h>

#include <cstring>
#include <unordered_map>

#include "http2_session.h"
#include "listener.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {
namespace {

using internal::flush_session;
using internal::message_cutter;
using internal::stream_output;

constexpr std::string_view path_header = ":path";
constexpr int accept_backlog = 512;

struct server_connection;

// One call on the server's side, shared by the connection and the handler.
class server_stream final : public rpc_reply {
 public:
  server_stream(std::weak_ptr<server_connection> connection,
                std::size_t max_bytes)
      : connection_(std::move(connection)), cutter(max_bytes) {}

  void send(const google::protobuf::MessageLite& message) override;
  void finish() override;
  void on_gone(std::function<void()> callback) override {
    gone_ = std::move(callback);
  }
  bool gone() const override { return connection_.expired(); }

  // The peer went away: later sends are dropped.
  void lose() {
    connection_.reset();
    if (gone_ && !output.finished) {
      auto callback = std::move(gone_);
      gone_ = nullptr;
      callback();
    }
  }

  std::int32_t id = 0;
  std::string method;
  std::string body;
  bool has_body = false;
  bool submitted = false;
  stream_output output;

 private:
  void submit(server_connection& connection);

  std::weak_ptr<server_connection> connection_;

 public:
  message_cutter cutter;

 private:
  std::function<void()> gone_;
};

}  // namespace

struct rpc_server::impl {
  explicit impl(event_loop& loop_in, rpc_limits limits_in)
      : loop(loop_in), limits(limits_in) {}

  event_loop& loop;
  rpc_limits limits;
  rpc_counters counters;
  evconnlistener* listener = nullptr;
  std::map<std::string, rpc_handler, std::less<>> handlers;
  std::unordered_map<server_connection*, std::shared_ptr<server_connection>>
      connections;

  static void accept(evconnlistener* listener, evutil_socket_t socket,
                     sockaddr* from, int length, void* context);
  void drop(server_connection* connection);
};

namespace {

struct server_connection
    : public std::enable_shared_from_this<server_connection> {
  server_connection(event_loop& loop_in, rpc_limits limits_in,
                    rpc_counters& counters_in)
      : loop(loop_in), limits(limits_in), counters(counters_in) {}
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;
  ~server_connection() {
    nghttp2_session_del(session);
    bufferevent_free(bev);
  }

  void open(evutil_socket_t socket) {
    bev = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    internal::set_no_delay(bev);
    internal::use_large_writes(bev);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            on_begin);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_close);
    nghttp2_session_server_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    internal::submit_large_windows(session);
    bufferevent_setcb(bev, on_readable, nullptr, on_event, this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    flush();
  }

  void flush() {
    if (!flush_session(session, bev, busy, counters.bytes_out)) {
      fail();
    }
  }

  void fail() {
    if (failed) {
      return;
    }
    failed = true;
    auto lost = std::move(streams);
    streams.clear();
    for (auto& [id, stream] : lost) {
      stream->lose();
    }
    loop.post([self = shared_from_this()] { self->drop(self.get()); });
  }

  server_stream* find(std::int32_t id) {
    const auto found = streams.find(id);
    return found == streams.end() ? nullptr : found->second.get();
  }

  void dispatch(const std::shared_ptr<server_stream>& stream) {
    ++counters.calls_in;
    const auto found = handlers->find(stream->method);
    if (found == handlers->end() || !stream->has_body ||
        !stream->cutter.at_boundary()) {
      ++counters.garbled;
      stream->finish();
      return;
    }
    const std::string body = std::move(stream->body);
    found->second(body, stream);
  }

  static server_connection& self(void* context) {
    return *static_cast<server_connection*>(context);
  }

  static int on_begin(nghttp2_session*, const nghttp2_frame* frame,
                      void* context) {
    server_connection& me = self(context);
    auto stream = std::make_shared<server_stream>(me.weak_from_this(),
                                                  me.limits.max_message_bytes);
    stream->id = frame->hd.stream_id;
    me.streams[stream->id] = stream;
    return 0;
  }

  static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                       const std::uint8_t* name, std::size_t name_length,
                       const std::uint8_t* value, std::size_t value_length,
                       std::uint8_t, void* context) {
    const std::string_view key(reinterpret_cast<const char*>(name),
                               name_length);
    server_stream* stream = self(context).find(frame->hd.stream_id);
    if (key == path_header && stream != nullptr && value_length > 1) {
      stream->method.assign(reinterpret_cast<const char*>(value) + 1,
                            value_length - 1);
    }
    return 0;
  }

  static int on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
                     const std::uint8_t* bytes, std::size_t length,
                     void* context) {
    server_connection& me = self(context);
    server_stream* stream = me.find(id);
    if (stream == nullptr) {
      return 0;
    }
    const bool fits =
        stream->cutter.add({reinterpret_cast<const char*>(bytes), length},
                           [stream](std::string_view body) {
                             stream->body.assign(body);
                             stream->has_body = true;
                           });
    if (!fits) {
      ++me.counters.garbled;
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    }
    return 0;
  }

  static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                      void* context) {
    server_connection& me = self(context);
    const bool carries =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    const bool last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const auto found = me.streams.find(frame->hd.stream_id);
    if (carries && last && found != me.streams.end()) {
      const std::shared_ptr<server_stream> stream = found->second;
      me.dispatch(stream);
    }
    return 0;
  }

  static int on_close(nghttp2_session*, std::int32_t id, std::uint32_t,
                      void* context) {
    server_connection& me = self(context);
    const auto found = me.streams.find(id);
    if (found != me.streams.end()) {
      const std::shared_ptr<server_stream> stream = std::move(found->second);
      me.streams.erase(found);
      // nghttp2 still reads the output object until this callback returns.
      me.loop.post([stream] { stream->lose(); });
    }
    return 0;
  }

  static void on_readable(bufferevent*, void* context) {
    server_connection& me = self(context);
    const auto keep = me.shared_from_this();
    if (!internal::feed_session(me.session, me.bev, me.busy,
                                me.counters.bytes_in)) {
      ++me.counters.garbled;
      me.fail();
      return;
    }
    me.flush();
  }

  static void on_event(bufferevent*, short what, void* context) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      self(context).fail();
    }
  }

  event_loop& loop;
  rpc_limits limits;
  rpc_counters& counters;
  const std::map<std::string, rpc_handler, std::less<>>* handlers = nullptr;
  std::function<void(server_connection*)> drop;
  bufferevent* bev = nullptr;
  nghttp2_session* session = nullptr;
  bool busy = false;
  bool failed = false;
  std::unordered_map<std::int32_t, std::shared_ptr<server_stream>> streams;
};

nghttp2_nv header(std::string_view name, std::string_view value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void server_stream::send(const google::protobuf::MessageLite& message) {
  const auto connection = connection_.lock();
  if (connection == nullptr || connection->failed || output.finished) {
    return;
  }
  internal::append_message(output.bytes, message.SerializeAsString());
  submit(*connection);
}

void server_stream::finish() {
  const auto connection = connection_.lock();
  if (connection == nullptr || connection->failed || output.finished) {
    return;
  }
  output.finished = true;
  gone_ = nullptr;
  submit(*connection);
}

void server_stream::submit(server_connection& connection) {
  if (submitted) {
    nghttp2_session_resume_data(connection.session, id);
  } else {
    submitted = true;
    const nghttp2_nv status = header(":status", "200");
    nghttp2_data_provider provider{};
    provider.source.ptr = &output;
    provider.read_callback = stream_output::pull;
    nghttp2_submit_response(connection.session, id, &status, 1, &provider);
  }
  connection.flush();
}

}  // namespace

void rpc_server::impl::accept(evconnlistener*, evutil_socket_t socket,
                              sockaddr*, int, void* context) {
  auto* self = static_cast<impl*>(context);
  auto made = std::make_shared<server_connection>(self->loop, self->limits,
                                                  self->counters);
  made->handlers = &self->handlers;
  made->drop = [self](server_connection* each) { self->drop(each); };
  self->connections[made.get()] = made;
  made->open(socket);
}

void rpc_server::impl::drop(server_connection* connection) {
  connections.erase(connection);
}

rpc_server::rpc_server(event_loop& loop, rpc_limits limits)
    : impl_(std::make_unique<impl>(loop, limits)) {}

rpc_server::~rpc_server() {
  if (impl_->listener != nullptr) {
    evconnlistener_free(impl_->listener);
  }
}

void rpc_server::handle(std::string_view method, rpc_handler handler) {
  impl_->handlers.insert_or_assign(std::string(method), std::move(handler));
}

result<void> rpc_server::listen(const address& where) {
  impl_->listener = internal::bind_listener(impl_->loop, where, accept_backlog,
                                            impl::accept, impl_.get());
  if (impl_->listener == nullptr) {
    return errc::connect_failed;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

rpc_counters& rpc_server::counters() { return impl_->counters; }

}  // namespace trayrock
