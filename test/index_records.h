// Records for tests of a store's index.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/records/record_index.h"

namespace trayrock::testing {

constexpr std::uint64_t second = 1000;

inline records::Record turn(const std::string& attempt,
                            const std::string& previous,
                            const std::string& input,
                            const std::string& output) {
  records::Record made;
  made.mutable_turn()->set_attempt(attempt);
  made.mutable_turn()->set_previous(previous);
  made.mutable_turn()->set_program("p");
  made.mutable_turn()->set_input(input);
  made.mutable_turn()->set_output(output);
  made.mutable_turn()->set_tokens(7);
  made.mutable_turn()->set_retention_s(60);
  made.mutable_turn()->set_endpoint("endpoint of " + attempt);
  return made;
}

inline records::Record reservation(const std::string& attempt,
                                   std::uint64_t tokens) {
  records::Record made;
  made.mutable_reservation()->set_program("p");
  made.mutable_reservation()->set_attempt(attempt);
  made.mutable_reservation()->set_tokens(tokens);
  return made;
}

inline records::Record of_program(const std::string& program,
                                  records::Record record) {
  if (record.has_reservation()) {
    record.mutable_reservation()->set_program(program);
  } else if (record.has_settlement()) {
    record.mutable_settlement()->set_program(program);
  } else {
    record.mutable_turn()->set_program(program);
  }
  return record;
}

inline records::Record settlement(const std::string& attempt,
                                  std::uint64_t tokens, std::uint64_t line,
                                  const std::string& endpoint) {
  records::Record made;
  made.mutable_settlement()->set_program("p");
  made.mutable_settlement()->set_attempt(attempt);
  made.mutable_settlement()->set_tokens(tokens);
  made.mutable_settlement()->set_line(line);
  made.mutable_settlement()->set_endpoint(endpoint);
  return made;
}

// The first records behind a position.
inline std::vector<record_index::numbered_key> keys_after(
    const record_index& index, std::uint64_t position, std::size_t max_count) {
  std::vector<record_index::numbered_key> found;
  index.visit_after(position, [&](const record_index::numbered_key& each) {
    found.push_back(each);
    return found.size() < max_count;
  });
  return found;
}

}  // namespace trayrock::testing
