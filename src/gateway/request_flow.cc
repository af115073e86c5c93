#include "trayrock/internal/gateway/request_flow.h"

#include <algorithm>

#include "platform/messages.h"
#include "request_flow_state.h"
#include "trayrock/internal/decide/retry_after.h"
#include "trayrock/internal/gateway/error_response.h"
#include "trayrock/internal/gateway/request_fingerprint.h"
#include "trayrock/internal/log.h"

namespace trayrock::internal {
namespace {

// A response is sent this long before the client's deadline.
constexpr milliseconds response_margin{25};

}  // namespace

request_flow::request_flow(const gateway_context& context,
                           http1_request request, http1_exchange_ptr out)
    : context_(context),
      request_(std::move(request)),
      response_(std::move(out)),
      history_(context.loop, context.records, context.chains, metadata_),
      attempt_(context.loop, context.pool, metadata_,
               context.policy.drops_connections),
      began_us_(context.loop.now_us()) {}

void request_flow::start() {
  metadata_ = platform::decode_request(request_);
  std::optional<errc> error =
      routing_.resolve(context_.configuration(), request_, metadata_);
  if (routing_.found_route() != nullptr && routing_.requires_key() &&
      !context_.configuration_proven()) {
    // With an outdated configuration, an unknown key may be new and a known
    // one revoked.
    error = errc::configuration_unproven;
  }
  if (!error) {
    error = routing_.apply_time_limits(metadata_, context_.durations,
                                       context_.time_to_shutdown());
  }
  if (!error && context_.buffers.refuses_new_requests()) {
    context_.metrics.add("requests_refused_for_memory_total");
    error = errc::buffers_full;
  }
  if (error) {
    reject(*error);
    return;
  }
  fingerprint_ = fingerprint_of(request_, metadata_, routing_.workspace_name());
  if (context_.poison.refuses(fingerprint_)) {
    refuse_as_poison();
    return;
  }
  record_program();
  context_.buffers.attach(response_.exchange().connection_id(),
                          weak_from_this(), request_.body.size());
  if (!routing_.route().keeps_history) {
    response_.discard_data();
  }
  if (is_resumable()) {
    response_.make_resumable();
  }
  if (routing_.is_limited_by_shutdown()) {
    // If the time is too short, the client then gets an error response and not
    // an incomplete stream.
    response_.defer_until_complete();
  }
  watch_deadline_and_client();
  if (is_placed_by_prompt()) {
    history_.track_line(hash_of_line(line()));
  }
  needs_record_ = history_.begin(routing_.route(), routing_.workspace_name(),
                                 longest_turn(*routing_.configuration()));
  const bool needs_stores = needs_record_ || needs_permit();
  if (needs_stores && context_.isolated_for() > milliseconds(0)) {
    reject(errc::cut_off);
  } else if (needs_permit() && !reserves_before_permit()) {
    acquire_permit();
  } else if (const auto known = known_limit()) {
    // Saves the stores a reservation and its settlement.
    limit_retry_after_ = retry_after_at_limit(known->next);
    reject(errc::workspace_limit);
  } else {
    reserve_or_send();
  }
}

// Tool calls belong to a program but are no turns of it.
void request_flow::record_program() {
  if (!routing_.targets_engine() || metadata_.program.empty()) {
    return;
  }
  const std::uint64_t now = context_.loop.now_ms();
  continues_program_ = !metadata_.previous_turn.empty() ||
                       context_.programs.contains(metadata_.program, now);
  context_.programs.record(metadata_.program, now);
}

void request_flow::reserve_or_send() {
  if (needs_record_) {
    reserve();
  } else {
    send_next();
  }
}

void request_flow::guard_wait_for_stores(milliseconds min_wait, errc why) {
  const milliseconds needed =
      context_.durations.needed(routing_.route().name, partial_delivery::no);
  const milliseconds wait =
      std::max(std::min(min_wait, time_left()), time_left() - needed);
  stores_guard_ = context_.loop.after(wait, [weak = weak_from_this(), why] {
    const auto flow = weak.lock();
    if (flow != nullptr && !flow->ended_) {
      flow->release_reservation_and_reject(why);
    }
  });
}

void request_flow::watch_deadline_and_client() {
  const std::weak_ptr<request_flow> weak = weak_from_this();
  deadline_ = context_.loop.after(
      std::max(routing_.time_limit() - response_margin, milliseconds(0)),
      [weak] {
        if (const auto flow = weak.lock()) {
          flow->on_deadline();
        }
      });
  shutdown_subscription_ = context_.on_shutdown.add([weak] {
    if (const auto flow = weak.lock()) {
      flow->on_shutdown();
    }
  });
  response_.exchange().on_gone(
      [self = shared_from_this()] { self->on_client_disconnected(); });
}

milliseconds request_flow::time_left() const {
  return std::max(routing_.time_limit() - response_margin - elapsed_ms(),
                  milliseconds(0));
}

void request_flow::on_client_disconnected() {
  if (!ended_) {
    abandon("client_gone");
  }
}

void request_flow::end_for_memory() {
  if (!ended_) {
    abandon("ended_for_memory");
    response_.discard();
  }
}

// Ends the request without a response. Its endpoint has not failed.
void request_flow::abandon(std::string_view outcome) {
  leave_endpoint();
  attempt_.end(attempt_outcome::cancelled);
  settle_begun_events();
  end(outcome, attempt_.status());
}

void request_flow::on_deadline() {
  if (ended_) {
    return;
  }
  end_early(routing_.is_limited_by_shutdown() ? errc::stopping
                                              : errc::deadline_passed);
}

void request_flow::on_shutdown() {
  if (!ended_ && !response_.has_begun()) {
    end_early(errc::stopping);
  }
}

void request_flow::end_early(errc if_unsent) {
  if (storing_turn_) {
    on_turn_stored(errc::not_durable);
    return;
  }
  const bool sent = (attempt_.in_flight() && handed_over_) || report_.sends > 0;
  leave_endpoint();
  attempt_.end(attempt_outcome::broken);
  fail(sent ? errc::runner_timeout : if_unsent);
}

void request_flow::give_up(errc why) {
  fail(may_have_run_ ? errc::runner_failed : why);
}

void request_flow::fail(errc why) {
  settle_begun_events();
  if (!response_.has_begun()) {
    reject(why);
    return;
  }
  log_info("answer_cut", {{"request", metadata_.attempt},
                          {"cause", make_error_code(why).message()}});
  end("answer_cut", attempt_.status());
  response_.abort();
}

void request_flow::release_reservation_and_reject(errc why) {
  if (reserves_before_permit()) {
    history_.settle(0);
  }
  reject(why);
}

void request_flow::reject(errc why) {
  end(make_error_code(why).message(), http_status(why));
  respond_error(response_.exchange(), why, retry_after(why));
}

milliseconds request_flow::retry_after(errc why) const {
  switch (why) {
    case errc::stopping:
      return context_.retry_after_draining();
    case errc::cut_off:
      return retry_after_when_isolated(context_.isolated_for());
    case errc::configuration_unproven:
      return retry_after_when_config_stale();
    case errc::workspace_limit:
      return limit_retry_after_;
    default:
      return default_retry_after(why);
  }
}

milliseconds request_flow::elapsed_ms() const {
  constexpr std::uint64_t us_per_ms = 1000;
  return milliseconds(static_cast<long>(elapsed_us() / us_per_ms));
}

milliseconds request_flow::run_time() const {
  constexpr std::uint64_t us_per_ms = 1000;
  // permit_us and reserve_us are both measured from the start of the request;
  // keep_us is a duration.
  const std::uint64_t waited =
      std::max(report_.permit_us, report_.reserve_us) + report_.keep_us;
  return milliseconds(static_cast<long>((elapsed_us() - waited) / us_per_ms));
}

std::uint64_t request_flow::elapsed_us() const {
  return context_.loop.now_us() - began_us_;
}

void request_flow::report_routing(bool responded) {
  if (routing_.configuration() != nullptr) {
    report_.configuration = routing_.configuration()->version;
  }
  if (routing_.found_route() == nullptr) {
    return;
  }
  report_.route = routing_.route().name;
  report_.workspace = routing_.workspace_name();
  if (responded && !attempt_.was_paused()) {
    context_.durations.add(routing_.route().name, run_time());
  }
}

void request_flow::end(std::string_view outcome, int status) {
  ended_ = true;
  deadline_.cancel();
  shutdown_subscription_ = {};
  silence_timer_.cancel();
  tries_timer_.cancel();
  stores_guard_.cancel();
  context_.buffers.detach(response_.exchange().connection_id());
  return_unused_permit();
  report_routing(outcome == "answered");
  report_.endpoint = attempt_.endpoint_id();
  report_.content = fingerprint_;
  report_.endpoints_age_ms = context_.endpoints_age_ms();
  report_.epoch = context_.records.group().epoch();
  report_.total_us = elapsed_us();
  report_.events = response_.events().complete_events();
  report_.events_begun = response_.events().started_events();
  report_.framing = attempt_.framing();
  report_.status = status;
  report_.outcome = outcome;
  report_request(context_.metrics, metadata_, report_);
}

}  // namespace trayrock::internal

namespace trayrock {

void serve_request(const gateway_context& context, http1_request request,
                   http1_exchange_ptr out) {
  const auto flow = std::make_shared<internal::request_flow>(
      context, std::move(request), std::move(out));
  flow->start();
}

}  // namespace trayrock
