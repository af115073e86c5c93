#include "trayrock/internal/gateway/request_flow.h"

#include <algorithm>

#include "platform/messages.h"
#include "request_flow_state.h"
#include "trayrock/internal/decide/retry_after.h"
#include "trayrock/internal/gateway/error_answer.h"
#include "trayrock/internal/log.h"

namespace trayrock::internal {
namespace {

// An answer is given this long before the client stops waiting for it.
constexpr milliseconds answer_margin{25};

}  // namespace

request_flow::request_flow(const gateway_parts& parts, http1_request request,
                           http1_exchange_ptr out)
    : parts_(parts),
      request_(std::move(request)),
      answer_(std::move(out)),
      history_(parts.loop, parts.records, parts.chains, facts_),
      attempt_(parts.loop, parts.pool, facts_, parts.policy.drops_connections),
      began_us_(parts.loop.now_us()) {}

void request_flow::start() {
  facts_ = platform::decode_request(request_);
  std::optional<errc> refused =
      terms_.find(parts_.configuration(), request_, facts_);
  if (terms_.found_route() != nullptr && terms_.asks_for_key() &&
      !parts_.configuration_proven()) {
    // A key that is not known here may be new, and a known one taken away.
    refused = errc::configuration_unproven;
  }
  if (!refused) {
    refused = terms_.fit(facts_, parts_.durations, parts_.time_to_end());
  }
  if (refused) {
    refuse(*refused);
    return;
  }
  note_program();
  if (resumable()) {
    answer_.make_resumable();
  }
  watch_ends();
  needs_record_ = history_.begin(terms_.route(), terms_.workspace_name());
  const bool needs_stores = needs_record_ || needs_permit();
  if (needs_stores && parts_.cut_off_for() > milliseconds(0)) {
    refuse(errc::cut_off);
  } else if (needs_permit()) {
    acquire_permit();
  } else {
    go_on();
  }
}

// Calls of tools belong to a program, too, but are no turns of it.
void request_flow::note_program() {
  if (!terms_.at_engine() || facts_.program.empty()) {
    return;
  }
  const std::uint64_t now = parts_.loop.now_ms();
  program_goes_on_ = !facts_.previous_turn.empty() ||
                     parts_.programs.contains(facts_.program, now);
  parts_.programs.record(facts_.program, now);
}

void request_flow::go_on() {
  if (needs_record_) {
    reserve();
  } else {
    send_next();
  }
}

void request_flow::watch_ends() {
  const std::weak_ptr<request_flow> weak = weak_from_this();
  deadline_ = parts_.loop.after(
      std::max(terms_.hold() - answer_margin, milliseconds(0)), [weak] {
        if (const auto held = weak.lock()) {
          held->deadline_passed();
        }
      });
  answer_.out().on_gone([self = shared_from_this()] { self->client_gone(); });
}

milliseconds request_flow::time_left() const {
  return std::max(terms_.hold() - answer_margin - elapsed_ms(),
                  milliseconds(0));
}

void request_flow::client_gone() {
  if (ended_) {
    return;
  }
  attempt_.cancel();
  attempt_.end(attempt_outcome::cancelled);
  settle_begun_events();
  end("client_gone", attempt_.status());
}

void request_flow::deadline_passed() {
  if (ended_) {
    return;
  }
  const bool sent = attempt_.in_flight() || report_.sends > 0;
  attempt_.cancel();
  attempt_.end(attempt_outcome::broken);
  fail(sent ? errc::runner_timeout : errc::deadline_passed);
}

void request_flow::give_up(errc why) {
  fail(may_have_run_ ? errc::runner_failed : why);
}

void request_flow::fail(errc why) {
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

void request_flow::refuse(errc why) {
  end(make_error_code(why).message(), http_status(why));
  respond_error(answer_.out(), why, come_back_after(why));
}

milliseconds request_flow::come_back_after(errc why) const {
  switch (why) {
    case errc::stopping:
      return parts_.back_after_stopping();
    case errc::cut_off:
      return retry_after_when_isolated(parts_.cut_off_for());
    case errc::configuration_unproven:
      return retry_after_when_config_stale();
    case errc::workspace_limit:
      return back_after_limit_;
    default:
      return back_after(why);
  }
}

milliseconds request_flow::elapsed_ms() const {
  constexpr std::uint64_t us_per_ms = 1000;
  return milliseconds(static_cast<long>(elapsed_us() / us_per_ms));
}

std::uint64_t request_flow::elapsed_us() const {
  return parts_.loop.now_us() - began_us_;
}

std::string request_flow::placed_by() const {
  if (attempt_.to() == nullptr) {
    return "";
  }
  const bool kept = turn_before() == attempt_.identity();
  return kept ? "previous_turn" : "load";
}

void request_flow::report_terms(bool answered) {
  if (terms_.from() != nullptr) {
    report_.configuration = terms_.from()->version;
  }
  if (terms_.found_route() == nullptr) {
    return;
  }
  report_.route = terms_.route().name;
  report_.workspace = terms_.workspace_name();
  if (answered) {
    parts_.durations.add(terms_.route().name, elapsed_ms());
  }
}

void request_flow::end(std::string_view outcome, int status) {
  ended_ = true;
  deadline_.cancel();
  late_guard_.cancel();
  return_unused_permit();
  report_terms(outcome == "answered");
  report_.endpoint = attempt_.endpoint_id();
  report_.placed_by = placed_by();
  report_.endpoints_age_ms = parts_.endpoints_age_ms();
  report_.epoch = parts_.records.group().epoch();
  report_.total_us = elapsed_us();
  report_.events = answer_.events().complete_events();
  report_.status = status;
  report_.outcome = outcome;
  report_request(parts_.metrics, facts_, report_);
}

}  // namespace trayrock::internal

namespace trayrock {

void serve_request(const gateway_parts& parts, http1_request request,
                   http1_exchange_ptr out) {
  const auto flow = std::make_shared<internal::request_flow>(
      parts, std::move(request), std::move(out));
  flow->start();
}

}  // namespace trayrock
