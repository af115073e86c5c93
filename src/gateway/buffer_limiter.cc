#include "trayrock/internal/gateway/buffer_limiter.h"

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Between two log lines on pauses. Hundreds of clients may pause in a second.
constexpr std::uint64_t log_period_ms = 1000;

}  // namespace

void buffer_limiter::update(std::uint64_t connection,
                            const std::optional<http1_buffered>& held) {
  if (!budget_) {
    return;
  }
  if (!held) {
    clients_.erase(connection);
    perform(budget_->remove(connection));
    return;
  }
  client& of = clients_[connection];
  if (of.received != held->received) {
    of.received = held->received;
    set_retained(connection, of);
  }
  perform(budget_->set_unread(connection, held->unread));
}

void buffer_limiter::attach(std::uint64_t connection,
                            const std::weak_ptr<buffering_request>& request,
                            std::uint64_t bytes) {
  if (!budget_) {
    return;
  }
  client& of = clients_[connection];
  of.request = request;
  of.request_bytes = bytes;
  if (budget_->is_paused(connection)) {
    perform(pause_reading{connection});
  }
  set_retained(connection, of);
}

void buffer_limiter::set_request_bytes(std::uint64_t connection,
                                       std::uint64_t bytes) {
  const auto found = clients_.find(connection);
  if (found != clients_.end() && found->second.request_bytes != bytes) {
    found->second.request_bytes = bytes;
    set_retained(connection, found->second);
  }
}

void buffer_limiter::detach(std::uint64_t connection) {
  const auto found = clients_.find(connection);
  if (found != clients_.end()) {
    found->second.request.reset();
    found->second.request_bytes = 0;
    set_retained(connection, found->second);
  }
}

void buffer_limiter::set_retained(std::uint64_t connection, const client& of) {
  perform(budget_->set_retained(connection, of.received + of.request_bytes));
}

void buffer_limiter::report() {
  if (budget_) {
    metrics_.set("buffered_bytes", {}, static_cast<double>(budget_->held()));
    metrics_.set("paused_responses", {},
                 static_cast<double>(budget_->paused()));
  }
}

void buffer_limiter::perform(const buffer_actions& actions) {
  for (const buffer_action& each : actions) {
    std::visit([this](const auto& action) { perform(action); }, each);
  }
}

void buffer_limiter::perform(const pause_reading& action) {
  metrics_.add("responses_paused_total");
  log_pressure();
  if (const auto request = request_of(action.holder)) {
    request->pause_reading();
  }
}

void buffer_limiter::perform(const resume_reading& action) {
  if (const auto request = request_of(action.holder)) {
    request->resume_reading();
  }
}

// Later from the loop, since actions may follow from a write of the request
// that is to end.
void buffer_limiter::perform(const end_holder& action) {
  loop_.post([this, action] { end(action); });
}

void buffer_limiter::end(const end_holder& which) {
  if (!clients_.contains(which.holder)) {
    return;  // closed in the meantime
  }
  metrics_.add("connections_ended_for_memory_total");
  log_warn("connection_ended",
           {{"cause", make_error_code(errc::buffers_full).message()},
            {"bytes", std::to_string(which.bytes)},
            {"buffered", std::to_string(budget_->held())}});
  if (const auto request = request_of(which.holder)) {
    request->end_for_memory();
  } else {
    close_connection_(which.holder);
  }
}

void buffer_limiter::log_pressure() {
  const std::uint64_t now = loop_.now_ms();
  if (now < logged_at_ms_ + log_period_ms) {
    return;
  }
  logged_at_ms_ = now;
  log_info("responses_paused", {{"paused", std::to_string(budget_->paused())},
                                {"buffered", std::to_string(budget_->held())}});
}

std::shared_ptr<buffering_request> buffer_limiter::request_of(
    std::uint64_t connection) const {
  const auto found = clients_.find(connection);
  return found == clients_.end() ? nullptr : found->second.request.lock();
}

}  // namespace trayrock
