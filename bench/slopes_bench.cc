// The slopes that docs/CAPACITY.md is worked out from.
//
// Each slope is measured at several sizes and fitted by least squares; the
// line shows the slope, the fixed part and the largest residual.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>

#include "deployment.h"
#include "load_generator.h"

namespace {

using namespace trayrock;
using namespace trayrock::bench;
using nlohmann::json;
using trayrock::testing::deployment;
using trayrock::testing::deployment_options;
using trayrock::testing::wait_until;

struct sample {
  double size;
  double value;
};

void print_fit(const char* name, const char* unit,
               const std::vector<sample>& samples) {
  const auto n = static_cast<double>(samples.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const sample& each : samples) {
    sx += each.size;
    sy += each.value;
    sxx += each.size * each.size;
    sxy += each.size * each.value;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double fixed = (sy - slope * sx) / n;
  double residual = 0;
  std::printf("%s\n ", name);
  for (const sample& each : samples) {
    residual =
        std::max(residual, std::abs(each.value - fixed - slope * each.size));
    std::printf(" %g: %.4g", each.size, each.value);
  }
  std::printf("\n  slope %.5g %s, fixed %.4g, largest residual %.3g\n", slope,
              unit, fixed, residual);
  std::fflush(stdout);
}

address local(int port) {
  return address::parse("127.0.0.1:" + std::to_string(port)).value();
}

deployment_options fast_options(int nodes) {
  deployment_options options;
  options.nodes = nodes;
  options.entries = 1;
  options.work_ms = 0;
  options.plain_repeatable = true;
  options.engine_step_ms = 1;
  return options;
}

double sum_over_nodes(deployment& system, const std::string& metric) {
  double sum = 0;
  for (const std::string& node : system.nodes()) {
    sum += system.metric(node, metric);
  }
  return sum;
}

// The default of the settings.
constexpr int spread_period_ms = 500;

// Processes refresh their own figures once a second.
void settle() { usleep(2500000); }

std::vector<std::string> open_programs(deployment& system, std::size_t count,
                                       std::size_t callers) {
  std::vector<std::string> ids;
  load_result load =
      run_load(local(system.port("entry-1")), callers, count,
               [](std::size_t, std::uint64_t) {
                 return http_message{
                     "POST",
                     "/v1/programs",
                     R"({"program": "balance", "budget": {"calls": 1000000}})",
                     {{"X-Trayrock-Member", "caroni"}}};
               });
  (void)load;
  return ids;
}

void memory_per_program() {
  deployment system(fast_options(2));
  system.start_all();
  settle();
  std::vector<sample> samples;
  double opened = 0;
  for (const double target : {0.0, 2000.0, 4000.0, 8000.0}) {
    open_programs(system, static_cast<std::size_t>(target - opened), 16);
    opened = target;
    settle();
    samples.push_back({target, sum_over_nodes(system, "resident_bytes")});
  }
  print_fit("memory of a node's programs without history", "bytes a program",
            samples);
}

void memory_per_history() {
  std::vector<sample> samples;
  for (const std::size_t kib : {0, 16, 64, 128}) {
    deployment system(fast_options(2));
    system.start_all();
    constexpr std::size_t programs = 150;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < programs; ++i) {
      ids.push_back(system.open("entry-1", {{"program", "balance"}}));
    }
    const std::string text(kib * 1024, 'x');
    constexpr std::size_t callers = 5;
    if (kib > 0) {
      std::size_t next = 0;
      run_load(local(system.port("entry-1")), callers, programs,
               [&](std::size_t, std::uint64_t) {
                 return model_call(ids[next++], 1, text, 1);
               });
    }
    // Copies and segments that wait are gone by then.
    settle();
    settle();
    samples.push_back({static_cast<double>(programs * kib),
                       sum_over_nodes(system, "resident_bytes")});
  }
  print_fit("memory of a node's programs by history", "bytes a KiB", samples);
}

void journal_writes() {
  std::vector<sample> by_nodes;
  for (const int nodes : {2, 4, 8, 16}) {
    deployment system(fast_options(nodes));
    system.start_all();
    constexpr std::size_t callers = 64;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < callers; ++i) {
      ids.push_back(system.open("entry-1", {{"program", "balance"},
                                            {"budget", {{"calls", 1000000}}}}));
    }
    const double before = system.counts("platform").value("all PUT", 0.0);
    const double copied = sum_over_nodes(system, "journal_copy_bytes_total");
    load_result load = run_load(local(system.port("entry-1")), callers, 20000,
                                [&](std::size_t caller, std::uint64_t n) {
                                  return plain_call(ids[caller], n, "balance");
                                });
    const double after = system.counts("platform").value("all PUT", 0.0);
    by_nodes.push_back(
        {static_cast<double>(nodes), (after - before) / load.seconds});
    std::printf("  %d nodes: %.0f calls/s, %.1f puts/s, %.0f copy bytes/call\n",
                nodes, load.per_second(), (after - before) / load.seconds,
                (sum_over_nodes(system, "journal_copy_bytes_total") - copied) /
                    static_cast<double>(load.latency_ms.size()));
  }
  print_fit("platform writes a second by nodes, under full load",
            "writes/s a node", by_nodes);

  std::vector<sample> by_programs;
  deployment system(fast_options(4));
  system.start_all();
  for (const std::size_t programs : {16, 64, 256, 1024}) {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < programs; ++i) {
      ids.push_back(system.open("entry-1", {{"program", "balance"},
                                            {"budget", {{"calls", 1000000}}}}));
    }
    const double before = system.counts("platform").value("all PUT", 0.0);
    load_result load = run_load(local(system.port("entry-1")), programs, 16000,
                                [&](std::size_t caller, std::uint64_t n) {
                                  return plain_call(ids[caller], n, "balance");
                                });
    const double after = system.counts("platform").value("all PUT", 0.0);
    by_programs.push_back(
        {static_cast<double>(programs), (after - before) / load.seconds});
  }
  print_fit("platform writes a second by programs under way, 4 nodes",
            "writes/s a program", by_programs);
}

void idle_control() {
  std::vector<sample> bytes;
  std::vector<sample> processor;
  std::vector<sample> reads;
  for (const int nodes : {4, 8, 16, 32}) {
    deployment_options options = fast_options(nodes);
    options.spread_period_ms = spread_period_ms;
    deployment system(options);
    system.start_all();
    settle();
    const double bytes_before = sum_over_nodes(system, "rpc_bytes_out");
    const double cpu_before = sum_over_nodes(system, "cpu_seconds");
    const json counts_before = system.counts("platform");
    constexpr double seconds = 10;
    usleep(static_cast<useconds_t>(seconds * 1e6));
    const double count = nodes;
    std::printf("  %d nodes measured\n", nodes);
    std::fflush(stdout);
    bytes.push_back(
        {count, (sum_over_nodes(system, "rpc_bytes_out") - bytes_before) /
                    seconds / count});
    processor.push_back(
        {count, (sum_over_nodes(system, "cpu_seconds") - cpu_before) / seconds /
                    count * 100});
    const json counts_after = system.counts("platform");
    double calls = 0;
    for (const char* each : {"all GET", "all list", "all watch", "all boxes"}) {
      calls += counts_after.value(each, 0.0) - counts_before.value(each, 0.0);
    }
    reads.push_back({count, calls / seconds});
  }
  print_fit(
      "idle control bytes a second out of a node, by nodes "
      "(spread every 500 ms)",
      "bytes/s a node", bytes);
  print_fit(
      "idle processor of a node in percent of a core, by nodes "
      "(includes this bench's reading of the metrics)",
      "% a node", processor);
  print_fit("platform reads a second, idle, by nodes", "reads/s a node", reads);
}

// Processor time of entry and nodes together for each token that is passed
// on, by the length of the answers.
void stream_tokens() {
  std::vector<sample> samples;
  for (const std::uint32_t tokens : {8U, 64U, 256U}) {
    deployment system(fast_options(2));
    system.start_all();
    constexpr std::size_t callers = 16;
    constexpr std::uint64_t calls = 300;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < calls; ++i) {
      ids.push_back(system.open("entry-1", {{"program", "balance"}}));
    }
    settle();
    const auto used = [&] {
      return sum_over_nodes(system, "cpu_seconds") +
             system.metric("entry-1", "cpu_seconds");
    };
    const double before = used();
    std::size_t next = 0;
    load_result load = run_load(local(system.port("entry-1")), callers, calls,
                                [&](std::size_t, std::uint64_t) {
                                  http_message made = model_call(
                                      ids[next++], 1, "text", tokens);
                                  made.headers["Accept"] = "text/event-stream";
                                  return made;
                                });
    settle();
    constexpr double us_per_second = 1e6;
    samples.push_back({static_cast<double>(tokens),
                       us_per_second * (used() - before) /
                           static_cast<double>(load.latency_ms.size())});
  }
  print_fit("processor of entry and nodes for a streamed call, by tokens",
            "us a token", samples);
}

using bench_clock = std::chrono::steady_clock;

double ms_since(bench_clock::time_point begun) {
  return std::chrono::duration<double, std::milli>(bench_clock::now() - begun)
      .count();
}

void configuration_change() {
  std::vector<sample> samples;
  for (const int nodes : {4, 16, 48}) {
    deployment system(fast_options(nodes));
    system.start_all();
    std::vector<double> took;
    for (int change = 0; change < 6; ++change) {
      const std::string key =
          "c/config/Member/change-" + std::to_string(change);
      const int wanted = system.status("entry-1").value("generation", 0) + 1;
      const auto begun = bench_clock::now();
      system.request("platform", "PUT", "/v1/objects/" + key + "?if_version=0",
                     R"({"kind": "Member", "name": "change-)" +
                         std::to_string(change) + R"("})");
      wait_until("in force", [&] {
        for (const std::string& node : system.nodes()) {
          if (system.status(node).value("generation", 0) < wanted) {
            return false;
          }
        }
        return true;
      });
      took.push_back(ms_since(begun));
    }
    std::sort(took.begin(), took.end());
    samples.push_back({std::log2(nodes), took.back()});
  }
  print_fit(
      "a configuration change until every node has it, slowest of 6, "
      "by log2 of nodes (spread every 200 ms)",
      "ms a doubling", samples);
}

void takeover_time() {
  std::vector<sample> samples;
  for (const std::size_t programs : {50, 400, 1600}) {
    deployment system(fast_options(3));
    system.start_all();
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < programs; ++i) {
      ids.push_back(system.open("entry-1", {{"program", "balance"}}));
    }
    constexpr std::size_t callers = 10;
    std::size_t next = 0;
    run_load(local(system.port("entry-1")), callers, programs,
             [&](std::size_t, std::uint64_t) {
               return model_call(ids[next++], 1, std::string(2000, 'x'), 4);
             });
    const std::string owner = system.owner_of(ids[0]);
    system.kill(owner);
    const auto begun = bench_clock::now();
    wait_until("served again", [&] {
      return system.call("entry-1", ids[0], 2, "again", "text").status == 200;
    });
    const double all = ms_since(begun);
    double takeover = 0;
    double seal = 0;
    for (const std::string& node : system.nodes()) {
      if (node != owner) {
        takeover += system.metric(node, "takeover_ms_sum{part=\"all\"}");
        seal += system.metric(node, "takeover_ms_sum{part=\"seal\"}");
      }
    }
    std::printf(
        "  %zu programs: kill to first served call %.0f ms, of it "
        "seal %.0f, map and reading %.0f, detection and rest %.0f\n",
        programs, all, seal, takeover - seal, all - takeover);
    samples.push_back({static_cast<double>(programs) / 3, takeover});
  }
  print_fit(
      "takeover from seal to serving, by programs taken over (2 KB of "
      "history each; suspicion after 1.5 s comes on top)",
      "ms a program", samples);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Slopes for the reckoning of capacity"};
  std::string only;
  app.add_option("--only", only)
      ->check(CLI::IsMember({"program", "history", "journal", "control",
                             "config", "takeover", "stream"}));
  CLI11_PARSE(app, argc, argv);
  const auto wanted = [&](const char* name) {
    return only.empty() || only == name;
  };
  if (wanted("program")) {
    memory_per_program();
  }
  if (wanted("history")) {
    memory_per_history();
  }
  if (wanted("journal")) {
    journal_writes();
  }
  if (wanted("control")) {
    idle_control();
  }
  if (wanted("stream")) {
    stream_tokens();
  }
  if (wanted("config")) {
    configuration_change();
  }
  if (wanted("takeover")) {
    takeover_time();
  }
  return 0;
}
