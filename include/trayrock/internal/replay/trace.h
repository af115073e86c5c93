// Recorded traces: programs with their calls, and the outcomes they must have.
//
// A trace is a file of JSON lines: first a header with the stated outcomes,
// then one program a line. Long texts stand as a size and a seed, from which
// the same bytes are made every time; programs that share a seed share a
// prefix. docs/TRACES.md gives the format.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/result.h"

namespace trayrock {

struct trace_message {
  std::string role = "user";
  std::uint64_t bytes = 0;
  std::uint64_t seed = 0;

  // The text that the size and seed stand for.
  std::string content() const;
};

struct trace_call {
  std::string service;         // empty: the program's own model
  std::uint64_t pause_ms = 0;  // of the tool before this call
  std::vector<trace_message> messages;
  std::uint32_t max_tokens = 0;
};

struct trace_program {
  std::string name;
  std::string parent;  // the name of an earlier program
  std::uint64_t at_ms = 0;
  std::string member;
  std::string declared;  // the Program that it is opened under
  std::string work_class;
  bool vanishes = false;  // the caller never ends it
  std::vector<trace_call> calls;
};

// What a run has to show; numbers are upper bounds.
struct trace_outcomes {
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t mixed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unfinished = 0;
};

struct trace {
  std::string name;
  std::uint64_t seed = 0;
  trace_outcomes outcomes;
  std::vector<trace_program> programs;
};

// Errors: errc::settings_unreadable, errc::malformed_request.
result<trace> read_trace(const std::string& path);
std::string trace_text(const trace& from);

// Shapes of the users' work; the same seed gives the same trace.
struct shape_options {
  std::string shape = "mixed";  // caroni, batangas, mixed
  std::uint64_t seed = 1;
  std::uint64_t programs = 100;
  std::uint64_t over_ms = 10000;  // arrivals are spread over this time
};
trace make_trace(const shape_options& options);

}  // namespace trayrock
