#include "trayrock/internal/records/record_index.h"

#include <algorithm>
#include <iterator>

#include "record_kinds.h"

namespace trayrock {

using namespace internal;

namespace {

// Bounds the lines of a program whose endpoints are known: more than run at the
// same time. The least recently used one is dropped.
constexpr std::size_t max_lines = 64;

// Identifies a record.
struct record_name {
  char kind = 0;
  record_id attempt;
};

record_name name_of(const records::Record& record) {
  switch (record.kind_case()) {
    case records::Record::kReservation:
      return {reservation_kind, id_of(record.reservation().attempt())};
    case records::Record::kSettlement:
      return {settlement_kind, id_of(record.settlement().attempt())};
    case records::Record::kTurn:
      return {turn_kind, id_of(record.turn().attempt())};
    case records::Record::KIND_NOT_SET:
      break;
  }
  return {};
}

// A reserved turn may run until its time limit.
std::uint64_t active_until_ms(const records::Record& record,
                              std::uint64_t now_ms) {
  constexpr std::uint64_t ms_per_second = 1000;
  return now_ms + record.reservation().time_limit_s() * ms_per_second;
}

}  // namespace

std::string record_key(const records::Record& record) {
  const record_name name = name_of(record);
  return name.kind == 0 ? std::string() : key_of(name.kind, name.attempt);
}

bool record_index::add(const records::Record& record, std::uint64_t now_ms) {
  return add_copy(record, now_ms, active_until_ms(record, now_ms));
}

bool record_index::add_copy(const records::Record& record, std::uint64_t now_ms,
                            std::uint64_t active_ms) {
  if (!insert(record, now_ms, active_ms)) {
    return false;
  }
  pending_.emplace(record_key(record), record);
  return true;
}

bool record_index::add_durable(const records::Record& record,
                               std::uint64_t now_ms) {
  return insert(record, now_ms, active_until_ms(record, now_ms));
}

// Adds everything except the record's text.
bool record_index::insert(const records::Record& record, std::uint64_t now_ms,
                          std::uint64_t active_ms) {
  const record_name name = name_of(record);
  if (name.kind == 0) {
    return false;
  }
  attempt_state& state = attempts_[name.attempt];
  if ((state.kinds & bit_of(name.kind)) != 0) {
    return false;
  }
  state.kinds |= bit_of(name.kind);
  log_.push_back({name.attempt, now_ms, static_cast<std::uint64_t>(name.kind)});
  apply(record, active_ms, state);
  return true;
}

void record_index::apply(const records::Record& record, std::uint64_t active_ms,
                         attempt_state& state) {
  if (record.has_reservation()) {
    const records::Reservation& made = record.reservation();
    state.reserved = static_cast<std::uint32_t>(made.tokens());
    add_to_program(made.program(), id_of(made.attempt()), active_ms, state);
  } else if (record.has_settlement()) {
    const records::Settlement& made = record.settlement();
    state.settled = true;
    state.used =
        std::max(state.used, static_cast<std::uint32_t>(made.tokens()));
    add_to_program(made.program(), id_of(made.attempt()), active_ms, state);
    place(made);
  } else {
    const records::Turn& made = record.turn();
    state.due = false;
    state.released = false;
    state.retention_s = made.retention_s();
    add_retention(made.retention_s());
    if (!made.previous().empty()) {
      state.previous = id_of(made.previous());
      hold(state.previous);
    }
    if (!made.program().empty()) {
      state.settled = true;
      state.used =
          std::max(state.used, static_cast<std::uint32_t>(made.tokens()));
      add_to_program(made.program(), id_of(made.attempt()), active_ms, state);
    }
  }
}

void record_index::add_to_program(const std::string& program,
                                  const record_id& attempt,
                                  std::uint64_t active_ms,
                                  attempt_state& state) {
  const bool is_new = state.program == record_id{};
  if (is_new) {
    state.program = id_of(program);
  }
  program_state& made = programs_[state.program];
  made.active_ms = std::max(made.active_ms, active_ms);
  if (is_new) {
    made.attempts.push_back({attempt, ++usage_position_});
    ++made.stored_attempts;
  } else {
    move_to_end(made, attempt);
  }
}

// The attempt has changed. It is usually one of the last ones.
void record_index::move_to_end(program_state& program,
                               const record_id& attempt) {
  const auto found = std::find_if(
      program.attempts.rbegin(), program.attempts.rend(),
      [&](const usage_change& each) { return each.attempt == attempt; });
  if (found != program.attempts.rend()) {
    program.attempts.erase(std::prev(found.base()));
  }
  program.attempts.push_back({attempt, ++usage_position_});
}

void record_index::place(const records::Settlement& made) {
  if (made.endpoint().empty()) {
    return;
  }
  program_state& program = programs_[id_of(made.program())];
  std::erase_if(program.lines, [&](const line_placement& each) {
    return each.line == made.line();
  });
  if (program.lines.size() == max_lines) {
    program.lines.erase(program.lines.begin());
  }
  program.lines.push_back({made.line(), number_of(made.endpoint())});
  ++program.placed_turns;
}

std::uint32_t record_index::number_of(const std::string& endpoint) {
  const auto [known, added] = endpoint_numbers_.try_emplace(
      endpoint, static_cast<std::uint32_t>(endpoints_.size()));
  if (added) {
    endpoints_.push_back(endpoint);
  }
  return known->second;
}

bool record_index::has(const std::string& key) const {
  if (key.empty()) {
    return false;
  }
  const auto found =
      attempts_.find(id_from_bytes(std::string_view(key).substr(1)));
  return found != attempts_.end() &&
         (found->second.kinds & bit_of(key.front())) != 0;
}

std::optional<records::Record> record_index::find(
    const std::string& key) const {
  const auto pending = pending_.find(key);
  if (pending != pending_.end()) {
    return pending->second;
  }
  return has(key) ? read_disk_(key) : std::nullopt;
}

turn_chain record_index::chain(std::string_view attempt,
                               std::size_t max_turns) const {
  std::vector<records::Record> turns;
  turn_chain made;
  std::string next(attempt);
  while (!next.empty()) {
    std::optional<records::Record> record;
    if (turns.size() < max_turns) {
      record = find(key_of(turn_kind, id_of(next)));
    }
    if (!record || record->turn().attempt() != next) {
      made.gap = next;
      break;
    }
    next = record->turn().previous();
    turns.push_back(std::move(*record));
  }
  made.found = !turns.empty();
  made.unreadable = !made.found && has(key_of(turn_kind, id_of(attempt)));
  made.endpoint = made.found ? turns.front().turn().endpoint() : std::string();
  for (auto each = turns.rbegin(); each != turns.rend(); ++each) {
    made.text.append(each->turn().input()).append(each->turn().output());
  }
  return made;
}

std::vector<turn_usage> record_index::usage(std::string_view program,
                                            std::uint64_t after) const {
  std::vector<turn_usage> found;
  const auto known = programs_.find(id_of(program));
  if (known == programs_.end()) {
    return found;
  }
  const auto& attempts = known->second.attempts;
  const auto first = std::partition_point(
      attempts.begin(), attempts.end(),
      [after](const usage_change& each) { return each.position <= after; });
  for (auto each = first; each != attempts.end(); ++each) {
    const auto state = attempts_.find(each->attempt);
    if (state != attempts_.end()) {
      found.push_back({bytes_of(each->attempt), state->second.reserved,
                       state->second.settled, state->second.used});
    }
  }
  return found;
}

std::optional<std::uint64_t> record_index::program_active_ms(
    std::string_view key) const {
  const auto state = attempts_.find(id_from_bytes(key.substr(1)));
  if (state == attempts_.end()) {
    return std::nullopt;
  }
  const auto program = programs_.find(state->second.program);
  return program == programs_.end() ? std::nullopt
                                    : std::optional(program->second.active_ms);
}

std::size_t record_index::turns_of(std::string_view program) const {
  const auto known = programs_.find(id_of(program));
  return known == programs_.end() ? 0 : known->second.stored_attempts;
}

last_placement record_index::last_endpoint(std::string_view program,
                                           std::uint64_t line) const {
  const auto known = programs_.find(id_of(program));
  if (known == programs_.end() || known->second.lines.empty()) {
    return {};
  }
  const std::vector<line_placement>& lines = known->second.lines;
  const auto same =
      std::find_if(lines.begin(), lines.end(),
                   [line](const auto& each) { return each.line == line; });
  const bool of_line = same != lines.end();
  const line_placement& found = of_line ? *same : lines.back();
  return {endpoints_[found.endpoint], known->second.placed_turns, of_line};
}

void record_index::visit_after(std::uint64_t position,
                               const key_visitor& visit) const {
  const std::uint64_t first =
      position < first_position_ ? 0 : position - first_position_ + 1;
  for (std::uint64_t i = first; i < log_.size(); ++i) {
    const log_entry& each = log_[i];
    const numbered_key key{first_position_ + i, each.added_at_ms,
                           key_of(static_cast<char>(each.kind), each.attempt)};
    if (!visit(key)) {
      return;
    }
  }
}

}  // namespace trayrock
