// Executes the decisions of decide/store_membership.h: changes the group on the
// platform, joins it, and reports retirements. A store_reader provides the
// state of the other stores.
//
// Example:
//   store_membership_driver membership(loop, server, pool, registry, settings);
//   membership.start();  // once the server has its id
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/group_registry.h"
#include "trayrock/internal/decide/store_membership.h"
#include "trayrock/internal/records/record_server.h"
#include "trayrock/internal/records/store_reader.h"

namespace trayrock {

struct membership_settings {
  records::Store self;  // the id is filled in once the disk has one
  std::uint32_t tolerated = 1;
  bool first_start = false;  // of the whole system: a group may be created
  bool keeps_learners_ready = true;
  // Spare stores do not watch the platform; the voters do.
  bool shares_watches = true;
};

class store_membership_driver {
 public:
  store_membership_driver(event_loop& loop, record_server& server,
                          rpc_pool& pool, platform::group_registry& registry,
                          membership_settings settings);
  store_membership_driver(const store_membership_driver&) = delete;
  store_membership_driver& operator=(const store_membership_driver&) = delete;

  void start();

 private:
  void tick();
  bool needs_peers() const;
  void expire_records();
  void update_platform_watch(const membership_view& current);
  void create_group();
  void create_group_of(const std::vector<records::Store>& announced);
  void finish_joining();
  membership_view view();
  void act(const do_nothing&) {}
  void act(const become_learner& learning);
  void act(const become_voter& role);
  void act(const leave_group&);
  void act(const finish_retirement&);
  void change(const records::Group& group, std::string_view action,
              std::string_view cause, const std::string& leaving);
  void on_retirements(const std::set<std::string>& boxes);

  event_loop& loop_;
  record_server& server_;
  store_reader reader_;
  platform::group_registry& registry_;
  membership_settings settings_;
  std::set<std::string> retiring_;
  std::uint64_t retiring_since_ms_ = 0;
  // It was reported to the platform that this box's data is no longer needed.
  // The box may be removed at any time; this store must not act any more.
  bool reported_retired_ = false;
  bool announced_ = false;
  bool creating_ = false;
  bool changing_ = false;
  bool reported_running_ = false;
  bool reporting_ = false;
  std::uint64_t started_ms_ = 0;
  // Next attempt to create the first group.
  std::uint64_t next_creation_ms_ = 0;
  std::uint64_t backoff_until_ms_ = 0;
  std::uint64_t vacant_since_ms_ = 0;  // 0: no vacancy
  timer tick_timer_;
};

}  // namespace trayrock
