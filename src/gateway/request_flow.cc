#include "trayrock/internal/gateway/request_flow.h"

#include <algorithm>
#include <optional>
#include <set>

#include "platform/messages.h"
#include "trayrock/internal/decide/event_stream.h"
#include "trayrock/internal/gateway/endpoint_attempt.h"
#include "trayrock/internal/gateway/error_answer.h"
#include "trayrock/internal/gateway/request_report.h"
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
// Of a route that names no timeout.
constexpr milliseconds default_timeout{10000};

// When a client should come back, by why the request was given up.
constexpr milliseconds back_after_full{150};
constexpr milliseconds back_after_history{250};
constexpr milliseconds back_after_reserved{200};
constexpr milliseconds back_after_unconfigured{500};
constexpr milliseconds back_after_stopping{50};

// When a client should come back after its turn was refused; zero: it is not
// told.
milliseconds back_after(errc why) {
  switch (why) {
    case errc::history_unavailable:
      return back_after_history;
    case errc::tokens_reserved:
      return back_after_reserved;
    default:
      return milliseconds(0);
  }
}

class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(const gateway_parts& parts, http1_request request,
               http1_exchange_ptr out)
      : parts_(parts),
        request_(std::move(request)),
        out_(std::move(out)),
        history_(parts.loop, parts.records, parts.chains, facts_),
        attempt_(parts.loop, facts_),
        began_us_(parts.loop.now_us()) {}

  void start() {
    facts_ = platform::decode_request(request_);
    configuration_ = parts_.configuration();
    if (configuration_ == nullptr) {
      refuse(errc::not_configured, back_after_unconfigured);
      return;
    }
    route_ = find_route(*configuration_, request_.headers.find("Host"),
                        request_.target);
    if (route_ == nullptr) {
      refuse(errc::unknown_route);
      return;
    }
    if (facts_.attempt.empty()) {
      refuse(errc::missing_header);
      return;
    }
    service_ = pick_service(*route_, placement_key());
    hold_ = route_->timeout.count() > 0 ? route_->timeout : default_timeout;
    hold_ = std::min(hold_, facts_.time_left.value_or(hold_));
    const milliseconds to_end = parts_.time_to_end();
    const stops_midway midway = route_->kind == repetition::stream
                                    ? stops_midway::yes
                                    : stops_midway::no;
    if (parts_.durations.needed(route_->name, midway) > to_end) {
      refuse(errc::stopping, back_after_stopping);
      return;
    }
    hold_ = std::min(hold_, to_end);
    watch_ends();
    if (route_->keeps_history && history_.begin(route_->retention)) {
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
        std::max(hold_ - answer_margin, milliseconds(0)), [weak] {
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
      refuse(*refused, back_after(*refused));
      return;
    }
    send_next();
  }

  std::uint64_t tokens_per_event() const {
    const auto found = configuration_->services.find(service_);
    const bool engine = found != configuration_->services.end() &&
                        found->second.engine.has_value();
    return engine ? found->second.engine->tokens_per_event : 1;
  }

  // Every event that has begun may have reached the client.
  void settle_begun_events() {
    history_.settle(events_.started_events() * tokens_per_event());
  }

  // ---- Sending ------------------------------------------------------------

  std::string_view placement_key() const {
    return facts_.program.empty() ? std::string_view(facts_.attempt)
                                  : std::string_view(facts_.program);
  }

  milliseconds time_left() const {
    return std::max(hold_ - answer_margin - elapsed_ms(), milliseconds(0));
  }

  void send_next() {
    if (time_left() < least_send_time) {
      deadline_passed();
      return;
    }
    endpoint_choice wanted;
    wanted.service = service_;
    wanted.preferred = history_.chain() == nullptr ? std::string_view()
                                                   : history_.chain()->endpoint;
    wanted.data_centre = parts_.data_centre;
    wanted.excluded = &tried_;
    wanted.once = route_->kind == repetition::once;
    wanted.connected = [this](const endpoint& each) {
      return parts_.pool.has_idle(each.address, each.id);
    };
    if (!attempt_.begin(
            parts_.endpoints.choose(wanted, parts_.loop.now_ms()))) {
      give_up(tried_.empty() ? errc::no_runner : errc::endpoints_full);
      return;
    }
    const endpoint& to = *attempt_.to();
    tried_.insert(to.id);
    attempt_.carry(
        parts_.pool.start(to.address, to.id, outgoing(), observer()));
    if (route_->kind == repetition::repeatable) {
      arm_attempt_guard();
    } else if (route_->kind == repetition::once) {
      arm_stall_guard();
    }
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

  // A repeatable request does not wait for one slow endpoint forever.
  void arm_attempt_guard() {
    const bool last = report_.sends + 1 >= route_->max_endpoints;
    if (last || route_->latency_objective.count() == 0) {
      return;
    }
    const std::weak_ptr<request_flow> weak = weak_from_this();
    attempt_guard_ = parts_.loop.after(route_->latency_objective, [weak] {
      const auto held = weak.lock();
      if (held != nullptr && !held->ended_ && held->attempt_.status() == 0) {
        held->attempt_.cancel();
        held->attempt_ended(http1_end::broken);
      }
    });
  }

  // A request that may run only once waits on, but an endpoint that is this
  // late is a warning to others.
  void arm_stall_guard() {
    if (route_->latency_objective.count() == 0) {
      return;
    }
    const std::weak_ptr<request_flow> weak = weak_from_this();
    attempt_guard_ = parts_.loop.after(route_->latency_objective, [weak] {
      const auto held = weak.lock();
      if (held != nullptr && !held->ended_ && held->attempt_.status() == 0) {
        held->attempt_.suspect();
        held->parts_.endpoint_failed(held->attempt_.endpoint_id());
      }
    });
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
    return route_->kind == repetition::stream && attempt_.succeeded() &&
           !attempt_.invalid();
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
    attempt_guard_.cancel();
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
        if (++report_.unreachable < most_unreachable) {
          send_next();
        } else {
          give_up(errc::no_runner);
        }
        return;
      case attempt_outcome::refused:
        ++report_.sends;
        if (report_.sends < route_->max_endpoints) {
          send_next();
        } else {
          give_up(errc::endpoints_full);
        }
        return;
      case attempt_outcome::broken:
        ++report_.sends;
        may_have_run_ = true;
        parts_.endpoint_failed(attempt_.endpoint_id());
        answer_broken();
        return;
    }
  }

  void answer_broken() {
    const bool again = route_->kind == repetition::repeatable &&
                       report_.sends < route_->max_endpoints && !out_->begun();
    if (again) {
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
    if (!route_->keeps_history) {
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
    turn.tokens = events_.whole_events() * tokens_per_event();
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
    attempt_.end(attempt_outcome::refused);
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
    if (may_have_run_) {
      refuse(errc::runner_failed);
    } else {
      refuse(why, back_after_full);
    }
  }

  void refuse(errc why, milliseconds come_back = milliseconds(0)) {
    end(make_error_code(why).message(), http_status(why));
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

  void end(std::string_view outcome, int status) {
    ended_ = true;
    deadline_.cancel();
    attempt_guard_.cancel();
    if (route_ != nullptr) {
      report_.route = route_->name;
    }
    if (configuration_ != nullptr) {
      report_.configuration = configuration_->version;
    }
    report_.endpoint = attempt_.endpoint_id();
    report_.placed_by = placed_by();
    report_.endpoints_age_ms = parts_.endpoints_age_ms();
    report_.epoch = parts_.records.group().epoch();
    report_.total_us = elapsed_us();
    if (route_ != nullptr && outcome == "answered") {
      parts_.durations.add(route_->name, elapsed_ms());
    }
    report_.events = events_.whole_events();
    report_.status = status;
    report_.outcome = outcome;
    report_request(parts_.metrics, facts_, report_);
  }

  gateway_parts parts_;
  http1_request request_;
  http1_exchange_ptr out_;
  request_facts facts_;
  configuration_ptr configuration_;
  const route* route_ = nullptr;
  std::string_view service_;
  milliseconds hold_{0};

  turn_history history_;
  std::set<std::string> tried_;
  endpoint_attempt attempt_;
  bool may_have_run_ = false;  // a send ended without an answer
  event_stream events_;
  bool ended_ = false;
  timer deadline_;
  timer attempt_guard_;
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
