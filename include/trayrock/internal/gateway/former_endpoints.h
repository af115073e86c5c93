// Instances of endpoints that the platform lists no more.
//
// A record that is older than what was known of a gone instance does not bring
// it back: it may have said since that it leaves. One whose record has lapsed
// comes back with a later one, and is then what it was.
//
// An instance whose address another one has taken does not come back. A late
// record may name it all the same, and then it has to be known for what it is;
// a later instance under its id is another one.
//
// Example:
//   former_endpoints former;
//   former.note(state);  // once it is listed no more
//   if (const auto known = former.find(listed.identity)) use(known);
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trayrock/internal/decide/endpoint_state.h"

namespace trayrock {

class former_endpoints {
 public:
  // Remembers an instance that is listed no more; beyond a fixed number, the
  // one noted longest ago is forgotten.
  void note(const endpoint_state_ptr& state);

  // Nothing if the endpoint is not remembered.
  endpoint_state_ptr find(const endpoint_identity& wanted) const;

  // Whether a later instance under the same id was listed once.
  bool knows_newer_than(const endpoint_identity& instance) const;

 private:
  // Numbered in the order in which they were noted.
  struct former_endpoint {
    endpoint_state_ptr state;
    std::uint64_t number = 0;
  };

  void forget_oldest();

  std::map<endpoint_identity, former_endpoint> known_;
  std::uint64_t next_number_ = 0;
};

}  // namespace trayrock
