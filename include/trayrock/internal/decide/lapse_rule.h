// Whether records of endpoints that are gone have lapsed with the platform.
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
// Example:
//   lapsed_at_once(68, 68);  // true
#pragma once

#include <cstddef>
#include <cstdint>

namespace trayrock {

// When an answer of the platform came, and what went before it.
struct answer_times {
  std::uint64_t now_ms = 0;
  // When the last call was sent that the platform did not serve; 0: none yet.
  std::uint64_t unserved_ms = 0;
};

// `removed` of the `known` records have gone in one answer of the platform.
bool lapsed_at_once(std::size_t removed, std::size_t known);

}  // namespace trayrock
