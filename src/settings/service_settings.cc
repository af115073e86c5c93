#include "trayrock/internal/settings/service_settings.h"

#include <array>

namespace trayrock {
namespace {

constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warn",
                                                     "error"};
constexpr double least_stop_s = 0.5;
constexpr double longest_stop_s = 600;
constexpr double least_notice_ms = 100;
constexpr double longest_notice_ms = 60000;
constexpr number_range losses_range{0, 16};
// Below 16 MB a gateway has no room for the process itself.
constexpr number_range memory_limit_mb_range{16, 1U << 20};
constexpr double least_window_s = 0.1;
constexpr double longest_window_s = 3600;
constexpr double least_expiry_margin_s = 1;
constexpr double longest_expiry_margin_s = 3600;
constexpr double most_overshoot = 1;
constexpr double most_tolerance = 1e6;

// Platforms give some durations in seconds with a fraction.
milliseconds seconds_or(strict_object& top, std::string_view key, double least,
                        double longest, milliseconds fallback) {
  constexpr double ms_per_second = 1000;
  const double seconds =
      top.real_or(key, least, longest,
                  static_cast<double>(fallback.count()) / ms_per_second);
  return milliseconds(static_cast<long>(seconds * ms_per_second));
}

milliseconds notice_or(strict_object& top, std::string_view key,
                       milliseconds fallback) {
  return milliseconds(
      static_cast<long>(top.real_or(key, least_notice_ms, longest_notice_ms,
                                    static_cast<double>(fallback.count()))));
}

// The mechanisms that a trial leaves out.
void read_trial(strict_object& trial, mechanism_set& off) {
  for (const std::string& name : trial.texts_or_empty("without")) {
    if (const std::optional<mechanism> known = parse_mechanism(name)) {
      off.insert(*known);
      continue;
    }
    std::string detail = "seen \"" + name + "\", allowed:";
    for (const std::string_view each : mechanism_names()) {
      detail.append(" ").append(each);
    }
    trial.add_fault(errc::settings_out_of_range, "without", detail);
  }
}

limit_terms read_limits(strict_object& top) {
  limit_terms made;
  made.window = seconds_or(top, "limit_window_s", least_window_s,
                           longest_window_s, made.window);
  made.overshoot =
      top.real_or("limit_overshoot", 0, most_overshoot, made.overshoot);
  made.tolerance =
      top.real_or("limit_tolerance", 0, most_tolerance, made.tolerance);
  return made;
}

service_settings read_service(strict_object& top) {
  service_settings made;
  made.name = top.text("name");
  made.box = top.text("box");
  made.data_centre = top.text("data_centre");
  made.rpc_listen = read_address(top, "rpc_listen");
  made.rpc_address = top.has("rpc_address") ? read_address(top, "rpc_address")
                                            : made.rpc_listen;
  made.metrics_listen = read_address(top, "metrics_listen");
  made.platform = read_address(top, "platform");
  made.log_level = top.choice("log_level", log_levels, made.log_level);
  made.stop_limit = seconds_or(top, "stop_limit_s", least_stop_s,
                               longest_stop_s, made.stop_limit);
  top.object("trial", [&](strict_object& trial) {
    read_trial(trial, made.trial_without);
  });
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
  made.endpoint_notice =
      notice_or(top, "endpoint_notice_ms", made.endpoint_notice);
  made.configuration_notice =
      notice_or(top, "configuration_notice_ms", made.configuration_notice);
  made.reconnect_limit =
      notice_or(top, "reconnect_limit_ms", made.reconnect_limit);
  made.endpoint_heartbeat =
      notice_or(top, "endpoint_heartbeat_ms", made.endpoint_heartbeat);
  if (top.has("revocation_limit_ms")) {
    made.revocation_limit =
        notice_or(top, "revocation_limit_ms", milliseconds(0));
  }
  if (top.has("evacuation_notice_ms")) {
    made.evacuation_notice =
        notice_or(top, "evacuation_notice_ms", milliseconds(0));
  }
  if (top.has("memory_limit_mb")) {
    constexpr std::uint64_t bytes_per_mb = 1U << 20;
    made.memory_limit =
        top.number("memory_limit_mb", memory_limit_mb_range) * bytes_per_mb;
  }
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
  made.tolerated_data_centre_losses =
      top.number_or("tolerated_data_centre_losses", losses_range,
                    made.tolerated_data_centre_losses);
  made.first_start = top.flag_or("first_start", made.first_start);
  made.limits = read_limits(top);
  made.expiry_margin = seconds_or(top, "expiry_margin_s", least_expiry_margin_s,
                                  longest_expiry_margin_s, made.expiry_margin);
  top.close();
  return made;
}

}  // namespace trayrock
