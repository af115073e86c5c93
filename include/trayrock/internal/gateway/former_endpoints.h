// Superseded endpoints that the platform lists no more.
//
// Ids are used once: an endpoint whose address another instance has taken does
// not come back. A late record may name it all the same, and then it has to be
// known for what it is.
//
// Example:
//   former_endpoints former;
//   former.note("runner-1", state);  // once it is listed no more
//   if (const auto known = former.find("runner-1")) use(known);
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trayrock/internal/decide/endpoint_state.h"

namespace trayrock {

class former_endpoints {
 public:
  // Remembers an endpoint that is listed no more if it is superseded; beyond a
  // fixed number, the one noted longest ago is forgotten.
  void note(const std::string& id, const endpoint_state_ptr& state);

  // Nothing if the endpoint is not remembered.
  endpoint_state_ptr find(const std::string& id) const;

 private:
  // Numbered in the order in which they were noted.
  struct former_endpoint {
    endpoint_state_ptr state;
    std::uint64_t number = 0;
  };

  void forget_oldest();

  std::map<std::string, former_endpoint> by_id_;
  std::uint64_t next_number_ = 0;
};

}  // namespace trayrock
