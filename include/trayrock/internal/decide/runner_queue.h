// The queue of one runner, at its node: what starts next, what is refused.
//
// Orders: by arrival, or by the service that the whole program has had so far
// (least first), with ageing so that nobody starves. Urgent work comes before
// normal work, batch work takes the gaps. A request that cannot start within
// its wait limit is refused at once, with the wait that is expected.
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

// Least service attained by the whole program first.
struct attained_order {
  // Tokens of attained service that one millisecond of waiting outweighs.
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
  bool full = false;  // else: the expected wait exceeds the limit
  std::uint64_t expected_wait_ms = 0;
};

class runner_queue {
 public:
  runner_queue(queue_limits limits, queue_order order);

  void set_limits(queue_limits limits) { limits_ = limits; }
  void set_order(queue_order order) { order_ = order; }

  // Takes a request, or says why not.
  std::optional<queue_refusal> offer(queued_request request);

  // The next request to start, if a slot is free; it then counts as running.
  std::optional<queued_request> start_next(std::uint64_t now_ms);

  // A running request ended after so long.
  void on_finished(std::uint64_t took_ms);

  // Takes a request that has not started out of the queue.
  bool remove(const request_key& key);

  // Wait that a request arriving now has to expect, by what calls took.
  std::uint64_t expected_wait_ms() const;

  std::size_t running() const { return running_; }
  std::size_t queued() const { return queue_.size(); }
  double typical_ms() const { return typical_ms_; }

 private:
  queue_limits limits_;
  queue_order order_;
  std::vector<queued_request> queue_;
  std::size_t running_ = 0;
  double typical_ms_ = 0;  // moving average of what a call takes
};

}  // namespace trayrock
