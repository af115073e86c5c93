// A request's permit, where the rate of its workspace is limited.
#include "request_flow_state.h"

namespace trayrock::internal {
namespace {

// How long a request waits for the stores to say whether it may run. Two that
// do not answer and the way by a relay take half of it; a group whose processes
// are all killed is back after about a second.
constexpr milliseconds permit_limit{1500};

}  // namespace

bool request_flow::needs_permit() const {
  return terms_.owner() != nullptr && terms_.owner()->limited();
}

permit_use request_flow::use_of_permit() const {
  const bool starts = terms_.route().keeps_history && !facts_.program.empty() &&
                      facts_.previous_turn.empty();
  return starts ? permit_use::starts_program : permit_use::regular;
}

void request_flow::acquire_permit() {
  const workspace& owner = *terms_.owner();
  permit_request wish;
  wish.workspace = owner.name;
  wish.limit = {owner.requests_per_second, owner.burst, terms_.from()->version};
  wish.use = use_of_permit();
  parts_.permits.acquire(
      std::move(wish), std::min(permit_limit, time_left()),
      [self = shared_from_this()](const permit_result& said) {
        self->report_.permit_us = self->elapsed_us();
        std::visit([&](const auto& each) { self->take_permit(each); }, said);
      });
}

void request_flow::take_permit(const permit& given) {
  permit_ = given;
  if (ended_) {
    return_unused_permit();
    return;
  }
  go_on();
}

void request_flow::take_permit(const limit_reached& reached) {
  if (!ended_) {
    back_after_limit_ = retry_after_at_limit(reached.next);
    refuse(errc::workspace_limit);
  }
}

void request_flow::take_permit(const permit_unknown&) {
  if (!ended_) {
    refuse(errc::workspace_limit_unknown);
  }
}

void request_flow::return_unused_permit() {
  if (permit_ && !may_run_) {
    parts_.permits.give_back(*permit_);
  }
  permit_.reset();
}

}  // namespace trayrock::internal
