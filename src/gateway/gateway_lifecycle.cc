#include "trayrock/internal/gateway/gateway_lifecycle.h"

#include <algorithm>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// The balancer may send connections to gateways that aren't ready when too few
// are, as when all are stopping. So connections are accepted until this long
// before the end; a request is rejected if its route needs longer than is left.
constexpr milliseconds accept_margin{700};
constexpr milliseconds drain_check_period{50};
// Time between the end of the drain and the kill. Up to `flush_limit` of it is
// used to send the last responses.
constexpr milliseconds stop_margin{300};
// Open requests get their last responses this long before the end of the drain.
constexpr milliseconds final_response_margin{300};
constexpr milliseconds flush_limit{150};
static_assert(flush_limit < stop_margin);
// Connections to a new process wait at most this long.
constexpr milliseconds max_start_delay{600};

}  // namespace

void gateway_lifecycle::begin(std::function<bool()> ready) {
  ready_ = std::move(ready);
  clients_.pause_accepting();
  start_timer_ = loop_.after(max_start_delay, [this] { begin_serving(); });
}

void gateway_lifecycle::begin_serving() {
  if (serving_) {
    return;
  }
  serving_ = true;
  start_timer_.cancel();
  log_info("serving_begun", {{"ready", ready_() ? "yes" : "no"}});
  clients_.resume_accepting();
}

milliseconds gateway_lifecycle::time_to_shutdown() const {
  if (!draining_) {
    return milliseconds::max();
  }
  const std::uint64_t now = loop_.now_ms();
  const milliseconds left(now < ends_at_ms_ ? ends_at_ms_ - now : 0);
  return std::max(left - final_response_margin, milliseconds(0));
}

milliseconds gateway_lifecycle::retry_after_draining() const {
  drain_view view;
  view.draining_for = milliseconds(loop_.now_ms() - drain_began_ms_);
  view.since_last_connection = clients_.since_last_connection();
  return retry_after_delay(view, retry_after_);
}

void gateway_lifecycle::begin_drain() {
  if (draining_) {
    return;
  }
  const milliseconds left = stop_limit_ - stop_margin;
  draining_ = true;
  drain_began_ms_ = loop_.now_ms();
  ends_at_ms_ = loop_.now_ms() + static_cast<std::uint64_t>(left.count());
  log_info("drain_begun", {{"open", std::to_string(clients_.open_requests())},
                           {"ends_in_ms", std::to_string(left.count())}});
  clients_.close_after_answers();
  const milliseconds accepting = left - accept_margin;
  accept_timer_ = loop_.after(std::max(accepting, milliseconds(0)),
                              [this] { stop_accepting_connections(); });
  observers_timer_ =
      loop_.after(time_to_shutdown(), [this] { observers_.notify(); });
  end_timer_ = loop_.after(left, [this] { await_last_responses(); });
}

void gateway_lifecycle::stop_accepting_connections() {
  clients_.stop_accepting();
  clients_.close_idle();
  drain_check_timer_ =
      loop_.every(drain_check_period, [this] { check_drained(); });
}

void gateway_lifecycle::check_drained() {
  clients_.close_idle();
  if (clients_.open_requests() == 0) {
    loop_.stop();
  }
}

// Stopping the loop would discard responses that are not sent yet. Requests
// that arrived since the first notification get their response here.
void gateway_lifecycle::await_last_responses() {
  observers_.notify();
  end_timer_ = loop_.after(flush_limit, [this] { stop_unfinished(); });
}

void gateway_lifecycle::stop_unfinished() {
  log_warn("drain_unfinished",
           {{"open", std::to_string(clients_.open_requests())}});
  exit_code_ = exit_unfinished;
  loop_.stop();
}

}  // namespace trayrock
