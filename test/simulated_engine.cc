#include "simulated_engine.h"

#include <algorithm>

namespace trayrock::testing {
namespace {

// Rounding errors of virtual times and rates lie far below this.
constexpr double tolerance = 1e-6;

}  // namespace

std::size_t prompt_memory::held_parts(const prompt_parts& prompt) const {
  const auto missing = std::find_if(
      prompt.begin(), prompt.end(),
      [this](const prompt_part& each) { return !parts_.contains(each.id); });
  return static_cast<std::size_t>(missing - prompt.begin());
}

bool prompt_memory::reserve(double tokens) {
  if (pinned_tokens_ + reserved_tokens_ + tokens > engine_memory_tokens) {
    return false;
  }
  while (pinned_tokens_ + unpinned_tokens_ + reserved_tokens_ + tokens >
         engine_memory_tokens) {
    const auto oldest = parts_.find(by_use_.front());
    unpinned_tokens_ -= oldest->second.tokens;
    parts_.erase(oldest);
    by_use_.pop_front();
  }
  reserved_tokens_ += tokens;
  return true;
}

void prompt_memory::pin(const prompt_parts& prompt, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    entry& held = parts_.at(prompt[i].id);
    if (held.pins++ == 0) {
      by_use_.erase(held.position);
      unpinned_tokens_ -= held.tokens;
      pinned_tokens_ += held.tokens;
    }
  }
}

// The last part becomes the oldest, since it is of no use without the others.
void prompt_memory::unpin(const prompt_parts& prompt) {
  for (auto each = prompt.rbegin(); each != prompt.rend(); ++each) {
    entry& held = parts_.at(each->id);
    if (--held.pins == 0) {
      held.position = by_use_.insert(by_use_.end(), each->id);
      pinned_tokens_ -= held.tokens;
      unpinned_tokens_ += held.tokens;
    }
  }
}

void prompt_memory::store(const prompt_parts& prompt, std::size_t first) {
  for (std::size_t i = first; i < prompt.size(); ++i) {
    const auto [held, added] = parts_.try_emplace(prompt[i].id);
    entry& part = held->second;
    if (added) {
      part.tokens = prompt[i].tokens;
      pinned_tokens_ += part.tokens;
    } else if (part.pins == 0) {
      by_use_.erase(part.position);
      unpinned_tokens_ -= part.tokens;
      pinned_tokens_ += part.tokens;
    }
    ++part.pins;
  }
}

double simulated_engine::steps_per_ms() const {
  if (decoding_.empty()) {
    return 0;
  }
  const double step_ms =
      step_base_ms + step_request_ms * static_cast<double>(decoding_.size());
  const double chunk_ms =
      prefilling_.empty() ? 0 : prefill_chunk_tokens / prefill_tokens_per_ms;
  return speed_ / (step_ms + chunk_ms);
}

double simulated_engine::prefill_per_ms() const {
  if (prefilling_.empty()) {
    return 0;
  }
  return decoding_.empty() ? speed_ * prefill_tokens_per_ms
                           : prefill_chunk_tokens * steps_per_ms();
}

void simulated_engine::add(const request& added, double now_ms) {
  at_ms_ = now_ms;
  waiting_.push_back(added);
  admit_waiting();
}

void simulated_engine::admit_waiting() {
  while (!waiting_.empty() && admit(waiting_.front())) {
    waiting_.pop_front();
  }
}

bool simulated_engine::admit(const request& added) {
  if (prefilling_.size() + decoding_.size() >= max_running) {
    return false;
  }
  const prompt_parts& prompt = *added.prompt;
  running made;
  made.what = added;
  made.held = memory_.held_parts(prompt);
  for (std::size_t i = made.held; i < prompt.size(); ++i) {
    made.unread_tokens += prompt[i].tokens;
  }
  memory_.pin(prompt, made.held);
  if (!memory_.reserve(made.unread_tokens + added.output_tokens)) {
    memory_.unpin({prompt.begin(),
                   prompt.begin() + static_cast<std::ptrdiff_t>(made.held)});
    return false;
  }
  reads_.insert(reads_.end(),
                prompt.begin() + static_cast<std::ptrdiff_t>(made.held),
                prompt.end());
  made.prefill_left = made.unread_tokens;
  prefilled_tokens_ += made.unread_tokens;
  prefilling_.push_back(made);
  return true;
}

void simulated_engine::end_prefill() {
  running made = prefilling_.front();
  prefilling_.pop_front();
  memory_.release(made.unread_tokens);
  memory_.store(*made.what.prompt, made.held);
  made.ends_at_step = steps_ + made.what.output_tokens;
  made.output_from_ms = at_ms_;
  decoding_.push_back(made);
}

std::vector<simulated_engine::ended_request> simulated_engine::advance(
    double now_ms) {
  const double passed_ms = now_ms - at_ms_;
  const double steps = passed_ms * steps_per_ms();
  if (!prefilling_.empty()) {
    prefilling_.front().prefill_left -= passed_ms * prefill_per_ms();
  }
  at_ms_ = now_ms;
  steps_ += steps;
  while (!prefilling_.empty() &&
         prefilling_.front().prefill_left <= tolerance) {
    end_prefill();
  }
  std::vector<ended_request> ended;
  std::erase_if(decoding_, [&](const running& each) {
    const bool ends = each.ends_at_step <= steps_ + tolerance;
    if (ends) {
      ended.push_back({each.what.id, now_ms - each.output_from_ms});
      output_tokens_ += each.what.output_tokens;
      memory_.unpin(*each.what.prompt);
      memory_.release(each.what.output_tokens);
    }
    return ends;
  });
  if (!ended.empty()) {
    admit_waiting();
  }
  return ended;
}

std::optional<double> simulated_engine::next_event_ms() const {
  std::optional<double> next;
  if (!prefilling_.empty()) {
    next = at_ms_ +
           std::max(0.0, prefilling_.front().prefill_left) / prefill_per_ms();
  }
  for (const running& each : decoding_) {
    const double ends_ms =
        at_ms_ + std::max(0.0, each.ends_at_step - steps_) / steps_per_ms();
    next = next ? std::min(*next, ends_ms) : ends_ms;
  }
  return next;
}

}  // namespace trayrock::testing
