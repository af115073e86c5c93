// Watches the platform's configuration and box list for all processes.
//
// Runs in every node and acts in two of each place. It reads what operators
// stored, decides what comes into force, and writes each accepted generation
// as an object of its own with create-if-absent, so that racing watchers
// agree on one order and nothing goes back.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "trayrock/internal/cluster/cluster.h"

namespace trayrock {

class cluster::config_watcher {
 public:
  explicit config_watcher(cluster& shared);
  config_watcher(const config_watcher&) = delete;
  config_watcher& operator=(const config_watcher&) = delete;

 private:
  struct status_line {
    std::string wanted;
    std::string written;
    bool writing = false;
  };

  void tick();
  void watch();
  void catch_up();
  void find_last_full();
  void read_generation(std::uint64_t number);
  void adopt_generation(const wire::Generation& read);
  void read_map();
  void read_declarations();
  void read_next_object();
  void note_deleted(const listing& listed);
  void propose();
  void add_box_changes(wire::Generation& generation);
  void store(wire::Generation generation);
  void report_refused(const acceptance& outcome);
  void report_accepted(const wire::Generation& generation);
  void write_status(const std::string& key, const std::string& body);
  void retry_statuses();
  void report_in_force();
  void poll_boxes();
  void finish_round(bool again);

  cluster& shared_;
  bool watching_ = false;
  bool busy_ = false;
  bool again_ = false;
  std::uint64_t since_ = 0;
  std::vector<listed_object> to_read_;
  std::vector<wire::Declaration> stored_;
  std::vector<box> boxes_;
  std::map<std::string, status_line> statuses_;
  std::uint64_t reported_in_force_ = 0;
  timer tick_;
  timer box_poll_;
  timer retry_;
};

// Keys in the platform's service.
constexpr std::string_view config_prefix = "c/config/";
constexpr std::string_view accepted_prefix = "c/accepted/";
constexpr std::string_view control_prefix = "c/";
constexpr std::string_view map_key = "c/shardmap";
constexpr std::string_view status_prefix = "status/";

// A number padded so that keys sort as numbers do.
std::string padded(std::uint64_t number);

}  // namespace trayrock
