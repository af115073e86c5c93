#include "trayrock/internal/gateway/request_flow.h"

#include <algorithm>
#include <optional>
#include <set>

#include "platform/messages.h"
#include "trayrock/internal/decide/resend_rule.h"
#include "trayrock/internal/gateway/client_answer.h"
#include "trayrock/internal/gateway/endpoint_attempt.h"
#include "trayrock/internal/gateway/error_answer.h"
#include "trayrock/internal/gateway/request_report.h"
#include "trayrock/internal/gateway/request_terms.h"
#include "trayrock/internal/gateway/turn_history.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// How long a turn waits for its reservation and its history. Two round trips
// to the stores take under 20 ms; a voter's replacement about 2 s.
constexpr milliseconds history_limit{1500};
// How long the last piece of an answer waits for the turn to be durable.
constexpr milliseconds finish_limit{2500};
// An answer is given this long before the client stops waiting for it.
constexpr milliseconds answer_margin{25};
// A send with less time than this can not be answered.
constexpr milliseconds least_send_time{30};
// Connections that could not be made do not count as tries; this many end
// the request all the same.
constexpr int most_unreachable = 4;

// One request, from its coming to the end of its answer.
class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(const gateway_parts& parts, http1_request request,
               http1_exchange_ptr out)
      : parts_(parts),
        request_(std::move(request)),
        answer_(std::move(out)),
        history_(parts.loop, parts.records, parts.chains, facts_),
        attempt_(parts.loop, parts.pool, facts_),
        began_us_(parts.loop.now_us()) {}

  void start() {
    facts_ = platform::decode_request(request_);
    std::optional<errc> refused =
        terms_.find(parts_.configuration(), request_, facts_);
    if (!refused) {
      refused = terms_.fit(facts_, parts_.durations, parts_.time_to_end());
    }
    if (refused) {
      refuse(*refused);
      return;
    }
    if (terms_.resumable()) {
      answer_.make_resumable();
    }
    watch_ends();
    if (history_.begin(terms_.route())) {
      reserve();
    } else {
      send_next();
    }
  }

 private:
  // The request ends with its deadline, or when its client goes away.
  void watch_ends() {
    const std::weak_ptr<request_flow> weak = weak_from_this();
    deadline_ = parts_.loop.after(
        std::max(terms_.hold() - answer_margin, milliseconds(0)), [weak] {
          if (const auto held = weak.lock()) {
            held->deadline_passed();
          }
        });
    answer_.out().on_gone([self = shared_from_this()] { self->client_gone(); });
  }

  // ---- History and budget --------------------------------------------------

  void reserve() {
    const milliseconds limit = std::min(history_limit, time_left());
    history_.reserve(limit,
                     [self = shared_from_this()](result<reserved_turn> made) {
                       self->reserve_done(std::move(made));
                     });
  }

  void reserve_done(result<reserved_turn> made) {
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

  // Every event that has begun may have reached the client.
  void settle_begun_events() {
    history_.settle(answer_.events().started_events() *
                    terms_.tokens_per_event());
  }

  // ---- Sending ------------------------------------------------------------

  milliseconds time_left() const {
    return std::max(terms_.hold() - answer_margin - elapsed_ms(),
                    milliseconds(0));
  }

  void send_next() {
    if (time_left() < least_send_time) {
      deadline_passed();
      return;
    }
    if (!attempt_.begin(
            parts_.endpoints.choose(wanted(), parts_.loop.now_ms()))) {
      give_up(tried_.empty() ? errc::no_runner : errc::endpoints_full);
      return;
    }
    tried_.insert(attempt_.endpoint_id());
    attempt_.send(outgoing(), observer());
    arm_late_guard();
  }

  // What the next endpoint should be like.
  endpoint_choice wanted() const {
    endpoint_choice made;
    made.service = terms_.service();
    made.preferred = turn_before();
    made.data_centre = parts_.data_centre;
    made.excluded = &tried_;
    made.once = terms_.once();
    made.connected = [this](const endpoint& each) {
      return parts_.pool.has_idle(each.address, each.id);
    };
    return made;
  }

  // The endpoint that made the turn before; empty if there is none.
  std::string_view turn_before() const {
    return history_.chain() == nullptr ? std::string_view()
                                       : history_.chain()->endpoint;
  }

  http1_request outgoing() const {
    endpoint_directions directions;
    directions.time_left = time_left();
    directions.instance = attempt_.to()->id;
    directions.resume_after = answer_.last_event_id();
    http1_request made = platform::endpoint_request(request_, directions);
    if (history_.chain() != nullptr) {
      made.body = history_.chain()->text + request_.body;
    }
    return made;
  }

  http1_observer observer() {
    const auto self = shared_from_this();
    http1_observer made;
    made.on_head = [self](const http1_answer_head& head) {
      return self->take_head(head);
    };
    made.on_body = [self](std::string_view bytes) { self->take_body(bytes); };
    made.on_end = [self](http1_end how) { self->attempt_ended(how); };
    return made;
  }

  // An endpoint that has not begun its answer within the route's objective is
  // late, unless those of its service all take longer.
  void arm_late_guard() {
    guard_against_silence(
        late().late_after(terms_.route().latency_objective));
  }

  late_rule& late() { return parts_.late_rules[std::string(terms_.service())]; }

  // The endpoint is late when nothing comes from it for this long; zero: it
  // never is.
  void guard_against_silence(milliseconds longest) {
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

  // What may go on elsewhere does not wait for one slow endpoint forever. What
  // may run only once waits on, but its endpoint is a warning to others: four
  // endpoints that hung for 6.6 s took 44 streams with them, each for the two
  // seconds until its client left, while streams gave no such warning.
  void endpoint_late() {
    const bool begun = attempt_.status() != 0;
    if (!begun) {
      late().answer_began(attempt_.age());
    }
    if (may_leave_late_endpoint(resend_state()) && late().leave()) {
      parts_.metrics.add("late_endpoints_left_total");
      leave_endpoint();
      return;
    }
    if (begun) {
      return;
    }
    attempt_.suspect();
    parts_.endpoint_failed(attempt_.endpoint_id());
  }

  // ---- The endpoint's answer ----------------------------------------------

  bool take_head(const http1_answer_head& head) {
    answer_facts answer = platform::decode_answer(head);
    if (!answer.attempt.empty() && answer.attempt != facts_.attempt) {
      parts_.metrics.add("surplus_answers_total");
      log_warn("surplus_answer", {{"request", facts_.attempt},
                                  {"belongs_to", answer.attempt},
                                  {"endpoint", attempt_.endpoint_id()}});
      return false;
    }
    late_guard_.cancel();
    late().answer_began(attempt_.age());
    attempt_.take_head(head, std::move(answer));
    report_.head_us = elapsed_us();
    guard_pauses();
    return true;
  }

  // A stream that may go on elsewhere does so when it pauses for longer than
  // nearly all streams need to begin.
  void guard_pauses() {
    if (terms_.resumable() && may_leave_late_endpoint(resend_state())) {
      const route& from = terms_.route();
      guard_against_silence(late().late_after(
          std::max(from.longest_pause, from.latency_objective)));
    }
  }

  bool passes_through() const {
    return terms_.stream() && attempt_.succeeded() && !attempt_.invalid();
  }

  void take_body(std::string_view bytes) {
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

  void begin_answer() {
    answer_.begin(attempt_.status(), platform::client_headers(attempt_.head()));
  }

  // Ends the work at the endpoint; the request may go on at another one.
  void leave_endpoint() {
    attempt_.cancel();
    attempt_ended(http1_end::broken);
  }

  void attempt_ended(http1_end how) {
    late_guard_.cancel();
    if (ended_) {
      return;
    }
    const attempt_outcome outcome = attempt_.outcome_of(how);
    attempt_.end(outcome);
    switch (outcome) {
      case attempt_outcome::answered:
        ++report_.sends;
        answer_client();
        return;
      case attempt_outcome::unreachable:
        ++report_.unreachable;
        after_unreachable();
        return;
      case attempt_outcome::other_instance:
        parts_.endpoint_superseded(attempt_.endpoint_id());
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
        parts_.endpoint_failed(attempt_.endpoint_id());
        answer_broken();
        return;
      case attempt_outcome::cancelled:
        return;  // ended where the client's going was seen
    }
  }

  bool sends_are_left() const {
    return report_.sends < terms_.route().max_endpoints;
  }

  resend_view resend_state() const {
    resend_view made;
    made.kind = terms_.route().kind;
    made.resumable = terms_.route().resumable;
    made.sends = static_cast<std::uint32_t>(report_.sends);
    made.most_sends = terms_.route().max_endpoints;
    made.answer_begun = answer_.begun();
    made.has_last_event = answer_.last_event_id().has_value();
    return made;
  }

  void after_unreachable() {
    if (report_.unreachable < most_unreachable) {
      send_next();
    } else {
      give_up(errc::no_runner);
    }
  }

  void after_refusal() {
    if (sends_are_left()) {
      send_next();
    } else {
      give_up(errc::endpoints_full);
    }
  }

  void answer_broken() {
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

  void answer_client() {
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

  void stream_complete() {
    if (terms_.route().keeps_history) {
      keep_turn();
      return;
    }
    answer_.finish();
    settle_begun_events();
    end("answered", attempt_.status());
  }

  // The client learns that the answer is complete once the turn can not be
  // lost any more.
  void keep_turn() {
    finished_turn turn;
    turn.input = request_.body;
    turn.output = answer_.events().data();
    turn.tokens = answer_.events().whole_events() * terms_.tokens_per_event();
    turn.endpoint = attempt_.endpoint_id();
    const std::uint64_t began = elapsed_us();
    history_.keep(std::move(turn), finish_limit,
                  [self = shared_from_this(), began](std::error_code failed) {
                    self->report_.keep_us = self->elapsed_us() - began;
                    self->turn_kept(failed);
                  });
  }

  void turn_kept(std::error_code failed) {
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

  // ---- Ends ---------------------------------------------------------------

  void client_gone() {
    if (ended_) {
      return;
    }
    attempt_.cancel();
    attempt_.end(attempt_outcome::cancelled);
    settle_begun_events();
    end("client_gone", attempt_.status());
  }

  void deadline_passed() {
    if (ended_) {
      return;
    }
    const bool sent = attempt_.in_flight() || report_.sends > 0;
    attempt_.cancel();
    attempt_.end(attempt_outcome::broken);
    fail(sent ? errc::runner_timeout : errc::deadline_passed);
  }

  // No endpoint is left to try. That nothing has run is said only if it is so.
  void give_up(errc why) { fail(may_have_run_ ? errc::runner_failed : why); }

  // Ends a request whose reservation may be open. An answer that has begun is
  // cut, so that it does not look complete.
  void fail(errc why) {
    settle_begun_events();
    if (!answer_.begun()) {
      refuse(why);
      return;
    }
    log_info("answer_cut", {{"request", facts_.attempt},
                            {"cause", make_error_code(why).message()}});
    end("answer_cut", attempt_.status());
    answer_.abort();
  }

  void refuse(errc why) {
    end(make_error_code(why).message(), http_status(why));
    const milliseconds come_back =
        why == errc::stopping ? parts_.back_after_stopping() : back_after(why);
    respond_error(answer_.out(), why, come_back);
  }

  milliseconds elapsed_ms() const {
    constexpr std::uint64_t us_per_ms = 1000;
    return milliseconds(static_cast<long>(elapsed_us() / us_per_ms));
  }

  std::uint64_t elapsed_us() const { return parts_.loop.now_us() - began_us_; }

  // Why the endpoint was chosen.
  std::string placed_by() const {
    if (attempt_.to() == nullptr) {
      return "";
    }
    const bool kept = history_.chain() != nullptr &&
                      history_.chain()->endpoint == attempt_.to()->id;
    return kept ? "previous_turn" : "load";
  }

  // Refused requests may have no route, or not even a configuration.
  void report_terms(bool answered) {
    if (terms_.from() != nullptr) {
      report_.configuration = terms_.from()->version;
    }
    if (terms_.found_route() == nullptr) {
      return;
    }
    report_.route = terms_.route().name;
    if (answered) {
      parts_.durations.add(terms_.route().name, elapsed_ms());
    }
  }

  void end(std::string_view outcome, int status) {
    ended_ = true;
    deadline_.cancel();
    late_guard_.cancel();
    report_terms(outcome == "answered");
    report_.endpoint = attempt_.endpoint_id();
    report_.placed_by = placed_by();
    report_.endpoints_age_ms = parts_.endpoints_age_ms();
    report_.epoch = parts_.records.group().epoch();
    report_.total_us = elapsed_us();
    report_.events = answer_.events().whole_events();
    report_.status = status;
    report_.outcome = outcome;
    report_request(parts_.metrics, facts_, report_);
  }

  gateway_parts parts_;
  http1_request request_;
  client_answer answer_;
  request_facts facts_;
  request_terms terms_;

  turn_history history_;
  std::set<std::string> tried_;
  endpoint_attempt attempt_;
  bool may_have_run_ = false;  // a send ended without an answer
  bool ended_ = false;
  timer deadline_;
  timer late_guard_;
  std::uint64_t began_us_;
  request_report report_;  // filled in as the request goes on
};

}  // namespace

void serve_request(const gateway_parts& parts, http1_request request,
                   http1_exchange_ptr out) {
  const auto flow =
      std::make_shared<request_flow>(parts, std::move(request), std::move(out));
  flow->start();
}

}  // namespace trayrock
