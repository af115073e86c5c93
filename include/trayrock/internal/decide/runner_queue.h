// The request queue of one endpoint, at its node, with admission control.
//
// Requests start in order of arrival or of least attained service, with ageing
// to prevent starvation; the latter also favours urgent over normal and normal
// over batch work. A request that isn't expected to start within its wait limit
// is rejected immediately.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trayrock/internal/decide/request_table.h"

namespace trayrock {

struct queue_limits {
  std::uint64_t slots = 16;
  std::uint64_t max_queue = 256;
};

// First come, first served.
struct arrival_order {};

// Least attained service of the whole program first.
struct attained_order {
  // Tokens of attained service that a millisecond of waiting makes up for.
  double ageing_tokens_per_ms = 4.0;
};
using queue_order = std::variant<arrival_order, attained_order>;

struct queued_request {
  request_key key;
  std::string work_class;
  std::uint64_t attained_tokens = 0;
  std::uint64_t wait_limit_ms = 0;
  std::uint64_t arrived_ms = 0;
};

struct queue_refusal {
  bool full = false;  // otherwise the expected wait exceeds the limit
  std::uint64_t expected_wait_ms = 0;
};

class runner_queue {
 public:
  runner_queue(queue_limits limits, queue_order order);

  void set_limits(queue_limits limits) { limits_ = limits; }
  void set_order(queue_order order) { order_ = order; }

  // Adds a request, or returns why it is rejected.
  std::optional<queue_refusal> offer(queued_request request);

  // The next request to start, if a slot is free; it then counts as running.
  std::optional<queued_request> start_next(std::uint64_t now_ms);

  // A running request finished.
  void on_finished(std::uint64_t took_ms);

  // Removes a request that has not started; false if there is none.
  bool remove(const request_key& key);

  // Expected wait of a request that arrives now, from the average duration.
  std::uint64_t expected_wait_ms() const;

  std::size_t running() const { return running_; }
  std::size_t queued() const { return queue_.size(); }
  double average_ms() const { return average_ms_; }

 private:
  queue_limits limits_;
  queue_order order_;
  std::vector<queued_request> queue_;
  std::size_t running_ = 0;
  double average_ms_ = 0;  // moving average of a call's duration
};

}  // namespace trayrock
