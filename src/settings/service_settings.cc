#include "trayrock/internal/settings/service_settings.h"

#include <array>

namespace trayrock {
namespace {

constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warn",
                                                     "error"};
constexpr number_range stop_range_ms{500, 600000};
constexpr number_range losses_range{0, 3};

service_settings read_service(strict_object& top) {
  service_settings made;
  made.name = top.text("name");
  made.box = top.text("box");
  made.data_centre = top.text("data_centre");
  made.rpc_listen = read_address(top, "rpc_listen");
  made.metrics_listen = read_address(top, "metrics_listen");
  made.platform = read_address(top, "platform");
  made.log_level = top.choice("log_level", log_levels, made.log_level);
  made.stop_limit_ms =
      top.number_or("stop_limit_ms", stop_range_ms, made.stop_limit_ms);
  return made;
}

}  // namespace

gateway_settings read_gateway_settings(std::string_view text,
                                       fault_list& faults) {
  gateway_settings made;
  const nlohmann::json root = parse_json(text, settings_faults, faults);
  if (!faults.empty()) {
    return made;
  }
  strict_object top(root, "", settings_faults, faults);
  made.service = read_service(top);
  made.http_listen = read_address(top, "http_listen");
  made.ready_listen = read_address(top, "ready_listen");
  top.close();
  return made;
}

store_settings read_store_settings(std::string_view text, fault_list& faults) {
  store_settings made;
  const nlohmann::json root = parse_json(text, settings_faults, faults);
  if (!faults.empty()) {
    return made;
  }
  strict_object top(root, "", settings_faults, faults);
  made.service = read_service(top);
  made.data_folder = top.text("data_folder");
  made.tolerated_losses =
      top.number_or("tolerated_losses", losses_range, made.tolerated_losses);
  made.first_start = top.flag_or("first_start", made.first_start);
  top.close();
  return made;
}

}  // namespace trayrock
