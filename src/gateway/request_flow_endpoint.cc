// Sends a request to endpoints and handles their responses.
#include <xxhash.h>

#include <algorithm>

#include "platform/messages.h"
#include "request_flow_state.h"
#include "trayrock/internal/decide/stream_end.h"
#include "trayrock/internal/decide/urgency.h"
#include "trayrock/internal/gateway/request_fingerprint.h"
#include "trayrock/internal/log.h"

namespace trayrock::internal {
namespace {

// With less time left than this, no endpoint can respond.
constexpr milliseconds min_send_time{30};
// Failed connections don't count as sends, but this many end the request.
constexpr int max_unreachable = 4;
// Bytes of a stream that are held for its turn, or until an event ends.
constexpr std::size_t max_held_bytes = 4U << 20;
// How long a suspected request waits for its other tries; longer than the pause
// before its last one.
constexpr std::uint64_t max_wait_for_tries_us = 750000;
// Drawn between these, so that copies at several gateways don't meet again.
constexpr long min_tries_poll_ms = 20;
constexpr long max_tries_poll_ms = 60;

}  // namespace

void request_flow::send_next() {
  if (time_left() < min_send_time) {
    on_deadline();
    return;
  }
  if (const auto error =
          routing_.check_key(context_.configuration().get(), metadata_);
      error && !response_.has_begun()) {
    give_up(*error);
    return;
  }
  context_.poison.admit(guarded(),
                        [self = shared_from_this()](try_verdict verdict) {
                          if (!self->ended_) {
                            self->on_verdict(verdict);
                          }
                        });
}

guarded_request request_flow::guarded() const {
  if (!metadata_.program.empty()) {
    return {fingerprint_, request_scope::program};
  }
  return {fingerprint_, has_waited_for_tries_ ? request_scope::shared_after_wait
                                              : request_scope::shared};
}

void request_flow::on_verdict(try_verdict verdict) {
  switch (verdict) {
    case try_verdict::send:
      send_to_chosen();
      return;
    case try_verdict::wait:
      wait_for_other_tries();
      return;
    case try_verdict::refuse:
      refuse_as_poison();
      return;
  }
}

void request_flow::wait_for_other_tries() {
  const std::uint64_t now_us = context_.loop.now_us();
  if (waits_for_tries_since_us_ == 0) {
    context_.metrics.add("requests_waiting_for_tries_total");
    waits_for_tries_since_us_ = now_us;
  }
  const bool too_long =
      now_us - waits_for_tries_since_us_ > max_wait_for_tries_us;
  if (too_long && (has_waited_for_tries_ || !metadata_.program.empty())) {
    give_up(errc::poison_suspected);
    return;
  }
  if (too_long) {
    has_waited_for_tries_ = true;
    send_next();
    return;
  }
  const auto range =
      static_cast<std::uint64_t>(max_tries_poll_ms - min_tries_poll_ms + 1);
  const std::uint64_t draw = XXH3_64bits_withSeed(
      metadata_.attempt.data(), metadata_.attempt.size(), now_us);
  const milliseconds delay(min_tries_poll_ms + static_cast<long>(draw % range));
  const std::weak_ptr<request_flow> weak = weak_from_this();
  tries_timer_ = context_.loop.after(delay, [weak] {
    const auto flow = weak.lock();
    if (flow != nullptr && !flow->ended_) {
      flow->send_next();
    }
  });
}

void request_flow::refuse_as_poison() {
  // Other requests may be alike, of many callers, and are let through again.
  if (!metadata_.program.empty()) {
    context_.poison.renew(fingerprint_);
  }
  context_.metrics.add("poison_requests_refused_total",
                       {{"route", routing_.route().name}});
  log_warn("poison_request",
           {{"request", metadata_.attempt},
            {"content", fingerprint_text(fingerprint_)},
            {"route", routing_.route().name},
            {"ended", std::to_string(context_.poison.ended(fingerprint_))}});
  fail(errc::poison_request);
}

void request_flow::send_to_chosen() {
  const endpoint_choice chosen =
      context_.endpoints.choose(choice_criteria(), context_.loop.now_ms());
  if (!attempt_.begin(chosen.endpoint)) {
    give_up(no_endpoint_error());
    return;
  }
  report_.placed_by = text_of(chosen.reason);
  count_placement();
  record_placement();
  handed_over_ = false;
  context_.poison.sent(guarded(), attempt_.identity(),
                       [self = shared_from_this()](bool admitted) {
                         if (self->ended_) {
                           return;
                         }
                         if (admitted) {
                           self->send_registered();
                         } else {
                           self->withdraw_attempt();
                           self->wait_for_other_tries();
                         }
                       });
}

// The key may have been taken away meanwhile.
void request_flow::send_registered() {
  const auto error =
      routing_.check_key(context_.configuration().get(), metadata_);
  if (error && !response_.has_begun()) {
    withdraw_attempt();
    give_up(*error);
    return;
  }
  send_begun();
}

void request_flow::withdraw_attempt() {
  context_.poison.withdrawn(guarded(), attempt_.identity());
  attempt_.end(attempt_outcome::cancelled);
  discard_placement();
}

void request_flow::send_begun() {
  tried_.insert(attempt_.identity());
  waits_for_tries_since_us_ = 0;
  handed_over_ = true;
  may_run_ = true;
  abandoned_ = false;
  const http1_request forwarded = forwarded_request();
  sending_bytes_ = forwarded.body.size();
  update_held_bytes();
  attempt_.send(forwarded, observer());
  guard_response_start();
}

errc request_flow::no_endpoint_error() const {
  if (!tried_.empty()) {
    return errc::endpoints_full;
  }
  const bool cold = context_.endpoints.is_limited_by_cold_start(
      routing_.service(), context_.loop.now_ms());
  return cold ? errc::endpoints_cold : errc::no_runner;
}

endpoint_criteria request_flow::choice_criteria() const {
  endpoint_criteria made;
  made.service = routing_.service();
  made.preferred = previous_endpoint();
  made.data_centre = context_.data_centre;
  made.excluded = &tried_;
  made.at_most_once = routing_.is_at_most_once();
  made.draw = XXH3_64bits_withSeed(metadata_.attempt.data(),
                                   metadata_.attempt.size(), tried_.size());
  made.connected = [this](const endpoint& each) {
    return context_.pool.has_idle(each.address, each.identity.text());
  };
  made.turn = turn_to_place();
  return made;
}

void request_flow::keep_previous_placement() {
  history_.set_endpoint(history_.last_endpoint());
}

bool request_flow::is_placed_by_prompt() const {
  return context_.policy.places_by_prompt && routing_.places_by_prompt() &&
         !metadata_.program.empty();
}

std::optional<turn_criteria> request_flow::turn_to_place() const {
  if (!is_placed_by_prompt()) {
    return std::nullopt;
  }
  const std::uint64_t now = context_.loop.now_ms();
  turn_criteria made;
  made.held_by = engine_with_prompt();
  made.is_first = !made.held_by && history_.is_first_turn();
  made.program_hash = hash_of_program(line());
  made.active_lines = [this, now](const endpoint_identity& at) {
    return context_.placements.active_lines(at, now);
  };
  return made;
}

std::optional<endpoint_identity> request_flow::engine_with_prompt() const {
  const std::uint64_t now = context_.loop.now_ms();
  std::optional<endpoint_identity> told;
  if (!history_.last_endpoint().empty()) {
    told = endpoint_identity::parse(history_.last_endpoint());
  }
  if (told && history_.is_last_of_line()) {
    return told;
  }
  auto own = context_.placements.find_line(line(), now);
  if (own) {
    return own;
  }
  return told ? told : context_.placements.find_program(line(), now);
}

void request_flow::count_placement() {
  if (is_placed_by_prompt()) {
    context_.metrics.add("turn_placements_total",
                         {{"reason", report_.placed_by}});
  }
}

void request_flow::record_placement() {
  if (is_placed_by_prompt()) {
    context_.placements.record(line(), attempt_.identity(),
                               context_.loop.now_ms());
    history_.set_endpoint(attempt_.identity().text());
  }
}

void request_flow::discard_placement() {
  if (is_placed_by_prompt()) {
    keep_previous_placement();
    context_.placements.forget(line(), attempt_.identity());
  }
}

turn_line request_flow::line() const {
  return {metadata_.program, metadata_.session, routing_.workspace_name()};
}

// Only model engines use it.
std::optional<int> request_flow::urgency() const {
  if (!routing_.targets_engine()) {
    return std::nullopt;
  }
  turn_view turn;
  if (metadata_.program_time_left) {
    turn.program_time_left = *metadata_.program_time_left - elapsed_ms();
  }
  turn.program_in_progress = continues_program_;
  turn.rank = routing_.route().rank;
  return urgency_of(turn);
}

endpoint_identity request_flow::previous_endpoint() const {
  return history_.chain() == nullptr
             ? endpoint_identity()
             : endpoint_identity::parse(history_.chain()->endpoint);
}

http1_request request_flow::forwarded_request() const {
  forwarding_options options;
  options.time_left = time_left();
  options.instance = attempt_.target()->identity.id;
  options.resume_after = response_.last_event_id();
  options.workspace = routing_.workspace_name();
  options.urgency = urgency();
  options.strips_key = routing_.configuration()->workspaces.has_value();
  http1_request made = platform::endpoint_request(request_, options);
  if (history_.chain() != nullptr) {
    made.body = history_.chain()->text + request_.body;
  }
  return made;
}

http1_observer request_flow::observer() {
  const auto self = shared_from_this();
  http1_observer made;
  made.on_head = [self](const http1_answer_head& head) {
    return self->on_head(head);
  };
  made.on_body = [self](std::string_view bytes) { self->on_body(bytes); };
  made.on_end = [self](http1_end how) { self->on_attempt_end(how); };
  if (context_.buffers.enabled()) {
    made.on_sent = [self] {
      self->sending_bytes_ = 0;
      self->update_held_bytes();
    };
  }
  return made;
}

void request_flow::guard_response_start() {
  arm_silence_timer(
      slow_detector().first_byte_timeout(routing_.route().latency_objective));
}

slow_endpoint_detector& request_flow::slow_detector() {
  return context_.slow_detectors
      .try_emplace(std::string(routing_.service()),
                   context_.policy.slow_endpoints)
      .first->second;
}

void request_flow::arm_silence_timer(milliseconds limit) {
  if (limit.count() == 0) {
    return;
  }
  const std::weak_ptr<request_flow> weak = weak_from_this();
  silence_timer_ = context_.loop.after_attended(limit, [weak] {
    const auto flow = weak.lock();
    if (flow != nullptr && !flow->ended_) {
      flow->on_endpoint_slow();
    }
  });
}

void request_flow::on_endpoint_slow() {
  const bool begun = attempt_.status() != 0;
  if (!begun) {
    slow_detector().record_first_byte(attempt_.age());
  }
  if (may_abandon_slow_endpoint(resend_state()) &&
      slow_detector().acquire_resend()) {
    context_.metrics.add("late_endpoints_left_total");
    abandon_endpoint();
    return;
  }
  if (begun ||
      (routing_.is_stream() && !context_.policy.reports_slow_streams)) {
    return;
  }
  attempt_.mark_slow();
  context_.endpoint_failed(attempt_.identity());
}

bool request_flow::on_head(const http1_answer_head& head) {
  response_metadata response = platform::decode_answer(head);
  if (!response.attempt.empty() && response.attempt != metadata_.attempt) {
    context_.metrics.add("surplus_answers_total");
    log_warn("surplus_answer", {{"request", metadata_.attempt},
                                {"belongs_to", response.attempt},
                                {"endpoint", attempt_.endpoint_id()}});
    return false;
  }
  silence_timer_.cancel();
  slow_detector().record_first_byte(attempt_.age());
  attempt_.accept_head(head, std::move(response));
  report_.head_us = elapsed_us();
  if (reading_paused_) {
    pause_reading();
  }
  guard_event_gaps();
  return true;
}

bool request_flow::is_resumable() const {
  return routing_.is_resumable() && context_.policy.resumes_streams;
}

// An endpoint that is slow to begin its response is noticed while reading is
// paused, too; the silence of one whose response is not read says nothing.
void request_flow::pause_reading() {
  reading_paused_ = true;
  if (attempt_.status() != 0) {
    attempt_.pause_reading();
    silence_timer_.cancel();
  }
}

void request_flow::resume_reading() {
  reading_paused_ = false;
  attempt_.resume_reading();
  if (attempt_.in_flight() && attempt_.status() != 0) {
    guard_event_gaps();
  }
}

void request_flow::update_held_bytes() {
  if (context_.buffers.enabled() && !ended_) {
    context_.buffers.set_request_bytes(response_.exchange().connection_id(),
                                       request_.body.size() + sending_bytes_ +
                                           attempt_.body().size() +
                                           response_.held_bytes());
  }
}

void request_flow::guard_event_gaps() {
  if (!reading_paused_ && is_resumable() &&
      may_abandon_slow_endpoint(resend_state())) {
    const route& from = routing_.route();
    arm_silence_timer(slow_detector().first_byte_timeout(
        std::max(from.max_event_gap, from.latency_objective)));
  }
}

bool request_flow::passes_through() const {
  return routing_.is_stream() && attempt_.succeeded() && !attempt_.is_invalid();
}

void request_flow::on_body(std::string_view bytes) {
  if (ended_) {
    return;
  }
  if (attempt_.is_invalid() || attempt_.not_executed()) {
    attempt_.discard(bytes);
    leave_oversized_response(attempt_.is_oversized());
    return;
  }
  if (!passes_through()) {
    attempt_.buffer(bytes);
    update_held_bytes();
    leave_oversized_response(attempt_.is_oversized());
    return;
  }
  begin_response();
  const bool continues = response_.pass(bytes);
  update_held_bytes();
  if (leave_oversized_response(response_.held_bytes() > max_held_bytes)) {
    return;
  }
  if (!continues) {
    log_warn("stream_repeated", {{"request", metadata_.attempt},
                                 {"endpoint", attempt_.endpoint_id()}});
    abandon_endpoint();
    return;
  }
  guard_event_gaps();
}

bool request_flow::leave_oversized_response(bool oversized) {
  if (oversized) {
    context_.metrics.add("oversized_responses_total");
    log_warn("response_oversized",
             {{"request", metadata_.attempt},
              {"endpoint", attempt_.endpoint_id()},
              {"framing", std::string(attempt_.framing())}});
    abandon_endpoint();
  }
  return oversized;
}

void request_flow::begin_response() {
  response_.begin(attempt_.status(), platform::client_headers(attempt_.head()));
}

void request_flow::leave_endpoint() {
  if (attempt_.in_flight() && handed_over_) {
    context_.poison.left(guarded(), attempt_.identity());
  } else if (attempt_.in_flight()) {
    context_.poison.survived(guarded(), attempt_.identity());
  }
  attempt_.cancel();
}

void request_flow::abandon_endpoint() {
  abandoned_ = true;
  attempt_.cancel();
  on_attempt_end(http1_end::broken);
}

bool request_flow::is_interrupted_stream() const {
  if (!passes_through() || !attempt_.is_event_stream()) {
    return false;
  }
  stream_end seen;
  seen.inside_event = response_.ends_inside_event();
  seen.with_connection = attempt_.head().framing == body_framing::connection;
  seen.events = response_.events_of_run();
  return !is_complete(seen);
}

attempt_outcome request_flow::outcome_of(http1_end how) {
  const attempt_outcome made = attempt_.outcome_of(how);
  if (made != attempt_outcome::responded || !is_interrupted_stream()) {
    return made;
  }
  context_.metrics.add("streams_interrupted_total",
                       {{"framing", std::string(attempt_.framing())}});
  log_warn("stream_interrupted",
           {{"request", metadata_.attempt},
            {"endpoint", attempt_.endpoint_id()},
            {"framing", std::string(attempt_.framing())},
            {"events", std::to_string(response_.events_of_run())}});
  return attempt_outcome::broken;
}

void request_flow::on_attempt_end(http1_end how) {
  silence_timer_.cancel();
  if (ended_) {
    return;
  }
  const attempt_outcome outcome = outcome_of(how);
  attempt_.end(outcome);
  sending_bytes_ = 0;
  switch (outcome) {
    case attempt_outcome::responded:
      ++report_.sends;
      record_alive();
      context_.poison.responded(guarded(), attempt_.identity(),
                                attempt_.succeeded());
      respond_to_client();
      return;
    case attempt_outcome::unreachable:
      ++report_.unreachable;
      context_.poison.survived(guarded(), attempt_.identity());
      context_.poison.check_endpoint(attempt_.identity());
      on_unreachable();
      return;
    case attempt_outcome::other_instance:
      context_.endpoint_superseded(attempt_.identity());
      ++report_.sends;
      context_.poison.survived(guarded(), attempt_.identity());
      context_.poison.instance_ended(attempt_.identity());
      on_refused();
      return;
    case attempt_outcome::refused:
      ++report_.sends;
      record_alive();
      context_.poison.survived(guarded(), attempt_.identity());
      on_refused();
      return;
    case attempt_outcome::broken:
      ++report_.sends;
      may_have_run_ = true;
      if (!attempt_.was_paused()) {
        context_.endpoint_failed(attempt_.identity());
      }
      on_attempt_broken(how);
      return;
    case attempt_outcome::cancelled:
      return;  // handled by on_client_disconnected()
  }
}

void request_flow::record_alive() {
  const auto age_ms = static_cast<std::uint64_t>(attempt_.age().count());
  context_.poison.record_alive(attempt_.identity(),
                               context_.loop.now_ms() - age_ms);
}

// An invalid response that is complete comes from a process that runs.
void request_flow::on_attempt_broken(http1_end how) {
  const endpoint_identity at = attempt_.identity();
  if (abandoned_) {
    context_.poison.left(guarded(), at);
    on_response_broken();
    return;
  }
  if (how == http1_end::complete && attempt_.is_invalid()) {
    context_.poison.survived(guarded(), at);
    on_response_broken();
    return;
  }
  context_.poison.broken(guarded(), at, [self = shared_from_this()] {
    if (!self->ended_) {
      self->on_response_broken();
    }
  });
}

bool request_flow::has_sends_left() const {
  return report_.sends < routing_.route().max_endpoints;
}

resend_view request_flow::resend_state() const {
  resend_view made;
  made.kind = routing_.route().kind;
  made.resumable = is_resumable();
  made.sends = static_cast<std::uint32_t>(report_.sends);
  made.max_sends = routing_.route().max_endpoints;
  made.response_started = response_.has_content();
  made.has_last_event = response_.last_event_id().has_value();
  return made;
}

void request_flow::on_unreachable() {
  may_run_ = may_have_run_;
  keep_previous_placement();
  if (report_.unreachable < max_unreachable) {
    send_next();
  } else {
    give_up(errc::no_runner);
  }
}

void request_flow::on_refused() {
  may_run_ = may_have_run_;
  keep_previous_placement();
  if (has_sends_left()) {
    send_next();
  } else {
    give_up(errc::endpoints_full);
  }
}

void request_flow::on_response_broken() {
  discard_placement();
  switch (resend_after_failure(resend_state())) {
    case resend::resume:
      context_.metrics.add("streams_resumed_total");
      response_.begin_run();
      send_next();
      return;
    case resend::again:
      send_next();
      return;
    case resend::never:
      break;
  }
  fail(attempt_.is_invalid() ? errc::answer_invalid : errc::runner_failed);
}

void request_flow::respond_to_client() {
  if (passes_through()) {
    begin_response();
    on_stream_complete();
    return;
  }
  if (response_.has_content()) {  // the resumed stream failed
    fail(errc::runner_failed);
    return;
  }
  history_.settle(0);
  end("answered", attempt_.status());
  response_.exchange().respond(attempt_.status(),
                               platform::client_headers(attempt_.head()),
                               attempt_.body());
}

void request_flow::on_stream_complete() {
  if (is_placed_by_prompt() && report_.sends == 1 && !attempt_.was_paused()) {
    attempt_.record_pace(response_.events().complete_events());
  }
  if (routing_.route().keeps_history) {
    store_turn();
    return;
  }
  end("answered", attempt_.status());
  response_.finish();
  settle_begun_events();
}

}  // namespace trayrock::internal
