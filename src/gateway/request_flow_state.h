// One request of a client, from its coming to the end of its answer: the state
// that its sides share.
//
// The client's side (request_flow.cc) begins and ends it; its permit
// (request_flow_permit.cc) lets it run; the endpoint's side
// (request_flow_endpoint.cc) sends it and takes the answer; the history's side
// (request_flow_history.cc) reserves tokens and keeps the turn.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/resend_policy.h"
#include "trayrock/internal/gateway/client_answer.h"
#include "trayrock/internal/gateway/endpoint_attempt.h"
#include "trayrock/internal/gateway/request_flow.h"
#include "trayrock/internal/gateway/request_report.h"
#include "trayrock/internal/gateway/request_terms.h"
#include "trayrock/internal/gateway/turn_history.h"

namespace trayrock::internal {

class request_flow : public std::enable_shared_from_this<request_flow> {
 public:
  request_flow(const gateway_parts& parts, http1_request request,
               http1_exchange_ptr out);

  void start();

 private:
  // ---- The client's side --------------------------------------------------

  // The request ends with its deadline, or when its client goes away.
  void watch_ends();

  milliseconds time_left() const;
  void client_gone();
  void deadline_passed();

  // No endpoint is left to try. That nothing has run is said only if it is so.
  void give_up(errc why);

  // Ends a request whose reservation may be open. An answer that has begun is
  // cut, so that it does not look complete.
  void fail(errc why);

  void refuse(errc why);
  milliseconds come_back_after(errc why) const;
  milliseconds elapsed_ms() const;
  std::uint64_t elapsed_us() const;

  // Why the endpoint was chosen.
  std::string placed_by() const;

  // Refused requests may have no route, or not even a configuration.
  void report_terms(bool answered);
  void end(std::string_view outcome, int status);

  // ---- The permit (request_flow_permit.cc) --------------------------------

  bool needs_permit() const;
  permit_use use_of_permit() const;
  void acquire_permit();
  void take_permit(const permit& given);
  void take_permit(const limit_reached& reached);
  void take_permit(const permit_unknown&);

  // What no endpoint has run uses up nothing of the workspace's limit.
  void return_unused_permit();

  // With its permit, if it needs one.
  void go_on();

  // ---- History and budget -------------------------------------------------

  void reserve();
  void reserve_done(result<reserved_turn> made);

  // Every event that has begun may have reached the client.
  void settle_begun_events();

  // The client learns that the answer is complete once the turn can not be
  // lost any more.
  void keep_turn();
  void turn_kept(std::error_code failed);

  // ---- The endpoint's side ------------------------------------------------

  void send_next();

  // What the next endpoint should be like.
  endpoint_criteria wanted() const;
  errc why_none_is_chosen() const;
  std::optional<int> urgency() const;
  void note_program();

  // The endpoint that made the turn before; empty if there is none.
  endpoint_identity turn_before() const;

  http1_request outgoing() const;
  http1_observer observer();

  // An endpoint that has not begun its answer within the route's objective is
  // late, unless those of its service all take longer.
  void arm_late_guard();

  slow_endpoint_detector& late();  // of the request's service

  // The endpoint is late when nothing comes from it for this long; zero: it
  // never is.
  void guard_against_silence(milliseconds longest);

  // What may go on elsewhere does not wait for one slow endpoint forever. What
  // may run only once waits on, but its endpoint is a warning to others: four
  // endpoints that hung for 6.6 s held 37 streams, each for the two seconds
  // until its client left, while streams gave no such warning.
  void endpoint_late();

  bool take_head(const http1_answer_head& head);

  // A stream that may go on elsewhere does so when it pauses for longer than
  // nearly all streams need to begin.
  void guard_pauses();

  // Whether the stream may go on at another endpoint.
  bool resumable() const;

  bool passes_through() const;
  void take_body(std::string_view bytes);
  void begin_answer();

  // Ends the work at the endpoint; the request may go on at another one.
  void leave_endpoint();

  void attempt_ended(http1_end how);
  bool sends_are_left() const;
  resend_view resend_state() const;
  void after_unreachable();
  void after_refusal();
  void answer_broken();
  void answer_client();
  void stream_complete();

  gateway_parts parts_;
  http1_request request_;
  client_answer answer_;
  request_metadata facts_;
  request_terms terms_;
  turn_history history_;
  std::set<endpoint_identity> tried_;
  endpoint_attempt attempt_;
  bool needs_record_ = false;  // of a reservation, or for its history
  bool program_goes_on_ = false;
  bool may_run_ = false;       // an endpoint has it, or has had it
  bool may_have_run_ = false;  // a send ended without an answer
  std::optional<permit> permit_;
  milliseconds back_after_limit_{0};
  bool ended_ = false;
  timer deadline_;
  timer late_guard_;
  std::uint64_t began_us_;
  request_report report_;  // filled in as the request goes on
};

}  // namespace trayrock::internal
