// The data centres that the operator is emptying.
//
// Example:
//   evacuation_list held{revision, {"north"}};
//   if (held.data_centres.contains(endpoint.data_centre)) pass_over(endpoint);
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace trayrock {

using data_centre_set = std::set<std::string, std::less<>>;

struct evacuation_list {
  std::uint64_t revision = 0;  // of the platform; 0: not known
  data_centre_set data_centres;
};

}  // namespace trayrock
