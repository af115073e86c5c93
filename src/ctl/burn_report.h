// The burn report: declared objectives against what the nodes measured.
//
// The burn rate is the bad share over the share that the objective allows: at
// 1 the budget lasts exactly as long as the window. The short window (5
// minutes) says whether it burns now, the long one (an hour) whether it
// matters; the budget left is that of the long window.
#pragma once

#include <string>
#include <vector>

#include "stored_client.h"

namespace trayrock {

struct burn_options {
  std::vector<std::string> processes;
  bool as_json = false;
  std::string html_path;
};

// Exit codes as in process.h; 1 when a process could not be read.
int report_burn(stored_client& stored, const burn_options& options);

}  // namespace trayrock
