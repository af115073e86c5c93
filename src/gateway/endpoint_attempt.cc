#include "trayrock/internal/gateway/endpoint_attempt.h"

#include <optional>

#include "trayrock/internal/gateway/endpoint_directory.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Largest response that is buffered.
constexpr std::size_t max_buffered_bytes = 4U << 20;

constexpr int first_success = 200;
constexpr int first_redirect = 300;

// Name of an outcome in the log.
std::string_view text_of(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::refused:
      return "not_executed";
    case attempt_outcome::other_instance:
      return "other_instance";
    case attempt_outcome::cancelled:
      return "cancelled";
    case attempt_outcome::unreachable:
      return "never_sent";
    default:
      return "unknown";
  }
}

}  // namespace

bool endpoint_attempt::begin(endpoint_state_ptr target) {
  endpoint_ = std::move(target);
  if (endpoint_ == nullptr) {
    return false;
  }
  sent_at_us_ = loop_.now_us();
  endpoint_directory::begin_attempt(*endpoint_, loop_.now_ms());
  in_flight_ = true;
  head_ = {};
  response_ = {};
  body_.clear();
  discarded_bytes_ = 0;
  invalid_ = false;
  was_paused_ = false;
  paused_ = false;
  return true;
}

void endpoint_attempt::send(const http1_request& request,
                            http1_observer observer) {
  const endpoint& target = endpoint_->record;
  sent_at_us_ = loop_.now_us();
  call_ = pool_.start(target.address, target.identity.text(), request,
                      std::move(observer));
}

endpoint_identity endpoint_attempt::identity() const {
  return endpoint_ == nullptr ? endpoint_identity()
                              : endpoint_->record.identity;
}

milliseconds endpoint_attempt::age() const {
  constexpr std::uint64_t us_per_ms = 1000;
  return milliseconds(
      static_cast<long>((loop_.now_us() - sent_at_us_) / us_per_ms));
}

void endpoint_attempt::record_pace(std::uint64_t events) const {
  constexpr std::uint64_t min_events = 3;
  if (endpoint_ == nullptr || events < min_events) {
    return;
  }
  constexpr double us_per_ms = 1000;
  const auto ms = static_cast<double>(loop_.now_us() - head_at_us_) / us_per_ms;
  endpoint_->pace.record(ms / static_cast<double>(events - 1), loop_.now_ms());
}

void endpoint_attempt::accept_head(const http1_answer_head& head,
                                   response_metadata response) {
  head_at_us_ = loop_.now_us();
  head_ = head;
  response_ = std::move(response);
  invalid_ = succeeded() && (!response_.sealed || response_.encoded);
}

void endpoint_attempt::buffer(std::string_view bytes) {
  body_.append(bytes);
  invalid_ = body_.size() > max_buffered_bytes;
}

bool endpoint_attempt::is_oversized() const {
  return body_.size() + discarded_bytes_ > max_buffered_bytes;
}

std::string_view endpoint_attempt::framing() const {
  if (status() == 0) {
    return {};
  }
  switch (head_.framing) {
    case body_framing::length:
      return "length";
    case body_framing::chunks:
      return "chunks";
    case body_framing::connection:
      break;
  }
  return "connection";
}

bool endpoint_attempt::succeeded() const {
  return head_.status >= first_success && head_.status < first_redirect;
}

bool endpoint_attempt::is_event_stream() const {
  constexpr std::string_view event_stream_type = "text/event-stream";
  const std::string_view type = head_.headers.find("Content-Type");
  return type.empty() ||
         same_name(type.substr(0, event_stream_type.size()), event_stream_type);
}

attempt_outcome endpoint_attempt::outcome_of(http1_end how) const {
  if (how == http1_end::never_sent) {
    return attempt_outcome::unreachable;
  }
  if (how == http1_end::broken || invalid_) {
    return attempt_outcome::broken;
  }
  if (response_.other_instance) {
    return attempt_outcome::other_instance;
  }
  return response_.not_executed ? attempt_outcome::refused
                                : attempt_outcome::responded;
}

void endpoint_attempt::mark_slow() {
  log_info("endpoint_late", {{"request", metadata_.attempt},
                             {"endpoint", endpoint_->record.identity.id}});
  if (endpoint_->health.record_failure(loop_.now_ms())) {
    log_avoided();
  }
  drop_idle_connections();
}

// Makes the next request open a new connection. If that fails, the request has
// not run and can be sent elsewhere; on a dead idle connection it would be
// lost.
void endpoint_attempt::drop_idle_connections() {
  if (drops_connections_) {
    pool_.forget(endpoint_->record.address, endpoint_->record.identity.text());
  }
}

void endpoint_attempt::log_avoided() const {
  log_info("endpoint_avoided", {{"endpoint", endpoint_->record.identity.id},
                                {"by", "own requests"}});
}

// The endpoint may have cut the response off while it was not read, which shows
// once reading goes on.
bool endpoint_attempt::was_paused_lately() const {
  constexpr std::uint64_t notice_us = 1000000;
  return paused_ ||
         (was_paused_ && loop_.now_us() < resumed_at_us_ + notice_us);
}

void endpoint_attempt::end(attempt_outcome outcome) {
  if (!in_flight_) {
    return;
  }
  in_flight_ = false;
  const bool excused_by_pause =
      outcome == attempt_outcome::broken && !invalid_ && was_paused_lately();
  if (outcome == attempt_outcome::broken ||
      outcome == attempt_outcome::unreachable) {
    drop_idle_connections();
  }
  constexpr double us_per_ms = 1000;
  const double ms =
      static_cast<double>(loop_.now_us() - sent_at_us_) / us_per_ms;
  const bool avoided = endpoint_directory::end_attempt(
      *endpoint_, excused_by_pause ? attempt_outcome::cancelled : outcome,
      was_paused_ ? std::nullopt : std::optional(ms), loop_.now_ms());
  if (avoided) {
    log_avoided();
  }
  if (outcome != attempt_outcome::responded) {
    log_failed(outcome, ms);
  }
}

void endpoint_attempt::log_failed(attempt_outcome outcome, double ms) const {
  log_info("attempt_failed",
           {{"request", metadata_.attempt},
            {"endpoint", endpoint_->record.identity.id},
            {"outcome", std::string(text_of(outcome))},
            {"status", std::to_string(head_.status)},
            {"ms", std::to_string(static_cast<long>(ms))},
            {"in_flight", std::to_string(endpoint_->in_flight)}});
}

}  // namespace trayrock
