// A request's tokens and, if its route keeps history, its turn.
#include <algorithm>

#include "request_flow_state.h"

namespace trayrock::internal {
namespace {

// How long a turn waits for its reservation and its history. Two round trips
// to the stores take under 20 ms; a voter's replacement about 2 s.
constexpr milliseconds history_limit{1500};
// How long the last piece of an answer waits for the turn to be durable.
constexpr milliseconds finish_limit{2500};

}  // namespace

void request_flow::reserve() {
  const milliseconds limit = std::min(history_limit, time_left());
  history_.reserve(limit,
                   [self = shared_from_this()](result<reserved_turn> made) {
                     self->reserve_done(std::move(made));
                   });
}

void request_flow::reserve_done(result<reserved_turn> made) {
  report_.reserve_us = elapsed_us();
  if (ended_) {
    history_.settle(0);
    return;
  }
  const std::optional<errc> refused = history_.judge(std::move(made));
  if (refused) {
    refuse(*refused);
    return;
  }
  send_next();
}

void request_flow::settle_begun_events() {
  history_.settle(answer_.events().started_events() *
                  terms_.tokens_per_event());
}

void request_flow::keep_turn() {
  finished_turn turn;
  turn.input = request_.body;
  turn.output = answer_.events().data();
  turn.tokens = answer_.events().complete_events() * terms_.tokens_per_event();
  turn.endpoint = attempt_.identity().text();
  const std::uint64_t began = elapsed_us();
  history_.keep(std::move(turn), finish_limit,
                [self = shared_from_this(), began](std::error_code failed) {
                  self->report_.keep_us = self->elapsed_us() - began;
                  self->turn_kept(failed);
                });
}

void request_flow::turn_kept(std::error_code failed) {
  if (ended_) {
    return;
  }
  if (failed) {
    end("not_durable", attempt_.status());
    answer_.abort();
    return;
  }
  end("answered", attempt_.status());
  answer_.finish();
}

}  // namespace trayrock::internal
