// What every binary of the system does the same way: command line, settings,
// logging, probes, metrics, signals.
//
// Exit codes: 0 done, 2 command line or settings, 3 cannot listen, 4 stopped
// before all work was finished.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http_server.h"
#include "trayrock/internal/net/rpc.h"
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
