#include "service_deployment.h"

#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "test_folder.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::size_t ports_of_a_test = 60;
constexpr int answer_seconds = 20;

std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string data_centre(const std::string& name) {
  return "dc-" + name.substr(name.rfind('-') + 1);
}

}  // namespace

service_deployment::service_deployment(const service_options& options)
    : options_(options), ports_(free_ports(ports_of_a_test)) {
  binaries_ =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  folder_ = make_test_folder();
  process& objects = processes_["objects"];
  objects.port = take_port();
  objects.second_port = take_port();
  objects.command = {binaries_ + "/fake-objects", "--listen",
                     local(objects.port), "--control",
                     local(objects.second_port)};
  for (int i = 1; i <= options_.runners; ++i) {
    const std::string name = "runner-" + std::to_string(i);
    process& runner = processes_[name];
    runner.port = take_port();
    runner.command = {binaries_ + "/fake-runner",
                      "--listen",
                      local(runner.port),
                      "--id",
                      name,
                      "--events",
                      std::to_string(options_.runner_events),
                      "--pause-ms",
                      std::to_string(options_.runner_pause_ms),
                      "--padding",
                      std::to_string(options_.runner_padding),
                      "--unread-limit-ms",
                      std::to_string(options_.runner_unread_limit_ms)};
  }
  for (int i = 1; i <= options_.stores; ++i) {
    add_store("store-" + std::to_string(i));
  }
  for (int i = 1; i <= options_.gateways; ++i) {
    add_gateway("gateway-" + std::to_string(i),
                i > options_.gateways - options_.gateways_elsewhere);
  }
}

service_deployment::~service_deployment() {
  for (auto& [name, each] : processes_) {
    if (each.id != 0) {
      ::kill(each.id, SIGKILL);
      waitpid(each.id, nullptr, 0);
    }
  }
  if (std::getenv("TRAYROCK_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

int service_deployment::take_port() {
  const int port = ports_.back();
  ports_.pop_back();
  return port;
}

int service_deployment::reached_at(const std::string& link, int port) {
  return options_.links ? add_link(link, port) : port;
}

int service_deployment::add_link(const std::string& link, int port) {
  const auto held = link_ports_.find(link);
  if (held != link_ports_.end()) {
    return held->second;
  }
  const int listening = take_port();
  link_ports_[link] = listening;
  links_[link] = std::make_unique<fault_proxy>(listening, port);
  return listening;
}

std::vector<std::string> service_deployment::link_names() const {
  std::vector<std::string> names;
  for (const auto& [name, each] : links_) {
    names.push_back(name);
  }
  return names;
}

void service_deployment::add_store(const std::string& name) {
  process& store = processes_[name];
  store.port = take_port();
  store.metrics_port = take_port();
  store.command = {binaries_ + "/trayrock-store", "--settings",
                   folder_ + "/" + name + ".json"};
  write_store_settings(name, true);
}

void service_deployment::write_store_settings(const std::string& name,
                                              bool first_start) {
  const process& store = processes_.at(name);
  const json settings = {
      {"name", name},
      {"box", name},
      {"data_centre", data_centre(name)},
      {"rpc_listen", local(store.port)},
      {"rpc_address", local(reached_at(name, store.port))},
      {"metrics_listen", local(store.metrics_port)},
      {"platform", local(reached_at("platform of " + name, port("objects")))},
      {"data_folder", folder_ + "/" + name + ".data"},
      {"tolerated_losses", 1},
      {"first_start", first_start},
      {"limit_window_s", options_.limit_window_s},
      {"expiry_margin_s", options_.expiry_margin_s}};
  std::ofstream(folder_ + "/" + name + ".json") << settings.dump();
}

void service_deployment::add_gateway(const std::string& name, bool elsewhere) {
  const char* const together = elsewhere ? "dc-2" : "dc-1";
  process& gateway = processes_[name];
  gateway.port = take_port();
  gateway.second_port = take_port();
  gateway.metrics_port = take_port();
  const int rpc_port = take_port();
  gateway.command = {binaries_ + "/trayrock-gateway", "--settings",
                     folder_ + "/" + name + ".json"};
  json settings = {
      {"name", name},
      {"box", name},
      {"data_centre",
       options_.gateways_together ? together : data_centre(name)},
      {"http_listen", local(gateway.port)},
      {"ready_listen", local(gateway.second_port)},
      {"rpc_listen", local(rpc_port)},
      {"metrics_listen", local(gateway.metrics_port)},
      {"platform", local(reached_at("platform of " + name, port("objects")))},
      {"stop_limit_s", options_.stop_limit_s}};
  if (options_.peer_links) {
    settings["rpc_address"] = local(add_link("peers of " + name, rpc_port));
  }
  if (options_.revocation_limit_ms > 0) {
    settings["revocation_limit_ms"] = options_.revocation_limit_ms;
  }
  if (options_.evacuation_notice_ms > 0) {
    settings["evacuation_notice_ms"] = options_.evacuation_notice_ms;
  }
  if (options_.memory_limit_mb > 0) {
    settings["memory_limit_mb"] = options_.memory_limit_mb;
  }
  if (!options_.trial_without.empty()) {
    settings["trial"] = {{"without", options_.trial_without}};
  }
  std::ofstream(folder_ + "/" + name + ".json") << settings.dump();
}

void service_deployment::start(const std::string& name) {
  process& each = processes_.at(name);
  TRAYROCK_CHECK(each.id == 0, name << " is running already");
  each.id = spawn_process(each.command, folder_ + "/" + name + ".log");
}

void service_deployment::signal(const std::string& name, int number) {
  const process& each = processes_.at(name);
  TRAYROCK_CHECK(each.id != 0, name << " is not running");
  ::kill(each.id, number);
}

int service_deployment::wait_end(const std::string& name, int seconds) {
  process& each = processes_.at(name);
  int status = 0;
  wait_until(
      name + " ends",
      [&] { return waitpid(each.id, &status, WNOHANG) == each.id; }, seconds);
  each.id = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool service_deployment::running(const std::string& name) {
  process& each = processes_.at(name);
  if (each.id != 0 && waitpid(each.id, nullptr, WNOHANG) == each.id) {
    each.id = 0;
  }
  return each.id != 0;
}

void service_deployment::kill(const std::string& name) {
  signal(name, SIGKILL);
  wait_end(name);
}

void service_deployment::start_all() {
  start("objects");
  wait_until("the platform answers", [&] {
    return exchange(port("objects"), "GET", "/objects/config", "", {}, 1)
               .status == 200;
  });
  for (int i = 1; i <= options_.runners; ++i) {
    const std::string name = "runner-" + std::to_string(i);
    start(name);
    register_runner(name, "ready");
  }
  configure(1, options_.more_routes);
  for (int i = 1; i <= options_.stores; ++i) {
    start("store-" + std::to_string(i));
  }
  for (int i = 1; i <= options_.gateways; ++i) {
    start("gateway-" + std::to_string(i));
  }
  for (int i = 1; i <= options_.gateways; ++i) {
    wait_ready("gateway-" + std::to_string(i));
  }
}

void service_deployment::wait_ready(const std::string& gateway) {
  wait_until(gateway + " is ready", [&] {
    return exchange(processes_.at(gateway).second_port, "GET", "/readyz", "",
                    {}, 1)
               .status == 200;
  });
}

void service_deployment::wait_draining(const std::string& gateway) {
  constexpr int unavailable = 503;
  wait_until(gateway + " is stopping", [&] {
    return exchange(processes_.at(gateway).second_port, "GET", "/readyz", "",
                    {}, 1)
               .status == unavailable;
  });
}

void service_deployment::replace_disk(const std::string& store) {
  if (running(store)) {
    kill(store);
  }
  std::filesystem::remove_all(folder_ + "/" + store + ".data");
  write_store_settings(store, false);
  start(store);
}

void service_deployment::wait_counting() {
  wait_until("every voter counts", [&] {
    const json current = group();
    for (const json& each : current["voters"]) {
      const std::string box = each["box"];
      if (!running(box) || metric(box, "store_counts") != 1 ||
          metric(box, "store_epoch") != current["epoch"]) {
        return false;
      }
    }
    return true;
  });
}

void service_deployment::put_object(const std::string& kind,
                                    const std::string& name, const json& spec) {
  const std::string where = "/objects/" + kind;
  const json body = {{"metadata", {{"name", name}}}, {"spec", spec}};
  const int made =
      exchange(port("objects"), "POST", where, body.dump(), {}, 5).status;
  constexpr int conflict = 409;
  if (made == conflict) {
    exchange(port("objects"), "PUT", where + "/" + name, body.dump(), {}, 5);
  }
}

void service_deployment::put_raw(const std::string& kind,
                                 const std::string& name,
                                 const std::string& text, raw_part part) {
  const std::string target = "/raw?kind=" + kind + "&name=" + name +
                             (part == raw_part::object ? "&whole=1" : "");
  const int taken = exchange(processes_.at("objects").second_port, "POST",
                             target, text, {}, 5)
                        .status;
  TRAYROCK_CHECK(taken == 200, "the platform did not take " << name);
}

void service_deployment::remove_object(const std::string& kind,
                                       const std::string& name) {
  exchange(port("objects"), "DELETE", "/objects/" + kind + "/" + name, "", {},
           5);
}

json service_deployment::object(const std::string& kind,
                                const std::string& name) {
  return exchange(port("objects"), "GET", "/objects/" + kind + "/" + name, "",
                  {}, 5)
      .parsed();
}

json service_deployment::group() {
  const json held = object("trayrock-record-groups", "main");
  return held.is_object() && held.contains("spec") ? held["spec"] : json();
}

void service_deployment::register_runner(const std::string& name,
                                         const std::string& phase) {
  put_object("servers", name,
             endpoint_entry(local(reached_at(name, port(name))), phase));
}

void service_deployment::restart_runner(const std::string& name) {
  const process& each = processes_.at(name);
  remove_object(
      "servers",
      *(std::find(each.command.begin(), each.command.end(), "--id") + 1));
  const std::string id = restart_runner_unlisted(name);
  put_object("servers", id,
             endpoint_entry(local(reached_at(name, port(name))), "ready"));
}

std::string service_deployment::restart_runner_unlisted(
    const std::string& name) {
  process& each = processes_.at(name);
  std::string& id =
      *(std::find(each.command.begin(), each.command.end(), "--id") + 1);
  id = name + "-" + std::to_string(++each.restarts);
  start(name);
  wait_until(name + " answers", [&] { return counts(name).is_object(); });
  return id;
}

json service_deployment::endpoint_entry(const std::string& address,
                                        const std::string& phase) {
  return {{"service", "assistant"}, {"address", address}, {"zone", "dc-1"},
          {"version", "v1"},        {"capacity", 8},      {"phase", phase},
          {"coldLeftMs", 0},        {"callSeq", 0}};
}

void service_deployment::configure(std::uint64_t version,
                                   const json& more_routes) {
  const auto route = [&](const char* prefix, const char* type) {
    return json{{"name", prefix},
                {"host", "local"},
                {"pathPrefix", prefix},
                {"type", type},
                {"timeoutMs", options_.timeout_ms},
                {"sloMs", 1000},
                {"priority", 1},
                {"service", "assistant"},
                {"attempts", options_.max_endpoints}};
  };
  json turns = route("/stream/", "streaming");
  turns["retained"] = true;
  turns["retentionS"] = options_.retention_s;
  json resumable = route("/resumable-stream/", "streaming");
  resumable["resumable"] = true;
  resumable["gapTargetMs"] = 500;
  json routes = {turns, resumable, route("/safe/", "safe"),
                 route("/unsafe/", "unsafe")};
  for (const json& each : more_routes) {
    routes.push_back(each);
  }
  json document = {{"version", version},
                   {"routes", routes},
                   {"services",
                    {{{"name", "assistant"},
                      {"maxConns", 100},
                      {"engine", {{"capacity", 8}, {"chunkTokens", 2}}}}}},
                   {"limits",
                    {{"maxHeaderBytes", 4096},
                     {"maxBodyBytes", 65536},
                     {"headerTimeoutMs", 700},
                     {"idleTimeoutMs", options_.idle_timeout_ms}}}};
  if (!options_.workspaces.is_null()) {
    document["tenants"] = options_.workspaces;
  }
  put_object("config", "main", document);
}

void service_deployment::platform_fault(const json& switches) {
  exchange(processes_.at("objects").second_port, "POST", "/fault",
           switches.dump(), {}, 5);
}

int service_deployment::platform_calls(const std::string& call) {
  constexpr int not_told = -1;
  const json counted =
      exchange(processes_.at("objects").second_port, "GET", "/calls", "", {}, 5)
          .parsed();
  return counted.is_object() ? counted.value(call, 0) : not_told;
}

void service_deployment::runner_fault(const std::string& runner,
                                      const json& switches) {
  exchange(port(runner), "POST", "/fault", switches.dump(), {}, 5);
}

http_answer service_deployment::request(
    const std::string& gateway, const std::string& path,
    const std::string& attempt,
    const std::map<std::string, std::string>& headers,
    const std::string& body) {
  std::map<std::string, std::string> all = headers;
  all["Trayrock-Attempt-Id"] = attempt;
  return exchange(port(gateway), body.empty() ? "GET" : "POST", path, body, all,
                  answer_seconds);
}

http_answer service_deployment::turn(const std::string& gateway,
                                     const std::string& attempt,
                                     const std::string& previous,
                                     const std::string& input,
                                     std::uint64_t budget,
                                     const std::string& path) {
  std::map<std::string, std::string> headers{
      {"Trayrock-Program-Id", "program"},
      {"Trayrock-Session-Id", "session"},
      {"Trayrock-Token-Budget", std::to_string(budget)},
      {"Trayrock-Token-Usage", "100,10"}};
  if (!previous.empty()) {
    headers["Trayrock-Previous-Turn"] = previous;
  }
  return request(gateway, path, attempt, headers, input);
}

json service_deployment::counts(const std::string& runner) {
  return exchange(port(runner), "GET", "/counts", "", {}, 5).parsed();
}

int service_deployment::runs(const std::string& attempt) {
  int sum = 0;
  for (int i = 1; i <= options_.runners; ++i) {
    const json made = counts("runner-" + std::to_string(i));
    if (made.is_object() && made["runs"].contains(attempt)) {
      sum += made["runs"][attempt]["runs"].get<int>();
    }
  }
  return sum;
}

json service_deployment::run_of(const std::string& attempt) {
  for (int i = 1; i <= options_.runners; ++i) {
    const json made = counts("runner-" + std::to_string(i));
    if (made.is_object() && made["runs"].contains(attempt)) {
      return made["runs"][attempt];
    }
  }
  return {};
}

std::string service_deployment::body_of(const std::string& attempt) {
  const json run = run_of(attempt);
  return run.is_null() ? std::string() : run["body"].get<std::string>();
}

double service_deployment::metric(const std::string& process,
                                  const std::string& name) {
  const std::string page = exchange(processes_.at(process).metrics_port, "GET",
                                    "/metrics", "", {}, 5)
                               .body;
  const std::string line = "\ntrayrock_" + name + " ";
  const std::size_t at = ("\n" + page).find(line);
  return at == std::string::npos
             ? -1
             : std::atof(("\n" + page).c_str() + at + line.size());
}

std::size_t service_deployment::log_lines(const std::string& name,
                                          const std::string& text) const {
  std::ifstream log(folder_ + "/" + name + ".log");
  std::size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    count += line.find(text) == std::string::npos ? 0 : 1;
  }
  return count;
}

int service_deployment::port(const std::string& name) const {
  return processes_.at(name).port;
}

}  // namespace trayrock::testing
