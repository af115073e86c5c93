// trayrock-replay: records traces and replays them against a deployment.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "trayrock/internal/process.h"
#include "trayrock/internal/replay/replayer.h"

namespace {

using namespace trayrock;
using nlohmann::json;

struct run_arguments {
  std::string trace_path;
  std::vector<std::string> entries;
  std::vector<std::string> counters;
  double speed = 1;
  bool as_json = false;
  bool progress = false;
  std::uint64_t patience_ms = 60000;
};

json figures_json(const std::vector<double>& samples) {
  constexpr double p50 = 0.5;
  constexpr double p95 = 0.95;
  constexpr double p99 = 0.99;
  return {{"p50", part_of(samples, p50)},
          {"p95", part_of(samples, p95)},
          {"p99", part_of(samples, p99)},
          {"n", samples.size()}};
}

json report_json(const replay_report& report) {
  json classes = json::object();
  for (const auto& [name, each] : report.classes) {
    classes[name] = {
        {"program_ms", figures_json(each.program_ms)},
        {"first_token_ms", figures_json(each.first_token_ms)},
        {"between_tokens_ms", figures_json(each.between_tokens_ms)}};
  }
  json failures = json::object();
  for (const auto& [code, count] : report.failures) {
    failures[std::to_string(code)] = count;
  }
  return {{"programs", report.programs},
          {"calls", report.calls},
          {"lost", report.lost},
          {"doubled", report.doubled},
          {"mixed", report.mixed},
          {"unknown", report.unknown},
          {"unfinished", report.unfinished},
          {"refusals", report.refusals},
          {"restarts", report.restarts},
          {"prompt_tokens", report.prompt_tokens},
          {"recomputed_tokens", report.recomputed_tokens},
          {"wasted_share", report.wasted_share()},
          {"failures", failures},
          {"notes", report.notes},
          {"classes", classes}};
}

void print_report(const replay_report& report) {
  constexpr double percent = 100;
  std::printf("%-8s %9s %9s %9s %6s %14s %16s\n", "class", "p50 ms", "p95 ms",
              "p99 ms", "n", "first tok p95", "between tok p95");
  const json body = report_json(report);
  for (const auto& [name, each] : body["classes"].items()) {
    const json& program = each["program_ms"];
    std::printf("%-8s %9.1f %9.1f %9.1f %6d %14.1f %16.1f\n", name.c_str(),
                program["p50"].get<double>(), program["p95"].get<double>(),
                program["p99"].get<double>(), program["n"].get<int>(),
                each["first_token_ms"]["p95"].get<double>(),
                each["between_tokens_ms"]["p95"].get<double>());
  }
  std::printf("wasted cache: %.2f%% of %llu prompt tokens recomputed\n",
              percent * report.wasted_share(),
              static_cast<unsigned long long>(report.prompt_tokens));
  std::printf("refusals=%llu restarts=%llu unknown=%llu unfinished=%llu\n",
              static_cast<unsigned long long>(report.refusals),
              static_cast<unsigned long long>(report.restarts),
              static_cast<unsigned long long>(report.unknown),
              static_cast<unsigned long long>(report.unfinished));
  for (const std::string& each : report.notes) {
    std::printf("note: %s\n", each.c_str());
  }
}

bool parse_addresses(const std::vector<std::string>& texts,
                     std::vector<address>& parsed) {
  for (const std::string& each : texts) {
    const result<address> one = address::parse(each);
    if (!one) {
      std::fprintf(stderr, "not an address: %s\n", each.c_str());
      return false;
    }
    parsed.push_back(one.value());
  }
  return true;
}

int run(const run_arguments& arguments) {
  const result<trace> what = read_trace(arguments.trace_path);
  replay_options options;
  options.speed = arguments.speed;
  options.patience_ms = arguments.patience_ms;
  options.progress = arguments.progress && !arguments.as_json;
  if (!what) {
    std::fprintf(stderr, "cannot read %s: %s\n", arguments.trace_path.c_str(),
                 what.error().message().c_str());
    return exit_settings;
  }
  if (!parse_addresses(arguments.entries, options.entries) ||
      !parse_addresses(arguments.counters, options.counters)) {
    return exit_settings;
  }
  event_loop loop;
  replayer replay(loop, what.value(), options);
  replay_report report;
  replay.start([&](const replay_report& finished) {
    report = finished;
    loop.stop();
  });
  loop.run();
  if (arguments.as_json) {
    std::printf("%s\n", report_json(report).dump(2).c_str());
  } else {
    print_report(report);
  }
  const bool met = report.meets(what.value().outcomes);
  std::fprintf(arguments.as_json ? stderr : stdout,
               "replay: %s programs=%llu calls=%llu lost=%llu doubled=%llu "
               "mixed=%llu\n",
               met ? "ok" : "FAILED",
               static_cast<unsigned long long>(report.programs),
               static_cast<unsigned long long>(report.calls),
               static_cast<unsigned long long>(report.lost),
               static_cast<unsigned long long>(report.doubled),
               static_cast<unsigned long long>(report.mixed));
  return met ? 0 : 1;
}

int record(const shape_options& shape, const std::string& path) {
  trace made = make_trace(shape);
  std::ofstream file(path, std::ios::binary);
  file << trace_text(made);
  if (!file.flush()) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    return 1;
  }
  std::printf("recorded %zu programs\n", made.programs.size());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Records and replays traces of agent programs"};
  app.set_version_flag("--version", TRAYROCK_VERSION);
  app.require_subcommand(1);

  run_arguments arguments;
  CLI::App* run_command = app.add_subcommand("run", "replay a trace");
  run_command->add_option("--trace", arguments.trace_path)->required();
  run_command->add_option("--entry", arguments.entries)->required();
  run_command->add_option("--counter", arguments.counters,
                          "stand-in that counts executions");
  run_command->add_option("--speed", arguments.speed);
  run_command->add_option("--patience-ms", arguments.patience_ms);
  run_command->add_flag("--json", arguments.as_json);
  run_command->add_flag("--progress", arguments.progress);

  shape_options shape;
  std::string out;
  CLI::App* record_command =
      app.add_subcommand("record", "write a trace from a seeded workload");
  record_command->add_option("--shape", shape.shape)
      ->check(CLI::IsMember({"caroni", "batangas", "mixed"}));
  record_command->add_option("--seed", shape.seed);
  record_command->add_option("--programs", shape.programs);
  record_command->add_option("--over-ms", shape.over_ms);
  record_command->add_option("--out", out)->required();
  CLI11_PARSE(app, argc, argv);

  return run_command->parsed() ? run(arguments) : record(shape, out);
}
