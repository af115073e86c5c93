// A response as its client may take it from the bytes that it received: whether
// it is complete follows from its framing alone.
//
// Example:
//   const received_response seen = parse_response(bytes, true);
//   CPPUNIT_ASSERT(seen.complete);
#pragma once

#include <map>
#include <string>

namespace trayrock::testing {

struct received_response {
  int status = 0;                              // 0: no head
  std::map<std::string, std::string> headers;  // by names in lower case
  std::string body;                            // chunks are joined
  // The last chunk or the length was reached. Without both, the connection
  // ended without an error, in a stream of events behind a complete event.
  bool complete = false;
  bool malformed = false;  // not a response in the protocol
  std::string surplus;     // behind a complete response

  // Empty: there is none.
  std::string header(const std::string& name) const;
};

// `closed`: the server has closed the connection, and without an error.
received_response parse_response(const std::string& bytes, bool closed);

}  // namespace trayrock::testing
