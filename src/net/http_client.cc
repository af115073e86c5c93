#include "trayrock/internal/net/http_client.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "trayrock/internal/net/header_list.h"
#include "trayrock/internal/net/http1_client.h"

namespace trayrock {
namespace {

// Connections are kept apart by address alone.
constexpr std::string_view no_owner;

// RFC 9110 (9.3.1, 9.3.5) gives content of these no meaning.
bool may_have_body(std::string_view method) {
  return method != "GET" && method != "DELETE";
}

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char each) { return std::tolower(each); });
  return out;
}

http1_request encode(const http_message& message) {
  http1_request made;
  made.method = message.method;
  made.target = message.target;
  made.body = message.body;
  for (const auto& [name, value] : message.headers) {
    made.headers.add(name, value);
  }
  return made;
}

}  // namespace

std::string_view http_reply::header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : found->second;
}

bool http_reply::is_framed() const {
  return headers.contains("content-length") ||
         same_name(header("transfer-encoding"), "chunked");
}

struct http_client::impl {
  explicit impl(event_loop& loop_in) : loop(loop_in), pool(loop_in) {}

  event_loop& loop;
  http1_pool pool;
};

struct http_call::state : std::enable_shared_from_this<http_call::state> {
  explicit state(event_loop& loop_in) : loop(loop_in) {}

  event_loop& loop;
  http1_call call;
  timer guard;
  milliseconds timeout{0};
  http_reply reply;
  http_client::chunk_callback on_chunk;
  http_client::done_callback on_done;

  void restart_guard() {
    if (timeout.count() > 0) {
      guard = loop.after(timeout, [this] {
        const auto keep = shared_from_this();
        call.cancel();
        end(errc::rpc_timeout);
      });
    }
  }

  void on_head(const http1_answer_head& head) {
    reply.status = head.status;
    for (const header_field& each : head.headers.fields()) {
      reply.headers[lower(each.name)] = each.value;
    }
  }

  void on_body(std::string_view bytes) {
    if (!on_chunk) {
      reply.body.append(bytes);
      return;
    }
    restart_guard();
    const auto tell = on_chunk;
    tell(bytes);
  }

  void on_end(http1_end how) {
    switch (how) {
      case http1_end::complete:
        end(std::move(reply));
        return;
      case http1_end::never_sent:
        end(errc::connect_failed);
        return;
      case http1_end::broken:
        end(errc::connection_lost);
        return;
    }
  }

  void end(result<http_reply> outcome) {
    guard.cancel();
    const auto done = std::exchange(on_done, nullptr);
    if (done) {
      done(std::move(outcome));
    }
  }
};

http_client::http_client(event_loop& loop)
    : impl_(std::make_shared<impl>(loop)) {}

http_client::~http_client() = default;

http_call http_client::start(const address& peer, const http_message& message,
                             milliseconds timeout, chunk_callback on_chunk,
                             done_callback on_done) {
  if (!message.body.empty() && !may_have_body(message.method)) {
    impl_->loop.post(
        [done = std::move(on_done)] { done(errc::malformed_request); });
    return {};
  }
  http_call handle;
  handle.state_ = std::make_shared<http_call::state>(impl_->loop);
  http_call::state& call = *handle.state_;
  call.timeout = timeout;
  call.on_chunk = std::move(on_chunk);
  call.on_done = std::move(on_done);
  const std::weak_ptr<http_call::state> weak = handle.state_;
  http1_observer observer;
  observer.on_head = [weak](const http1_answer_head& head) {
    if (const auto held = weak.lock()) {
      held->on_head(head);
    }
    return true;
  };
  observer.on_body = [weak](std::string_view bytes) {
    if (const auto held = weak.lock()) {
      held->on_body(bytes);
    }
  };
  observer.on_end = [weak](http1_end how) {
    if (const auto held = weak.lock()) {
      held->on_end(how);
    }
  };
  call.restart_guard();
  call.call =
      impl_->pool.start(peer.text(), no_owner, encode(message), observer);
  return handle;
}

}  // namespace trayrock
