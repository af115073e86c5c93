#include "http1_server_exchange.h"

#include <array>
#include <cstdio>
#include <string>

namespace trayrock::internal {
namespace {

// The status line and headers, without the line that ends them.
std::string head(int status, const header_list& headers, bool close) {
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

// A response to HEAD, or with one of these statuses, ends with its head
// (RFC 9112, 6.3).
bool has_body(int status, bool to_head_request) {
  constexpr int no_content = 204;
  constexpr int not_modified = 304;
  return !to_head_request && status != no_content && status != not_modified;
}

}  // namespace

void http1_server_exchange::respond(int status, const header_list& headers,
                                    std::string_view body) {
  const auto to = connection();
  if (to == nullptr || begun_) {
    return;
  }
  begun_ = true;
  std::string out = head(status, headers, to->closes_after_answer());
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (has_body(status, to->is_head_request())) {
    out += body;
  }
  to->send(out);
  end(*to);
}

void http1_server_exchange::begin(int status, const header_list& headers) {
  const auto to = connection();
  if (to == nullptr || begun_) {
    return;
  }
  begun_ = true;
  if (has_body(status, to->is_head_request())) {
    framing_ = to->old_client() ? response_framing::connection
                                : response_framing::chunks;
  }
  const bool ends_connection = framing_ == response_framing::connection;
  if (ends_connection) {
    to->reset_if_cut();
  }
  std::string out =
      head(status, headers, to->closes_after_answer() || ends_connection);
  if (framing_ == response_framing::chunks) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  to->send(out + "\r\n");
}

void http1_server_exchange::write(std::string_view bytes) {
  const auto to = connection();
  if (to == nullptr || bytes.empty() || framing_ == response_framing::none) {
    return;
  }
  if (framing_ == response_framing::connection) {
    to->send(bytes);
    return;
  }
  std::array<char, 24> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  out.append(bytes).append("\r\n");
  to->send(out);
}

void http1_server_exchange::finish() {
  const auto to = connection();
  if (to == nullptr) {
    return;
  }
  if (framing_ == response_framing::chunks) {
    to->send("0\r\n\r\n");
  }
  end(*to);
}

void http1_server_exchange::abort() {
  const auto to = connection();
  if (to == nullptr) {
    return;
  }
  if (framing_ != response_framing::chunks) {
    discard();
    return;
  }
  gone_ = nullptr;
  connection_.reset();
  to->cut();
}

void http1_server_exchange::discard() {
  const auto to = connection();
  if (to != nullptr) {
    gone_ = nullptr;
    connection_.reset();
    to->drop();
  }
}

void http1_server_exchange::lose() {
  connection_.reset();
  auto callback = std::move(gone_);
  gone_ = nullptr;
  if (callback) {
    callback();
  }
}

void http1_server_exchange::end(http1_server_connection& connection) {
  gone_ = nullptr;
  connection_.reset();
  connection.answered();
}

}  // namespace trayrock::internal
