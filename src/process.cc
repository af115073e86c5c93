#include "trayrock/internal/process.h"

#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

namespace trayrock {

std::optional<server_arguments> read_arguments(int argc, char** argv,
                                               const char* description,
                                               int& exit_code) {
  CLI::App app{description};
  std::string path;
  server_arguments made;
  app.add_option("--settings", path, "JSON file with comments")->required();
  app.add_flag("--check-settings", made.check_only,
               "check the settings, print every fault, and end");
  app.set_version_flag("--version", TRAYROCK_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    exit_code = app.exit(error) == 0 ? exit_done : exit_settings;
    return std::nullopt;
  }
  const result<std::string> text = read_file(path);
  if (!text) {
    report_faults({{errc::settings_unreadable, "", path}});
    exit_code = exit_settings;
    return std::nullopt;
  }
  made.settings_text = text.value();
  return made;
}

bool report_faults(const fault_list& faults) {
  for (const fault& each : faults) {
    std::fprintf(stderr, "%s\n", describe(each).c_str());
  }
  return faults.empty();
}

bool settings_usable(const server_arguments& arguments,
                     const fault_list& faults, int& exit_code) {
  if (!report_faults(faults)) {
    exit_code = exit_settings;
    return false;
  }
  if (arguments.check_only) {
    std::printf("settings: ok\n");
    exit_code = exit_done;
    return false;
  }
  return true;
}

void warn_of_trial(const service_settings& settings) {
  if (!settings.trial_without.empty()) {
    log_warn("trial_without",
             {{"mechanisms", names_of(settings.trial_without)}});
  }
}

bool answer_probe(const http_request& request, const http_exchange_ptr& out,
                  const probe_sources& sources) {
  constexpr int ok = 200;
  constexpr int unavailable = 503;
  if (request.method != "GET") {
    return false;
  }
  if (request.path == "/healthz") {
    out->reply(ok, "text/plain", "ok\n");
  } else if (request.path == "/readyz") {
    const bool ready = sources.ready();
    out->reply(ready ? ok : unavailable, "text/plain",
               ready ? "ready\n" : "not ready\n");
  } else if (request.path == "/metrics") {
    out->reply(ok, "text/plain; version=0.0.4", sources.metrics.text());
  } else if (request.path == "/status") {
    out->reply(ok, "application/json", sources.status());
  } else {
    return false;
  }
  return true;
}

void measure_process(metrics_registry& metrics, rpc_server& server,
                     rpc_pool& pool) {
  const rpc_counters& in = server.counters();
  const rpc_counters& out = pool.counters();
  metrics.set("rpc_bytes_in", {},
              static_cast<double>(in.bytes_in + out.bytes_in));
  metrics.set("rpc_bytes_out", {},
              static_cast<double>(in.bytes_out + out.bytes_out));
  metrics.set("wire_garbled_total", {},
              static_cast<double>(in.garbled + out.garbled));
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  constexpr double us_per_second = 1e6;
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / us_per_second;
  };
  metrics.set("cpu_seconds", {},
              seconds(used.ru_utime) + seconds(used.ru_stime));
  std::ifstream statm("/proc/self/statm");
  std::uint64_t pages = 0;
  std::uint64_t resident = 0;
  statm >> pages >> resident;
  metrics.set("resident_bytes", {},
              static_cast<double>(resident) *
                  static_cast<double>(sysconf(_SC_PAGESIZE)));
}

}  // namespace trayrock
