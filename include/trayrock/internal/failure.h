// The failure that travels to a caller: a number, whether the request ran,
// and when to come back.
#pragma once

#include <cstdint>
#include <string_view>

#include "trayrock.pb.h"
#include "trayrock/errors.h"

namespace trayrock {

// `retry_after_ms` is zero when coming back with this request is no use.
wire::Failure make_failure(errc code, wire::Ran ran,
                           std::uint64_t retry_after_ms = 0,
                           std::string_view detail = {});

}  // namespace trayrock
