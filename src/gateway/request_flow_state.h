// State machine of one client request. Implemented in request_flow.cc (start,
// deadline, end), request_flow_permit.cc (rate limit), request_flow_endpoint.cc
// (sending and response) and request_flow_history.cc (tokens and turn).
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/decide/resend_policy.h"
#include "trayrock/internal/gateway/client_response.h"
#include "trayrock/internal/gateway/endpoint_attempt.h"
#include "trayrock/internal/gateway/request_flow.h"
#include "trayrock/internal/gateway/request_report.h"
#include "trayrock/internal/gateway/request_routing.h"
#include "trayrock/internal/gateway/turn_history.h"

namespace trayrock::internal {

class request_flow : public buffering_request,
                     public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(const gateway_context& context, http1_request request,
               http1_exchange_ptr out);

  void start();

  void pause_reading() override;
  void resume_reading() override;
  void end_for_memory() override;

 private:
  // ---- Start, deadline and end --------------------------------------------

  void watch_deadline_and_client();

  milliseconds time_left() const;
  void on_client_disconnected();
  void abandon(std::string_view outcome);
  void on_deadline();

  // Called shortly before the process stops, for requests that began before the
  // shutdown. Later ones have a time limit that ends earlier. A response that
  // has begun is not ended here, since it may complete until the process ends.
  void on_shutdown();

  // Ends the request before its response is complete: as a turn that is not
  // durable if the turn is being stored, with errc::runner_timeout if an
  // endpoint may have received the request, else with `if_unsent`.
  void end_early(errc if_unsent);

  // Fails the request when no endpoint is left to try. The error says that
  // nothing has run only if no endpoint may have run it.
  void give_up(errc why);

  // Ends a request whose reservation may be open. A response that has begun is
  // aborted, so that it doesn't look complete.
  void fail(errc why);

  // Rejects a request that was not sent. Its reservation is settled if it may
  // have been made before the permit; reject() alone settles none.
  void release_reservation_and_reject(errc why);
  void reject(errc why);
  milliseconds retry_after(errc why) const;
  milliseconds elapsed_ms() const;
  std::uint64_t elapsed_us() const;

  // elapsed_ms() without the waits for the stores, which depend on the stores'
  // load and not on the route.
  milliseconds run_time() const;

  // Rejected requests may have no route, or no configuration.
  void report_routing(bool responded);
  void end(std::string_view outcome, int status);

  // ---- The permit (request_flow_permit.cc) --------------------------------

  bool needs_permit() const;

  // Whether the reservation comes before the permit. Where turns don't name the
  // previous one, only the stores know whether a turn starts its program.
  bool reserves_before_permit() const;

  // Of a request that needs a permit: all stores have refused one lately.
  std::optional<limit_reached> known_limit() const;

  permit_use use_of_permit() const;
  void acquire_permit();
  void on_permit(const permit& given);
  void on_permit(const limit_reached& reached);
  void on_permit(const permit_unknown&);

  // A request that no endpoint may have run doesn't count towards the limit.
  void return_unused_permit();

  // Continues once the request has its permit, if it needs one.
  void reserve_or_send();

  // Rejects a request that still waits for record stores once the time left is
  // too short to run it, but not before `min_wait`.
  void guard_wait_for_stores(milliseconds min_wait, errc why);

  // ---- History and budget (request_flow_history.cc) -----------------------

  void reserve();
  void on_reserved(result<reserved_turn> reserved);

  // Settles the reservation by the events that may have reached the client,
  // incomplete ones included.
  void settle_begun_events();

  // The response is finished only after the turn is durable.
  void store_turn();
  void on_turn_stored(std::error_code failed);

  // ---- Sending and response (request_flow_endpoint.cc) --------------------

  void send_next();

  // Whether the request may be sent, by the endpoints that have ended under it
  // (poison_guard.h).
  void on_verdict(try_verdict verdict);
  void wait_for_other_tries();
  void refuse_as_poison();
  guarded_request guarded() const;
  void send_to_chosen();
  void send_registered();
  void send_begun();
  void withdraw_attempt();  // that was begun and not sent

  // The endpoint of the attempt was running when it got the request.
  void record_alive();

  // The attempt ends without a response because the gateway no longer waits.
  void leave_endpoint();

  endpoint_criteria choice_criteria() const;
  errc no_endpoint_error() const;
  std::optional<int> urgency() const;
  void record_program();

  // The endpoint of the previous turn; empty if there is none.
  endpoint_identity previous_endpoint() const;

  // What places the turn by its prompt; nothing where that doesn't apply.
  std::optional<turn_criteria> turn_to_place() const;

  // Whether the turn goes to the engine that holds its prompt, wherever the
  // system doesn't keep the conversation itself.
  bool is_placed_by_prompt() const;
  turn_line line() const;

  // By the stores, or by what this gateway sent; nothing: not known.
  std::optional<endpoint_identity> engine_with_prompt() const;

  void count_placement();

  // Records where the turn's prompt is held from now on.
  void record_placement();
  // The endpoint has not read the prompt.
  void keep_previous_placement();
  // The endpoint broke its response off, and may not have the prompt.
  void discard_placement();

  http1_request forwarded_request() const;
  http1_observer observer();

  // An endpoint is slow if its response doesn't begin within the route's
  // objective, unless all endpoints of the service take longer.
  void guard_response_start();

  slow_endpoint_detector& slow_detector();  // of the request's service

  // Calls on_endpoint_slow() when nothing is received for this long; zero
  // disables the timer.
  void arm_silence_timer(milliseconds limit);

  // A request that may run elsewhere is sent to another endpoint. One that may
  // run only once keeps waiting, but its endpoint is reported to the other
  // gateways, so that they send it fewer requests.
  void on_endpoint_slow();

  bool on_head(const http1_answer_head& head);

  // A resumable stream moves to another endpoint when the gap between events
  // exceeds the time in which nearly all streams begin.
  void guard_event_gaps();

  // Tells the limiter what this request holds.
  void update_held_bytes();

  // Whether the stream may be resumed at another endpoint.
  bool is_resumable() const;

  bool passes_through() const;
  void on_body(std::string_view bytes);
  // Abandons the endpoint if its response, or an event of it, is too large.
  // Returns the condition.
  bool leave_oversized_response(bool oversized);
  void begin_response();

  // Cancels the attempt; the request may be sent to another endpoint.
  void abandon_endpoint();

  void on_attempt_broken(http1_end how);

  // Whether the response, which ended without an error, is a stream that its
  // endpoint did not finish.
  bool is_interrupted_stream() const;
  attempt_outcome outcome_of(http1_end how);
  void on_attempt_end(http1_end how);
  bool has_sends_left() const;
  resend_view resend_state() const;
  void on_unreachable();
  void on_refused();
  void on_response_broken();
  void respond_to_client();
  void on_stream_complete();

  gateway_context context_;
  http1_request request_;
  client_response response_;
  request_metadata metadata_;
  request_routing routing_;
  turn_history history_;
  std::set<endpoint_identity> tried_;
  endpoint_attempt attempt_;
  request_fingerprint fingerprint_ = 0;
  bool handed_over_ = false;  // the endpoint may have the current attempt
  bool abandoned_ = false;    // the current attempt, by this gateway
  std::uint64_t waits_for_tries_since_us_ = 0;  // 0: doesn't wait
  bool has_waited_for_tries_ = false;           // as long as it may
  bool needs_record_ = false;  // needs a reservation or its history
  bool continues_program_ = false;
  bool may_run_ = false;       // an endpoint has it, or may have run it
  bool may_have_run_ = false;  // a send ended without a response
  std::optional<permit> permit_;
  milliseconds limit_retry_after_{0};
  bool storing_turn_ = false;    // the stream is complete, the turn not durable
  bool reading_paused_ = false;  // since the client reads slowly
  std::size_t sending_bytes_ = 0;  // of the request, not all sent yet
  bool ended_ = false;
  timer deadline_;
  shutdown_observers::subscription shutdown_subscription_;
  timer silence_timer_;
  timer tries_timer_;
  timer stores_guard_;
  std::uint64_t began_us_;
  request_report report_;
};

}  // namespace trayrock::internal
