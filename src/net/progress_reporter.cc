#include "trayrock/internal/net/progress_reporter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace trayrock {
namespace {

// Shorter than the time after which callers try another peer.
constexpr std::uint64_t first_report_ms = 80;
constexpr std::uint64_t report_period_ms = 200;
constexpr std::uint64_t min_check_delay_ms = 20;
// Bounds the messages while very many calls are pending. Calls beyond it time
// out and are retried.
constexpr std::size_t max_reports_per_check = 10;

}  // namespace

std::uint64_t progress_reporter::add(rpc_reply_ptr reply,
                                     std::function<void()> report) {
  const std::uint64_t id = ++last_id_;
  calls_[id] = {std::move(reply), std::move(report),
                loop_.now_ms() + first_report_ms};
  if (!timer_.pending()) {
    schedule();
  }
  return id;
}

void progress_reporter::schedule() {
  const auto next = std::min_element(
      calls_.begin(), calls_.end(), [](const auto& left, const auto& right) {
        return left.second.due_ms < right.second.due_ms;
      });
  if (next == calls_.end()) {
    return;
  }
  const std::uint64_t earliest = loop_.now_ms() + min_check_delay_ms;
  const std::uint64_t at = std::max(next->second.due_ms, earliest);
  timer_ =
      loop_.after(milliseconds(at - loop_.now_ms()), [this] { report_due(); });
}

void progress_reporter::report_due() {
  std::erase_if(calls_,
                [](const auto& each) { return each.second.reply->gone(); });
  const std::uint64_t now = loop_.now_ms();
  std::vector<std::function<void()>> due;
  for (auto& [id, each] : calls_) {
    if (each.due_ms <= now && due.size() < max_reports_per_check) {
      each.due_ms = now + report_period_ms;
      due.push_back(each.report);
    }
  }
  // A report may end a connection, and so remove calls.
  for (const auto& report : due) {
    report();
  }
  schedule();
}

}  // namespace trayrock
