// Index of the records of a store: turns, reservations, settlements.
//
// Memory holds only the metadata of durable records; their texts are read from
// disk through the given reader. No clock: the caller passes the time in
// milliseconds of a steady clock. Records are immutable; adding one again
// changes nothing. Records are numbered in the order of arrival, so that
// another store can resume reading from a position.
//
// Example:
//   record_index index(read_from_disk);
//   if (index.add(record, now)) write_to_disk(record);  // then index.durable()
//   index.usage("program-1");
//   index.chain("attempt-3").text;
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
// the 16 bytes of its attempt's id. Empty for a record without a kind.
std::string record_key(const records::Record& record);

// The inputs and outputs of a turn and of those before it, oldest first.
struct turn_chain {
  bool found = false;       // the turn itself is stored
  bool unreadable = false;  // the turn itself is stored and cannot be read
  std::string text;
  // The newest earlier turn that is missing; the text starts after it. Empty if
  // the chain is complete.
  std::string gap;
  std::string endpoint;  // that produced the turn's output
};

// Where the last turn of a line ran, as far as a store knows.
struct last_placement {
  std::string_view endpoint;  // empty: unknown
  std::uint32_t turns = 0;    // of the program whose endpoint is known
  bool of_line = false;       // else of another line of the program
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

  // Returns false if the record is stored already or has no kind.
  bool add(const records::Record& record, std::uint64_t now_ms);

  // As above, for a record that is on disk already.
  bool add_durable(const records::Record& record, std::uint64_t now_ms);

  // To be called once the record of this key is on disk; its text is then no
  // longer kept in memory.
  void durable(const std::string& key) { pending_.erase(key); }

  // True from the adding of a record until it is on disk.
  bool is_pending(const std::string& key) const {
    return pending_.contains(key);
  }

  bool has(const std::string& key) const;

  // The complete record, or nothing if it is not stored.
  std::optional<records::Record> find(const std::string& key) const;

  turn_chain chain(std::string_view attempt) const;

  // All turns of a program; an attempt is identified by the bytes of its id.
  std::vector<turn_usage> usage(std::string_view program) const;

  // The endpoint of the last turn of the line, or of the program if the line is
  // not known. Valid until the index changes.
  last_placement last_endpoint(std::string_view program,
                               std::uint64_t line) const;

  // Visits the keys of the records after a position, oldest first, until the
  // visitor returns false.
  using key_visitor = std::function<bool(const numbered_key&)>;
  void visit_after(std::uint64_t position, const key_visitor& visit) const;

  // The position of the newest record.
  std::uint64_t position() const { return first_position_ + log_.size() - 1; }

  // Removes records that are older than the longest retention and a margin, and
  // returns their keys.
  std::vector<std::string> expire(std::uint64_t now_ms);

  std::size_t size() const { return log_.size(); }

 private:
  struct attempt_state {
    record_id program;
    std::uint32_t reserved = 0;
    std::uint32_t used = 0;
    std::uint8_t kinds = 0;  // a bit for each kind of record that is stored
    bool settled = false;
  };
  struct line_placement {
    std::uint64_t line = 0;
    std::uint32_t endpoint = 0;  // index into endpoints_
  };
  struct program_state {
    std::vector<record_id> attempts;
    std::vector<line_placement> lines;  // the last one used is at the end
    std::uint32_t placed_turns = 0;
  };
  struct log_entry {
    record_id attempt;
    std::uint64_t added_at_ms : 56;
    std::uint64_t kind : 8;
  };

  bool insert(const records::Record& record, std::uint64_t now_ms);
  void apply(const records::Record& record, attempt_state& state);
  void add_to_program(const std::string& program, const record_id& attempt,
                      attempt_state& state);
  void place(const records::Settlement& made);
  std::uint32_t number_of(const std::string& endpoint);
  void erase(const log_entry& entry);

  record_reader read_disk_;
  std::deque<log_entry> log_;
  std::uint64_t first_position_ = 1;
  std::unordered_map<record_id, attempt_state, record_id_hash> attempts_;
  std::unordered_map<record_id, program_state, record_id_hash> programs_;
  std::vector<std::string> endpoints_;
  std::unordered_map<std::string, std::uint32_t> endpoint_numbers_;
  std::unordered_map<std::string, records::Record> pending_;
  std::uint32_t max_retention_s_ = 0;
};

}  // namespace trayrock
