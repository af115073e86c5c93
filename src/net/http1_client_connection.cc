#include "http1_client_connection.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>

#include <charconv>
#include <utility>

#include "http2_session.h"
#include "socket_address.h"

namespace trayrock::internal {
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
// An endpoint that sends more in reply to one request is disconnected.
constexpr unsigned max_interim_responses = 16;
constexpr unsigned max_surplus_responses = 16;
constexpr std::size_t max_body_bytes = 64U << 20;

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

body_framing framing_of(const http_parser& parser, const header_list& headers,
                        bool to_head_request) {
  constexpr unsigned no_content = 204;
  constexpr unsigned not_modified = 304;
  if (to_head_request || parser.status_code == no_content ||
      parser.status_code == not_modified) {
    return body_framing::length;
  }
  if ((parser.flags & F_CHUNKED) != 0) {
    return body_framing::chunks;
  }
  return headers.has("Content-Length") ? body_framing::length
                                       : body_framing::connection;
}

}  // namespace

bool http1_client_connection::open(const address& peer) {
  bev_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(bev_, on_readable, on_written, on_event, this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  sockaddr_in to = socket_address_of(peer);
  guard_ = loop_.after(connect_limit, [this] { end(http1_end::never_sent); });
  return bufferevent_socket_connect(bev_, reinterpret_cast<sockaddr*>(&to),
                                    sizeof(to)) == 0;
}

void http1_client_connection::start(running_call call) {
  call_ = std::make_unique<running_call>(std::move(call));
  skipping_ = false;
  interim_responses_ = 0;
  surplus_responses_ = 0;
  body_bytes_ = 0;
  if (!connected_) {
    return;
  }
  guard_.cancel();
  send_request();
}

// Only libevent's copy of the request is kept until it has left.
void http1_client_connection::send_request() {
  const std::string bytes = std::exchange(call_->bytes, {});
  bufferevent_write(bev_, bytes.data(), bytes.size());
}

void http1_client_connection::pause_reading() {
  if (!dead_ && call_ != nullptr && !paused_) {
    paused_ = true;
    bufferevent_disable(bev_, EV_READ);
  }
}

void http1_client_connection::resume_reading() {
  if (!dead_ && paused_) {
    paused_ = false;
    bufferevent_enable(bev_, EV_READ);
  }
}

void http1_client_connection::drop() {
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

void http1_client_connection::end(http1_end how) {
  const std::unique_ptr<running_call> ended = std::move(call_);
  resume_reading();
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
void http1_client_connection::rest() {
  const auto pool = pool_.lock();
  if (pool == nullptr || dead_) {
    drop();
    return;
  }
  pool->peers[key_].idle.push_back(shared_from_this());
  guard_ = loop_.after(idle_limit(head_.headers), [this] { drop(); });
}

const http_parser_settings& http1_client_connection::parser_settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = on_begin;
    made.on_header_field = on_field;
    made.on_header_value = on_value;
    made.on_headers_complete = on_headers;
    made.on_chunk_header = on_chunk;
    made.on_body = on_body;
    made.on_message_complete = on_message;
    return made;
  }();
  return settings;
}

int http1_client_connection::on_begin(http_parser* parser) {
  http1_client_connection& me = self(parser);
  me.head_ = {};
  me.collector_.restart();
  me.skipping_ = false;
  me.message_done_ = false;
  return 0;
}

int http1_client_connection::on_field(http_parser* parser, const char* at,
                                      std::size_t length) {
  http1_client_connection& me = self(parser);
  me.collector_.add_name(me.head_.headers, {at, length});
  return 0;
}

int http1_client_connection::on_value(http_parser* parser, const char* at,
                                      std::size_t length) {
  http1_client_connection& me = self(parser);
  me.collector_.add_value(me.head_.headers, {at, length});
  return 0;
}

int http1_client_connection::on_headers(http_parser* parser) {
  http1_client_connection& me = self(parser);
  if (me.call_ == nullptr) {
    return -1;
  }
  me.head_.status = parser->status_code;
  me.interim_ = me.head_.status < first_final_status;
  if (me.interim_) {
    return ++me.interim_responses_ > max_interim_responses ? -1 : 0;
  }
  const bool bodyless = me.call_->head_request;
  me.head_.framing = framing_of(*parser, me.head_.headers, bodyless);
  if (!me.head_.headers.has_only_chunked_coding() ||
      (me.head_.headers.has("Transfer-Encoding") &&
       me.head_.headers.has("Content-Length"))) {
    return -1;
  }
  const auto on_head = me.call_->observer.on_head;
  const bool mine = on_head(me.head_);
  if (me.dead_ || me.call_ == nullptr) {
    return -1;
  }
  me.skipping_ = !mine;
  if (!mine && ++me.surplus_responses_ > max_surplus_responses) {
    return -1;
  }
  return bodyless ? 1 : 0;
}

// Trailers follow the last chunk, whose length is zero.
int http1_client_connection::on_chunk(http_parser* parser) {
  if (parser->content_length == 0) {
    self(parser).section_ = http1_section::trailers();
    http_parser_pause(parser, 1);
  }
  return 0;
}

int http1_client_connection::on_body(http_parser* parser, const char* at,
                                     std::size_t length) {
  http1_client_connection& me = self(parser);
  me.body_bytes_ += length;
  if (me.body_bytes_ > max_body_bytes) {
    return 1;
  }
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

int http1_client_connection::on_message(http_parser* parser) {
  http1_client_connection& me = self(parser);
  me.section_ = http1_section::response_head();
  http_parser_pause(parser, 1);
  if (me.interim_) {
    return 0;
  }
  me.reusable_ = http_should_keep_alive(parser) != 0;
  if (me.skipping_) {
    return me.reusable_ ? 0 : 1;
  }
  me.message_done_ = true;
  return 0;
}

// The whole answer is here: bytes behind it, or an unsent rest of the
// request, make the connection useless for the next one.
void http1_client_connection::message_done() {
  message_done_ = false;
  const bool surplus = evbuffer_get_length(bufferevent_get_input(bev_)) > 0;
  const bool unsent = evbuffer_get_length(bufferevent_get_output(bev_)) > 0;
  reusable_ = reusable_ && !surplus && !unsent;
  end(http1_end::complete);
}

// The parser pauses where a section begins.
bool http1_client_connection::execute(std::string_view bytes,
                                      std::size_t& used) {
  if (!section_.ended()) {
    bytes = bytes.substr(0, section_.read(bytes));
  }
  if (section_.malformed()) {
    return false;
  }
  http_parser_pause(&parser_, 0);
  used = http_parser_execute(&parser_, &parser_settings(), bytes.data(),
                             bytes.size());
  const auto code = HTTP_PARSER_ERRNO(&parser_);
  return code == HPE_OK || code == HPE_PAUSED;
}

void http1_client_connection::read() {
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
    const bool sound = execute(
        {static_cast<const char*>(piece.iov_base), piece.iov_len}, used);
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

void http1_client_connection::on_readable(bufferevent*, void* context) {
  self(context).read();
}

void http1_client_connection::on_written(bufferevent*, void* context) {
  http1_client_connection& me = self(context);
  const auto keep = me.shared_from_this();
  // libevent also calls this for a fresh connection.
  const bool sent = me.call_ != nullptr && me.call_->bytes.empty() &&
                    evbuffer_get_length(bufferevent_get_output(me.bev_)) == 0;
  if (sent && !me.dead_ && me.call_->observer.on_sent) {
    const auto on_sent = std::exchange(me.call_->observer.on_sent, nullptr);
    on_sent();
  }
}

void http1_client_connection::on_event(bufferevent* bev, short what,
                                       void* context) {
  http1_client_connection& me = self(context);
  const auto keep = me.shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    me.connected_ = true;
    me.guard_.cancel();
    set_no_delay(bev);
    watch_path(bufferevent_getfd(bev));
    if (me.call_ != nullptr) {
      me.send_request();
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
    me.execute({}, used);  // ends an answer without a length
    if (me.message_done_) {
      me.reusable_ = false;
      me.message_done_ = false;
      me.end(http1_end::complete);
      return;
    }
  }
  me.end(http1_end::broken);
}

}  // namespace trayrock::internal
