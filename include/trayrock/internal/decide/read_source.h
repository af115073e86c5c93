// Which voter an empty store reads in full.
//
// Learners of the same group get different voters as long as there are enough,
// so that the work of their reads is shared.
//
// Example:
//   pick_read_source(group, own_id, {"voter-1", "voter-2"});
#pragma once

#include <span>
#include <string>

#include "records.pb.h"

namespace trayrock {

// One of the voters that can be read, by ids; empty if there are none.
std::string pick_read_source(const records::Group& group,
                             const std::string& own_id,
                             std::span<const std::string> readable);

}  // namespace trayrock
