// When a record is durable: the decisions of one journal's writer.
//
// A journal is a row of numbered segment objects, each made with
// create-if-absent. One write is under way at a time and carries all records
// that wait (group commit). A write whose answer was lost is settled by
// reading the segment back. A record counts as acknowledged when its segment
// is stored, or when the copy holder has it: one other node, named in the
// journal before it is used. A segment that turns out to be a successor's
// seal ends the journal for good.
//
// No I/O and no clock: the caller carries out the actions and reports back.
//
// Example:
//   journal_writer writer("n1.000-ab", options);
//   writer.append(record, now);
//   for (const journal_action& each : writer.poll(now)) carry_out(each);
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
  std::uint64_t commit_interval_ms = 0;  // between two writes
  std::uint64_t copy_after_ms = 0;       // age at which records are copied
  std::uint64_t retry_pause_ms = 100;    // after an uncertain answer
  std::size_t segment_bytes = 900000;    // the platform takes 1 MB
};

// Store these bytes as the segment of this number if it is absent.
struct put_segment {
  std::uint64_t number;
  std::string bytes;
};
// Read the segment back, to learn whose it is.
struct read_segment {
  std::uint64_t number;
};
// Send these records to the copy holder.
struct send_copy {
  std::string address;
  wire::CopyAppend message;
};
// What a former copy holder has is stored: it may drop it.
struct release_copies {
  std::string address;
};
// Every record up to this sequence number is durable.
struct acknowledge {
  std::uint64_t up_to;
};
// A successor sealed the journal: this process owns nothing any more.
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

  // Adds a record and gives its sequence number, from 1.
  std::uint64_t append(wire::Record record, std::uint64_t now_ms);

  // Names another copy holder. Copies stop until the name is stored.
  void set_holder(const wire::CopyHolderNamed& holder, std::uint64_t now_ms);

  // Stops using the holder; a new one must be named. What it has is released
  // once it is stored.
  void drop_holder();
  // True while a former holder may still keep records of this journal.
  bool has_former_holders() const { return !former_holders_.empty(); }

  // What is to be done now.
  journal_actions poll(std::uint64_t now_ms);

  // The answer to a put_segment.
  journal_actions on_put_result(std::uint64_t number, put_outcome outcome,
                                std::uint64_t now_ms);

  // The answer to a read_segment: nothing when it is absent.
  journal_actions on_read_result(std::uint64_t number,
                                 const std::optional<wire::Segment>& found,
                                 std::uint64_t now_ms);

  // The read_segment could not be answered; it is tried again.
  void on_read_failed(std::uint64_t now_ms);

  // The copy holder's answer to a send_copy.
  journal_actions on_copy_ack(std::uint64_t held_up_to);
  void on_copy_failed(std::uint64_t now_ms);

  void set_commit_interval(std::uint64_t interval_ms) {
    options_.commit_interval_ms = interval_ms;
  }

  bool sealed() const { return sealed_; }
  std::uint64_t acknowledged() const { return acknowledged_; }
  std::uint64_t stored_up_to() const { return stored_up_to_; }
  std::uint64_t last_sequence() const { return next_sequence_ - 1; }
  // One past the last segment known to be stored.
  std::uint64_t segments() const { return next_segment_; }
  const std::optional<wire::CopyHolderNamed>& holder() const { return holder_; }
  std::size_t pending_bytes() const { return waiting_bytes_; }

  // The records that are not known to be stored, for a successor that asks.
  std::vector<wire::Record> unstored() const;

  // Stops for good, as if sealed; nothing is acknowledged from here on.
  void stop() { sealed_ = true; }

 private:
  struct waiting_record {
    wire::Record record;
    std::size_t bytes;
    std::uint64_t since_ms;
  };
  enum class write_state { putting, uncertain, reading };
  struct write_under_way {
    std::uint64_t number;
    std::string bytes;
    std::uint64_t last_sequence;
    write_state state;
    std::uint64_t next_try_ms;
  };

  void add_write(std::uint64_t now_ms, journal_actions& actions);
  void add_copy(std::uint64_t now_ms, journal_actions& actions);
  void add_trim(journal_actions& actions);
  void add_releases(journal_actions& actions);
  void stored(journal_actions& actions);
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
  std::size_t waiting_bytes_ = 0;
  bool copy_under_way_ = false;
  bool sealed_ = false;
  std::deque<waiting_record> waiting_;
  std::optional<write_under_way> write_;
  std::optional<wire::CopyHolderNamed> holder_;
  std::uint64_t holder_named_in_ = 0;
  struct former_holder {
    std::string address;
    std::uint64_t last_sequence;  // may have records up to this one
  };
  std::deque<former_holder> former_holders_;
};

// Reads the records of a journal in order, each sequence number once.
class journal_reader {
 public:
  // Hands on the records that were not seen before.
  std::vector<wire::Record> read(const wire::Segment& segment);
  std::vector<wire::Record> read_tail(const std::vector<wire::Record>& records);

  // The last copy holder named in what was read.
  const std::optional<wire::CopyHolderNamed>& holder() const { return holder_; }

 private:
  std::uint64_t seen_up_to_ = 0;
  std::optional<wire::CopyHolderNamed> holder_;
};

}  // namespace trayrock
