// Token reservation of a request and, if its route keeps history, its turn.
#include <algorithm>

#include "request_flow_state.h"

namespace trayrock::internal {
namespace {

// Timeout for the reservation and the history: several round trips to the
// stores.
constexpr milliseconds history_timeout{1500};

}  // namespace

void request_flow::reserve() {
  guard_wait_for_stores(history_timeout, errc::history_unavailable);
  const milliseconds limit = std::min(history_timeout, time_left());
  history_.reserve(limit,
                   [self = shared_from_this()](result<reserved_turn> reserved) {
                     self->on_reserved(std::move(reserved));
                   });
}

void request_flow::on_reserved(result<reserved_turn> reserved) {
  report_.reserve_us = elapsed_us();
  stores_guard_.cancel();
  if (ended_) {
    history_.settle(0);
    return;
  }
  const std::optional<errc> error =
      history_.check_reservation(std::move(reserved));
  if (error) {
    reject(*error);
    return;
  }
  if (reserves_before_permit() && needs_permit()) {
    acquire_permit();
  } else {
    send_next();
  }
}

void request_flow::settle_begun_events() {
  history_.settle(response_.events_sent() * routing_.tokens_per_event());
}

void request_flow::store_turn() {
  finished_turn turn;
  turn.input = request_.body;
  turn.output = response_.events().data();
  turn.tokens =
      response_.events().complete_events() * routing_.tokens_per_event();
  turn.endpoint = attempt_.identity().text();
  const std::uint64_t began = elapsed_us();
  storing_turn_ = true;
  history_.store(std::move(turn), time_left(),
                 [self = shared_from_this(), began](std::error_code failed) {
                   self->report_.keep_us = self->elapsed_us() - began;
                   self->on_turn_stored(failed);
                 });
}

void request_flow::on_turn_stored(std::error_code failed) {
  if (ended_) {
    return;
  }
  // No part was sent, as with a deferred response: an error can still be sent.
  if (failed && !response_.has_begun()) {
    reject(errc::outcome_unknown);
    return;
  }
  if (failed) {
    end("not_durable", attempt_.status());
    response_.abort();
    return;
  }
  end("answered", attempt_.status());
  response_.finish();
}

}  // namespace trayrock::internal
