// Encoding of endpoint records that gateways send to each other.
//
// Example:
//   *change.mutable_record() = encode(known);
//   if (const auto known = decode(change.record())) directory.update(*known);
#pragma once

#include "records.pb.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/records/request_tries.h"
#include "trayrock/result.h"

namespace trayrock {

records::EndpointRecord encode(const endpoint& from);

// The instance of a record. The record of a removed endpoint may have nothing
// else.
endpoint_identity identity_of(const records::EndpointRecord& from);

// Errors: errc::wire_garbled for a record without id, service or address.
result<endpoint> decode(const records::EndpointRecord& from);

}  // namespace trayrock
