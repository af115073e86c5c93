// Faults of how responses are sent, each for so many of the next requests that
// it can concern. Streams are those of events, plain responses all others.
//
// Example:
//   response_faults faults;
//   faults.set({{"closed_in_event", 2}});
//   const response_plan plan = faults.next_stream(events, attempt);
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "response_plan.h"

namespace trayrock::fakes {

// A response to a request whose body has not been read yet.
struct early_response {
  bool refused = false;  // with 503, not executed
  bool closes = false;   // and its connection is not kept
};

class response_faults {
 public:
  // Names of the faults:
  //   closed_whole                without length or chunks, complete
  //   closed_in_event             so, but cut inside an event (streams)
  //   closed_before_event         so, but without an event (streams)
  //   reset                       without length or chunks, then reset anywhere
  //   chunks_cut_in_event         without the last chunk (streams)
  //   chunks_cut_between_events   without the last chunk (streams)
  //   length_short                closed before the length is reached
  //   surplus_bytes               complete, then bytes that are no response
  //   surplus_response            complete, then a response of another attempt
  //   early_refusal, early_refusal_closed, early_response,
  //   early_response_closed       before the body of a long request was read
  static const std::vector<std::string>& names();

  // Other names are ignored.
  void set(const nlohmann::json& counts);

  response_plan next_stream(const std::vector<std::string>& events,
                            const std::string& attempt);
  response_plan next_plain(const std::string& body, const std::string& attempt);
  std::optional<early_response> next_early(std::size_t body_length);

 private:
  bool take(std::string_view name);
  std::size_t draw(std::size_t below);
  std::optional<response_plan> next_cut_stream(
      const std::vector<std::string>& events);
  response_plan next_of_any(std::size_t length, const std::string& attempt,
                            response_framing usual);

  std::map<std::string, int, std::less<>> left_;
  std::mt19937 random_;  // places of cuts
};

}  // namespace trayrock::fakes
