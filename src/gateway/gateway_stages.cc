#include "trayrock/internal/gateway/gateway_stages.h"

#include <algorithm>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// After SIGTERM the balancer needs two misses of its question, one a second. It
// may also go on sending connections, when too few gateways of a data centre
// are ready: all of them may be stopping. So they are taken nearly to the end;
// each request is refused if those of its route take longer than what is left.
// The quickest routes take 0.3 s.
constexpr milliseconds last_connections{700};
constexpr milliseconds drain_check_period{50};
// The process ends this long before it would be killed.
constexpr milliseconds stop_margin{300};
// Final answers to what cannot be ended go out this long before the process
// ends: a busy processor runs timers late by some 100 ms.
constexpr milliseconds final_answers{300};
// A process that has just started lets connections wait until it can serve
// them, which takes some tens of ms, and no longer than this.
constexpr milliseconds longest_start{600};

}  // namespace

void gateway_stages::begin(std::function<bool()> ready) {
  ready_ = std::move(ready);
  clients_.pause_accepting();
  starting_ = loop_.after(longest_start, [this] { begin_serving(); });
}

void gateway_stages::begin_serving() {
  if (serving_) {
    return;
  }
  serving_ = true;
  starting_.cancel();
  log_info("serving_begun", {{"ready", ready_() ? "yes" : "no"}});
  clients_.resume_accepting();
}

milliseconds gateway_stages::time_to_end() const {
  if (!draining_) {
    return milliseconds::max();
  }
  const std::uint64_t now = loop_.now_ms();
  const milliseconds left(now < ends_at_ms_ ? ends_at_ms_ - now : 0);
  return std::max(left - final_answers, milliseconds(0));
}

milliseconds gateway_stages::back_after_stopping() const {
  drain_view view;
  view.draining_for = milliseconds(loop_.now_ms() - drain_began_ms_);
  view.since_last_connection = clients_.since_last_connection();
  return retry_after_delay(view, return_times_);
}

// The balancer sees "not ready"; what it sends all the same is served for as
// long as there is time to end it.
void gateway_stages::begin_drain() {
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
  const milliseconds taking = left - last_connections;
  taking_ =
      loop_.after(std::max(taking, milliseconds(0)), [this] { stop_taking(); });
  last_moment_ = loop_.after(left, [this] { end_unfinished(); });
}

void gateway_stages::stop_taking() {
  clients_.stop_accepting();
  clients_.close_idle();
  checking_ = loop_.every(drain_check_period, [this] { check_drained(); });
}

void gateway_stages::check_drained() {
  clients_.close_idle();
  if (clients_.open_requests() == 0) {
    loop_.stop();
  }
}

void gateway_stages::end_unfinished() {
  log_warn("drain_unfinished",
           {{"open", std::to_string(clients_.open_requests())}});
  exit_code_ = exit_unfinished;
  loop_.stop();
}

}  // namespace trayrock
