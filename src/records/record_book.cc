#include "trayrock/internal/records/record_book.h"

#include <algorithm>

namespace trayrock {
namespace {

constexpr char reservation_prefix = 'r';
constexpr char settlement_prefix = 's';
constexpr char turn_prefix = 't';

// Records are kept beyond the retention, since a program may come back at its
// end and go on for a while, and since clocks of stores start at different
// times.
constexpr std::uint64_t expiry_margin_ms = 60000;
constexpr std::uint64_t ms_per_second = 1000;
// Longer chains are cut: 360 turns are the most that the capacity page reckons
// with, and a damaged record must not make an endless one.
constexpr std::size_t longest_chain = 4096;

std::string key_of(char kind, std::string_view attempt) {
  return std::string(1, kind) + "/" + std::string(attempt);
}

}  // namespace

std::string record_key(const records::Record& record) {
  switch (record.kind_case()) {
    case records::Record::kReservation:
      return key_of(reservation_prefix, record.reservation().attempt());
    case records::Record::kSettlement:
      return key_of(settlement_prefix, record.settlement().attempt());
    case records::Record::kTurn:
      return key_of(turn_prefix, record.turn().attempt());
    case records::Record::KIND_NOT_SET:
      break;
  }
  return {};
}

bool record_book::add(records::Record record, std::uint64_t now_ms) {
  const std::string key = record_key(record);
  if (key.empty() || by_key_.contains(key)) {
    return false;
  }
  const auto held = std::make_shared<const records::Record>(std::move(record));
  by_key_.emplace(key, held);
  bytes_ += held->ByteSizeLong();
  log_.push_back({next_position_++, now_ms, held});
  apply(*held);
  return true;
}

void record_book::apply(const records::Record& record) {
  if (record.has_reservation()) {
    const records::Reservation& made = record.reservation();
    turn_usage& turn = programs_[made.program()].turns[made.attempt()];
    turn.attempt = made.attempt();
    turn.reserved = std::max(turn.reserved, made.tokens());
  } else if (record.has_settlement()) {
    const records::Settlement& made = record.settlement();
    settle(made.program(), made.attempt(), made.tokens());
  } else if (record.has_turn()) {
    const records::Turn& made = record.turn();
    longest_retention_s_ = std::max(longest_retention_s_, made.retention_s());
    if (!made.program().empty()) {
      settle(made.program(), made.attempt(), made.tokens());
    }
  }
}

void record_book::settle(const std::string& program, const std::string& attempt,
                         std::uint64_t used) {
  turn_usage& turn = programs_[program].turns[attempt];
  turn.attempt = attempt;
  turn.settled = true;
  turn.used = std::max(turn.used, used);
}

bool record_book::has_turn(std::string_view attempt) const {
  return by_key_.contains(key_of(turn_prefix, attempt));
}

turn_chain record_book::chain(std::string_view attempt) const {
  std::vector<const records::Turn*> turns;
  turn_chain made;
  std::string next(attempt);
  while (!next.empty() && turns.size() < longest_chain) {
    const auto held = by_key_.find(key_of(turn_prefix, next));
    if (held == by_key_.end()) {
      made.gap = next;
      break;
    }
    turns.push_back(&held->second->turn());
    next = turns.back()->previous();
  }
  made.found = !turns.empty();
  made.endpoint = made.found ? turns.front()->endpoint() : std::string();
  for (auto turn = turns.rbegin(); turn != turns.rend(); ++turn) {
    made.text.append((*turn)->input()).append((*turn)->output());
  }
  return made;
}

std::vector<turn_usage> record_book::usage(std::string_view program) const {
  std::vector<turn_usage> found;
  const auto held = programs_.find(std::string(program));
  if (held != programs_.end()) {
    for (const auto& [attempt, turn] : held->second.turns) {
      found.push_back(turn);
    }
  }
  return found;
}

std::vector<record_book::numbered_record> record_book::after(
    std::uint64_t position, std::size_t max_bytes) const {
  const auto first =
      std::upper_bound(log_.begin(), log_.end(), position,
                       [](std::uint64_t at, const numbered_record& each) {
                         return at < each.position;
                       });
  std::vector<numbered_record> found;
  std::size_t bytes = 0;
  for (auto each = first; each != log_.end() && bytes < max_bytes; ++each) {
    bytes += each->record->ByteSizeLong();
    found.push_back(*each);
  }
  return found;
}

record_book::record_ptr record_book::find(const std::string& key) const {
  const auto held = by_key_.find(key);
  return held == by_key_.end() ? nullptr : held->second;
}

std::vector<std::string> record_book::expire(std::uint64_t now_ms) {
  const std::uint64_t kept_ms =
      longest_retention_s_ * ms_per_second + expiry_margin_ms;
  std::vector<std::string> gone;
  while (longest_retention_s_ > 0 && !log_.empty() &&
         log_.front().added_at_ms + kept_ms < now_ms) {
    const record_ptr record = log_.front().record;
    log_.pop_front();
    gone.push_back(record_key(*record));
    by_key_.erase(gone.back());
    bytes_ -= record->ByteSizeLong();
    drop(*record);
  }
  return gone;
}

// A program's usage goes when the last of its records has gone.
void record_book::drop(const records::Record& record) {
  std::string program;
  std::string attempt;
  if (record.has_reservation()) {
    program = record.reservation().program();
    attempt = record.reservation().attempt();
  } else if (record.has_settlement()) {
    program = record.settlement().program();
    attempt = record.settlement().attempt();
  } else {
    program = record.turn().program();
    attempt = record.turn().attempt();
  }
  if (by_key_.contains(key_of(settlement_prefix, attempt)) ||
      by_key_.contains(key_of(turn_prefix, attempt)) ||
      by_key_.contains(key_of(reservation_prefix, attempt))) {
    return;
  }
  const auto found = programs_.find(program);
  if (found == programs_.end()) {
    return;
  }
  found->second.turns.erase(attempt);
  if (found->second.turns.empty()) {
    programs_.erase(found);
  }
}

}  // namespace trayrock
