#include "trayrock/internal/decide/runner_queue.h"

#include <algorithm>

namespace trayrock {
namespace {

constexpr double average_weight = 0.1;
// A class comes first by so many tokens of attained service.
constexpr double urgent_lead_tokens = 50000;
constexpr double batch_lag_tokens = 1000000;

double class_offset(std::string_view work_class) {
  if (work_class == "urgent") {
    return -urgent_lead_tokens;
  }
  return work_class == "batch" ? batch_lag_tokens : 0;
}

// Lower starts earlier.
struct urgency {
  const queued_request& request;
  std::uint64_t now_ms;

  double operator()(const arrival_order&) const {
    return static_cast<double>(request.arrived_ms);
  }
  double operator()(const attained_order& order) const {
    const auto waited = static_cast<double>(now_ms - request.arrived_ms);
    return static_cast<double>(request.attained_tokens) +
           class_offset(request.work_class) -
           waited * order.ageing_tokens_per_ms;
  }
};

}  // namespace

runner_queue::runner_queue(queue_limits limits, queue_order order)
    : limits_(limits), order_(order) {}

std::optional<queue_refusal> runner_queue::offer(queued_request request) {
  const std::uint64_t wait = expected_wait_ms();
  if (queue_.size() >= limits_.max_queue && running_ >= limits_.slots) {
    return queue_refusal{true, wait};
  }
  if (wait > request.wait_limit_ms) {
    return queue_refusal{false, wait};
  }
  queue_.push_back(std::move(request));
  return std::nullopt;
}

std::optional<queued_request> runner_queue::start_next(std::uint64_t now_ms) {
  if (queue_.empty() || running_ >= limits_.slots) {
    return std::nullopt;
  }
  const auto next = std::min_element(
      queue_.begin(), queue_.end(),
      [&](const queued_request& left, const queued_request& right) {
        return std::visit(urgency{left, now_ms}, order_) <
               std::visit(urgency{right, now_ms}, order_);
      });
  queued_request taken = std::move(*next);
  queue_.erase(next);
  ++running_;
  return taken;
}

void runner_queue::on_finished(std::uint64_t took_ms) {
  running_ -= running_ > 0 ? 1 : 0;
  const auto took = static_cast<double>(took_ms);
  typical_ms_ = typical_ms_ == 0
                    ? took
                    : typical_ms_ + average_weight * (took - typical_ms_);
}

bool runner_queue::remove(const request_key& key) {
  const auto removed = std::erase_if(
      queue_, [&](const queued_request& each) { return each.key == key; });
  return removed > 0;
}

std::uint64_t runner_queue::expected_wait_ms() const {
  const std::size_t ahead = running_ + queue_.size();
  if (ahead < limits_.slots) {
    return 0;
  }
  const auto rounds = static_cast<double>(ahead - limits_.slots + 1) /
                      static_cast<double>(limits_.slots);
  return static_cast<std::uint64_t>(rounds * typical_ms_);
}

}  // namespace trayrock
