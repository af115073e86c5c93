// Whether records of endpoints that are gone have lapsed with the platform, and
// until when such endpoints are used.
//
// Endpoints keep their records by heartbeats. When the platform returns from an
// outage, the records of all that could not reach it are gone at once, and come
// back within about two seconds. A gateway whose watch waited through the
// outage hears of it by nothing else. So when nearly all records go at once,
// they are kept for that time; what is really gone fails requests and is left
// alone.
//
// After one such outage 20 gateways, which took the removals at their word,
// refused 1,309 requests within a second and 120 programs with them.
//
// An endpoint that left while the platform was away looks the same. It has to
// be left once the platform has been back for the time in which boxes
// reconnect. When it came back is not known; but behind the last call that it
// did not serve. So the time to reconnect runs from the sending of that call.
// Counted from the listing, which may come two seconds after the platform's
// return, endpoints that had left were used up to 4.6 s after it; allowed are 3
// s (test/leaving_endpoint_test.cc).
//
// Example:
//   is_mass_expiry(68, 68);  // true
//   if (now < kept_until_ms(missing_cause::absent_after_outage, times, 3000))
//   use_it();
#pragma once

#include <cstddef>
#include <cstdint>

namespace trayrock {

// When an answer of the platform came, and what went before it.
struct reply_times {
  std::uint64_t now_ms = 0;
  // When the last call was sent that the platform did not serve; 0: none yet.
  std::uint64_t last_failed_call_ms = 0;
  // Until when whoever told of it uses such endpoints; 0: the platform told.
  std::uint64_t peer_keeps_until_ms = 0;
};

// How endpoints came to be missing.
enum class missing_cause {
  absent_after_outage,  // not in the first listing after calls were lost
  mass_removal
};

// `removed` of the `known` records have gone in one answer of the platform.
bool is_mass_expiry(std::size_t removed, std::size_t known);

// Until when endpoints that are missing may be used, in milliseconds; a time
// that is not after `times.now_ms`: not any more. Boxes have `reconnect_ms`
// from the platform's return to know all.
std::uint64_t kept_until_ms(missing_cause how, const reply_times& times,
                            std::uint64_t reconnect_ms);

}  // namespace trayrock
