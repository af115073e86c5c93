// Starts gateways, record stores and the stand-ins of the users' platform on
// loopback for one test. Only processes started here are signalled.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "deployment.h"
#include "fault_proxy.h"

namespace trayrock::testing {

struct service_options {
  int gateways = 2;
  int stores = 3;
  int runners = 2;
  int runner_events = 3;
  int runner_pause_ms = 5;
  int runner_padding = 0;  // bytes, behind events on paths with "padded"
  int runner_unread_limit_ms = 0;  // then runners cut responses off; 0: never
  int max_endpoints = 2;
  int timeout_ms = 8000;
  double stop_limit_s = 8;         // of the gateways
  bool gateways_together = false;  // all in one data centre
  int gateways_elsewhere = 0;      // but for the last so many, in another one
  bool links = false;       // calls between processes go through fault proxies
  bool peer_links = false;  // those between gateways too: "peers of gateway-1"
  json workspaces;          // of the first configuration; null: none
  json more_routes;         // of the first configuration
  int revocation_limit_ms = 0;             // 0: no such promise
  int evacuation_notice_ms = 0;            // 0: no data centre is ever emptied
  int idle_timeout_ms = 4000;              // of clients' connections
  int memory_limit_mb = 0;                 // of the gateways; 0: none
  std::vector<std::string> trial_without;  // of the gateways
  double limit_window_s = 1;    // in which limits of workspaces are counted
  int retention_s = 60;         // of turns
  double expiry_margin_s = 60;  // of the stores
};

class service_deployment {
 public:
  explicit service_deployment(const service_options& options = {});
  service_deployment(const service_deployment&) = delete;
  service_deployment& operator=(const service_deployment&) = delete;
  ~service_deployment();

  // Processes by name: objects, runner-N, store-N, gateway-N.
  void start(const std::string& name);
  void kill(const std::string& name);
  void signal(const std::string& name, int number);
  int wait_end(const std::string& name, int seconds = 30);
  bool running(const std::string& name);

  // Everything started and ready, with one configuration in force.
  void start_all();
  void wait_ready(const std::string& gateway);
  // Until the gateway says that it is stopping.
  void wait_draining(const std::string& gateway);

  // Stops a store, empties its disk and starts it again.
  void replace_disk(const std::string& store);

  // Until every voter of the group runs and counts.
  void wait_counting();

  // Adds a process that start_all() has not started.
  void add_store(const std::string& name);

  // The operator's and the runners' writes to the platform.
  void put_object(const std::string& kind, const std::string& name,
                  const json& spec);
  // The text is sent as it is; it becomes the spec, or the whole object.
  enum class raw_part { spec, object };
  void put_raw(const std::string& kind, const std::string& name,
               const std::string& text, raw_part part = raw_part::spec);
  void remove_object(const std::string& kind, const std::string& name);
  json object(const std::string& kind, const std::string& name);
  void register_runner(const std::string& name, const std::string& phase);
  // Starts a runner that has ended as a new instance at its former address.
  void restart_runner(const std::string& name);
  // The same, but the platform goes on listing the former instance. Returns the
  // id of the new one.
  std::string restart_runner_unlisted(const std::string& name);
  static json endpoint_entry(const std::string& address,
                             const std::string& phase);
  void configure(std::uint64_t version, const json& more_routes = {});
  // Those of the next configurations.
  void set_workspaces(const json& workspaces) {
    options_.workspaces = workspaces;
  }
  void set_retention(int seconds) { options_.retention_s = seconds; }
  void platform_fault(const json& switches);
  // How often the platform was called so, answered or not: "GET /objects/KIND"
  // for a list, "WATCH /objects/KIND".
  int platform_calls(const std::string& call);
  void runner_fault(const std::string& runner, const json& switches);

  // A request as a client makes it; `headers` are added to the usual ones.
  http_answer request(const std::string& gateway, const std::string& path,
                      const std::string& attempt,
                      const std::map<std::string, std::string>& headers = {},
                      const std::string& body = "");
  http_answer turn(const std::string& gateway, const std::string& attempt,
                   const std::string& previous, const std::string& input,
                   std::uint64_t budget = 1000,
                   const std::string& path = "/stream/a");

  // What the runner that ran an attempt says of it; null: none did.
  json run_of(const std::string& attempt);

  // How often the runners together have run an attempt, and its body.
  int runs(const std::string& attempt);
  std::string body_of(const std::string& attempt);
  json counts(const std::string& runner);

  // With `links`: the way to a process ("store-1", "runner-1"), or the way of
  // one to the platform ("platform of gateway-1").
  fault_proxy& link(const std::string& name) { return *links_.at(name); }
  std::vector<std::string> link_names() const;

  // The value of a store's or gateway's metric; -1 if it has none.
  double metric(const std::string& process, const std::string& name);

  int port(const std::string& name) const;

  // How many lines of a process's log hold the text.
  std::size_t log_lines(const std::string& name, const std::string& text) const;

  // Of a running process, for its entries in /proc.
  pid_t process_id(const std::string& name) const {
    return processes_.at(name).id;
  }
  json group();  // as the platform holds it

 private:
  struct process {
    std::vector<std::string> command;
    int port = 0;
    int second_port = 0;
    int metrics_port = 0;
    pid_t id = 0;
    int restarts = 0;
  };

  void add_gateway(const std::string& name, bool elsewhere);
  void write_store_settings(const std::string& name, bool first_start);

  service_options options_;
  std::string folder_;
  std::string binaries_;
  std::vector<int> ports_;
  std::map<std::string, process> processes_;
  std::map<std::string, int> link_ports_;
  std::map<std::string, std::unique_ptr<fault_proxy>> links_;
  int take_port();

  // The port at which others reach what listens on `port`.
  int reached_at(const std::string& link, int port);
  int add_link(const std::string& link, int port);
};

}  // namespace trayrock::testing
