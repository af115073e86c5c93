// The folder of one test: settings, logs, and the data of stores.
//
// It is in memory where there is room. A disk that other programs use may need
// seconds for a sync, which is longer than the time limits of some tests.
// TMPDIR chooses another place.
#pragma once

#include <stdlib.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace trayrock::testing {

// Creates the folder.
inline std::string make_test_folder() {
  constexpr std::uintmax_t min_bytes = std::uintmax_t{2} << 30;
  const std::filesystem::path memory = "/dev/shm";
  std::error_code failed;
  const auto space = std::filesystem::space(memory, failed);
  const bool in_memory = std::getenv("TMPDIR") == nullptr && !failed &&
                         space.available >= min_bytes;
  const std::filesystem::path parent =
      in_memory ? memory : std::filesystem::temp_directory_path();
  std::string pattern = (parent / "trayrock-XXXXXX").string();
  return mkdtemp(pattern.data());
}

}  // namespace trayrock::testing
