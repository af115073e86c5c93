#include "trayrock/internal/net/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace trayrock {
namespace {

constexpr int us_per_ms = 1000;
constexpr int ms_per_second = 1000;

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char each) { return std::tolower(each); });
  return out;
}

std::string_view method_name(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

http_request read_request(evhttp_request* raw) {
  http_request made;
  made.method = method_name(evhttp_request_get_command(raw));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  made.path = path == nullptr ? "" : path;
  const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  if (query != nullptr) {
    evkeyvalq parsed{};
    if (evhttp_parse_query_str(query, &parsed) == 0) {
      for (evkeyval* each = parsed.tqh_first; each != nullptr;
           each = each->next.tqe_next) {
        made.query[each->key] = each->value;
      }
    }
    evhttp_clear_headers(&parsed);
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  for (evkeyval* each = headers->tqh_first; each != nullptr;
       each = each->next.tqe_next) {
    made.headers[lower(each->key)] = each->value;
  }
  evbuffer* input = evhttp_request_get_input_buffer(raw);
  const std::size_t length = evbuffer_get_length(input);
  made.body.resize(length);
  evbuffer_copyout(input, made.body.data(), length);
  return made;
}

}  // namespace

std::string_view http_request::header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : found->second;
}

std::string_view http_request::parameter(std::string_view name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string_view() : found->second;
}

std::uint64_t http_request::number(std::string_view name,
                                   std::uint64_t fallback) const {
  const std::string_view text = parameter(name);
  std::uint64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

struct http_server::impl {
  event_loop* loop = nullptr;
  evhttp* http = nullptr;
  evhttp_bound_socket* bound = nullptr;
  handler callback;
  std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);

  static void on_request(evhttp_request* raw, void* context);
};

namespace {

class evhttp_exchange final
    : public http_exchange,
      public std::enable_shared_from_this<evhttp_exchange> {
 public:
  evhttp_exchange(evhttp_request* raw, std::shared_ptr<std::size_t> open)
      : raw_(raw), open_(std::move(open)) {
    ++*open_;
  }
  evhttp_exchange(const evhttp_exchange&) = delete;
  evhttp_exchange& operator=(const evhttp_exchange&) = delete;
  ~evhttp_exchange() override = default;

  // Notices a client that closes; keeps this object until it is answered.
  void watch() {
    self_ = shared_from_this();
    evhttp_connection* connection = evhttp_request_get_connection(raw_);
    evhttp_connection_set_closecb(connection, on_close, this);
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
  }

  void add_header(std::string_view name, std::string_view value) override {
    if (raw_ != nullptr) {
      evhttp_add_header(evhttp_request_get_output_headers(raw_),
                        std::string(name).c_str(), std::string(value).c_str());
    }
  }

  void reply(int status, std::string_view content_type,
             std::string_view body) override {
    if (raw_ == nullptr) {
      return;
    }
    add_header("Content-Type", content_type);
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, body.data(), body.size());
    const auto keep = release();
    evhttp_send_reply(std::exchange(raw_, nullptr), status, nullptr, out);
    evbuffer_free(out);
  }

  void start(int status, std::string_view content_type) override {
    if (raw_ == nullptr) {
      return;
    }
    add_header("Content-Type", content_type);
    add_header("Cache-Control", "no-cache");
    evhttp_send_reply_start(raw_, status, nullptr);
  }

  void chunk(std::string_view bytes) override {
    if (raw_ == nullptr || bytes.empty()) {
      return;
    }
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(raw_, out);
    evbuffer_free(out);
  }

  void finish() override {
    if (raw_ == nullptr) {
      return;
    }
    const auto keep = release();
    evhttp_send_reply_end(std::exchange(raw_, nullptr));
  }

  void cut() override {
    if (raw_ == nullptr) {
      return;
    }
    evhttp_connection* connection = evhttp_request_get_connection(raw_);
    const auto keep = release();
    raw_ = nullptr;
    evhttp_connection_free(connection);
  }

  void on_gone(std::function<void()> callback) override {
    gone_ = std::move(callback);
  }

  bool answered() const override { return raw_ == nullptr; }

 private:
  // Ends the watch on the client; the caller holds the object meanwhile.
  std::shared_ptr<evhttp_exchange> release() {
    evhttp_connection* connection = evhttp_request_get_connection(raw_);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    --*open_;
    gone_ = nullptr;
    return std::move(self_);
  }

  static void on_close(evhttp_connection*, void* context) {
    auto* self = static_cast<evhttp_exchange*>(context);
    const auto keep = std::move(self->self_);
    self->raw_ = nullptr;
    --*self->open_;
    auto gone = std::move(self->gone_);
    self->gone_ = nullptr;
    if (gone) {
      gone();
    }
  }

  evhttp_request* raw_;
  std::shared_ptr<std::size_t> open_;
  std::function<void()> gone_;
  std::shared_ptr<evhttp_exchange> self_;
};

}  // namespace

void http_server::impl::on_request(evhttp_request* raw, void* context) {
  auto* self = static_cast<impl*>(context);
  auto exchange = std::make_shared<evhttp_exchange>(raw, self->open);
  exchange->watch();
  const http_request request = read_request(raw);
  // evhttp leaves the body of such a request on the connection, where it
  // would be read as the next one.
  const bool body_left = request.method == "GET" || request.method == "DELETE";
  const std::string_view length = request.header("content-length");
  if (body_left && !length.empty() && length != "0") {
    exchange->add_header("Connection", "close");
  }
  self->callback(request, exchange);
}

http_server::http_server(event_loop& loop, http_limits limits)
    : impl_(std::make_unique<impl>()) {
  impl_->loop = &loop;
  impl_->http = evhttp_new(loop.base());
  evhttp_set_max_body_size(impl_->http,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_max_headers_size(impl_->http,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_allowed_methods(impl_->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                              EVHTTP_REQ_PUT |
                                              EVHTTP_REQ_DELETE);
  const auto idle = limits.idle_timeout.count();
  timeval timeout{};
  timeout.tv_sec = idle / ms_per_second;
  timeout.tv_usec = (idle % ms_per_second) * us_per_ms;
  evhttp_set_timeout_tv(impl_->http, &timeout);
}

http_server::~http_server() { evhttp_free(impl_->http); }

void http_server::handle(handler callback) {
  impl_->callback = std::move(callback);
  evhttp_set_gencb(impl_->http, impl::on_request, impl_.get());
}

result<void> http_server::listen(const address& where) {
  impl_->bound = evhttp_bind_socket_with_handle(
      impl_->http, where.host().c_str(), where.port());
  if (impl_->bound == nullptr) {
    return errc::connect_failed;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void http_server::stop_accepting() {
  if (impl_->bound != nullptr) {
    evhttp_del_accept_socket(impl_->http, impl_->bound);
    impl_->bound = nullptr;
  }
}

std::size_t http_server::open_exchanges() const { return *impl_->open; }

}  // namespace trayrock
