#include "trayrock/internal/gateway/request_flow.h"

#include <algorithm>
#include <optional>
#include <set>

#include "platform/messages.h"
#include "trayrock/internal/decide/event_stream.h"
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
        out_(std::move(out)),
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
    out_->on_gone([self = shared_from_this()] { self->client_gone(); });
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
    history_.settle(events_.started_events() * terms_.tokens_per_event());
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
  // late. A stream waits on for its first event.
  void arm_late_guard() {
    const milliseconds objective = terms_.route().latency_objective;
    const bool last_send = report_.sends + 1 >= terms_.route().max_endpoints;
    const bool guarded = terms_.once() || (terms_.repeatable() && !last_send);
    if (!guarded || objective.count() == 0) {
      return;
    }
    const std::weak_ptr<request_flow> weak = weak_from_this();
    late_guard_ = parts_.loop.after(objective, [weak] {
      const auto held = weak.lock();
      if (held != nullptr && !held->ended_ && held->attempt_.status() == 0) {
        held->endpoint_late();
      }
    });
  }

  // A repeatable request does not wait for one slow endpoint forever. One that
  // may run only once waits on, but its endpoint is a warning to others.
  void endpoint_late() {
    if (terms_.repeatable()) {
      attempt_.cancel();
      attempt_ended(http1_end::broken);
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
    attempt_.take_head(head, std::move(answer));
    report_.head_us = elapsed_us();
    return true;
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
    events_.add(bytes);
    out_->write(bytes);
  }

  void begin_answer() {
    if (!out_->begun()) {
      out_->begin(attempt_.status(), platform::client_headers(attempt_.head()));
    }
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
    if (terms_.repeatable() && sends_are_left() && !out_->begun()) {
      send_next();
      return;
    }
    settle_begun_events();
    if (out_->begun()) {
      end("answer_cut", attempt_.status());
      out_->abort();
      return;
    }
    refuse(attempt_.invalid() ? errc::answer_invalid : errc::runner_failed);
  }

  void answer_client() {
    if (!passes_through()) {
      history_.settle(0);
      end("answered", attempt_.status());
      out_->respond(attempt_.status(),
                    platform::client_headers(attempt_.head()), attempt_.body());
      return;
    }
    begin_answer();
    if (!terms_.route().keeps_history) {
      settle_begun_events();
      end("answered", attempt_.status());
      out_->finish();
      return;
    }
    keep_turn();
  }

  // The client learns that the answer is complete once the turn can not be
  // lost any more.
  void keep_turn() {
    finished_turn turn;
    turn.input = request_.body;
    turn.output = events_.data();
    turn.tokens = events_.whole_events() * terms_.tokens_per_event();
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
      out_->abort();
      return;
    }
    end("answered", attempt_.status());
    out_->finish();
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
    settle_begun_events();
    if (out_->begun()) {
      end("deadline", attempt_.status());
      out_->abort();
      return;
    }
    refuse(sent ? errc::runner_timeout : errc::deadline_passed);
  }

  // No endpoint is left to try. That nothing has run is said only if it is so.
  void give_up(errc why) {
    history_.settle(0);
    refuse(may_have_run_ ? errc::runner_failed : why);
  }

  void refuse(errc why) {
    end(make_error_code(why).message(), http_status(why));
    const milliseconds come_back =
        why == errc::stopping ? parts_.back_after_stopping() : back_after(why);
    respond_error(*out_, why, come_back);
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
    report_.events = events_.whole_events();
    report_.status = status;
    report_.outcome = outcome;
    report_request(parts_.metrics, facts_, report_);
  }

  gateway_parts parts_;
  http1_request request_;
  http1_exchange_ptr out_;
  request_facts facts_;
  request_terms terms_;

  turn_history history_;
  std::set<std::string> tried_;
  endpoint_attempt attempt_;
  bool may_have_run_ = false;  // a send ended without an answer
  event_stream events_;
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
