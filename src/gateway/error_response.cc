#include "trayrock/internal/gateway/error_response.h"

#include <nlohmann/json.hpp>
#include <string>

#include "trayrock/internal/net/loop.h"

namespace trayrock {
namespace {

constexpr milliseconds endpoints_full_retry_after{150};
constexpr milliseconds stores_unavailable_retry_after{250};
constexpr milliseconds tokens_reserved_retry_after{200};
// Within a second every gateway's share of a cold endpoint is free again.
constexpr milliseconds endpoints_cold_retry_after{1000};
// Unread data stays for seconds; retries on new connections reach other
// gateways.
constexpr milliseconds buffers_full_retry_after{250};
// The other tries are resolved within a round trip, or not for seconds.
constexpr milliseconds poison_suspected_retry_after{500};
constexpr milliseconds not_configured_retry_after{500};

// A duration as seconds with three decimals.
std::string seconds_text(milliseconds delay) {
  constexpr std::size_t decimals = 3;
  constexpr long ms_per_second = 1000;
  std::string digits = std::to_string(delay.count() % ms_per_second);
  digits.insert(0, decimals - digits.size(), '0');
  return std::to_string(delay.count() / ms_per_second) + "." + digits;
}

}  // namespace

milliseconds default_retry_after(errc why) {
  switch (why) {
    case errc::no_runner:
    case errc::endpoints_full:
      return endpoints_full_retry_after;
    case errc::history_unavailable:
    case errc::workspace_limit_unknown:
      return stores_unavailable_retry_after;
    case errc::endpoints_cold:
      return endpoints_cold_retry_after;
    case errc::tokens_reserved:
      return tokens_reserved_retry_after;
    case errc::poison_suspected:
      return poison_suspected_retry_after;
    case errc::buffers_full:
      return buffers_full_retry_after;
    case errc::not_configured:
      return not_configured_retry_after;
    default:
      return milliseconds(0);
  }
}

void respond_error(http1_exchange& out, errc why, milliseconds retry_after) {
  header_list headers;
  if (retry_after.count() > 0) {
    headers.add("Retry-After", seconds_text(retry_after));
  }
  headers.add("Content-Type", "application/json");
  const nlohmann::json body = {{"error",
                                {{"code", static_cast<int>(why)},
                                 {"message", make_error_code(why).message()}}}};
  out.respond(http_status(why), headers, body.dump());
}

}  // namespace trayrock
