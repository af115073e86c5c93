#include "trayrock/internal/gateway/error_answer.h"

#include <nlohmann/json.hpp>
#include <string>

#include "trayrock/internal/net/loop.h"

namespace trayrock {
namespace {

// When a client should come back, by why the request was given up.
constexpr milliseconds back_after_full{150};
constexpr milliseconds back_after_history{250};  // or a permit
constexpr milliseconds back_after_reserved{200};
// Within a second every gateway's share of a cold endpoint is free again.
constexpr milliseconds back_after_cold{1000};
constexpr milliseconds back_after_unconfigured{500};
// A duration as seconds with three decimals.
std::string seconds_text(milliseconds delay) {
  constexpr std::size_t decimals = 3;
  constexpr long ms_per_second = 1000;
  std::string digits = std::to_string(delay.count() % ms_per_second);
  digits.insert(0, decimals - digits.size(), '0');
  return std::to_string(delay.count() / ms_per_second) + "." + digits;
}

}  // namespace

milliseconds back_after(errc why) {
  switch (why) {
    case errc::no_runner:
    case errc::endpoints_full:
      return back_after_full;
    case errc::history_unavailable:
    case errc::workspace_limit_unknown:
      return back_after_history;
    case errc::endpoints_cold:
      return back_after_cold;
    case errc::tokens_reserved:
      return back_after_reserved;
    case errc::not_configured:
      return back_after_unconfigured;
    default:
      return milliseconds(0);
  }
}

void respond_error(http1_exchange& out, errc why, milliseconds come_back) {
  header_list headers;
  if (come_back.count() > 0) {
    headers.add("Retry-After", seconds_text(come_back));
  }
  headers.add("Content-Type", "application/json");
  const nlohmann::json body = {{"error",
                                {{"code", static_cast<int>(why)},
                                 {"message", make_error_code(why).message()}}}};
  out.respond(http_status(why), headers, body.dump());
}

}  // namespace trayrock
