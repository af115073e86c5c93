// Simulates programs in virtual time: gateways, each with the product's own
// decision code and its own view of the load, send turns to simulated engines.
//
// Programs are as in docs/design/hard-load.md. Gateways and engines belong to
// three data centres; a program stays in one of them. All randomness comes from
// a seed, and runs of the same seed have the same programs. Left out: the time
// that messages take, failures, refusals, and clients that give up.
//
// Example:
//   load_case load;
//   load.gateways = 20;
//   const load_result seen = simulate(load);
//   seen.in_time_share(load.burst_from_ms, load.burst_to_ms);
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace trayrock::testing {

enum class placement {
  by_load,   // the criteria have no `turn`
  by_prompt  // as gateway/request_flow_endpoint.cc fills the criteria
};

struct load_case {
  placement places = placement::by_prompt;
  int gateways = 20;
  // The record stores tell every gateway where a session's last turn ran, and
  // whether a turn is the program's first. Otherwise a gateway knows only what
  // it sent itself.
  bool stores_know_placements = true;
  // Of the engines of a data centre, in turn.
  std::vector<double> speeds = {1};
  // Programs begin until `duration_ms`; those begun are played to their ends.
  double duration_ms = 12000;
  double burst_from_ms = 4000;
  double burst_to_ms = 7000;
  double burst_factor = 2.4;
  // Engine 0 becomes four times slower; 0: never.
  double slowdown_at_ms = 0;
  std::uint64_t seed = 1;
};

// Describes a case in messages of failed tests.
std::string text_of(const load_case& from);

struct program_outcome {
  double begun_ms = 0;
  double took_ms = 0;
  double idle_ms = 0;  // its time on idle engines of nominal speed
};

struct turn_outcome {
  std::size_t program = 0;
  std::size_t engine = 0;
  double sent_ms = 0;
  double took_ms = 0;
};

struct engine_outcome {
  double speed = 1;  // at the start
  double prefilled_tokens = 0;
  double output_tokens = 0;
};

struct load_result {
  std::vector<program_outcome> programs;
  std::vector<turn_outcome> turns;  // in the order in which they ended
  std::vector<engine_outcome> engines;
  double prompt_tokens = 0;      // of all turns
  double prefilled_tokens = 0;   // by all engines
  double first_read_tokens = 0;  // of parts that no engine had read before

  double share_read_again() const {
    return (prefilled_tokens - first_read_tokens) / prompt_tokens;
  }
  // Of the programs begun in [from, to).
  double in_time_share(double from_ms, double to_ms) const;
  // Programs begun in [from, to) that were late.
  std::size_t late_programs(double from_ms, double to_ms) const;
  // Of the turns sent in [from, to).
  double share_of_turns(std::size_t engine, double from_ms, double to_ms) const;
};

// In time: within this multiple of the time on idle engines.
constexpr double in_time_factor = 2.5;

load_result simulate(const load_case& load);

// The runs of a case with the seeds 1 to `seeds`, as one result; their turns
// and engines are left out.
load_result simulate_seeds(load_case load, std::uint64_t seeds);

}  // namespace trayrock::testing
