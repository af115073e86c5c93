// Responses whose head, interim response or trailers break the grammar of
// RFC 9112, and the same responses without the fault.
//
// Example:
//   for (const broken_response& each : broken_responses("X-Id: 1\r\n", "body"))
//     send(each.bytes);
#pragma once

#include <string>
#include <vector>

namespace trayrock::testing {

struct broken_response {
  std::string what;   // the fault
  std::string bytes;  // the response, which is otherwise complete
};

// A response with a length. `fields` are whole lines that each head has.
std::string sound_response(const std::string& fields, const std::string& body);

// Responses with an interim response, with trailers, in HTTP/1.0, and of
// unusual values: all within the grammar.
std::vector<std::string> unusual_responses(const std::string& fields,
                                           const std::string& body);

// Responses whose fault shows before their body.
std::vector<broken_response> broken_responses(const std::string& fields,
                                              const std::string& body);

// Responses in chunks whose fault is behind the body.
std::vector<broken_response> broken_trailers(const std::string& fields,
                                             const std::string& body);

}  // namespace trayrock::testing
