// Policies against each other: the same traces, the same deployment, in turn.
//
// For each seed every policy replays the same trace against fresh processes,
// one after another. The table shows latency of whole programs by class and
// wasted cache, then each policy against least_loaded, seed by seed. Seeds 1
// to 3 are for tuning; figures are to be reported on others.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>

#include "deployment.h"
#include "trayrock/internal/replay/trace.h"

namespace {

using namespace trayrock;
using nlohmann::json;
using trayrock::testing::deployment;
using trayrock::testing::deployment_options;

struct bench_options {
  std::string shape = "mixed";
  std::string trace_path;
  std::vector<std::uint64_t> seeds{11, 12, 13};
  double load = 0.8;
  std::uint64_t programs = 150;
  std::uint64_t cache_tokens = 30000;
  bool as_json = false;
};

// Prompt and answer tokens that one engine of this deployment can take a
// second, by its step time; the load is a share of three of these.
constexpr double engine_tokens_per_second = 2200;
constexpr double engines = 3;

struct policy {
  std::string name;
  std::string declared;
};

const std::vector<policy>& policies() {
  static const std::vector<policy> all{
      {"round_robin",
       R"({"routing": "round_robin", "order": "arrival", "hold_ms": 0})"},
      {"least_loaded",
       R"({"routing": "least_loaded", "order": "arrival", "hold_ms": 0})"},
      {"prefix_affinity",
       R"({"routing": "prefix_affinity", "order": "arrival",)"
       R"( "hold_ms": 0})"},
      {"balanced w=0",
       R"({"routing": "balanced", "order": "attained", "cache_weight": 0,)"
       R"( "hold_ms": 2000})"},
      {"balanced w=0.5",
       R"({"routing": "balanced", "order": "attained", "cache_weight": 0.5,)"
       R"( "hold_ms": 2000})"},
      {"balanced w=1",
       R"({"routing": "balanced", "order": "attained", "cache_weight": 1,)"
       R"( "hold_ms": 2000})"},
  };
  return all;
}

// What the trace asks of the engines, as tokens made and a share of prefill.
double demand(const trace& what) {
  double tokens = 0;
  for (const trace_program& program : what.programs) {
    for (const trace_call& call : program.calls) {
      tokens += call.max_tokens;
    }
  }
  return tokens;
}

trace trace_for(const bench_options& chosen, std::uint64_t seed) {
  if (!chosen.trace_path.empty()) {
    return read_trace(chosen.trace_path).value();
  }
  shape_options shape{chosen.shape, seed, chosen.programs, 1};
  const double tokens = demand(make_trace(shape));
  const double seconds =
      tokens / (engine_tokens_per_second * engines * chosen.load);
  constexpr double ms_per_second = 1000;
  shape.over_ms = static_cast<std::uint64_t>(seconds * ms_per_second);
  return make_trace(shape);
}

json run_policy(const policy& chosen, trace what, const bench_options& from) {
  deployment_options options;
  options.policy = chosen.declared;
  options.engine_step_ms = 4;
  options.engine_slots = 8;
  options.engine_cache_tokens = from.cache_tokens;
  options.plain_nodes = {"box-a", "box-b"};
  deployment system(options);
  system.start_all();
  for (trace_program& program : what.programs) {
    for (trace_call& call : program.calls) {
      call.service = call.service.empty() ? "" : "core-banking";
    }
  }
  const std::string path = system.folder() + "/trace.jsonl";
  std::ofstream(path) << trace_text(what);
  std::string output;
  system.run_tool(
      "trayrock-replay",
      {"run", "--json", "--trace", path, "--entry",
       "127.0.0.1:" + std::to_string(system.port("entry-1")), "--entry",
       "127.0.0.1:" + std::to_string(system.port("entry-2"))},
      &output);
  const std::size_t begin = output.find('{');
  return json::parse(output.substr(begin, output.rfind('}') + 1 - begin),
                     nullptr, false);
}

double figure(const json& report, const std::string& work_class,
              const std::string& part) {
  const json classes = report.value("classes", json::object());
  return classes.contains(work_class)
             ? classes[work_class]["program_ms"].value(part, 0.0)
             : 0;
}

void print_row(const std::string& name, std::uint64_t seed,
               const json& report) {
  constexpr double percent = 100;
  std::printf("%-16s %4llu", name.c_str(),
              static_cast<unsigned long long>(seed));
  for (const char* work_class : {"urgent", "normal", "batch"}) {
    for (const char* part : {"p50", "p95", "p99"}) {
      std::printf(" %7.0f", figure(report, work_class, part));
    }
  }
  std::printf(" %7.2f %5llu %5llu\n",
              percent * report.value("wasted_share", 0.0),
              report.value("programs", 0ULL) - report.value("unfinished", 0ULL),
              report.value("refusals", 0ULL));
  std::fflush(stdout);
}

void print_ratios(const std::map<std::string, std::vector<json>>& reports) {
  const std::vector<json>& baseline = reports.at("least_loaded");
  std::printf("\nagainst least_loaded, lowest to highest over the seeds\n");
  for (const auto& [name, own] : reports) {
    std::printf("%-16s", name.c_str());
    for (const char* work_class : {"urgent", "normal", "batch"}) {
      std::vector<double> ratios;
      for (std::size_t i = 0; i < own.size(); ++i) {
        ratios.push_back(figure(own[i], work_class, "p95") /
                         figure(baseline[i], work_class, "p95"));
      }
      std::sort(ratios.begin(), ratios.end());
      std::printf("  %s p95 %.2f-%.2f", work_class, ratios.front(),
                  ratios.back());
    }
    std::vector<double> waste;
    for (std::size_t i = 0; i < own.size(); ++i) {
      waste.push_back(own[i].value("wasted_share", 0.0) /
                      baseline[i].value("wasted_share", 1.0));
    }
    std::sort(waste.begin(), waste.end());
    std::printf("  waste %.2f-%.2f\n", waste.front(), waste.back());
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Policies against each other on the same traces"};
  bench_options chosen;
  std::vector<double> loads{chosen.load};
  app.add_option("--shape", chosen.shape)
      ->check(CLI::IsMember({"caroni", "batangas", "mixed"}));
  app.add_option("--trace", chosen.trace_path);
  app.add_option("--seed", chosen.seeds)->delimiter(',');
  app.add_option("--load", loads)->delimiter(',');
  app.add_option("--programs", chosen.programs);
  app.add_option("--cache-tokens", chosen.cache_tokens);
  app.add_flag("--json", chosen.as_json);
  CLI11_PARSE(app, argc, argv);

  for (const double load : loads) {
    chosen.load = load;
    std::printf("shape %s, load %.2f, cache %llu tokens an engine; ms\n",
                chosen.shape.c_str(), load,
                static_cast<unsigned long long>(chosen.cache_tokens));
    std::printf("%-16s %4s %23s %23s %23s %7s %5s %5s\n", "policy", "seed",
                "urgent p50/p95/p99", "normal p50/p95/p99", "batch p50/p95/p99",
                "waste %", "done", "refus");
    std::map<std::string, std::vector<json>> reports;
    for (const std::uint64_t seed : chosen.seeds) {
      const trace what = trace_for(chosen, seed);
      for (const policy& each : policies()) {
        const json report = run_policy(each, what, chosen);
        print_row(each.name, seed, report);
        reports[each.name].push_back(report);
      }
    }
    print_ratios(reports);
    if (chosen.as_json) {
      std::printf("%s\n", json(reports).dump().c_str());
    }
  }
  return 0;
}
