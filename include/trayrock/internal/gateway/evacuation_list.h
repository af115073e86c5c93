// The data centres that the operator is evacuating.
//
// Example:
//   evacuation_list current{revision, {"north"}};
//   if (current.data_centres.contains(endpoint.data_centre)) skip(endpoint);
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace trayrock {

using data_centre_set = std::set<std::string, std::less<>>;

struct evacuation_list {
  std::uint64_t revision = 0;  // of the platform; 0: unknown
  data_centre_set data_centres;
};

}  // namespace trayrock
