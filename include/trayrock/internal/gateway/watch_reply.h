// Whether what a gateway that watches the platform has told can be used.
//
// An answer is taken whole or not at all: one that is garbled, too large, from
// another version, or that does not follow what is known changes nothing, and
// another gateway is asked.
//
// Example:
//   if (const std::error_code wrong = check_watch_reply(told, known)) {
//     ask_another(wrong);
//   }
#pragma once

#include <cstdint>
#include <system_error>

#include "records.pb.h"

namespace trayrock {

// How far ahead of what is known a change of the platform can be: with 3,200
// writes a second, the most that a customer's platform takes, five minutes.
constexpr std::uint64_t most_revisions_ahead = 1000000;

// `known` is the revision up to which the endpoints are known. Errors:
// errc::wire_garbled, errc::wire_too_large, errc::wire_out_of_step.
std::error_code check_watch_reply(const records::WatchReply& told,
                                  std::uint64_t known);

}  // namespace trayrock
