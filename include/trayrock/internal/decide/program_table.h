// State of the programs in the owned shards: turns, budgets, reservations.
//
// Only journal records change the state, both in operation and when a
// successor replays them. Applying a record twice has no further effect, and
// deciding on a request doesn't change the state.
//
// Example:
//   program_table programs;
//   programs.apply(record);
//   call_decision decision = programs.admit(request, settings, now);
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
  std::uint64_t context_tokens = 0;   // length of the conversation
  std::uint64_t attained_tokens = 0;  // computed tokens, cache hits excluded
  std::uint64_t recomputed_tokens = 0;
  std::uint64_t served_ms = 0;  // sum over calls, without the time between
  bool ended = false;
  // The last attempt of the next sequence number, if its call was dropped. The
  // endpoints' nodes keep the keys of such attempts, so the next call continues
  // the numbering.
  std::uint32_t dropped_attempts = 0;
  // Processes that ended under the last failed call, and its content. A repeat
  // of that content continues the count.
  std::uint32_t ended_processes = 0;
  std::uint64_t ended_content = 0;

  std::uint64_t next_sequence() const { return turns.size() + 1; }
  bool has_call_in_progress() const {
    return !turns.empty() && !turns.back().settled;
  }
  const turn* find_turn(std::string_view idempotency_key) const;

  // The conversation with the program's model, including its responses.
  std::vector<wire::Message> conversation() const;
};

// Endpoints and nodes that may end under one call and its repeats.
constexpr std::uint32_t max_ended_processes = 3;

// The settings that apply to a call, from the configuration.
struct call_settings {
  std::string service;
  bool conversational = true;  // calls the program's own model
  bool repeatable = true;
  std::uint32_t max_tokens = 0;
};

// Start the call: the intent is complete except for its destination.
struct start_call {
  wire::CallIntent intent;
};
// The same request is already running: wait for its outcome.
struct join_call {
  std::uint64_t sequence;
};
// The same request has completed: return its response again.
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

  // Decides whether a call starts; doesn't change the state.
  call_decision admit(const wire::CallRequest& request,
                      const call_settings& settings,
                      std::uint64_t now_ms) const;

  // Checks whether a program may be opened; the failure's code is zero if so.
  wire::Failure check_open(const wire::ProgramSpec& spec) const;

  // The program if it belongs to the workspace; else the failure.
  std::variant<const program_state*, wire::Failure> find_for_workspace(
      std::string_view program, std::string_view member) const;

  const program_state* find(std::string_view program) const;

  std::vector<const program_state*> in_shard(std::uint32_t shard,
                                             std::uint32_t shards) const;
  std::vector<std::string> ids() const;
  std::size_t size() const { return programs_.size(); }

  // The program's whole state as one record.
  static wire::Record snapshot(const program_state& program,
                               std::uint32_t shard);

  // Removes a program whose shard was handed over or which has ended.
  void remove(std::string_view program);

 private:
  program_state* find_mutable(std::string_view program);
  void apply_intent(const wire::CallIntent& intent);
  void apply_outcome(const wire::CallOutcome& outcome);
  void apply_snapshot(const wire::ProgramSnapshot& snapshot);
  void reserve(program_state& program, const wire::CallIntent& intent,
               bool release);
  void charge(program_state& program, std::uint64_t tokens);
  std::vector<program_state*> chargeable(program_state& program);
  wire::Failure check_budget(const program_state& program, std::uint64_t tokens,
                             std::uint64_t now_ms) const;

  std::unordered_map<std::string, program_state> programs_;
};

}  // namespace trayrock
