// Endpoint instances that the platform no longer lists.
//
// A record older than the last known one must not restore a removed instance,
// which may have reported since that it is draining. An instance whose record
// has expired returns with a later record, and with its state. An instance
// whose address another one has taken never returns; an outdated record may
// still name it, so that it has to be recognized.
//
// Example:
//   former_endpoints former;
//   former.add(state);  // no longer listed
//   if (const auto known = former.find(listed.identity)) use(known);
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trayrock/internal/decide/endpoint_state.h"

namespace trayrock {

class former_endpoints {
 public:
  // Adds an instance that is no longer listed. Above a fixed number, removes
  // the one that was added first.
  void add(const endpoint_state_ptr& state);

  // Returns nullptr if the instance is not stored.
  endpoint_state_ptr find(const endpoint_identity& wanted) const;

  // Whether a later instance of the same id has been listed.
  bool has_newer_than(const endpoint_identity& instance) const;

 private:
  // Numbered in the order in which they were added.
  struct former_endpoint {
    endpoint_state_ptr state;
    std::uint64_t number = 0;
  };

  void remove_oldest();

  std::map<endpoint_identity, former_endpoint> known_;
  std::uint64_t next_number_ = 0;
};

}  // namespace trayrock
