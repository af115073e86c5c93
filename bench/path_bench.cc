// Added latency of the path, and calls a second of one entry and one node.
//
// The same short calls go straight to the stand-in and through the system, in
// turns, in one run. Prints a table; judges nothing.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "deployment.h"
#include "load_generator.h"

namespace {

using namespace trayrock;
using namespace trayrock::bench;
using trayrock::testing::deployment;
using trayrock::testing::deployment_options;

constexpr double p50 = 0.5;
constexpr double p95 = 0.95;
constexpr double p99 = 0.99;

address local(int port) {
  return address::parse("127.0.0.1:" + std::to_string(port)).value();
}

http_message direct_call(std::uint64_t n) {
  const nlohmann::json body{
      {"key", std::to_string(n)},
      {"messages", {{{"role", "user"}, {"content", "balance"}}}}};
  return {"POST", "/v1/call", body.dump(), {}};
}

struct setting {
  const char* name;
  bool repeatable;
  const char* node_settings;
};

double cpu(deployment& system) {
  return system.metric("entry-1", "cpu_seconds") +
         system.metric("box-a", "cpu_seconds") +
         system.metric("box-b", "cpu_seconds");
}

std::vector<std::string> open_programs(deployment& system, std::size_t count) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < count; ++i) {
    ids.push_back(system.open(
        "entry-1", {{"program", "balance"}, {"budget", {{"calls", 1000000}}}}));
  }
  return ids;
}

void measure_latency(const setting& chosen, std::uint64_t requests) {
  deployment_options options;
  options.nodes = 2;
  options.entries = 1;
  options.work_ms = 0;
  options.plain_repeatable = chosen.repeatable;
  options.node_settings = chosen.node_settings;
  deployment system(options);
  system.start_all();
  const std::vector<std::string> ids = open_programs(system, 200);
  load_result straight;
  load_result through;
  constexpr std::uint64_t rounds = 10;
  for (std::uint64_t round = 0; round < rounds; ++round) {
    load_result one =
        run_load(local(system.port("core")), 1, requests / rounds,
                 [](std::size_t, std::uint64_t n) { return direct_call(n); });
    straight.latency_ms.insert(straight.latency_ms.end(),
                               one.latency_ms.begin(), one.latency_ms.end());
    const std::uint64_t first = round * 20;
    one = run_load(local(system.port("entry-1")), 1, requests / rounds,
                   [&](std::size_t, std::uint64_t n) {
                     // Each program makes its calls in order.
                     const std::uint64_t calls = requests / rounds / 20;
                     return plain_call(ids[first + (n - 1) / calls],
                                       (n - 1) % calls + 1, "balance");
                   });
    through.latency_ms.insert(through.latency_ms.end(), one.latency_ms.begin(),
                              one.latency_ms.end());
    through.failed += one.failed;
  }
  std::printf("%-34s %7.3f %7.3f %7.3f %7.3f %7.3f %7.3f %6llu\n", chosen.name,
              through.part(p50) - straight.part(p50),
              through.part(p99) - straight.part(p99), through.part(p50),
              through.part(p95), through.part(p99), straight.part(p50),
              static_cast<unsigned long long>(through.failed));
  std::fflush(stdout);
}

void measure_rate(const setting& chosen, std::uint64_t requests) {
  deployment_options options;
  options.nodes = 2;
  options.entries = 1;
  options.work_ms = 0;
  options.plain_repeatable = chosen.repeatable;
  options.node_settings = chosen.node_settings;
  deployment system(options);
  system.start_all();
  constexpr std::size_t callers = 64;
  const std::vector<std::string> ids = open_programs(system, callers);
  const double before = cpu(system);
  load_result load = run_load(local(system.port("entry-1")), callers, requests,
                              [&](std::size_t caller, std::uint64_t n) {
                                return plain_call(ids[caller], n, "balance");
                              });
  // The processes refresh the figure once a second.
  usleep(1200000);
  const double used = cpu(system) - before;
  const auto calls = static_cast<double>(load.latency_ms.size());
  std::printf("%-34s %9.0f %12.1f %14.0f %7.2f %7.2f %6llu\n", chosen.name,
              load.per_second(), 1e6 * used / calls, calls / used,
              load.part(p50), load.part(p99),
              static_cast<unsigned long long>(load.failed));
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Added latency and rate of the path"};
  std::uint64_t requests = 4000;
  app.add_option("--requests", requests);
  CLI11_PARSE(app, argc, argv);
  const std::vector<setting> settings{
      {"repeatable, segment (copy off)", true, R"(, "copy_after_ms": 600000)"},
      {"repeatable, copy at once", true, R"(, "copy_after_ms": 0)"},
      {"not repeatable, segment", false, R"(, "copy_after_ms": 600000)"},
      {"not repeatable, copy at once", false, R"(, "copy_after_ms": 0)"},
  };
  std::printf("%-34s %7s %7s %7s %7s %7s %7s %6s\n", "latency, one caller (ms)",
              "+p50", "+p99", "p50", "p95", "p99", "direct", "failed");
  for (const setting& each : settings) {
    measure_latency(each, requests);
  }
  std::printf("%-34s %9s %12s %14s %7s %7s %6s\n", "rate, 64 callers",
              "calls/s", "cpu us/call", "calls/s a core", "p50 ms", "p99 ms",
              "failed");
  for (const setting& each : settings) {
    measure_rate(each, requests * 5);
  }
  return 0;
}
