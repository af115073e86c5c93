// What every binary of the system does the same way: command line, settings,
// logging, probes, metrics, signals.
//
// Exit codes: 0 done, 2 command line or settings, 3 cannot listen, 4 stopped
// before all work was finished.
//
// Example:
//   int main(int argc, char** argv) {
//     int exit_code = exit_done;
//     const auto settings = begin_process(
//         argc, argv, "Record store of trayrock", read_store_settings,
//         exit_code);
//     return settings ? run(*settings) : exit_code;
//   }
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "trayrock/internal/log.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http_server.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/settings/service_settings.h"
#include "trayrock/internal/settings/settings.h"

namespace trayrock {

constexpr int exit_done = 0;
constexpr int exit_settings = 2;
constexpr int exit_listen = 3;
constexpr int exit_unfinished = 4;

// What the command line of a server says.
struct server_arguments {
  std::string settings_text;
  bool check_only = false;
};

// Reads --settings FILE, --check-settings, --help, --version. Nothing when
// the process should end with the given code.
std::optional<server_arguments> read_arguments(int argc, char** argv,
                                               const char* description,
                                               int& exit_code);

// Prints faults, one a line. True when there are none.
bool report_faults(const fault_list& faults);

// What a process is called in its log, and from which level on it logs.
struct process_identity {
  std::string_view name;
  std::string_view log_level;
};
inline process_identity identity_of(const gateway_settings& from) {
  return {from.service.name, from.service.log_level};
}
inline process_identity identity_of(const store_settings& from) {
  return {from.service.name, from.service.log_level};
}
inline process_identity identity_of(const entry_settings& from) {
  return {from.process.name, from.process.log_level};
}
inline process_identity identity_of(const node_settings& from) {
  return {from.process.name, from.process.log_level};
}

// Says in the log which mechanisms a trial leaves out, if any.
void warn_of_trial(const service_settings& settings);

// True when a process with these arguments and settings shall run. Otherwise
// the faults, or that there are none, have been printed, and the process
// ends with `exit_code`.
bool settings_usable(const server_arguments& arguments,
                     const fault_list& faults, int& exit_code);

// The head of every server's main: reads command line and settings, reports
// faults, starts logging. Nothing when the process ends with `exit_code`.
template <typename settings_type>
std::optional<settings_type> begin_process(
    int argc, char** argv, const char* description,
    settings_type (*read_settings)(std::string_view, fault_list&),
    int& exit_code) {
  const auto arguments = read_arguments(argc, argv, description, exit_code);
  if (!arguments) {
    return std::nullopt;
  }
  fault_list faults;
  settings_type settings = read_settings(arguments->settings_text, faults);
  if (!settings_usable(*arguments, faults, exit_code)) {
    return std::nullopt;
  }
  const process_identity identity = identity_of(settings);
  start_logging(identity.name, identity.log_level);
  return settings;
}

// Answers /healthz, /readyz, /metrics and /status; false for other paths.
struct probe_sources {
  const metrics_registry& metrics;
  std::function<bool()> ready;
  std::function<std::string()> status;
};
bool answer_probe(const http_request& request, const http_exchange_ptr& out,
                  const probe_sources& sources);

// Processor time and memory of this process, and what its RPC connections
// carried, as metrics.
void measure_process(metrics_registry& metrics, rpc_server& server,
                     rpc_pool& pool);

}  // namespace trayrock
