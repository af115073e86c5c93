#include "trayrock/internal/gateway/request_flow.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "platform/messages.h"
#include "trayrock/internal/decide/event_stream.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/record_id.h"

namespace trayrock {
namespace {

// How long a turn waits for its reservation and its history. Two round trips
// to the stores take under 20 ms; a voter's replacement about 2 s.
constexpr milliseconds history_limit{1500};
// How long the last piece of an answer waits for the turn to be durable.
constexpr milliseconds finish_limit{2500};
// Settlements are tried this long without anybody waiting.
constexpr milliseconds settle_limit{4000};
// An answer is given this long before the client stops waiting for it.
constexpr milliseconds answer_margin{25};
// A send with less time than this can not be answered.
constexpr milliseconds least_send_time{30};
// Connections that could not be made do not count as tries; this many end
// the request all the same.
constexpr int most_unreachable = 4;
// Whole answers are held back until they are complete up to this size.
constexpr std::size_t most_buffered_bytes = 4U << 20;
constexpr milliseconds default_timeout{10000};

// When a client should come back, by why the request was given up.
constexpr milliseconds back_after_full{150};
constexpr milliseconds back_after_history{250};
constexpr milliseconds back_after_reserved{200};
constexpr milliseconds back_after_unconfigured{500};

constexpr int first_success = 200;
constexpr int first_redirect = 300;

bool is_success(int status) {
  return status >= first_success && status < first_redirect;
}

std::string seconds_text(milliseconds delay) {
  std::string digits = std::to_string(delay.count() % 1000);
  digits.insert(0, 3 - digits.size(), '0');
  return std::to_string(delay.count() / 1000) + "." + digits;
}

class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(const gateway_parts& parts, http1_request request,
               http1_exchange_ptr out)
      : parts_(parts),
        request_(std::move(request)),
        out_(std::move(out)),
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
    const std::weak_ptr<request_flow> weak = weak_from_this();
    deadline_ = parts_.loop.after(
        std::max(hold_ - answer_margin, milliseconds(0)), [weak] {
          if (const auto held = weak.lock()) {
            held->deadline_passed();
          }
        });
    out_->on_gone([self = shared_from_this()] { self->client_gone(); });
    if (route_->keeps_history) {
      reserve();
    } else {
      send_next();
    }
  }

 private:
  // ---- History and budget --------------------------------------------------

  bool has_budget() const {
    return facts_.token_budget.has_value() && !facts_.program.empty();
  }

  void reserve() {
    records::Reservation reservation;
    if (has_budget()) {
      reservation.set_program(facts_.program);
      reservation.set_attempt(facts_.attempt);
      reservation.set_tokens(facts_.most_output_tokens);
      reserved_ = true;
    }
    chain_ = parts_.chains.find(facts_.previous_turn, parts_.loop.now_ms());
    const std::string asked =
        chain_ == nullptr ? facts_.previous_turn : std::string();
    if (!has_budget() && asked.empty()) {
      send_next();
      return;
    }
    const milliseconds limit = std::min(history_limit, time_left());
    parts_.records.reserve(
        reservation, asked, limit,
        [self = shared_from_this(), asked](result<reserved_turn> made) {
          self->reserve_done(std::move(made), !asked.empty());
        });
  }

  void reserve_done(result<reserved_turn> made, bool asked_chain) {
    reserve_us_ = elapsed_us();
    if (ended_) {
      settle(0);
      return;
    }
    if (!made) {
      settle(0);
      refuse(errc::history_unavailable, back_after_history);
      return;
    }
    if (asked_chain && !made.value().chain_found) {
      settle(0);
      refuse(errc::unknown_turn);
      return;
    }
    if (asked_chain) {
      chain_ = std::make_shared<const chain_cache::chain>(chain_cache::chain{
          std::move(made.value().text), std::move(made.value().endpoint)});
      parts_.chains.put(facts_.previous_turn, chain_, retained_until());
    }
    if (has_budget() && !budget_holds(made.value().usage)) {
      return;
    }
    send_next();
  }

  bool budget_holds(const program_usage& usage) {
    const budget_verdict verdict =
        usage.decide(bytes_of(id_of(facts_.attempt)), facts_.most_output_tokens,
                     *facts_.token_budget);
    if (verdict == budget_verdict::fits) {
      return true;
    }
    log_info("budget_refused",
             {{"request", facts_.attempt},
              {"program", facts_.program},
              {"budget", std::to_string(*facts_.token_budget)},
              {"most", std::to_string(facts_.most_output_tokens)},
              {"used", std::to_string(usage.used())},
              {"open", std::to_string(usage.open())}});
    settle(0);
    if (verdict == budget_verdict::spent) {
      refuse(errc::tokens_spent);
    } else {
      refuse(errc::tokens_reserved, back_after_reserved);
    }
    return false;
  }

  std::uint64_t retained_until() const {
    constexpr std::uint64_t ms_per_second = 1000;
    return parts_.loop.now_ms() +
           static_cast<std::uint64_t>(route_->retention.count()) *
               ms_per_second;
  }

  // Frees what the reservation holds beyond the tokens really handed out.
  void settle(std::uint64_t tokens) {
    if (!reserved_ || settled_) {
      return;
    }
    settled_ = true;
    records::Record record;
    records::Settlement& made = *record.mutable_settlement();
    made.set_program(facts_.program);
    made.set_attempt(facts_.attempt);
    made.set_tokens(tokens);
    parts_.records.keep(
        std::move(record), settle_limit,
        [attempt = facts_.attempt](std::error_code failed) {
          if (failed) {
            log_warn("settlement_lost",
                     {{"request", attempt}, {"cause", failed.message()}});
          }
        });
  }

  std::uint64_t tokens_per_event() const {
    const auto found = configuration_->services.find(service_);
    const bool engine = found != configuration_->services.end() &&
                        found->second.engine.has_value();
    return engine ? found->second.engine->tokens_per_event : 1;
  }

  // ---- Sending
  // ---------------------------------------------------------------

  std::string_view placement_key() const {
    return facts_.program.empty() ? std::string_view(facts_.attempt)
                                  : std::string_view(facts_.program);
  }

  milliseconds time_left() const {
    constexpr std::uint64_t us_per_ms = 1000;
    const auto spent =
        milliseconds(static_cast<long>(elapsed_us() / us_per_ms));
    return std::max(hold_ - answer_margin - spent, milliseconds(0));
  }

  void send_next() {
    if (time_left() < least_send_time) {
      deadline_passed();
      return;
    }
    endpoint_choice wanted;
    wanted.service = service_;
    wanted.preferred =
        chain_ == nullptr ? std::string_view() : chain_->endpoint;
    wanted.data_centre = parts_.data_centre;
    wanted.excluded = &tried_;
    wanted.connected = [this](const endpoint& each) {
      return parts_.pool.has_idle(each.address, each.id);
    };
    endpoint_ = parts_.endpoints.choose(wanted, parts_.loop.now_ms());
    if (endpoint_ == nullptr) {
      give_up(tried_.empty() ? errc::no_runner : errc::endpoints_full);
      return;
    }
    tried_.insert(endpoint_->record.id);
    sent_at_us_ = parts_.loop.now_us();
    endpoint_directory::begin(*endpoint_);
    in_flight_ = true;
    head_ = {};
    body_.clear();
    invalid_ = false;
    call_ = parts_.pool.start(endpoint_->record.address, endpoint_->record.id,
                              outgoing(), observer());
    if (route_->kind == repetition::repeatable) {
      arm_attempt_guard();
    }
  }

  http1_request outgoing() const {
    endpoint_directions directions;
    directions.time_left = time_left();
    directions.instance = endpoint_->record.id;
    http1_request made = platform::endpoint_request(request_, directions);
    if (chain_ != nullptr) {
      made.body = chain_->text + request_.body;
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
    const bool last = sends_ + 1 >= route_->max_endpoints;
    if (last || route_->latency_objective.count() == 0) {
      return;
    }
    const std::weak_ptr<request_flow> weak = weak_from_this();
    attempt_guard_ = parts_.loop.after(route_->latency_objective, [weak] {
      const auto held = weak.lock();
      if (held != nullptr && !held->ended_ && held->head_.status == 0) {
        held->call_.cancel();
        held->attempt_ended(http1_end::broken);
      }
    });
  }

  // ---- The endpoint's answer
  // -------------------------------------------------

  bool take_head(const http1_answer_head& head) {
    answer_ = platform::decode_answer(head);
    if (!answer_.attempt.empty() && answer_.attempt != facts_.attempt) {
      parts_.metrics.add("surplus_answers_total");
      log_warn("surplus_answer", {{"request", facts_.attempt},
                                  {"belongs_to", answer_.attempt},
                                  {"endpoint", endpoint_->record.id}});
      return false;
    }
    head_ = head;
    invalid_ = is_success(head.status) && (!answer_.sealed || answer_.encoded);
    first_byte_us_ = elapsed_us();
    return true;
  }

  bool passes_through() const {
    return route_->kind == repetition::stream && is_success(head_.status) &&
           !invalid_;
  }

  void take_body(std::string_view bytes) {
    if (ended_ || invalid_ || answer_.not_executed) {
      return;
    }
    if (!passes_through()) {
      body_.append(bytes);
      invalid_ = body_.size() > most_buffered_bytes;
      return;
    }
    if (!out_->begun()) {
      out_->begin(head_.status, platform::client_headers(head_));
    }
    events_.add(bytes);
    out_->write(bytes);
  }

  void attempt_ended(http1_end how) {
    attempt_guard_.cancel();
    if (ended_) {
      return;
    }
    const attempt_outcome outcome = outcome_of(how);
    note_attempt(outcome);
    switch (outcome) {
      case attempt_outcome::answered:
        ++sends_;
        answer_client();
        return;
      case attempt_outcome::unreachable:
        if (++unreachable_ < most_unreachable) {
          send_next();
        } else {
          give_up(errc::no_runner);
        }
        return;
      case attempt_outcome::refused:
        ++sends_;
        refusals_ = true;
        if (sends_ < route_->max_endpoints) {
          send_next();
        } else {
          give_up(errc::endpoints_full);
        }
        return;
      case attempt_outcome::broken:
        ++sends_;
        answer_broken();
        return;
    }
  }

  attempt_outcome outcome_of(http1_end how) const {
    if (how == http1_end::never_sent) {
      return attempt_outcome::unreachable;
    }
    if (how == http1_end::broken || invalid_) {
      return attempt_outcome::broken;
    }
    return answer_.not_executed ? attempt_outcome::refused
                                : attempt_outcome::answered;
  }

  void note_attempt(attempt_outcome outcome) {
    if (!in_flight_) {
      return;
    }
    in_flight_ = false;
    constexpr double us_per_ms = 1000;
    const double ms =
        static_cast<double>(parts_.loop.now_us() - sent_at_us_) / us_per_ms;
    endpoint_directory::end(*endpoint_, outcome, ms, parts_.loop.now_ms());
    if (outcome != attempt_outcome::answered) {
      log_info(
          "attempt_failed",
          {{"request", facts_.attempt},
           {"endpoint", endpoint_->record.id},
           {"outcome", outcome == attempt_outcome::refused ? "not_executed"
                       : outcome == attempt_outcome::unreachable ? "never_sent"
                                                                 : "unknown"},
           {"status", std::to_string(head_.status)},
           {"ms", std::to_string(static_cast<long>(ms))},
           {"in_flight", std::to_string(endpoint_->in_flight)}});
    }
  }

  void answer_broken() {
    const bool again = route_->kind == repetition::repeatable &&
                       sends_ < route_->max_endpoints && !out_->begun();
    if (again) {
      send_next();
      return;
    }
    settle(events_.started_events() * tokens_per_event());
    if (out_->begun()) {
      end("answer_cut", head_.status);
      out_->abort();
      return;
    }
    fail(invalid_ ? errc::answer_invalid : errc::runner_failed);
  }

  void answer_client() {
    if (!passes_through()) {
      settle(0);
      end("answered", head_.status);
      out_->respond(head_.status, platform::client_headers(head_), body_);
      return;
    }
    if (!out_->begun()) {
      out_->begin(head_.status, platform::client_headers(head_));
    }
    if (!route_->keeps_history) {
      end("answered", head_.status);
      out_->finish();
      return;
    }
    keep_turn();
  }

  // The client learns that the answer is complete once the turn can not be
  // lost any more.
  void keep_turn() {
    records::Record record;
    records::Turn& turn = *record.mutable_turn();
    turn.set_attempt(facts_.attempt);
    turn.set_previous(facts_.previous_turn);
    turn.set_program(reserved_ ? facts_.program : std::string());
    turn.set_input(request_.body);
    turn.set_output(events_.data());
    turn.set_tokens(events_.whole_events() * tokens_per_event());
    turn.set_endpoint(endpoint_->record.id);
    turn.set_retention_s(static_cast<std::uint32_t>(route_->retention.count()));
    settled_ = true;
    keeping_ = true;
    const std::uint64_t began = elapsed_us();
    parts_.records.keep(
        std::move(record), finish_limit,
        [self = shared_from_this(), began](std::error_code failed) {
          self->keep_us_ = self->elapsed_us() - began;
          self->turn_kept(failed);
        });
  }

  void turn_kept(std::error_code failed) {
    if (!failed) {
      auto grown = std::make_shared<chain_cache::chain>();
      if (chain_ != nullptr) {
        grown->text = chain_->text;
      }
      grown->text.append(request_.body).append(events_.data());
      grown->endpoint = endpoint_->record.id;
      parts_.chains.put(facts_.attempt, grown, retained_until());
    }
    if (ended_) {
      return;
    }
    if (failed) {
      end("not_durable", head_.status);
      out_->abort();
      return;
    }
    end("answered", head_.status);
    out_->finish();
  }

  // ---- Ends
  // ------------------------------------------------------------------

  void client_gone() {
    if (ended_) {
      return;
    }
    call_.cancel();
    note_attempt(attempt_outcome::refused);
    if (!keeping_) {
      settle(events_.started_events() * tokens_per_event());
    }
    end("client_gone", head_.status);
  }

  void deadline_passed() {
    if (ended_) {
      return;
    }
    const bool sent = in_flight_ || sends_ > 0;
    call_.cancel();
    note_attempt(attempt_outcome::broken);
    if (!keeping_) {
      settle(events_.started_events() * tokens_per_event());
    }
    if (out_->begun()) {
      end("deadline", head_.status);
      out_->abort();
      return;
    }
    fail(sent ? errc::runner_timeout : errc::deadline_passed);
  }

  // Nothing has run and nothing will.
  void give_up(errc why) {
    settle(0);
    const bool unsure = sends_ > 0 && !refusals_;
    if (unsure) {
      fail(errc::runner_failed);
    } else {
      refuse(why, back_after_full);
    }
  }

  void refuse(errc why, milliseconds come_back = milliseconds(0)) {
    header_list headers;
    if (come_back.count() > 0) {
      headers.add("Retry-After", seconds_text(come_back));
    }
    answer_error(why, headers);
  }

  void fail(errc why) { answer_error(why, {}); }

  void answer_error(errc why, header_list headers) {
    const int status = http_status(why);
    end(make_error_code(why).message(), status);
    headers.add("Content-Type", "application/json");
    const nlohmann::json body = {
        {"error",
         {{"code", static_cast<int>(why)},
          {"message", make_error_code(why).message()}}}};
    out_->respond(status, headers, body.dump());
  }

  std::uint64_t elapsed_us() const { return parts_.loop.now_us() - began_us_; }

  // Why the endpoint was chosen.
  std::string placed_by() const {
    if (endpoint_ == nullptr) {
      return "";
    }
    const bool kept =
        chain_ != nullptr && chain_->endpoint == endpoint_->record.id;
    return kept ? "previous_turn" : "load";
  }

  void end(std::string_view outcome, int status) {
    ended_ = true;
    deadline_.cancel();
    attempt_guard_.cancel();
    const auto ms = [](std::uint64_t us) { return std::to_string(us / 1000); };
    const std::string kind = route_ == nullptr ? "none" : route_->name;
    parts_.metrics.add("requests_total",
                       {{"route", kind}, {"outcome", std::string(outcome)}});
    constexpr double us_per_ms = 1000;
    parts_.metrics.observe("request_ms", {{"route", kind}},
                           static_cast<double>(elapsed_us()) / us_per_ms);
    log_info("request_done",
             {{"request", facts_.attempt},
              {"program", facts_.program},
              {"previous", facts_.previous_turn},
              {"route", kind},
              {"config", configuration_ == nullptr
                             ? "0"
                             : std::to_string(configuration_->version)},
              {"endpoint", endpoint_ == nullptr ? "" : endpoint_->record.id},
              {"placed_by", placed_by()},
              {"endpoints_age_ms", std::to_string(parts_.endpoints_age_ms())},
              {"epoch", std::to_string(parts_.records.group().epoch())},
              {"sends", std::to_string(sends_)},
              {"unreachable", std::to_string(unreachable_)},
              {"reserve_ms", ms(reserve_us_)},
              {"head_ms", ms(first_byte_us_)},
              {"keep_ms", ms(keep_us_)},
              {"total_ms", ms(elapsed_us())},
              {"events", std::to_string(events_.whole_events())},
              {"status", std::to_string(status)},
              {"outcome", std::string(outcome)}});
  }

  gateway_parts parts_;
  http1_request request_;
  http1_exchange_ptr out_;
  request_facts facts_;
  configuration_ptr configuration_;
  const route* route_ = nullptr;
  std::string_view service_;
  milliseconds hold_{0};

  chain_cache::chain_ptr chain_;
  bool reserved_ = false;
  bool settled_ = false;
  bool keeping_ = false;

  std::set<std::string> tried_;
  std::shared_ptr<endpoint_state> endpoint_;
  http1_call call_;
  bool in_flight_ = false;
  std::uint32_t sends_ = 0;
  int unreachable_ = 0;
  bool refusals_ = false;

  http1_answer_head head_;
  answer_facts answer_;
  bool invalid_ = false;
  std::string body_;
  event_stream events_;

  bool ended_ = false;
  timer deadline_;
  timer attempt_guard_;
  std::uint64_t began_us_;
  std::uint64_t sent_at_us_ = 0;
  std::uint64_t reserve_us_ = 0;
  std::uint64_t first_byte_us_ = 0;
  std::uint64_t keep_us_ = 0;
};

}  // namespace

void serve_request(const gateway_parts& parts, http1_request request,
                   http1_exchange_ptr out) {
  const auto flow =
      std::make_shared<request_flow>(parts, std::move(request), std::move(out));
  flow->start();
}

}  // namespace trayrock
