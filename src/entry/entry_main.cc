// trayrock-entry: the callers' side, stateless.
#include <csignal>
#include <cstdio>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/entry/caller_api.h"
#include "trayrock/internal/entry/owner_client.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/process.h"

namespace {

using namespace trayrock;

constexpr milliseconds drain_check_period{100};
constexpr milliseconds measure_period{1000};
// Platform calls a second until the number of processes is known.
constexpr double first_platform_rate = 10;
// Checks in a row that must find nothing open before the process ends.
constexpr int quiet_checks = 10;
constexpr int checks_before_closing = 10;

class entry_process {
 public:
  explicit entry_process(const entry_settings& settings)
      : settings_(settings),
        server_(loop_, {}),
        pool_(loop_, {}),
        callers_(loop_, {settings.max_body_bytes, 16U << 10,
                         milliseconds(settings.idle_timeout_ms)}),
        platform_(loop_, settings.process.platform, "entry",
                  milliseconds(settings.process.platform_timeout_ms),
                  first_platform_rate),
        shared_(loop_, settings.process, server_, pool_, platform_, metrics_,
                process_kind::entry),
        owners_(loop_, shared_, pool_, metrics_,
                milliseconds(settings.owner_retry_ms)),
        api_(shared_, owners_, metrics_) {}

  int run() {
    callers_.handle(
        [this](const http_request& request, const http_exchange_ptr& out) {
          const probe_sources sources{
              metrics_, [this] { return is_ready(); },
              [this, &request] {
                return shared_.status_json(request.parameter("program"));
              }};
          if (draining_) {
            out->add_header("Connection", "close");
          }
          if (!answer_probe(request, out, sources)) {
            api_.serve(request, out);
          }
        });
    if (!server_.listen(settings_.process.rpc_listen) ||
        !callers_.listen(settings_.process.http_listen)) {
      std::fprintf(stderr, "cannot listen\n");
      return exit_listen;
    }
    log_info("entry_started", {{"entry", settings_.process.name}});
    shared_.start();
    const timer terminate = loop_.on_signal(SIGTERM, [this] { begin_drain(); });
    const timer interrupt = loop_.on_signal(SIGINT, [this] { begin_drain(); });
    const timer measuring = loop_.every(measure_period, [this] { measure(); });
    loop_.run();
    return exit_code_;
  }

 private:
  bool is_ready() const {
    return shared_.map().version() > 0 && shared_.config().generation > 0 &&
           !draining_;
  }

  void measure() {
    measure_process(metrics_, server_, pool_);
    metrics_.set("open_requests", {},
                 static_cast<double>(callers_.open_exchanges()));
  }

  // The balancer sees "not ready" first; then nothing new is accepted, and
  // what is open finishes.
  void begin_drain() {
    if (draining_) {
      return;
    }
    draining_ = true;
    log_info("drain_begun", {});
    shared_.set_leaving();
    drain_ = loop_.every(drain_check_period, [this] { check_drained(); });
    give_up_ = loop_.after(milliseconds(settings_.drain_limit_ms), [this] {
      log_warn("drain_unfinished",
               {{"open", std::to_string(callers_.open_exchanges())}});
      exit_code_ = exit_unfinished;
      loop_.stop();
    });
  }

  void check_drained() {
    if (++checks_ == checks_before_closing) {
      callers_.stop_accepting();
    }
    quiet_ = callers_.open_exchanges() == 0 ? quiet_ + 1 : 0;
    if (checks_ > checks_before_closing && quiet_ >= quiet_checks) {
      log_info("drain_done", {});
      loop_.stop();
    }
  }

  entry_settings settings_;
  event_loop loop_;
  metrics_registry metrics_;
  rpc_server server_;
  rpc_pool pool_;
  http_server callers_;
  platform_client platform_;
  cluster shared_;
  owner_client owners_;
  caller_api api_;
  timer drain_;
  timer give_up_;
  bool draining_ = false;
  int checks_ = 0;
  int quiet_ = 0;
  int exit_code_ = exit_done;
};

}  // namespace

int main(int argc, char** argv) {
  int exit_code = exit_done;
  const auto settings =
      begin_process(argc, argv, "Entry of trayrock: the callers' HTTP",
                    read_entry_settings, exit_code);
  return settings ? entry_process(*settings).run() : exit_code;
}
