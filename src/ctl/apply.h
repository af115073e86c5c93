// Declarations from files into the platform's service, by conditional update.
#pragma once

#include <string>
#include <vector>

#include "stored_client.h"
#include "trayrock/internal/decide/declarations.h"

namespace trayrock {

// Reads files; all faults of all files are added.
std::vector<declaration> read_declaration_files(
    const std::vector<std::string>& files, fault_list& faults);

struct apply_options {
  std::vector<std::string> files;
  // Versions that the operator's files were last applied at; kept beside
  // them in version control.
  std::string state_path;
  bool overwrite = false;  // take a stored change as read
};

// Exit codes as in process.h; 1 when there was a conflict.
int check_files(const std::vector<std::string>& files);
int apply_files(stored_client& stored, const apply_options& options);

// Sets "leaving" on every endpoint of a node, or takes it back.
int drain_node(stored_client& stored, const std::string& node, bool leaving);

// The platform's key of a declaration.
std::string declaration_key(const std::string& kind, const std::string& name);

}  // namespace trayrock
