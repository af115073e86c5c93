// Messages of tries of requests (decide/poison_requests.h), between gateways
// and from gateways to record stores.
//
// Example:
//   *message.add_tries() = encode(known);
//   tries.record_peer_try(decode(message.tries(0)), now);
#pragma once

#include "records.pb.h"
#include "trayrock/internal/decide/poison_requests.h"

namespace trayrock {

// Tries of one message.
constexpr int max_message_tries = 1024;

records::EndpointIdentity encode(const endpoint_identity& from);
endpoint_identity decode(const records::EndpointIdentity& from);

records::RequestTry encode(const request_try& from);
request_try decode(const records::RequestTry& from);

}  // namespace trayrock
