// What a request and an answer say about themselves, decoded once.
// The platform's adapter fills these in; nothing else reads the headers.
//
// Example:
//   const request_metadata facts = platform::decode_request(request);
//   if (facts.attempt.empty()) refuse();
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trayrock {

// A part of a prompt that several requests may share.
struct prompt_part {
  std::string id;
  std::uint64_t tokens = 0;
};

struct request_metadata {
  std::string attempt;  // a client's try, named by the client
  std::optional<std::chrono::milliseconds> time_left;  // the client's deadline
  std::string program;  // empty for requests outside of programs
  std::string session;  // one line of turns of a program
  std::optional<std::chrono::milliseconds> program_time_left;
  std::optional<std::uint64_t> token_budget;  // of the whole program
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::vector<prompt_part> prompt;  // in order
  std::string previous_turn;        // attempt that this turn goes on from
  std::string object;               // what the request is about, for locality
  // That the request shows; empty if it shows none, or more than one.
  std::string key;
};

struct response_metadata {
  std::string attempt;          // of the request that it answers; may be empty
  bool sealed = false;          // carries the endpoint's authentication code
  bool not_executed = false;    // the endpoint says that it did not run it
  bool other_instance = false;  // and that it is not the one that was meant
  bool encoded = false;         // the body is not the endpoint's own bytes
};

// What the gateway adds for the endpoint.
struct forwarding_options {
  std::chrono::milliseconds time_left{0};
  std::string instance;        // the life of the endpoint that is meant
  std::optional<int> urgency;  // 0 (first) to 9
  std::string workspace;       // that the request belongs to; empty: to none
  // The key is not for endpoints. Where none is asked for, what stands in its
  // place is the client's own and goes on.
  bool strips_key = false;
  // The event behind which a stream goes on; nothing: as its client asked.
  std::optional<std::uint64_t> resume_after;
};

}  // namespace trayrock
