// trayrock-node: serves the runners on its box and owns shards of programs.
#include <algorithm>
#include <csignal>
#include <cstdio>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/node/owner.h"
#include "trayrock/internal/node/runner_gate.h"
#include "trayrock/internal/node/shard_keeper.h"
#include "trayrock/internal/process.h"

namespace {

using namespace trayrock;

constexpr milliseconds drain_check_period{100};
constexpr milliseconds measure_period{1000};
// Platform calls a second until the number of processes is known.
constexpr double first_platform_rate = 10;
// Checks in a row that must find nothing left, so that last bytes are out.
constexpr int quiet_checks = 4;

class node_process {
 public:
  explicit node_process(const node_settings& settings)
      : settings_(settings),
        server_(loop_, {}),
        pool_(loop_, {}),
        probes_(loop_, {}),
        platform_(loop_, settings.process.platform, "node",
                  milliseconds(settings.process.platform_timeout_ms),
                  first_platform_rate),
        shared_(loop_, settings.process, server_, pool_, platform_, metrics_,
                process_kind::node),
        gate_(loop_, shared_, server_, metrics_),
        owner_(loop_, shared_, server_, pool_, metrics_,
               {settings.max_programs, settings.resolve_limit_ms,
                settings.random_seed}),
        keeper_(loop_, settings, shared_, server_, pool_, platform_, metrics_,
                owner_) {}

  int run() {
    probes_.handle(
        [this](const http_request& request, const http_exchange_ptr& out) {
          const probe_sources sources{
              metrics_, [this] { return is_ready(); },
              [this, &request] {
                return shared_.status_json(request.parameter("program"));
              }};
          constexpr int ok = 200;
          if (request.path == "/burn") {
            out->reply(ok, "application/json", owner_.burn_json());
          } else if (!answer_probe(request, out, sources)) {
            out->reply(http_status(errc::unknown_path), "text/plain", "");
          }
        });
    if (!server_.listen(settings_.process.rpc_listen) ||
        !probes_.listen(settings_.process.http_listen)) {
      std::fprintf(stderr, "cannot listen\n");
      return exit_listen;
    }
    log_info("node_started",
             {{"node", settings_.process.name}, {"start", shared_.start_id()}});
    keeper_.start();
    shared_.start();
    const timer terminate = loop_.on_signal(SIGTERM, [this] { begin_drain(); });
    const timer interrupt = loop_.on_signal(SIGINT, [this] { begin_drain(); });
    const timer measuring = loop_.every(measure_period, [this] { measure(); });
    loop_.run();
    return exit_code_;
  }

 private:
  bool is_ready() const {
    return shared_.map().version() > 0 && !shared_.leaving();
  }

  void measure() {
    measure_process(metrics_, server_, pool_);
    metrics_.set("platform_calls_total", {},
                 static_cast<double>(platform_.calls_made()));
  }

  // No new work; shards go to others; running streams finish.
  void begin_drain() {
    if (drain_.pending()) {
      return;
    }
    log_info("drain_begun", {});
    shared_.set_leaving();
    keeper_.begin_drain();
    drain_ = loop_.every(drain_check_period, [this] { check_drained(); });
    give_up_ = loop_.after(milliseconds(settings_.drain_limit_ms), [this] {
      log_warn("drain_unfinished",
               {{"executions", std::to_string(gate_.active())},
                {"shards", std::to_string(owner_.served().size())}});
      exit_code_ = exit_unfinished;
      loop_.stop();
    });
  }

  void check_drained() {
    const bool work_left = gate_.active() > 0 || owner_.active_calls() > 0;
    const bool state_left = !keeper_.drained() || keeper_.copies().bytes() > 0;
    const bool empty = !work_left && (!state_left || everyone_leaves());
    quiet_ = empty ? quiet_ + 1 : 0;
    if (quiet_ >= quiet_checks) {
      log_info("drain_done", {});
      loop_.stop();
    }
  }

  // Nobody is left to hand shards over to; they stay in the journal.
  bool everyone_leaves() const {
    const std::vector<std::string> nodes = shared_.members().live_nodes();
    return std::all_of(nodes.begin(), nodes.end(), [this](const auto& each) {
      return shared_.node_leaving(each);
    });
  }

  node_settings settings_;
  event_loop loop_;
  metrics_registry metrics_;
  rpc_server server_;
  rpc_pool pool_;
  http_server probes_;
  platform_client platform_;
  cluster shared_;
  runner_gate gate_;
  owner owner_;
  shard_keeper keeper_;
  timer drain_;
  timer give_up_;
  int quiet_ = 0;
  int exit_code_ = exit_done;
};

}  // namespace

int main(int argc, char** argv) {
  int exit_code = exit_done;
  const auto settings = begin_process(
      argc, argv, "Node of trayrock: runners of one box, shards of programs",
      read_node_settings, exit_code);
  return settings ? node_process(*settings).run() : exit_code;
}
