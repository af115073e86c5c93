// Detects endpoint records that expired because of a platform outage, and
// decides how long such endpoints remain in use.
//
// Endpoints keep their records by heartbeats. After a platform outage, the
// records of all endpoints that could not reach it are removed at once and
// return within about two seconds. A gateway whose watch was pending throughout
// the outage has no other sign of it. So when nearly all records are removed at
// once, the endpoints remain in use for that time; those that really stopped
// fail requests and get a backoff.
//
// An endpoint that left during the outage looks the same, and must not be used
// once the platform has been back for the time that boxes have to reconnect.
// The platform returned at some time after the last call that it failed to
// serve, so this time is counted from the sending of that call, not from the
// first listing, which may be seconds later.
//
// Example:
//   is_mass_expiry(68, 68);  // true
//   kept_until_ms(missing_cause::mass_removal, times, 3000);
#pragma once

#include <cstddef>
#include <cstdint>

namespace trayrock {

// The times by which missing records are judged.
struct reply_times {
  std::uint64_t now_ms = 0;
  // When the last call that the platform did not serve was sent; 0: none.
  std::uint64_t last_failed_call_ms = 0;
  // Until when the peer that reported the removal keeps using such endpoints;
  // 0: reported by the platform.
  std::uint64_t peer_keeps_until_ms = 0;
};

// How the gateway found that endpoints are missing.
enum class missing_cause {
  absent_after_outage,  // not in the first listing after failed calls
  mass_removal
};

// True if one reply removed so many of the known records that they are likely
// to have expired in an outage.
bool is_mass_expiry(std::size_t removed, std::size_t known);

// Until when missing endpoints may be used, in milliseconds. A time up to
// `times.now_ms` means that they must not be used any more. Boxes have
// `reconnect_ms` from the platform's return to obtain the current records.
std::uint64_t kept_until_ms(missing_cause how, const reply_times& times,
                            std::uint64_t reconnect_ms);

}  // namespace trayrock
