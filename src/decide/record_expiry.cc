#include "trayrock/internal/decide/record_expiry.h"

#include <algorithm>

namespace trayrock {
namespace {

// More than a release that replaces half of a service, or the loss of a data
// centre, removes.
constexpr double mass_expiry_share = 0.75;
// With fewer records, a mass expiry can't be distinguished.
constexpr std::size_t min_records = 3;
// After an outage, endpoints register again within about two seconds of the
// platform's return.
constexpr std::uint64_t registration_grace_ms = 2300;
// Subtracted from the time to reconnect, for a request's way to the endpoint
// and a busy processor.
constexpr std::uint64_t reconnect_margin_ms = 250;

// True if the last failed call belongs to the outage that removed the records.
// A mass removal long after it belongs to a later outage.
bool is_failed_call_of_outage(missing_cause how, const reply_times& times,
                              std::uint64_t reconnect_ms) {
  const bool recent = times.last_failed_call_ms + reconnect_ms > times.now_ms;
  return times.last_failed_call_ms != 0 &&
         (recent || how == missing_cause::absent_after_outage);
}

}  // namespace

std::uint64_t kept_until_ms(missing_cause how, const reply_times& times,
                            std::uint64_t reconnect_ms) {
  std::uint64_t until = times.now_ms + registration_grace_ms;
  if (times.peer_keeps_until_ms != 0) {
    return std::min(until, times.peer_keeps_until_ms);
  }
  if (is_failed_call_of_outage(how, times, reconnect_ms)) {
    until = std::min(
        until, times.last_failed_call_ms + reconnect_ms - reconnect_margin_ms);
  }
  return until;
}

bool is_mass_expiry(std::size_t removed, std::size_t known) {
  return known >= min_records &&
         static_cast<double>(removed) >=
             static_cast<double>(known) * mass_expiry_share;
}

}  // namespace trayrock
