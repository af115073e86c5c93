// A request's way to endpoints, and what comes of their answers.
#include <xxhash.h>

#include <algorithm>

#include "platform/messages.h"
#include "request_flow_state.h"
#include "trayrock/internal/decide/urgency.h"
#include "trayrock/internal/log.h"

namespace trayrock::internal {
namespace {

// A send with less time than this can not be answered.
constexpr milliseconds least_send_time{30};
// Connections that could not be made do not count as tries; this many end
// the request all the same.
constexpr int most_unreachable = 4;

}  // namespace

void request_flow::send_next() {
  if (time_left() < least_send_time) {
    deadline_passed();
    return;
  }
  if (const auto refused =
          terms_.check_key(parts_.configuration().get(), facts_);
      refused && !answer_.begun()) {
    give_up(*refused);
    return;
  }
  if (!attempt_.begin(
          parts_.endpoints.choose(wanted(), parts_.loop.now_ms()))) {
    give_up(why_none_is_chosen());
    return;
  }
  tried_.insert(attempt_.identity());
  may_run_ = true;
  attempt_.send(outgoing(), observer());
  arm_late_guard();
}

errc request_flow::why_none_is_chosen() const {
  if (!tried_.empty()) {
    return errc::endpoints_full;
  }
  const bool cold = parts_.endpoints.is_limited_by_cold_start(
      terms_.service(), parts_.loop.now_ms());
  return cold ? errc::endpoints_cold : errc::no_runner;
}

endpoint_criteria request_flow::wanted() const {
  endpoint_criteria made;
  made.service = terms_.service();
  made.preferred = turn_before();
  made.data_centre = parts_.data_centre;
  made.excluded = &tried_;
  made.at_most_once = terms_.once();
  made.draw = XXH3_64bits_withSeed(facts_.attempt.data(), facts_.attempt.size(),
                                   tried_.size());
  made.connected = [this](const endpoint& each) {
    return parts_.pool.has_idle(each.address, each.identity.text());
  };
  return made;
}

// Only model engines go by it.
std::optional<int> request_flow::urgency() const {
  if (!terms_.at_engine()) {
    return std::nullopt;
  }
  turn_view turn;
  if (facts_.program_time_left) {
    turn.program_time_left = *facts_.program_time_left - elapsed_ms();
  }
  turn.program_in_progress = program_goes_on_;
  turn.rank = terms_.route().rank;
  return urgency_of(turn);
}

endpoint_identity request_flow::turn_before() const {
  return history_.chain() == nullptr
             ? endpoint_identity()
             : endpoint_identity::parse(history_.chain()->endpoint);
}

http1_request request_flow::outgoing() const {
  forwarding_options directions;
  directions.time_left = time_left();
  directions.instance = attempt_.to()->identity.id;
  directions.resume_after = answer_.last_event_id();
  directions.workspace = terms_.workspace_name();
  directions.urgency = urgency();
  directions.strips_key = terms_.from()->workspaces.has_value();
  http1_request made = platform::endpoint_request(request_, directions);
  if (history_.chain() != nullptr) {
    made.body = history_.chain()->text + request_.body;
  }
  return made;
}

http1_observer request_flow::observer() {
  const auto self = shared_from_this();
  http1_observer made;
  made.on_head = [self](const http1_answer_head& head) {
    return self->take_head(head);
  };
  made.on_body = [self](std::string_view bytes) { self->take_body(bytes); };
  made.on_end = [self](http1_end how) { self->attempt_ended(how); };
  return made;
}

void request_flow::arm_late_guard() {
  guard_against_silence(
      late().first_byte_timeout(terms_.route().latency_objective));
}

slow_endpoint_detector& request_flow::late() {
  return parts_.late_rules
      .try_emplace(std::string(terms_.service()), parts_.policy.late)
      .first->second;
}

void request_flow::guard_against_silence(milliseconds longest) {
  if (longest.count() == 0) {
    return;
  }
  const std::weak_ptr<request_flow> weak = weak_from_this();
  late_guard_ = parts_.loop.after(longest, [weak] {
    const auto held = weak.lock();
    if (held != nullptr && !held->ended_) {
      held->endpoint_late();
    }
  });
}

void request_flow::endpoint_late() {
  const bool begun = attempt_.status() != 0;
  if (!begun) {
    late().record_first_byte(attempt_.age());
  }
  if (may_abandon_slow_endpoint(resend_state()) && late().acquire_resend()) {
    parts_.metrics.add("late_endpoints_left_total");
    leave_endpoint();
    return;
  }
  if (begun || (terms_.stream() && !parts_.policy.warns_of_streams)) {
    return;
  }
  attempt_.suspect();
  parts_.endpoint_failed(attempt_.identity());
}

bool request_flow::take_head(const http1_answer_head& head) {
  response_metadata answer = platform::decode_answer(head);
  if (!answer.attempt.empty() && answer.attempt != facts_.attempt) {
    parts_.metrics.add("surplus_answers_total");
    log_warn("surplus_answer", {{"request", facts_.attempt},
                                {"belongs_to", answer.attempt},
                                {"endpoint", attempt_.endpoint_id()}});
    return false;
  }
  late_guard_.cancel();
  late().record_first_byte(attempt_.age());
  attempt_.take_head(head, std::move(answer));
  report_.head_us = elapsed_us();
  guard_pauses();
  return true;
}

bool request_flow::resumable() const {
  return terms_.resumable() && parts_.policy.resumes_streams;
}

void request_flow::guard_pauses() {
  if (resumable() && may_abandon_slow_endpoint(resend_state())) {
    const route& from = terms_.route();
    guard_against_silence(late().first_byte_timeout(
        std::max(from.max_event_gap, from.latency_objective)));
  }
}

bool request_flow::passes_through() const {
  return terms_.stream() && attempt_.succeeded() && !attempt_.invalid();
}

void request_flow::take_body(std::string_view bytes) {
  if (ended_ || attempt_.invalid() || attempt_.not_executed()) {
    return;
  }
  if (!passes_through()) {
    attempt_.hold_back(bytes);
    return;
  }
  begin_answer();
  if (!answer_.pass(bytes)) {
    log_warn("stream_repeated", {{"request", facts_.attempt},
                                 {"endpoint", attempt_.endpoint_id()}});
    leave_endpoint();
    return;
  }
  guard_pauses();
}

void request_flow::begin_answer() {
  answer_.begin(attempt_.status(), platform::client_headers(attempt_.head()));
}

void request_flow::leave_endpoint() {
  attempt_.cancel();
  attempt_ended(http1_end::broken);
}

void request_flow::attempt_ended(http1_end how) {
  late_guard_.cancel();
  if (ended_) {
    return;
  }
  const attempt_outcome outcome = attempt_.outcome_of(how);
  attempt_.end(outcome);
  switch (outcome) {
    case attempt_outcome::responded:
      ++report_.sends;
      answer_client();
      return;
    case attempt_outcome::unreachable:
      ++report_.unreachable;
      after_unreachable();
      return;
    case attempt_outcome::other_instance:
      parts_.endpoint_superseded(attempt_.identity());
      ++report_.sends;
      after_refusal();
      return;
    case attempt_outcome::refused:
      ++report_.sends;
      after_refusal();
      return;
    case attempt_outcome::broken:
      ++report_.sends;
      may_have_run_ = true;
      parts_.endpoint_failed(attempt_.identity());
      answer_broken();
      return;
    case attempt_outcome::cancelled:
      return;  // ended where the client's going was seen
  }
}

bool request_flow::sends_are_left() const {
  return report_.sends < terms_.route().max_endpoints;
}

resend_view request_flow::resend_state() const {
  resend_view made;
  made.kind = terms_.route().kind;
  made.resumable = resumable();
  made.sends = static_cast<std::uint32_t>(report_.sends);
  made.max_sends = terms_.route().max_endpoints;
  made.response_started = answer_.begun();
  made.has_last_event = answer_.last_event_id().has_value();
  return made;
}

void request_flow::after_unreachable() {
  may_run_ = may_have_run_;
  if (report_.unreachable < most_unreachable) {
    send_next();
  } else {
    give_up(errc::no_runner);
  }
}

void request_flow::after_refusal() {
  may_run_ = may_have_run_;
  if (sends_are_left()) {
    send_next();
  } else {
    give_up(errc::endpoints_full);
  }
}

void request_flow::answer_broken() {
  switch (resend_after_failure(resend_state())) {
    case resend::resume:
      parts_.metrics.add("streams_resumed_total");
      answer_.begin_run();
      send_next();
      return;
    case resend::again:
      send_next();
      return;
    case resend::never:
      break;
  }
  fail(attempt_.invalid() ? errc::answer_invalid : errc::runner_failed);
}

void request_flow::answer_client() {
  if (passes_through()) {
    begin_answer();
    stream_complete();
    return;
  }
  if (answer_.begun()) {  // the run that was to go on failed
    fail(errc::runner_failed);
    return;
  }
  history_.settle(0);
  end("answered", attempt_.status());
  answer_.out().respond(attempt_.status(),
                        platform::client_headers(attempt_.head()),
                        attempt_.body());
}

void request_flow::stream_complete() {
  if (terms_.route().keeps_history) {
    keep_turn();
    return;
  }
  end("answered", attempt_.status());
  answer_.finish();
  settle_begun_events();
}

}  // namespace trayrock::internal
