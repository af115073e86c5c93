// The state machine that writes one journal: a sequence of numbered segment
// objects, each created only if it is absent. It does no I/O: the caller
// performs the actions and reports their results.
//
// One write is in progress at a time and carries the pending records (group
// commit). If its result is unknown, the segment is read back. A record is
// acknowledged once its segment is stored or the copy holder, another node, has
// it; the journal must name the holder before the holder is used. A segment
// that holds a successor's seal ends the journal.
//
// Example:
//   journal_writer writer("n1.000-ab", options);
//   writer.append(record, now);
//   for (const journal_action& each : writer.poll(now)) perform(each);
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trayrock.pb.h"

namespace trayrock {

struct journal_options {
  std::uint64_t commit_interval_ms = 0;  // minimum time between writes
  std::uint64_t copy_after_ms = 0;       // age at which records are copied
  std::uint64_t retry_delay_ms = 100;    // after an unknown result
  std::size_t segment_bytes = 900000;    // the platform stores up to 1 MB
};

// Create the segment with these bytes if it is absent.
struct put_segment {
  std::uint64_t number;
  std::string bytes;
};
// Read the segment back to find out who wrote it.
struct read_segment {
  std::uint64_t number;
};
// Send these records to the copy holder.
struct send_copy {
  std::string address;
  wire::CopyAppend message;
};
// All records that a former copy holder has are stored: it may drop them.
struct release_copies {
  std::string address;
};
// Every record up to this sequence number is durable.
struct acknowledge {
  std::uint64_t up_to;
};
// A successor sealed the journal: this process no longer owns its shards.
struct step_down {
  std::string successor;
};
using journal_action = std::variant<put_segment, read_segment, send_copy,
                                    release_copies, acknowledge, step_down>;
using journal_actions = std::vector<journal_action>;

enum class put_outcome { stored, exists, uncertain };

class journal_writer {
 public:
  journal_writer(std::string journal, journal_options options);

  const std::string& journal() const { return journal_; }

  // Adds a record and returns its sequence number; the first is 1.
  std::uint64_t append(wire::Record record, std::uint64_t now_ms);

  // Replaces the copy holder. No copies are sent until its name is stored.
  void set_holder(const wire::CopyHolderNamed& holder, std::uint64_t now_ms);

  // Stops using the copy holder. Its copies are released once their records
  // are stored.
  void drop_holder();
  // True while a former holder may still have records of this journal.
  bool has_former_holders() const { return !former_holders_.empty(); }

  // The actions that are due.
  journal_actions poll(std::uint64_t now_ms);

  // The result of a put_segment.
  journal_actions on_put_result(std::uint64_t number, put_outcome outcome,
                                std::uint64_t now_ms);

  // The result of a read_segment; nothing if the segment is absent.
  journal_actions on_read_result(std::uint64_t number,
                                 const std::optional<wire::Segment>& found,
                                 std::uint64_t now_ms);

  // The read_segment failed; it is retried after a delay.
  void on_read_failed(std::uint64_t now_ms);

  // The copy holder has the records up to this sequence number.
  journal_actions on_copy_ack(std::uint64_t held_up_to);
  void on_copy_failed(std::uint64_t now_ms);

  void set_commit_interval(std::uint64_t interval_ms) {
    options_.commit_interval_ms = interval_ms;
  }

  bool sealed() const { return sealed_; }
  std::uint64_t acknowledged() const { return acknowledged_; }
  std::uint64_t stored_up_to() const { return stored_up_to_; }
  std::uint64_t last_sequence() const { return next_sequence_ - 1; }
  // Number of segments that are known to be stored.
  std::uint64_t segments() const { return next_segment_; }
  const std::optional<wire::CopyHolderNamed>& holder() const { return holder_; }
  std::size_t pending_bytes() const { return pending_bytes_; }

  // Records not known to be stored, for a successor that requests them.
  std::vector<wire::Record> unstored() const;

  // Stops permanently, as if sealed: nothing more is acknowledged.
  void stop() { sealed_ = true; }

 private:
  struct pending_record {
    wire::Record record;
    std::size_t bytes;
    std::uint64_t added_ms;
  };
  enum class write_state { putting, uncertain, reading };
  struct pending_write {
    std::uint64_t number;
    std::string bytes;
    std::uint64_t last_sequence;
    write_state state;
    std::uint64_t retry_at_ms;
  };

  void add_write(std::uint64_t now_ms, journal_actions& actions);
  void add_copy(std::uint64_t now_ms, journal_actions& actions);
  void add_trim(journal_actions& actions);
  void add_releases(journal_actions& actions);
  void on_stored(journal_actions& actions);
  void raise_acknowledged(std::uint64_t up_to, journal_actions& actions);
  bool holder_is_usable() const;

  std::string journal_;
  journal_options options_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_segment_ = 0;
  std::uint64_t stored_up_to_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t copied_up_to_ = 0;
  std::uint64_t trimmed_up_to_ = 0;
  std::uint64_t next_write_ms_ = 0;
  std::uint64_t next_copy_ms_ = 0;
  std::size_t pending_bytes_ = 0;
  bool copy_in_progress_ = false;
  bool sealed_ = false;
  std::deque<pending_record> pending_;
  std::optional<pending_write> write_;
  std::optional<wire::CopyHolderNamed> holder_;
  std::uint64_t holder_named_in_ = 0;
  struct former_holder {
    std::string address;
    std::uint64_t last_sequence;  // of the records that it may have
  };
  std::deque<former_holder> former_holders_;
};

// Reads the records of a journal in order and skips duplicates.
class journal_reader {
 public:
  // Returns the records with sequence numbers not read before.
  std::vector<wire::Record> read(const wire::Segment& segment);
  std::vector<wire::Record> read_tail(const std::vector<wire::Record>& records);

  // The last copy holder named in the records that were read.
  const std::optional<wire::CopyHolderNamed>& holder() const { return holder_; }

 private:
  std::uint64_t read_up_to_ = 0;
  std::optional<wire::CopyHolderNamed> holder_;
};

}  // namespace trayrock
