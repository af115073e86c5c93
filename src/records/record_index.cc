#include "trayrock/internal/records/record_index.h"

#include <algorithm>

namespace trayrock {
namespace {

constexpr char reservation_kind = 'r';
constexpr char settlement_kind = 's';
constexpr char turn_kind = 't';

// Records outlive their retention by this, since a program may resume just
// before its end, and since the clocks of stores start at different times.
constexpr std::uint64_t expiry_margin_ms = 60000;
constexpr std::uint64_t ms_per_second = 1000;
// Bounds the turns of one reply; the next ones are read from its gap on.
constexpr std::size_t max_chain_turns = 4096;
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

std::uint8_t bit_of(char kind) {
  constexpr std::uint8_t reservation_bit = 1;
  constexpr std::uint8_t settlement_bit = 2;
  constexpr std::uint8_t turn_bit = 4;
  return kind == reservation_kind  ? reservation_bit
         : kind == settlement_kind ? settlement_bit
                                   : turn_bit;
}

std::string key_of(char kind, const record_id& attempt) {
  return std::string(1, kind) + bytes_of(attempt);
}

}  // namespace

std::string record_key(const records::Record& record) {
  const record_name name = name_of(record);
  return name.kind == 0 ? std::string() : key_of(name.kind, name.attempt);
}

bool record_index::add(const records::Record& record, std::uint64_t now_ms) {
  if (!insert(record, now_ms)) {
    return false;
  }
  pending_.emplace(record_key(record), record);
  return true;
}

bool record_index::add_durable(const records::Record& record,
                               std::uint64_t now_ms) {
  return insert(record, now_ms);
}

// Adds everything except the record's text.
bool record_index::insert(const records::Record& record, std::uint64_t now_ms) {
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
  apply(record, state);
  return true;
}

void record_index::apply(const records::Record& record, attempt_state& state) {
  if (record.has_reservation()) {
    const records::Reservation& made = record.reservation();
    state.reserved = static_cast<std::uint32_t>(made.tokens());
    add_to_program(made.program(), id_of(made.attempt()), state);
  } else if (record.has_settlement()) {
    const records::Settlement& made = record.settlement();
    state.settled = true;
    state.used =
        std::max(state.used, static_cast<std::uint32_t>(made.tokens()));
    add_to_program(made.program(), id_of(made.attempt()), state);
    place(made);
  } else {
    const records::Turn& made = record.turn();
    max_retention_s_ = std::max(max_retention_s_, made.retention_s());
    if (!made.program().empty()) {
      state.settled = true;
      state.used =
          std::max(state.used, static_cast<std::uint32_t>(made.tokens()));
      add_to_program(made.program(), id_of(made.attempt()), state);
    }
  }
}

void record_index::add_to_program(const std::string& program,
                                  const record_id& attempt,
                                  attempt_state& state) {
  if (state.program != record_id{}) {
    return;
  }
  state.program = id_of(program);
  programs_[state.program].attempts.push_back(attempt);
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

turn_chain record_index::chain(std::string_view attempt) const {
  std::vector<records::Record> turns;
  turn_chain made;
  std::string next(attempt);
  while (!next.empty()) {
    std::optional<records::Record> record =
        find(key_of(turn_kind, id_of(next)));
    if (!record || record->turn().attempt() != next ||
        turns.size() == max_chain_turns) {
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

std::vector<turn_usage> record_index::usage(std::string_view program) const {
  std::vector<turn_usage> found;
  const auto known = programs_.find(id_of(program));
  if (known == programs_.end()) {
    return found;
  }
  for (const record_id& attempt : known->second.attempts) {
    const auto state = attempts_.find(attempt);
    if (state != attempts_.end()) {
      found.push_back({bytes_of(attempt), state->second.reserved,
                       state->second.settled, state->second.used});
    }
  }
  return found;
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

std::vector<std::string> record_index::expire(std::uint64_t now_ms) {
  const std::uint64_t retention_ms =
      max_retention_s_ * ms_per_second + expiry_margin_ms;
  std::vector<std::string> expired;
  while (max_retention_s_ > 0 && !log_.empty() &&
         log_.front().added_at_ms + retention_ms < now_ms) {
    const log_entry oldest = log_.front();
    log_.pop_front();
    ++first_position_;
    expired.push_back(key_of(static_cast<char>(oldest.kind), oldest.attempt));
    pending_.erase(expired.back());
    erase(oldest);
  }
  return expired;
}

// Removes an attempt with its last record, and a program with its last attempt.
void record_index::erase(const log_entry& entry) {
  const auto found = attempts_.find(entry.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const char kind = static_cast<char>(entry.kind);
  found->second.kinds &= static_cast<std::uint8_t>(~bit_of(kind));
  if (found->second.kinds != 0) {
    return;
  }
  const auto program = programs_.find(found->second.program);
  if (program != programs_.end()) {
    std::erase(program->second.attempts, entry.attempt);
    if (program->second.attempts.empty()) {
      programs_.erase(program);
    }
  }
  attempts_.erase(found);
}

}  // namespace trayrock
