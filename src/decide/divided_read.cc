#include "trayrock/internal/decide/divided_read.h"

namespace trayrock {

// The last byte of a key is one of a hash of the attempt.
bool is_in_part(std::string_view record_key, const read_part& part) {
  const auto hash = static_cast<unsigned char>(record_key.back());
  return part.count <= 1 || hash % part.count == part.number;
}

void divided_read::begin(std::span<const std::string> voters) {
  has_begun_ = true;
  const auto count = static_cast<std::uint32_t>(voters.size());
  std::uint32_t number = 0;
  for (const std::string& each : voters) {
    parts_[each] = {number, count};
    ++number;
  }
}

std::optional<read_part> divided_read::part_of(const std::string& voter) const {
  const auto found = parts_.find(voter);
  return found == parts_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace trayrock
