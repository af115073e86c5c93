// trayrock-store: stores records of turns on a box with a disk.
#include <algorithm>
#include <csignal>

#include "platform/group_registry.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop_delay_reporter.h"
#include "trayrock/internal/process.h"
#include "trayrock/internal/records/permit_joiner.h"
#include "trayrock/internal/records/store_membership_driver.h"
#include "trayrock/internal/records/try_ledger.h"
#include "trayrock/internal/settings/service_settings.h"

namespace {

using namespace trayrock;

membership_settings membership_of(const store_settings& from) {
  membership_settings made;
  made.self.set_address(from.service.rpc_address.text());
  made.self.set_box(from.service.box);
  made.self.set_data_centre(from.service.data_centre);
  // Voters are spread over data centres, if there are enough of them.
  made.tolerated = static_cast<std::uint32_t>(
      std::max(from.tolerated_losses, from.tolerated_data_centre_losses));
  made.first_start = from.first_start;
  made.keeps_learners_ready =
      !from.service.trial_without.contains(mechanism::ready_learners);
  made.shares_watches =
      !from.service.trial_without.contains(mechanism::shared_watches);
  return made;
}

int run(const store_settings& settings) {
  event_loop loop;
  metrics_registry metrics;
  rpc_server rpc(loop, {});
  rpc_pool peers(loop, {});
  platform::object_store objects(loop, settings.service.platform, metrics);
  platform::group_registry registry(
      loop, objects,
      !settings.service.trial_without.contains(mechanism::repeated_listings));
  record_server server(loop, rpc, metrics);
  permit_server permits(
      loop, metrics, settings.limits,
      {[&server]() -> const records::StoreState& { return server.state(); },
       [&server](const records::GivenPermits& given,
                 std::function<void(std::error_code)> durable) {
         server.write_permits(given, std::move(durable));
       },
       [&server](const std::vector<std::string>& workspaces) {
         server.erase_permits(workspaces);
       },
       [&server](const records::Group& group, std::function<void()> then) {
         server.adopt_and_sync(group, std::move(then));
       }});
  permit_joiner joiner(
      loop, peers, permits,
      [&server]() -> const records::StoreState& { return server.state(); });
  server.on_permits(
      [&permits](const records::GivenPermits& read) { permits.restore(read); });
  server.on_group([&permits, &joiner] {
    permits.group_changed();
    joiner.group_changed();
  });
  server.set_expiry_margin(settings.expiry_margin);
  if (const std::error_code failed = server.open_disk(settings.data_folder)) {
    log_error("store_not_started", {{"error", std::to_string(failed.value())},
                                    {"cause", failed.message()}});
    return exit_settings;
  }
  store_membership_driver membership(loop, server, peers, registry,
                                     membership_of(settings));
  http1_server metrics_server(
      loop, [] { return http1_limits{}; },
      [&metrics](const http1_request&, const http1_exchange_ptr& out) {
        out->respond(200, {}, metrics.text());
      });
  if (!rpc.listen(settings.service.rpc_listen) ||
      !metrics_server.listen(settings.service.metrics_listen)) {
    log_error("listen_failed", {{"store", settings.service.name}});
    return exit_listen;
  }
  log_info("store_started",
           {{"box", settings.service.box}, {"version", TRAYROCK_VERSION}});
  warn_of_trial(settings.service);
  const loop_delay_reporter delay_reporter(loop, metrics);
  try_ledger ledger(loop, metrics);
  ledger.serve(rpc);
  server.start([&] {
    permits.serve(rpc);
    membership.start();
  });
  const timer terminate = loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
  const timer reload = loop.on_signal(SIGHUP, [] {
    log_info("reload", {{"outcome", "no setting can change while running"}});
  });
  loop.run();
  log_info("store_stopped", {{"box", settings.service.box}});
  return exit_done;
}

}  // namespace

int main(int argc, char** argv) {
  int exit_code = exit_done;
  const auto settings = begin_process(argc, argv, "Record store of trayrock",
                                      read_store_settings, exit_code);
  return settings ? run(*settings) : exit_code;
}
