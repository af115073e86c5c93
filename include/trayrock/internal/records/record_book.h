// What a record store holds, in memory: turns, reservations, settlements.
//
// No I/O and no clock: the caller gives the time in milliseconds of a steady
// clock. Records are immutable; adding one again changes nothing. The book
// numbers the records in the order in which they came, so that another store
// can read on from a position.
//
// Example:
//   record_book book;
//   if (book.add(record, now)) write_to_disk(record);
//   book.usage("program-1");
//   book.chain("attempt-3").text;
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/token_budget.h"

namespace trayrock {

// The name of a record on disk and between stores: its kind and its attempt.
std::string record_key(const records::Record& record);

// The inputs and outputs of a turn and of those before it, oldest first.
struct turn_chain {
  bool found = false;  // the turn itself is held
  std::string text;
  // The newest turn before it that is not held; empty if the chain is whole.
  // The text then begins behind that turn.
  std::string gap;
  std::string endpoint;  // that made the turn's output
};

class record_book {
 public:
  using record_ptr = std::shared_ptr<const records::Record>;
  struct numbered_record {
    std::uint64_t position = 0;
    std::uint64_t added_at_ms = 0;
    record_ptr record;
  };

  // False when the record is held already or names nothing.
  bool add(records::Record record, std::uint64_t now_ms);

  bool has_turn(std::string_view attempt) const;

  turn_chain chain(std::string_view attempt) const;

  // All turns of a program.
  std::vector<turn_usage> usage(std::string_view program) const;

  // Records behind a position, oldest first, until `max_bytes` are reached.
  std::vector<numbered_record> after(std::uint64_t position,
                                     std::size_t max_bytes) const;

  bool has(const std::string& key) const { return by_key_.contains(key); }

  // The record of a key, or nullptr.
  record_ptr find(const std::string& key) const;

  // The position of the newest record.
  std::uint64_t position() const { return next_position_ - 1; }

  // Forgets what is older than its retention and a margin, and returns the
  // keys of the records that went.
  std::vector<std::string> expire(std::uint64_t now_ms);

  std::size_t size() const { return log_.size(); }
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct program_state {
    std::unordered_map<std::string, turn_usage> turns;
  };

  void apply(const records::Record& record);
  void settle(const std::string& program, const std::string& attempt,
              std::uint64_t used);
  void drop(const records::Record& record);

  std::deque<numbered_record> log_;
  std::unordered_map<std::string, record_ptr> by_key_;
  std::unordered_map<std::string, program_state> programs_;
  std::uint64_t next_position_ = 1;
  std::uint64_t bytes_ = 0;
  std::uint32_t longest_retention_s_ = 0;
};

}  // namespace trayrock
