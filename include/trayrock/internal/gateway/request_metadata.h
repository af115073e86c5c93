// Metadata from the headers of a request and a response. Only the platform
// adapter reads the headers and fills these in.
//
// Example:
//   const request_metadata metadata = platform::decode_request(request);
//   if (metadata.attempt.empty()) reject();
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
  std::string attempt;  // id that the client gave to this attempt
  std::optional<std::chrono::milliseconds> time_left;  // the client's deadline
  std::string program;  // empty for requests outside of programs
  std::string session;  // a sequence of turns of a program
  std::optional<std::chrono::milliseconds> program_time_left;
  std::optional<std::uint64_t> token_budget;  // of the whole program
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::vector<prompt_part> prompt;  // in order
  std::string previous_turn;        // attempt that this turn continues
  std::string object;               // what the request is about, for locality
  std::string key;  // API key; empty if the request has none, or several
};

struct response_metadata {
  std::string attempt;          // of the request; may be empty
  bool sealed = false;          // carries the endpoint's authentication code
  bool not_executed = false;    // the endpoint did not run the request
  bool other_instance = false;  // nor is it the instance that was addressed
  bool encoded = false;         // the body has a content encoding
};

// How the gateway forwards a request to an endpoint.
struct forwarding_options {
  std::chrono::milliseconds time_left{0};
  std::string instance;        // the endpoint instance that is addressed
  std::optional<int> urgency;  // 0 (first) to 9
  std::string workspace;       // of the request; empty: none
  // Removes the Authorization header. Without configured workspaces it is the
  // client's own and is passed on.
  bool strips_key = false;
  // Resumes a stream after this event; nothing: as the client requested.
  std::optional<std::uint64_t> resume_after;
};

}  // namespace trayrock
