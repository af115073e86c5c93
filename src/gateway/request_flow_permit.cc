// Permit of a request whose workspace has a rate limit.
#include "request_flow_state.h"

namespace trayrock::internal {
namespace {

// Timeout for a permit. Long enough for two unresponsive stores and a relay, or
// for a restart of the whole group.
constexpr milliseconds permit_timeout{1500};

}  // namespace

bool request_flow::needs_permit() const {
  return routing_.owner() != nullptr && routing_.owner()->is_limited();
}

bool request_flow::reserves_before_permit() const {
  return needs_record_ && is_placed_by_prompt() &&
         !routing_.route().keeps_history;
}

std::optional<limit_reached> request_flow::known_limit() const {
  if (!needs_permit()) {
    return std::nullopt;
  }
  return context_.permits.known_limit(routing_.owner()->name,
                                      permit_use::regular);
}

permit_use request_flow::use_of_permit() const {
  const bool first_of_history = routing_.route().keeps_history &&
                                !metadata_.program.empty() &&
                                metadata_.previous_turn.empty();
  const bool starts = first_of_history ||
                      (reserves_before_permit() && history_.is_first_turn());
  return starts ? permit_use::starts_program : permit_use::regular;
}

void request_flow::acquire_permit() {
  const workspace& owner = *routing_.owner();
  permit_request request;
  request.workspace = owner.name;
  request.limit = {owner.requests_per_second, owner.burst,
                   routing_.configuration()->version};
  request.use = use_of_permit();
  guard_wait_for_stores(permit_timeout, errc::workspace_limit_unknown);
  context_.permits.acquire(
      std::move(request), std::min(permit_timeout, time_left()),
      [self = shared_from_this()](const permit_result& reply) {
        self->report_.permit_us = self->elapsed_us();
        self->stores_guard_.cancel();
        std::visit([&](const auto& each) { self->on_permit(each); }, reply);
      });
}

void request_flow::on_permit(const permit& given) {
  permit_ = given;
  if (ended_) {
    return_unused_permit();
    return;
  }
  if (reserves_before_permit()) {
    send_next();
  } else {
    reserve_or_send();
  }
}

void request_flow::on_permit(const limit_reached& reached) {
  if (!ended_) {
    limit_retry_after_ = retry_after_at_limit(reached.next);
    release_reservation_and_reject(errc::workspace_limit);
  }
}

void request_flow::on_permit(const permit_unknown&) {
  if (!ended_) {
    release_reservation_and_reject(errc::workspace_limit_unknown);
  }
}

void request_flow::return_unused_permit() {
  if (permit_ && !may_run_) {
    context_.permits.give_back(*permit_);
  }
  permit_.reset();
}

}  // namespace trayrock::internal
