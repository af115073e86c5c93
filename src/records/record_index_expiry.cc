// Which records of a store have reached the end of their retention, and which
// of them are still needed.
#include <algorithm>
#include <utility>

#include "record_kinds.h"
#include "trayrock/internal/records/record_index.h"

namespace trayrock {

using namespace internal;

namespace {

constexpr std::uint64_t ms_per_second = 1000;
// Bounds the time that one call takes.
constexpr std::size_t max_visits = 20000;

}  // namespace

// ---- Retention -------------------------------------------------------------

void record_index::add_retention(std::uint32_t retention_s) {
  ++retentions_[retention_s];
  retention_s_ = retentions_.rbegin()->first;
}

// Without any turn, the last known retention stays.
void record_index::remove_retention(std::uint32_t retention_s) {
  const auto found = retentions_.find(retention_s);
  if (found != retentions_.end() && --found->second == 0) {
    retentions_.erase(found);
  }
  if (!retentions_.empty()) {
    retention_s_ = retentions_.rbegin()->first;
  }
}

std::uint64_t record_index::retention_ms() const {
  return retention_s_ * ms_per_second + expiry_margin_ms_;
}

// ---- Turns and their successors ------------------------------------------

// Counts one more turn that continues this one. A released turn is needed
// again, and so are those before it.
void record_index::hold(record_id turn) {
  while (turn != record_id{}) {
    attempt_state& state = attempts_[turn];
    ++state.successors;
    if (!state.released) {
      return;
    }
    state.released = false;
    turn = state.previous;
  }
}

// Ends the retention of a turn, and of those before it that were kept only for
// this one. Each turn is released once, so that the cost of a turn does not
// grow with its chain.
void record_index::release(attempt_state& turn) {
  attempt_state* released = &turn;
  while (true) {
    released->released = true;
    const auto previous = attempts_.find(released->previous);
    if (released->previous == record_id{} || previous == attempts_.end()) {
      return;
    }
    attempt_state& state = previous->second;
    --state.successors;
    if (state.kinds == 0 && state.successors == 0) {
      attempts_.erase(previous);  // was never stored here, or is removed
      return;
    }
    if (state.successors > 0 || !state.due || state.released) {
      return;
    }
    released = &state;
  }
}

void record_index::touch(std::string_view attempt, std::uint64_t now_ms) {
  const auto found = attempts_.find(id_of(attempt));
  if (found == attempts_.end() ||
      (found->second.kinds & bit_of(turn_kind)) == 0) {
    return;
  }
  attempt_state& state = found->second;
  state.touched_s = static_cast<std::uint32_t>(now_ms / ms_per_second);
  state.due = false;
  if (std::exchange(state.released, false)) {
    hold(state.previous);
  }
}

// ---- Expiry ----------------------------------------------------------------

bool record_index::is_expiry_due(std::uint64_t now_ms) const {
  return !log_.empty() && log_.front().added_at_ms + retention_ms() < now_ms;
}

expired_records record_index::expire(std::uint64_t now_ms) {
  expired_records expired;
  const std::uint64_t retention = retention_ms();
  for (std::size_t visits = 0; visits < max_visits && !log_.empty(); ++visits) {
    log_entry entry = log_.front();
    if (entry.added_at_ms + retention >= now_ms) {
      break;
    }
    log_.pop_front();
    ++first_position_;
    const char kind = static_cast<char>(entry.kind);
    std::string key = key_of(kind, entry.attempt);
    const auto found = attempts_.find(entry.attempt);
    if (found == attempts_.end() || (found->second.kinds & bit_of(kind)) == 0) {
      continue;
    }
    const fate decided = decide_expiry(kind, found->second, now_ms);
    if (decided == fate::removed) {
      pending_.erase(key);
      erase(entry);
      expired.removed.push_back(std::move(key));
      continue;
    }
    entry.added_at_ms = now_ms;
    log_.push_back(entry);
    auto& keys = decided == fate::kept ? expired.kept : expired.to_settle;
    keys.push_back(std::move(key));
  }
  return expired;
}

record_index::fate record_index::decide_expiry(char kind, attempt_state& state,
                                               std::uint64_t now_ms) {
  if (kind == turn_kind) {
    return decide_turn_expiry(state, now_ms);
  }
  // A settled attempt counts by what it used.
  const bool is_superseded = kind == reservation_kind && state.settled;
  return is_superseded || !is_program_active(state, now_ms) ? fate::removed
                                                            : fate::kept;
}

record_index::fate record_index::decide_turn_expiry(attempt_state& state,
                                                    std::uint64_t now_ms) {
  if (state.touched_s * ms_per_second + retention_ms() >= now_ms &&
      state.touched_s > 0) {
    return fate::kept;
  }
  state.due = true;
  if (!state.released && state.successors == 0) {
    release(state);
  }
  if (!state.released) {
    return fate::kept;
  }
  const bool is_settled_apart = (state.kinds & bit_of(settlement_kind)) != 0;
  return is_settled_apart || !is_program_active(state, now_ms)
             ? fate::removed
             : fate::to_settle;
}

bool record_index::is_program_active(const attempt_state& attempt,
                                     std::uint64_t now_ms) const {
  const auto found = programs_.find(attempt.program);
  return found != programs_.end() &&
         found->second.active_ms + retention_ms() >= now_ms;
}

// Removes an attempt with its last record, and a program with its last attempt.
void record_index::erase(const log_entry& entry) {
  const auto found = attempts_.find(entry.attempt);
  attempt_state& state = found->second;
  const char kind = static_cast<char>(entry.kind);
  state.kinds &= static_cast<std::uint8_t>(~bit_of(kind));
  if (kind == turn_kind) {
    remove_retention(state.retention_s);
    state.previous = {};
    state.touched_s = 0;
    state.due = false;
    state.released = false;
  }
  if (state.kinds != 0) {
    return;
  }
  const record_id program = state.program;
  if (state.successors == 0) {
    attempts_.erase(found);
  } else {
    const std::uint32_t successors = state.successors;
    state = attempt_state{};
    state.successors = successors;
  }
  remove_from_program(program);
}

void record_index::remove_from_program(const record_id& program) {
  const auto found = programs_.find(program);
  if (found != programs_.end() && --found->second.stored_attempts == 0) {
    programs_.erase(found);
  }
}

}  // namespace trayrock
