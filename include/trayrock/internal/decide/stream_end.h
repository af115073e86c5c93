// Decides whether a stream of events is complete once its response has ended
// without an error of the transport.
//
// The end of an endpoint's connection looks the same after a crash and after
// the last event. A crash shows in the events: a stream that ends inside an
// event was interrupted, however its body is framed, and one that only its
// connection ends was interrupted if it has no event.
//
// Example:
//   stream_end seen;
//   seen.inside_event = true;
//   is_complete(seen);  // false
#pragma once

#include <cstdint>

namespace trayrock {

struct stream_end {
  bool inside_event = false;     // bytes follow the last complete event
  bool with_connection = false;  // the body has neither a length nor chunks
  std::uint64_t events = 0;      // complete ones, of this endpoint's run
};

constexpr bool is_complete(const stream_end& seen) {
  return !seen.inside_event && (!seen.with_connection || seen.events > 0);
}

}  // namespace trayrock
