// trayrockctl: what operators use.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>

#include "apply.h"
#include "burn_report.h"
#include "loss_report.h"
#include "stored_client.h"
#include "trayrock/internal/process.h"

namespace {

using namespace trayrock;
using nlohmann::json;

constexpr milliseconds call_timeout{5000};
constexpr milliseconds watch_length{20000};
constexpr int exit_failed = 1;
constexpr int default_window_s = 2;

int fail(std::error_code code) {
  std::fprintf(stderr, "%d %s\n", code.value(), code.message().c_str());
  return exit_failed;
}

void print_status(stored_client& stored, const std::string& name) {
  const result<stored_object> declared = stored.get("c/config/" + name);
  const result<stored_object> status = stored.get("status/" + name);
  const json body = status ? json::parse(status.value().bytes, nullptr, false)
                           : json::object();
  const bool accepted = body.value("accepted", false);
  std::printf(
      "%-36s version=%llu observed=%llu %s\n", name.c_str(),
      static_cast<unsigned long long>(declared ? declared.value().version : 0),
      body.value("observed_version", 0ULL),
      !status ? "pending" : (accepted ? "accepted" : "REFUSED"));
  for (const json& each : body.value("faults", json::array())) {
    std::printf("    %s\n", each.get<std::string>().c_str());
  }
}

void print_generation(stored_client& stored) {
  const result<stored_object> status = stored.get("status/generation");
  if (!status) {
    return;
  }
  const json body = json::parse(status.value().bytes, nullptr, false);
  std::printf("generation %llu in force on %llu of %llu processes\n",
              body.value("generation", 0ULL), body.value("in_force", 0ULL),
              body.value("of", 0ULL));
}

int get(stored_client& stored, const std::string& name) {
  if (name.find('/') != std::string::npos) {
    const result<stored_object> declared = stored.get("c/config/" + name);
    if (!declared) {
      return fail(declared.error());
    }
    std::printf("%s\n", declared.value().bytes.c_str());
    print_status(stored, name);
    return exit_done;
  }
  const std::string prefix = "c/config/" + (name.empty() ? "" : name + "/");
  const result<listing> listed = stored.list(prefix);
  if (!listed) {
    return fail(listed.error());
  }
  for (const listed_object& each : listed.value().items) {
    print_status(stored, each.key.substr(std::string("c/config/").size()));
  }
  print_generation(stored);
  return exit_done;
}

int watch(stored_client& stored, std::uint64_t changes) {
  const result<listing> listed = stored.list("status/");
  if (!listed) {
    return fail(listed.error());
  }
  std::uint64_t since = listed.value().revision;
  std::uint64_t seen = 0;
  while (changes == 0 || seen < changes) {
    const result<watch_result> got =
        stored.watch("status/", since, watch_length);
    if (!got) {
      return fail(got.error());
    }
    since = got.value().revision;
    for (const watch_event& each : got.value().events) {
      ++seen;
      if (each.key == "status/generation") {
        print_generation(stored);
      } else {
        print_status(stored, each.key.substr(std::string("status/").size()));
      }
    }
    std::fflush(stdout);
  }
  return exit_done;
}

int report_losses(std::span<const std::string> logs,
                  std::chrono::seconds window) {
  loss_report report(window);
  for (const std::string& path : logs) {
    std::ifstream log(path);
    report.read(log);
  }
  if (logs.empty()) {
    report.read(std::cin);
  }
  report.print(std::cout);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Declarations, status and reports of trayrock"};
  app.set_version_flag("--version", TRAYROCK_VERSION);
  app.require_subcommand(1);

  std::vector<std::string> files;
  CLI::App* check_command =
      app.add_subcommand("check", "check declaration files, off line");
  check_command->add_option("files", files)->required();

  std::string platform;
  const auto add_platform = [&](CLI::App* command) {
    command->add_option("--platform", platform, "the platform's service")
        ->required();
  };
  apply_options apply;
  CLI::App* apply_command =
      app.add_subcommand("apply", "store declarations, conditionally");
  add_platform(apply_command);
  apply_command->add_option("files", apply.files)->required();
  apply_command->add_option("--state", apply.state_path,
                            "file that keeps the versions last applied");
  apply_command->add_flag("--overwrite", apply.overwrite,
                          "replace a stored change after reading it");

  std::string name;
  CLI::App* get_command = app.add_subcommand("get", "show status");
  add_platform(get_command);
  get_command->add_option("name", name, "nothing, KIND or KIND/NAME");

  std::uint64_t changes = 0;
  CLI::App* watch_command = app.add_subcommand("watch", "follow status");
  add_platform(watch_command);
  watch_command->add_option("--changes", changes, "end after so many");

  std::string node;
  bool back = false;
  CLI::App* drain_command =
      app.add_subcommand("drain", "let a node's endpoints leave");
  add_platform(drain_command);
  drain_command->add_option("node", node)->required();
  drain_command->add_flag("--back", back, "take them into use again");

  burn_options burn;
  CLI::App* report_command = app.add_subcommand("report", "reports");
  report_command->require_subcommand(1);
  CLI::App* burn_command = report_command->add_subcommand(
      "burn", "declared objectives against what was measured");
  add_platform(burn_command);
  burn_command
      ->add_option("--process", burn.processes,
                   "HTTP address of a node; all of them")
      ->required();
  burn_command->add_flag("--json", burn.as_json);
  burn_command->add_option("--html", burn.html_path,
                           "write a page with a plot");
  std::vector<std::string> logs;
  int window_s = default_window_s;
  CLI::App* losses_command = report_command->add_subcommand(
      "losses", "requests that were not served or waited, from logs");
  losses_command->add_option("log", logs, "files; standard input if none")
      ->check(CLI::ExistingFile);
  losses_command->add_option("--window-s", window_s, "seconds in a window")
      ->check(CLI::PositiveNumber);
  CLI11_PARSE(app, argc, argv);

  if (losses_command->parsed()) {
    return report_losses(logs, std::chrono::seconds(window_s));
  }
  if (check_command->parsed()) {
    return check_files(files);
  }
  const result<address> where = address::parse(platform);
  if (!where) {
    return fail(where.error());
  }
  stored_client stored(where.value(), call_timeout);
  if (apply_command->parsed()) {
    return apply_files(stored, apply);
  }
  if (get_command->parsed()) {
    return get(stored, name);
  }
  if (watch_command->parsed()) {
    return watch(stored, changes);
  }
  if (burn_command->parsed()) {
    return report_burn(stored, burn);
  }
  return drain_node(stored, node, !back);
}
