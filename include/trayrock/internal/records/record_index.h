// What a record store holds: turns, reservations, settlements.
//
// In memory is only what decisions need, about 200 bytes a turn; the texts are
// on the disk, through the reader that the book is given, and in memory only
// until they are durable there. No clock: the caller gives the time in
// milliseconds of a steady clock. Records are immutable; adding one again
// changes nothing. The book numbers the records in the order in which they
// came, so that another store can read on from a position.
//
// Example:
//   record_index book(read_from_disk);
//   if (book.add(record, now)) write_to_disk(record);  // then book.durable()
//   book.usage("program-1");
//   book.chain("attempt-3").text;
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/token_budget.h"
#include "trayrock/internal/records/record_id.h"

namespace trayrock {

// The key of a record on disk and between stores: a letter for its kind and
// the sixteen bytes of its attempt's id. Empty for a record of no kind.
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

class record_index {
 public:
  using record_reader =
      std::function<std::optional<records::Record>(const std::string& key)>;

  // One record in the order of arrival.
  struct numbered_key {
    std::uint64_t position = 0;
    std::uint64_t added_at_ms = 0;
    std::string key;
  };

  explicit record_index(record_reader read_disk)
      : read_disk_(std::move(read_disk)) {}

  // False when the record is held already or names nothing.
  bool add(const records::Record& record, std::uint64_t now_ms);

  // As above, for a record that is on the disk already.
  bool add_durable(const records::Record& record, std::uint64_t now_ms);

  // The record of this key is on the disk now.
  void durable(const std::string& key) { pending_.erase(key); }

  bool has(const std::string& key) const;

  // The whole record, or nothing if it is not held.
  std::optional<records::Record> find(const std::string& key) const;

  turn_chain chain(std::string_view attempt) const;

  // All turns of a program; an attempt is named by the bytes of its id.
  std::vector<turn_usage> usage(std::string_view program) const;

  // Keys of the records behind a position, oldest first.
  std::vector<numbered_key> after(std::uint64_t position,
                                  std::size_t most) const;

  // The position of the newest record.
  std::uint64_t position() const { return first_position_ + log_.size() - 1; }

  // Forgets what is older than its retention and a margin, and returns the
  // keys of the records that went.
  std::vector<std::string> expire(std::uint64_t now_ms);

  std::size_t size() const { return log_.size(); }

 private:
  // What is known of one attempt.
  struct attempt_state {
    record_id program;
    std::uint32_t reserved = 0;
    std::uint32_t used = 0;
    std::uint8_t kinds = 0;  // a bit for each kind of record that is held
    bool settled = false;
  };
  struct log_entry {
    record_id attempt;
    std::uint64_t added_at_ms : 56;
    std::uint64_t kind : 8;
  };

  bool note(const records::Record& record, std::uint64_t now_ms);
  void apply(const records::Record& record, attempt_state& state);
  void note_program(const std::string& program, const record_id& attempt,
                    attempt_state& state);
  void drop(const log_entry& entry);

  record_reader read_disk_;
  std::deque<log_entry> log_;
  std::uint64_t first_position_ = 1;
  std::unordered_map<record_id, attempt_state, record_id_hash> attempts_;
  std::unordered_map<record_id, std::vector<record_id>, record_id_hash>
      programs_;
  std::unordered_map<std::string, records::Record> pending_;
  std::uint32_t longest_retention_s_ = 0;
};

}  // namespace trayrock
