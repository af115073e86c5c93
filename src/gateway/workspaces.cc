#include "trayrock/internal/gateway/workspaces.h"

#include <algorithm>
#include <random>

namespace trayrock {
namespace {

// Keeps clients from making keys whose digests collide.
std::uint64_t secret_seed() {
  static const std::uint64_t seed = [] {
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
  }();
  return seed;
}

// Takes the same time wherever the two differ.
bool equal_in_constant_time(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

workspace_table::key_digest workspace_table::digest_of(std::string_view key) {
  const XXH128_hash_t made =
      XXH3_128bits_withSeed(key.data(), key.size(), secret_seed());
  return {made.low64, made.high64};
}

result<workspace_table> workspace_table::make(
    std::vector<workspace_keys> from) {
  workspace_table made;
  for (workspace_keys& each : from) {
    if (made.find(each.owner.name) != nullptr) {
      return errc::entry_repeats_name;
    }
    const std::size_t index = made.workspaces_.size();
    made.workspaces_.push_back(std::move(each.owner));
    for (std::string& key : each.keys) {
      const key_digest digest = digest_of(key);
      const auto [at, fresh] =
          made.keys_.try_emplace(digest, key_entry{std::move(key), index});
      if (!fresh && at->second.owner != index) {
        return errc::entry_repeats_name;
      }
    }
  }
  return made;
}

const workspace* workspace_table::owner_of(std::string_view key) const {
  const auto found = keys_.find(digest_of(key));
  const bool known =
      found != keys_.end() && equal_in_constant_time(found->second.key, key);
  return known ? &workspaces_[found->second.owner] : nullptr;
}

const workspace* workspace_table::find(std::string_view name) const {
  const auto found =
      std::find_if(workspaces_.begin(), workspaces_.end(),
                   [name](const workspace& each) { return each.name == name; });
  return found == workspaces_.end() ? nullptr : &*found;
}

}  // namespace trayrock
