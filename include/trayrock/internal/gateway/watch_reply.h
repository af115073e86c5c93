// Validation of a reply from a gateway that watches the platform.
//
// A reply is applied completely or not at all: one that is malformed, too
// large, of an incompatible version, or doesn't follow the known state changes
// nothing, and the caller polls another gateway.
//
// Example:
//   if (const std::error_code error = check_watch_reply(reply, known)) {
//     poll_another(error);
//   }
#pragma once

#include <cstdint>
#include <system_error>

#include "records.pb.h"

namespace trayrock {

// The largest accepted step of the platform's revision: more than the platform
// can write in five minutes, at 3,200 writes a second at most.
constexpr std::uint64_t max_revisions_ahead = 1000000;

// `known` is the revision of the known endpoints. Errors: errc::wire_garbled,
// errc::wire_too_large, errc::wire_out_of_step.
std::error_code check_watch_reply(const records::WatchReply& reply,
                                  std::uint64_t known);

}  // namespace trayrock
