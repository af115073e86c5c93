#include "trayrock/internal/net/http1_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <netinet/tcp.h>

#include <charconv>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http2_session.h"
#include "socket_address.h"

namespace trayrock {
namespace {

// A connection that is not made within this time is given up. Measured paths
// take 2 to 10 ms; a dropped opening packet is resent after a second.
constexpr milliseconds connect_limit{700};
// Bytes without acknowledgement for this long break a connection (a peer that
// lost power or sits behind a cut says nothing).
constexpr int unacknowledged_limit_ms = 2500;
// A connection on which an answer is awaited is probed when it has been quiet
// for a second, so that a path that is gone shows within some three seconds.
constexpr int probe_after_s = 1;
constexpr int probe_period_s = 1;
constexpr int probes_before_lost = 2;
// Idle connections are closed by us first: at this share of the time that the
// peer announces, or after the default if it announces none.
constexpr double idle_share = 0.6;
constexpr milliseconds default_idle_limit{4000};
constexpr int first_final_status = 200;

void set_option(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

// Makes a path that is gone show as an error of the connection.
void watch_path(int socket) {
  set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_period_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes_before_lost);
  set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

milliseconds idle_limit(const header_list& headers) {
  const std::string_view text = headers.find("Keep-Alive");
  const std::size_t at = text.find("timeout=");
  if (at == std::string_view::npos) {
    return default_idle_limit;
  }
  const std::string_view digits = text.substr(at + 8);
  unsigned seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  constexpr double ms_per_second = 1000;
  return milliseconds(static_cast<long>(seconds * ms_per_second * idle_share));
}

class client_connection;

}  // namespace

struct http1_pool::impl : std::enable_shared_from_this<http1_pool::impl> {
  explicit impl(event_loop& loop_in) : loop(loop_in) {}

  // A connection that waits for a request; nullptr if there is none.
  std::shared_ptr<client_connection> take_idle(const std::string& key);

  // A new connection; nullptr if it can not even be begun.
  std::shared_ptr<client_connection> open(const std::string& key,
                                          const std::string& peer);

  struct peer_connections {
    std::vector<std::shared_ptr<client_connection>> idle;
    std::unordered_set<std::shared_ptr<client_connection>> all;
  };

  event_loop& loop;
  connect_observer connected;
  std::unordered_map<std::string, peer_connections> peers;
};

namespace {

struct running_call {
  std::string bytes;  // head and body, as sent
  bool head_request = false;
  http1_observer observer;
};

// One connection to an endpoint.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
 public:
  client_connection(std::weak_ptr<http1_pool::impl> pool, event_loop& loop,
                    std::string key)
      : pool_(std::move(pool)), loop_(loop), key_(std::move(key)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;
  ~client_connection() {
    if (bev_ != nullptr) {
      bufferevent_free(bev_);
    }
  }

  bool open(const address& peer);
  void start(running_call call);

  // Closes without telling the request's owner.
  void drop();

  // The connection may carry another request.
  bool usable() const { return !dead_ && call_ == nullptr; }

 private:
  static client_connection& self(void* context) {
    return *static_cast<client_connection*>(context);
  }
  static client_connection& self(http_parser* parser) {
    return self(parser->data);
  }
  static const http_parser_settings& parser_settings();

  void end(http1_end how);
  void message_done();
  void rest();
  void read();
  bool execute(const char* bytes, std::size_t length, std::size_t& used);

  static int on_begin(http_parser* parser);
  static int on_field(http_parser* parser, const char* at, std::size_t length);
  static int on_value(http_parser* parser, const char* at, std::size_t length);
  static int on_headers(http_parser* parser);
  static int on_body(http_parser* parser, const char* at, std::size_t length);
  static int on_message(http_parser* parser);
  static void on_readable(bufferevent*, void* context);
  static void on_event(bufferevent*, short what, void* context);

  std::weak_ptr<http1_pool::impl> pool_;
  event_loop& loop_;
  std::string key_;
  bufferevent* bev_ = nullptr;
  http_parser parser_{};
  std::unique_ptr<running_call> call_;
  http1_answer_head head_;
  header_collector collector_;
  bool connected_ = false;
  bool dead_ = false;
  bool skipping_ = false;
  bool interim_ = false;
  bool message_done_ = false;
  bool reusable_ = false;
  timer guard_;
};

bool client_connection::open(const address& peer) {
  bev_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(bev_, on_readable, nullptr, on_event, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  sockaddr_in to = internal::socket_address_of(peer);
  guard_ = loop_.after(connect_limit, [this] { end(http1_end::never_sent); });
  return bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&to),
                                    sizeof(to)) == 0;
}

void client_connection::start(running_call call) {
  call_ = std::make_unique<running_call>(std::move(call));
  skipping_ = false;
  if (!connected_) {
    return;
  }
  guard_.cancel();
  bufferevent_write(bev_, call_->bytes.data(), call_->bytes.size());
}

void client_connection::drop() {
  if (dead_) {
    return;
  }
  dead_ = true;
  guard_.cancel();
  const auto keep = shared_from_this();
  if (const auto pool = pool_.lock()) {
    const auto found = pool->peers.find(key_);
    if (found != pool->peers.end()) {
      std::erase(found->second.idle, keep);
      found->second.all.erase(keep);
      if (found->second.all.empty()) {
        pool->peers.erase(found);
      }
    }
  }
  // Freed outside of libevent's and the parser's own callbacks.
  bufferevent_disable(bev_, EV_READ | EV_WRITE);
  loop_.post([keep] {});
}

void client_connection::end(http1_end how) {
  const std::unique_ptr<running_call> ended = std::move(call_);
  if (how != http1_end::complete || !reusable_) {
    drop();
  } else {
    rest();
  }
  if (ended != nullptr && ended->observer.on_end) {
    ended->observer.on_end(how);
  }
}

// Waits in the pool for the next request.
void client_connection::rest() {
  const auto pool = pool_.lock();
  if (pool == nullptr || dead_) {
    drop();
    return;
  }
  pool->peers[key_].idle.push_back(shared_from_this());
  guard_ = loop_.after(idle_limit(head_.headers), [this] { drop(); });
}

const http_parser_settings& client_connection::parser_settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = on_begin;
    made.on_header_field = on_field;
    made.on_header_value = on_value;
    made.on_headers_complete = on_headers;
    made.on_body = on_body;
    made.on_message_complete = on_message;
    return made;
  }();
  return settings;
}

int client_connection::on_begin(http_parser* parser) {
  client_connection& me = self(parser);
  me.head_ = {};
  me.collector_.restart();
  me.skipping_ = false;
  me.message_done_ = false;
  return 0;
}

int client_connection::on_field(http_parser* parser, const char* at,
                                std::size_t length) {
  client_connection& me = self(parser);
  me.collector_.add_name(me.head_.headers, {at, length});
  return 0;
}

int client_connection::on_value(http_parser* parser, const char* at,
                                std::size_t length) {
  client_connection& me = self(parser);
  me.collector_.add_value(me.head_.headers, {at, length});
  return 0;
}

int client_connection::on_headers(http_parser* parser) {
  client_connection& me = self(parser);
  if (me.call_ == nullptr) {
    return -1;
  }
  me.head_.status = parser->status_code;
  me.interim_ = me.head_.status < first_final_status;
  if (me.interim_) {
    return 0;
  }
  me.head_.has_length = (parser->flags & F_CHUNKED) != 0 ||
                        me.head_.headers.has("Content-Length");
  if (me.head_.headers.has("Transfer-Encoding") &&
      me.head_.headers.has("Content-Length")) {
    return -1;
  }
  const bool bodyless = me.call_->head_request;
  const auto on_head = me.call_->observer.on_head;
  const bool mine = on_head(me.head_);
  if (me.dead_ || me.call_ == nullptr) {
    return -1;
  }
  me.skipping_ = !mine;
  return bodyless ? 1 : 0;
}

int client_connection::on_body(http_parser* parser, const char* at,
                               std::size_t length) {
  client_connection& me = self(parser);
  if (me.skipping_) {
    return 0;
  }
  if (me.dead_ || me.call_ == nullptr) {
    return 1;
  }
  const auto on_body = me.call_->observer.on_body;
  on_body({at, length});
  return me.dead_ || me.call_ == nullptr ? 1 : 0;
}

int client_connection::on_message(http_parser* parser) {
  client_connection& me = self(parser);
  if (me.interim_) {
    return 0;
  }
  me.reusable_ = http_should_keep_alive(parser) != 0;
  if (me.skipping_) {
    return me.reusable_ ? 0 : 1;
  }
  me.message_done_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

// The whole answer is here: bytes behind it, or an unsent rest of the
// request, make the connection useless for the next one.
void client_connection::message_done() {
  message_done_ = false;
  http_parser_pause(&parser_, 0);
  const bool surplus = evbuffer_get_length(bufferevent_get_input(bev_)) > 0;
  const bool unsent = evbuffer_get_length(bufferevent_get_output(bev_)) > 0;
  reusable_ = reusable_ && !surplus && !unsent;
  end(http1_end::complete);
}

bool client_connection::execute(const char* bytes, std::size_t length,
                                std::size_t& used) {
  used = http_parser_execute(&parser_, &parser_settings(), bytes, length);
  const auto code = HTTP_PARSER_ERRNO(&parser_);
  return code == HPE_OK || code == HPE_PAUSED;
}

void client_connection::read() {
  const auto keep = shared_from_this();
  evbuffer* input = bufferevent_get_input(bev_);
  if (call_ == nullptr) {
    drop();  // nothing is due on an idle connection
    return;
  }
  while (!dead_ && call_ != nullptr && evbuffer_get_length(input) > 0) {
    evbuffer_iovec piece{};
    evbuffer_peek(input, -1, nullptr, &piece, 1);
    std::size_t used = 0;
    const bool sound =
        execute(static_cast<const char*>(piece.iov_base), piece.iov_len, used);
    evbuffer_drain(input, used);
    if (dead_) {
      return;
    }
    if (message_done_) {
      message_done();
      return;
    }
    if (!sound) {
      end(http1_end::broken);
      return;
    }
  }
}

void client_connection::on_readable(bufferevent*, void* context) {
  self(context).read();
}

void client_connection::on_event(bufferevent* bev, short what, void* context) {
  client_connection& me = self(context);
  const auto keep = me.shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    me.connected_ = true;
    me.guard_.cancel();
    internal::set_no_delay(bev);
    watch_path(bufferevent_getfd(bev));
    if (me.call_ != nullptr) {
      bufferevent_write(bev, me.call_->bytes.data(), me.call_->bytes.size());
    }
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || me.dead_) {
    return;
  }
  if (!me.connected_) {
    me.end(http1_end::never_sent);
    return;
  }
  if (me.call_ == nullptr) {
    me.drop();
    return;
  }
  if ((what & BEV_EVENT_EOF) != 0) {
    std::size_t used = 0;
    me.execute(nullptr, 0, used);  // ends an answer without a length
    if (me.message_done_) {
      me.reusable_ = false;
      me.message_done_ = false;
      me.end(http1_end::complete);
      return;
    }
  }
  me.end(http1_end::broken);
}

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
  std::weak_ptr<client_connection> connection;
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

http1_pool::http1_pool(event_loop& loop)
    : impl_(std::make_shared<impl>(loop)) {}

http1_pool::~http1_pool() = default;

http1_call http1_pool::start(const std::string& peer, std::string_view owner,
                             const http1_request& request,
                             http1_observer observer) {
  http1_call handle;
  handle.held_ = std::make_shared<http1_call::canceller>();
  running_call call;
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
  std::shared_ptr<client_connection> connection = impl_->take_idle(key);
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

std::shared_ptr<client_connection> http1_pool::impl::take_idle(
    const std::string& key) {
  const auto found = peers.find(key);
  if (found == peers.end() || found->second.idle.empty()) {
    return nullptr;
  }
  std::shared_ptr<client_connection> taken = found->second.idle.back();
  found->second.idle.pop_back();
  return taken;
}

std::shared_ptr<client_connection> http1_pool::impl::open(
    const std::string& key, const std::string& peer) {
  const result<address> to = address::parse(peer);
  auto made = std::make_shared<client_connection>(weak_from_this(), loop, key);
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
