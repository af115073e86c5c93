#include "trayrock/internal/records/request_tries.h"

#include <algorithm>

namespace trayrock {
namespace {

try_stage stage_of(records::TryStage from) {
  switch (from) {
    case records::TRY_ENDED:
      return try_stage::ended;
    case records::TRY_OPEN:
      return try_stage::open;
    case records::TRY_UNKNOWN:
      return try_stage::unknown;
    default:
      return try_stage::survived;
  }
}

records::TryStage stage_of(try_stage from) {
  switch (from) {
    case try_stage::ended:
      return records::TRY_ENDED;
    case try_stage::open:
      return records::TRY_OPEN;
    case try_stage::unknown:
      return records::TRY_UNKNOWN;
    case try_stage::survived:
      break;
  }
  return records::TRY_LEFT;
}

}  // namespace

records::EndpointIdentity encode(const endpoint_identity& from) {
  records::EndpointIdentity made;
  made.set_id(from.id);
  made.set_started_ms(from.started_ms);
  return made;
}

endpoint_identity decode(const records::EndpointIdentity& from) {
  return {from.id(), from.started_ms()};
}

records::RequestTry encode(const request_try& from) {
  records::RequestTry made;
  made.set_request(from.request);
  *made.mutable_endpoint() = encode(from.endpoint);
  made.set_stage(stage_of(from.stage));
  made.set_age_ms(static_cast<std::uint32_t>(from.age_ms));
  made.set_owner(from.owner);
  if (from.stage == try_stage::ended) {
    made.set_ends(from.ends);
  }
  made.set_settle_ms(static_cast<std::uint32_t>(from.settle_ms));
  made.set_responded(from.responded);
  made.set_succeeded(from.succeeded);
  return made;
}

request_try decode(const records::RequestTry& from) {
  request_try made{from.request(), decode(from.endpoint()),
                   stage_of(from.stage()), from.age_ms(), from.owner()};
  made.ends = std::max(from.ends(), 1U);
  made.settle_ms = from.settle_ms();
  made.responded = from.responded();
  made.succeeded = from.succeeded();
  return made;
}

}  // namespace trayrock
