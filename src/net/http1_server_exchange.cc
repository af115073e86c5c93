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
  if (!to->without_body()) {
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
  chunked_ = !to->old_client();
  if (!chunked_) {
    to->reset_if_cut();
  }
  std::string out =
      head(status, headers, to->closes_after_answer() || !chunked_);
  out += chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
  to->send(out);
}

void http1_server_exchange::write(std::string_view bytes) {
  const auto to = connection();
  if (to == nullptr || bytes.empty()) {
    return;
  }
  if (!chunked_) {
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
  if (chunked_) {
    to->send("0\r\n\r\n");
  }
  end(*to);
}

void http1_server_exchange::abort() {
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
