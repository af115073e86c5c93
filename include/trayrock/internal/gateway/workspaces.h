// Workspaces and their API keys.
//
// A lookup takes the same time for any key, known or not: keys are hashed with
// a secret seed and compared in constant time.
//
// Example:
//   const result<workspace_table> made = workspace_table::make(
//       {{{"growers", 1, 20, 40}, {"key-1", "key-2"}}});
//   if (const workspace* owner = made.value().owner_of(key)) serve(*owner);
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trayrock/result.h"

namespace trayrock {

struct workspace {
  std::string name;
  std::optional<std::uint32_t> rank;  // overrides the route's; 0 comes first
  double requests_per_second = 0;     // 0: no limit
  double burst = 0;                   // requests above that

  bool is_limited() const { return requests_per_second > 0; }
};

struct workspace_keys {
  workspace owner;
  std::vector<std::string> keys;
};

class workspace_table {
 public:
  // Errors: errc::entry_repeats_name for a repeated name, or a key of two
  // workspaces.
  static result<workspace_table> make(std::vector<workspace_keys> from);

  // nullptr for an unknown key.
  const workspace* owner_of(std::string_view key) const;

  // nullptr for an unknown name.
  const workspace* find(std::string_view name) const;

  std::size_t size() const { return workspaces_.size(); }

 private:
  struct key_digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const key_digest&) const = default;
  };
  struct digest_hash {
    std::size_t operator()(const key_digest& of) const { return of.low; }
  };
  struct key_entry {
    std::string key;
    std::size_t owner = 0;  // index in `workspaces_`
  };

  static key_digest digest_of(std::string_view key);

  std::vector<workspace> workspaces_;
  std::unordered_map<key_digest, key_entry, digest_hash> keys_;
};

}  // namespace trayrock
