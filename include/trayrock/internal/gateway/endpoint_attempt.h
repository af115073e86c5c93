// One send of a request to an endpoint, with its response. Reusable for the
// next send.
//
// Every attempt that was begun is ended once, and its outcome recorded for the
// endpoint. After one that breaks, is slow or can't connect, idle connections
// to the endpoint are closed.
//
// Example:
//   endpoint_attempt attempt(loop, pool, metadata);
//   if (attempt.begin(endpoints.choose(criteria, now))) {
//     attempt.send(request, observer);
//   }
//   // in the observer's on_end:
//   const attempt_outcome outcome = attempt.outcome_of(how);
//   attempt.end(outcome);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/endpoint_state.h"
#include "trayrock/internal/gateway/request_metadata.h"
#include "trayrock/internal/net/http1_client.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

class endpoint_attempt {
 public:
  // All outlive the object.
  endpoint_attempt(event_loop& loop, http1_pool& pool,
                   const request_metadata& metadata,
                   bool drops_connections = true)
      : loop_(loop),
        pool_(pool),
        metadata_(metadata),
        drops_connections_(drops_connections) {}
  endpoint_attempt(const endpoint_attempt&) = delete;
  endpoint_attempt& operator=(const endpoint_attempt&) = delete;

  // Begins an attempt. False if the endpoint is nullptr.
  bool begin(endpoint_state_ptr target);

  void send(const http1_request& request, http1_observer observer);
  void cancel() { call_.cancel(); }

  // Stops reading the response, since its client reads slowly. What the
  // attempt takes, or that the endpoint cuts it off, says nothing about the
  // endpoint from then on.
  void pause_reading() {
    was_paused_ = true;
    paused_ = true;
    call_.pause_reading();
  }
  void resume_reading() {
    paused_ = false;
    resumed_at_us_ = loop_.now_us();
    call_.resume_reading();
  }
  bool was_paused() const { return was_paused_; }

  // The endpoint's record; nullptr if there is no endpoint.
  const endpoint* target() const {
    return endpoint_ == nullptr ? nullptr : &endpoint_->record;
  }
  // Empty if there is no endpoint.
  endpoint_identity identity() const;
  std::string endpoint_id() const { return identity().id; }

  bool in_flight() const { return in_flight_; }

  // Since it was sent, or begun and not sent yet.
  milliseconds age() const;

  // The head must belong to this request.
  void accept_head(const http1_answer_head& head, response_metadata response);

  // Buffers bytes until the response is complete. A response that is too large
  // for that is invalid.
  void buffer(std::string_view bytes);

  // Counts bytes of a response that is not passed on.
  void discard(std::string_view bytes) { discarded_bytes_ += bytes.size(); }

  // Whether the response is larger than one that is buffered or discarded may
  // be, so that the rest must not be read.
  bool is_oversized() const;

  const http1_answer_head& head() const { return head_; }
  int status() const { return head_.status; }  // 0: no head yet
  // Name of the body's framing in the log; empty: no head yet.
  std::string_view framing() const;
  bool succeeded() const;
  // Whether the body is a stream of events; so is one of no stated type.
  bool is_event_stream() const;
  bool not_executed() const { return response_.not_executed; }
  const std::string& body() const { return body_; }

  // True when the response must not be passed on.
  bool is_invalid() const { return invalid_; }

  attempt_outcome outcome_of(http1_end how) const;

  // The response is a complete stream of that many events: records the engine's
  // pace.
  void record_pace(std::uint64_t events) const;

  // Counts a slow response as a failure in the endpoint's health.
  void mark_slow();

  // Ends the attempt, records its outcome for the endpoint and logs failures.
  // Does nothing unless an attempt is in flight.
  void end(attempt_outcome outcome);

 private:
  bool was_paused_lately() const;
  void log_avoided() const;
  void log_failed(attempt_outcome outcome, double ms) const;
  void drop_idle_connections();

  event_loop& loop_;
  http1_pool& pool_;
  const request_metadata& metadata_;
  bool drops_connections_;  // idle ones, after one failed
  endpoint_state_ptr endpoint_;
  http1_call call_;
  bool in_flight_ = false;
  std::uint64_t sent_at_us_ = 0;
  std::uint64_t head_at_us_ = 0;
  http1_answer_head head_;
  response_metadata response_;
  std::string body_;
  std::size_t discarded_bytes_ = 0;
  bool invalid_ = false;
  bool was_paused_ = false;
  bool paused_ = false;
  std::uint64_t resumed_at_us_ = 0;
};

}  // namespace trayrock
