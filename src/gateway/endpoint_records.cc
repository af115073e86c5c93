#include "trayrock/internal/gateway/endpoint_records.h"

#include <algorithm>

namespace trayrock {
namespace {

constexpr std::uint64_t max_cold_ms = std::uint64_t{365} * 24 * 3600 * 1000;

}  // namespace

records::EndpointRecord encode(const endpoint& from) {
  records::EndpointRecord made;
  made.set_id(from.identity.id);
  made.set_started_ms(from.identity.started_ms);
  made.set_service(from.service);
  made.set_address(from.address);
  made.set_data_centre(from.data_centre);
  made.set_capacity(from.capacity);
  made.set_draining(from.draining);
  made.set_revision(from.revision);
  made.set_cold_ms(static_cast<std::uint64_t>(from.cold_for.count()));
  return made;
}

endpoint_identity identity_of(const records::EndpointRecord& from) {
  return {from.id(), from.started_ms()};
}

result<endpoint> decode(const records::EndpointRecord& from) {
  if (from.id().empty() || from.service().empty() || from.address().empty()) {
    return errc::wire_garbled;
  }
  endpoint made;
  made.identity = identity_of(from);
  made.service = from.service();
  made.address = from.address();
  made.data_centre = from.data_centre();
  made.capacity = std::max(1U, from.capacity());
  made.draining = from.draining();
  made.revision = from.revision();
  made.cold_for =
      std::chrono::milliseconds(std::min(from.cold_ms(), max_cold_ms));
  return made;
}

}  // namespace trayrock
