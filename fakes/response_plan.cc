#include "response_plan.h"

#include <http_parser.h>

#include <array>
#include <cstdio>
#include <utility>

namespace trayrock::fakes {

void respond(event_loop& loop, const raw_connection_ptr& to, int status,
             std::string_view body, const header_list& headers) {
  response_content content;
  content.status = status;
  content.headers = headers;
  content.pieces = {std::string(body)};
  response_writer::start(loop, to, std::move(content), {});
}

void response_writer::start(event_loop& loop, const raw_connection_ptr& to,
                            response_content content, response_plan plan) {
  const auto made = std::make_shared<response_writer>(
      loop, to, std::move(content), std::move(plan));
  to->attach(made);
  made->send_head();
  made->send_next();
}

response_writer::response_writer(event_loop& loop, raw_connection_ptr to,
                                 response_content content, response_plan plan)
    : loop_(loop),
      to_(std::move(to)),
      content_(std::move(content)),
      plan_(std::move(plan)) {}

void response_writer::send_head() {
  std::string out = "HTTP/1.1 " + std::to_string(content_.status) + " ";
  out += http_status_str(static_cast<enum http_status>(content_.status));
  out += "\r\n";
  for (const header_field& each : content_.headers.fields()) {
    out.append(each.name).append(": ").append(each.value).append("\r\n");
  }
  if (plan_.last_of_connection) {
    out += "Connection: close\r\n";
  }
  if (plan_.framing == response_framing::chunks) {
    out += "Transfer-Encoding: chunked\r\n";
  } else if (plan_.framing == response_framing::length) {
    std::size_t length = 0;
    for (const std::string& each : content_.pieces) {
      length += each.size();
    }
    out += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  to_->send(out + "\r\n");
}

void response_writer::send_next() {
  const auto keep = shared_from_this();
  if (next_ == content_.pieces.size() || content_.without_body) {
    complete();
    return;
  }
  const std::string_view piece = content_.pieces[next_++];
  const std::size_t left = plan_.stop_at - sent_;
  send_body(piece.substr(0, left));
  if (left <= piece.size()) {  // once it is on its way
    timer_ = loop_.after(content_.pause, [keep] { keep->break_off(); });
  } else if (next_ == content_.pieces.size()) {
    complete();
  } else {
    timer_ = loop_.after(content_.pause, [keep] { keep->send_next(); });
  }
}

void response_writer::send_body(std::string_view bytes) {
  sent_ += bytes.size();
  if (plan_.framing != response_framing::chunks) {
    to_->send(bytes);
    return;
  }
  if (bytes.empty()) {
    return;
  }
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  to_->send(std::string(size.data()).append(bytes).append("\r\n"));
}

void response_writer::complete() {
  if (plan_.framing == response_framing::chunks && !content_.without_body) {
    to_->send("0\r\n\r\n");
  }
  if (!plan_.surplus.empty()) {
    to_->send_surplus(plan_.surplus, plan_.surplus_delay);
  }
  if (plan_.framing == response_framing::connection ||
      plan_.last_of_connection) {
    to_->close();
  } else {
    to_->finish();
  }
}

void response_writer::break_off() {
  switch (plan_.end) {
    case response_end::complete:
    case response_end::closed:
      to_->close();
      break;
    case response_end::reset:
      to_->reset();
      break;
    case response_end::silent:
      break;
  }
}

}  // namespace trayrock::fakes
