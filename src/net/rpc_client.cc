
#include <array>
#include <cstring>
#include <unordered_map>
#include <utility>

#include "http2_session.h"
#include "socket_address.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {
namespace {

using internal::message_cutter;
using internal::stream_output;

// A connection with open calls is pinged. It is lost (half-open, or the peer is
// frozen) if no data comes during some pings.
constexpr milliseconds ping_period{1000};
constexpr int pings_before_lost = 4;

constexpr std::string_view reply_status = "200";
// A peer that sends more without data of an open call is disconnected.
constexpr std::uint64_t max_unclaimed_bytes = internal::window_bytes;

struct client_connection;

nghttp2_nv header(std::string_view name, std::string_view value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

struct rpc_call::state {
  explicit state(std::size_t max_bytes) : cutter(max_bytes) {}

  std::weak_ptr<client_connection> connection;
  std::int32_t id = -1;
  stream_output output;
  message_cutter cutter;
  bool answered = false;
  bool done = false;
  milliseconds timeout{0};
  timeout_clock clock = timeout_clock::steady;
  timer silence;
  rpc_pool::message_callback on_message;
  rpc_pool::end_callback on_end;

  void end(std::error_code code) {
    if (done) {
      return;
    }
    done = true;
    silence.cancel();
    on_message = nullptr;
    auto callback = std::move(on_end);
    on_end = nullptr;
    if (callback) {
      callback(code);
    }
  }
};

namespace {

struct client_connection
    : public std::enable_shared_from_this<client_connection> {
  client_connection(event_loop& loop_in, rpc_limits limits_in,
                    rpc_counters& counters_in)
      : loop(loop_in), limits(limits_in), counters(counters_in) {}
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;
  ~client_connection() {
    nghttp2_session_del(session);
    bufferevent_free(bev);
  }

  bool open(const address& peer) {
    bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    internal::use_large_writes(bev);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_close);
    nghttp2_session_client_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    internal::submit_large_windows(session);
    bufferevent_setcb(bev, on_readable, nullptr, on_event, this);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    sockaddr_in to = internal::socket_address_of(peer);
    connect_guard = loop.after(limits.connect_timeout,
                               [this] { fail(errc::connect_failed); });
    return bufferevent_socket_connect(bev, reinterpret_cast<sockaddr*>(&to),
                                      sizeof(to)) == 0;
  }

  void flush() {
    if (!failed &&
        !internal::flush_session(session, bev, busy, counters.bytes_out)) {
      fail(errc::connection_lost);
    }
  }

  void fail(errc why) {
    if (failed) {
      return;
    }
    failed = true;
    connect_guard.cancel();
    pinger.cancel();
    auto lost = std::move(calls);
    calls.clear();
    const errc code = connected ? why : errc::connect_failed;
    const auto self = shared_from_this();
    forget(this);
    for (auto& [id, call] : lost) {
      call->end(code);
    }
    // Freed outside of libevent's and nghttp2's own callbacks.
    loop.post([self] {});
  }

  void start(const std::shared_ptr<rpc_call::state>& call,
             std::string_view method, const std::string& authority) {
    const std::string path = "/" + std::string(method);
    const std::array headers{
        header(":method", "POST"), header(":scheme", "http"),
        header(":authority", authority), header(":path", path)};
    nghttp2_data_provider provider{};
    provider.source.ptr = &call->output;
    provider.read_callback = stream_output::pull;
    call->id = nghttp2_submit_request(session, nullptr, headers.data(),
                                      headers.size(), &provider, nullptr);
    calls[call->id] = call;
    unclaimed_bytes = 0;
    if (!pinger.pending()) {
      pinger = loop.every(ping_period, [this] { ping(); });
    }
    flush();
  }

  void ping() {
    if (calls.empty()) {
      pinger.cancel();
      unheard = 0;
      return;
    }
    if (++unheard > pings_before_lost) {
      fail(errc::connection_lost);
      return;
    }
    nghttp2_submit_ping(session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
  }

  void cancel(std::int32_t id) {
    const auto found = calls.find(id);
    if (failed || found == calls.end()) {
      return;
    }
    cancelled[id] = found->second;
    calls.erase(found);
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    flush();
  }

  static client_connection& self(void* context) {
    return *static_cast<client_connection*>(context);
  }

  // nghttp2 checks the fields, but takes any three digits for a status. Servers
  // of these calls send one status only; the stream of another is reset.
  static int on_header(nghttp2_session*, const nghttp2_frame*,
                       const std::uint8_t* name, std::size_t name_length,
                       const std::uint8_t* value, std::size_t value_length,
                       std::uint8_t, void* context) {
    const std::string_view field(reinterpret_cast<const char*>(name),
                                 name_length);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_length);
    if (field != ":status" || text == reply_status) {
      return 0;
    }
    ++self(context).counters.garbled;
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }

  static int on_data(nghttp2_session* session, std::uint8_t, std::int32_t id,
                     const std::uint8_t* bytes, std::size_t length,
                     void* context) {
    client_connection& me = self(context);
    const auto found = me.calls.find(id);
    if (found == me.calls.end()) {
      return 0;
    }
    const std::shared_ptr<rpc_call::state> call = found->second;
    me.unclaimed_bytes = 0;
    me.restart_silence(call);
    const bool fits =
        call->cutter.add({reinterpret_cast<const char*>(bytes), length},
                         [&call](std::string_view body) {
                           call->answered = true;
                           if (call->on_message) {
                             // The callback may drop the call and itself with
                             // it.
                             const auto on_message = call->on_message;
                             on_message(body);
                           }
                         });
    if (!fits) {
      ++me.counters.garbled;
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    }
    return 0;
  }

  static int on_close(nghttp2_session*, std::int32_t id,
                      std::uint32_t error_code, void* context) {
    client_connection& me = self(context);
    me.loop.post([held = std::move(me.cancelled[id])] {});
    me.cancelled.erase(id);
    const auto found = me.calls.find(id);
    if (found == me.calls.end()) {
      return 0;
    }
    const std::shared_ptr<rpc_call::state> call = std::move(found->second);
    me.calls.erase(found);
    const bool whole =
        error_code == NGHTTP2_NO_ERROR && call->cutter.at_boundary();
    me.loop.post([call, whole] {
      call->end(whole ? std::error_code()
                      : make_error_code(errc::connection_lost));
    });
    return 0;
  }

  static void on_readable(bufferevent*, void* context) {
    client_connection& me = self(context);
    const auto keep = me.shared_from_this();
    me.unheard = 0;
    const std::uint64_t before = me.counters.bytes_in;
    const bool sound = internal::feed_session(me.session, me.bev, me.busy,
                                              me.counters.bytes_in);
    me.unclaimed_bytes += me.counters.bytes_in - before;
    if (!sound || me.unclaimed_bytes > max_unclaimed_bytes) {
      ++me.counters.garbled;
      me.fail(errc::connection_lost);
      return;
    }
    me.flush();
  }

  static void on_event(bufferevent* bev, short what, void* context) {
    client_connection& me = self(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      me.connected = true;
      me.connect_guard.cancel();
      internal::set_no_delay(bev);
      return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      me.fail(errc::connection_lost);
    }
  }

  void restart_silence(const std::shared_ptr<rpc_call::state>& call) {
    if (call->timeout.count() == 0 || call->done) {
      return;
    }
    std::weak_ptr<rpc_call::state> weak = call;
    const auto on_timeout = [this, weak] {
      if (const auto held = weak.lock()) {
        cancel(held->id);
        held->end(errc::rpc_timeout);
      }
    };
    call->silence = call->clock == timeout_clock::attended
                        ? loop.after_attended(call->timeout, on_timeout)
                        : loop.after(call->timeout, on_timeout);
  }

  event_loop& loop;
  rpc_limits limits;
  rpc_counters& counters;
  std::function<void(client_connection*)> forget;
  bufferevent* bev = nullptr;
  nghttp2_session* session = nullptr;
  timer connect_guard;
  timer pinger;
  int unheard = 0;
  std::uint64_t unclaimed_bytes = 0;  // received since a call began or had data
  bool connected = false;
  bool busy = false;
  bool failed = false;
  std::unordered_map<std::int32_t, std::shared_ptr<rpc_call::state>> calls;
  // nghttp2 may still pull from these until their streams close.
  std::unordered_map<std::int32_t, std::shared_ptr<rpc_call::state>> cancelled;
};

}  // namespace

struct rpc_pool::impl {
  impl(event_loop& loop_in, rpc_limits limits_in)
      : loop(loop_in), limits(limits_in) {}

  event_loop& loop;
  rpc_limits limits;
  rpc_counters counters;
  std::unordered_map<std::string, std::shared_ptr<client_connection>> peers;

  std::shared_ptr<client_connection> connect(const std::string& peer) {
    const auto found = peers.find(peer);
    if (found != peers.end()) {
      return found->second;
    }
    const result<address> to = address::parse(peer);
    if (!to) {
      return nullptr;
    }
    auto made = std::make_shared<client_connection>(loop, limits, counters);
    made->forget = [this, peer](client_connection* lost) {
      const auto held = peers.find(peer);
      if (held != peers.end() && held->second.get() == lost) {
        peers.erase(held);
      }
    };
    if (!made->open(to.value())) {
      return nullptr;
    }
    peers[peer] = made;
    return made;
  }
};

rpc_call::canceller::~canceller() {
  if (held->done) {
    return;
  }
  held->done = true;
  held->silence.cancel();
  held->on_message = nullptr;
  held->on_end = nullptr;
  if (const auto connection = held->connection.lock()) {
    connection->cancel(held->id);
  }
}

bool rpc_call::running() const { return state_ != nullptr && !state_->done; }

void rpc_call::cancel() {
  canceller_.reset();
  state_.reset();
}

rpc_pool::rpc_pool(event_loop& loop, rpc_limits limits)
    : impl_(std::make_unique<impl>(loop, limits)) {}

rpc_pool::~rpc_pool() = default;

rpc_call rpc_pool::start(const std::string& peer, std::string_view method,
                         const google::protobuf::MessageLite& request,
                         milliseconds timeout, message_callback on_message,
                         end_callback on_end, timeout_clock clock) {
  auto call =
      std::make_shared<rpc_call::state>(impl_->limits.max_message_bytes);
  call->on_message = std::move(on_message);
  call->on_end = std::move(on_end);
  call->timeout = timeout;
  call->clock = clock;
  rpc_call handle(call);
  handle.canceller_ = std::make_shared<rpc_call::canceller>();
  handle.canceller_->held = call;
  const auto connection = impl_->connect(peer);
  if (connection == nullptr) {
    impl_->loop.post([call] { call->end(errc::connect_failed); });
    return handle;
  }
  ++impl_->counters.calls_out;
  call->connection = connection;
  internal::append_message(call->output.bytes, request.SerializeAsString());
  call->output.finished = true;
  connection->start(call, method, peer);
  connection->restart_silence(call);
  return handle;
}

rpc_counters& rpc_pool::counters() { return impl_->counters; }

}  // namespace trayrock
