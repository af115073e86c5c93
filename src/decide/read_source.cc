#include "trayrock/internal/decide/read_source.h"

#include <algorithm>
#include <vector>

#include "trayrock/internal/records/record_id.h"

namespace trayrock {
namespace {

// The position among the learners. A store that is none gets a number that is
// spread by its id.
std::uint64_t turn_of(const records::Group& group, const std::string& id) {
  const auto& learners = group.learners();
  const auto found =
      std::find_if(learners.begin(), learners.end(),
                   [&](const records::Store& each) { return each.id() == id; });
  return found == learners.end()
             ? id_of(id).low
             : static_cast<std::uint64_t>(found - learners.begin());
}

}  // namespace

std::string pick_read_source(const records::Group& group,
                             const std::string& own_id,
                             std::span<const std::string> readable) {
  if (readable.empty()) {
    return {};
  }
  std::vector<std::string> ordered(readable.begin(), readable.end());
  std::sort(ordered.begin(), ordered.end());
  return ordered[turn_of(group, own_id) % ordered.size()];
}

}  // namespace trayrock
