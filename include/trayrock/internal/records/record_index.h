// Index of the records of a store: turns, reservations, settlements.
//
// Memory holds only the metadata of durable records; their texts are read from
// disk through the given reader. No clock: the caller passes the time in
// milliseconds of a steady clock. Records are immutable; adding one again
// changes nothing. Records are numbered in the order of arrival, so that
// another store can resume reading from a position.
//
// A record expires at the end of its retention, unless something in use depends
// on it: a turn is kept for the turns that continue it, and what a program
// has used is kept for as long as the program has activity. A kept record gets
// a new position, so that each is visited once a retention, and a turn that is
// added visits no other turn than the one before it.
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
#include <map>
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

// Records that have reached the end of their retention, by key.
struct expired_records {
  std::vector<std::string> removed;  // no longer in the index
  std::vector<std::string> kept;     // still needed
  // Turns that are kept only for the tokens that they used. Once a settlement
  // of the attempt is added, the turn expires at the next visit.
  std::vector<std::string> to_settle;
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

  // Bounds the turns of one reply; the next ones are read from its gap on.
  static constexpr std::size_t max_chain_turns = 4096;

  explicit record_index(record_reader read_disk)
      : read_disk_(std::move(read_disk)) {}

  // How long records outlast their retention, since a program may resume just
  // before its end, and since stores receive a record at different times.
  void set_expiry_margin(std::uint64_t margin_ms) {
    expiry_margin_ms_ = margin_ms;
  }

  // Returns false if the record is stored already or has no kind.
  bool add(const records::Record& record, std::uint64_t now_ms);

  // As above, for a record that is no activity of its program by itself, whose
  // last activity was at `active_ms`: a copy from another store, or a
  // settlement that replaces a turn (expired_records).
  bool add_copy(const records::Record& record, std::uint64_t now_ms,
                std::uint64_t active_ms);

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

  // Reads the turn and those before it, `max_turns` at most.
  turn_chain chain(std::string_view attempt,
                   std::size_t max_turns = max_chain_turns) const;

  // Restarts the retention of a stored turn: another one may continue it.
  void touch(std::string_view attempt, std::uint64_t now_ms);

  // The turns of a program that were added or settled after a position; an
  // attempt is identified by the bytes of its id.
  std::vector<turn_usage> usage(std::string_view program,
                                std::uint64_t after = 0) const;

  // Position of the last change of any program's usage.
  std::uint64_t usage_position() const { return usage_position_; }

  // When the program of a stored record was active last; in the future while a
  // turn may run. Nothing if it has no program.
  std::optional<std::uint64_t> program_active_ms(std::string_view key) const;

  // How many turns of a program are stored.
  std::size_t turns_of(std::string_view program) const;

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

  // Whether a record has reached the end of its retention: the longest of all
  // turns in the index, and a margin.
  bool is_expiry_due(std::uint64_t now_ms) const;

  // Removes records that have reached the end of their retention and are not
  // needed. Visits a bounded number; more may be due afterwards.
  expired_records expire(std::uint64_t now_ms);

  std::size_t size() const { return log_.size(); }

 private:
  // Of programs whose turns are not stored, which have no retention.
  static constexpr std::uint32_t default_retention_s = 600;

  struct attempt_state {
    record_id program;
    record_id previous;  // that the turn continues; zero: none
    std::uint32_t reserved = 0;
    std::uint32_t used = 0;
    // Turns in the index that continue this one and are not released. They
    // may arrive before this one.
    std::uint32_t successors = 0;
    std::uint32_t retention_s = 0;  // of the turn
    std::uint32_t touched_s = 0;    // when the turn was read last; 0: never
    std::uint8_t kinds = 0;  // a bit for each kind of record that is stored
    bool settled = false;
    bool due = false;       // the turn has reached the end of its retention
    bool released = false;  // the turn is due, and so are all its successors
  };
  struct line_placement {
    std::uint64_t line = 0;
    std::uint32_t endpoint = 0;  // index into endpoints_
  };
  struct usage_change {
    record_id attempt;
    std::uint64_t position = 0;
  };
  struct program_state {
    std::vector<usage_change> attempts;  // the last change of each, in order
    std::vector<line_placement> lines;   // the last one used is at the end
    std::uint32_t placed_turns = 0;
    std::uint32_t stored_attempts = 0;
    // When its last record was added, or its longest open turn ends.
    std::uint64_t active_ms = 0;
  };
  struct log_entry {
    record_id attempt;
    std::uint64_t added_at_ms : 56;
    std::uint64_t kind : 8;
  };
  enum class fate { removed, kept, to_settle };

  bool insert(const records::Record& record, std::uint64_t now_ms,
              std::uint64_t active_ms);
  void apply(const records::Record& record, std::uint64_t active_ms,
             attempt_state& state);
  void add_to_program(const std::string& program, const record_id& attempt,
                      std::uint64_t active_ms, attempt_state& state);
  void move_to_end(program_state& program, const record_id& attempt);
  void place(const records::Settlement& made);
  std::uint32_t number_of(const std::string& endpoint);

  // ---- Expiry (record_index_expiry.cc) ----
  void add_retention(std::uint32_t retention_s);
  void remove_retention(std::uint32_t retention_s);
  std::uint64_t retention_ms() const;
  void hold(record_id turn);
  void release(attempt_state& turn);
  bool is_program_active(const attempt_state& attempt,
                         std::uint64_t now_ms) const;
  fate decide_expiry(char kind, attempt_state& state, std::uint64_t now_ms);
  fate decide_turn_expiry(attempt_state& state, std::uint64_t now_ms);
  void erase(const log_entry& entry);
  void remove_from_program(const record_id& program);

  record_reader read_disk_;
  std::deque<log_entry> log_;
  std::uint64_t first_position_ = 1;
  std::unordered_map<record_id, attempt_state, record_id_hash> attempts_;
  std::unordered_map<record_id, program_state, record_id_hash> programs_;
  std::vector<std::string> endpoints_;
  std::unordered_map<std::string, std::uint32_t> endpoint_numbers_;
  std::unordered_map<std::string, records::Record> pending_;
  std::map<std::uint32_t, std::size_t> retentions_;  // turns by retention_s
  std::uint32_t retention_s_ = default_retention_s;  // the longest one
  std::uint64_t expiry_margin_ms_ = 60000;
  std::uint64_t usage_position_ = 0;
};

}  // namespace trayrock
