// Seeds and length of a soak: those of CI, or those of the environment
// variables TRAYROCK_SOAK_SEEDS ("7 8 9") and TRAYROCK_SOAK_SECONDS.
#pragma once

#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

namespace trayrock::testing {

inline std::vector<unsigned> soak_seeds(unsigned ci_seed) {
  const char* const chosen = std::getenv("TRAYROCK_SOAK_SEEDS");
  if (chosen == nullptr) {
    return {ci_seed};
  }
  std::istringstream wanted{std::string(chosen)};
  std::vector<unsigned> seeds;
  for (unsigned seed = 0; wanted >> seed;) {
    seeds.push_back(seed);
  }
  return seeds;
}

inline int soak_seconds(int default_seconds) {
  const char* const length = std::getenv("TRAYROCK_SOAK_SECONDS");
  return length == nullptr ? default_seconds : std::atoi(length);
}

}  // namespace trayrock::testing
