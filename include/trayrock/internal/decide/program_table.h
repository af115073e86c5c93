// Programs of the owned shards: order, history, budget.
//
// The book is a fold over records: what is written to the journal is what
// changes the state, live and when a successor reads it back. Applying a
// record twice changes nothing more. Decisions take a request and the state
// and give what to do; they change nothing themselves.
//
// Example:
//   program_table book;
//   book.apply(record);
//   call_decision decision = book.admit(request, terms, now);
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "trayrock/internal/failure.h"

namespace trayrock {

struct turn {
  wire::CallIntent intent;
  wire::CallOutcome outcome;
  bool settled = false;
};

struct program_state {
  wire::ProgramSpec spec;
  std::vector<turn> turns;
  std::uint64_t used_tokens = 0;
  std::uint64_t used_calls = 0;
  std::uint64_t reserved_tokens = 0;
  std::uint64_t reserved_calls = 0;
  std::uint64_t context_tokens = 0;   // of the conversation, as counted
  std::uint64_t attained_tokens = 0;  // service that the program has had
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t served_ms = 0;  // of all calls; pauses between do not count
  bool ended = false;
  // Attempts of the next sequence number that were given up: their keys are
  // used at the runners' nodes, so that the next attempt counts on from here.
  std::uint32_t dropped_attempts = 0;

  std::uint64_t next_sequence() const { return turns.size() + 1; }
  bool has_call_in_progress() const {
    return !turns.empty() && !turns.back().settled;
  }
  const turn* find_key(std::string_view idempotency_key) const;

  // The conversation with the program's model, answers included.
  std::vector<wire::Message> conversation() const;
};

// What the configuration says about the call.
struct call_settings {
  std::string service;
  bool conversational = true;  // a call of the program's own model
  bool repeatable = true;
  std::uint32_t max_tokens = 0;
};

// Run it: the intent is complete but for where it goes.
struct start_call {
  wire::CallIntent intent;
};
// The same request is running: join it.
struct join_call {
  std::uint64_t sequence;
};
// The same request is done: give the same answer.
struct replay_call {
  std::uint64_t sequence;
};
struct refuse_call {
  wire::Failure failure;
};
using call_decision =
    std::variant<start_call, join_call, replay_call, refuse_call>;

class program_table {
 public:
  // Applies one record; records of unknown programs are ignored.
  void apply(const wire::Record& record);

  // Decides on a call. Changes nothing.
  call_decision admit(const wire::CallRequest& request,
                      const call_settings& terms, std::uint64_t now_ms) const;

  // Whether a program may be opened; the failure's code is zero if so.
  wire::Failure check_open(const wire::ProgramSpec& spec) const;

  // The program if it is the member's; else the failure.
  std::variant<const program_state*, wire::Failure> find_for_workspace(
      std::string_view program, std::string_view member) const;

  const program_state* find(std::string_view program) const;

  std::vector<const program_state*> in_shard(std::uint32_t shard,
                                             std::uint32_t shards) const;
  std::vector<std::string> ids() const;
  std::size_t size() const { return programs_.size(); }

  // The program's state as one record.
  static wire::Record snapshot(const program_state& program,
                               std::uint32_t shard);

  // Forgets a program (its shard was given away, or it ended long ago).
  void remove(std::string_view program);

 private:
  program_state* find_mutable(std::string_view program);
  void apply_intent(const wire::CallIntent& intent);
  void apply_outcome(const wire::CallOutcome& outcome);
  void apply_snapshot(const wire::ProgramSnapshot& snapshot);
  void reserve(program_state& program, const wire::CallIntent& intent,
               bool give_back);
  void charge(program_state& program, std::uint64_t tokens);
  std::vector<program_state*> chargeable(program_state& program);
  wire::Failure check_budget(const program_state& program, std::uint64_t tokens,
                             std::uint64_t now_ms) const;

  std::unordered_map<std::string, program_state> programs_;
};

}  // namespace trayrock
