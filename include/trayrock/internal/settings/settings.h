// Settings of the processes: one JSON file with comments for each process.
//
// docs/SETTINGS.md is the reference; test/settings_test.cc keeps it in step.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/settings/strict_json.h"
#include "trayrock/result.h"

namespace trayrock {

// What every process of the system needs to know.
struct process_settings {
  std::string name;                // unique in the deployment
  std::string place;               // data centre
  address rpc_listen;              // other processes of the system
  address http_listen;             // callers (entry); probes and metrics
  address platform;                // the object API
  std::vector<std::string> seeds;  // RPC addresses of a few other processes
  std::string log_level = "info";
  std::uint64_t spread_period_ms = 500;
  std::uint64_t suspect_after_ms = 2500;
  std::uint64_t platform_timeout_ms = 1000;
  // Of the whole deployment; each process keeps to its share.
  std::uint64_t platform_calls_per_second = 600;
};

struct entry_settings {
  process_settings process;
  std::uint64_t max_body_bytes = 8U << 20;
  std::uint64_t idle_timeout_ms = 30000;
  std::uint64_t owner_retry_ms = 15000;  // how long an owner is looked for
  std::uint64_t drain_limit_ms = 120000;
};

struct node_settings {
  process_settings process;
  std::uint64_t shards = 64;  // fixed for a deployment
  // Journal writes of the whole deployment; sets the commit interval.
  std::uint64_t journal_writes_per_second = 200;
  std::uint64_t commit_interval_ms = 0;  // at least, whatever the share
  std::uint64_t copy_after_ms = 0;       // age at which records are copied
  std::uint64_t copy_limit_bytes = 32U << 20;
  std::uint64_t max_programs = 20000;
  std::uint64_t takeovers_per_minute = 6;  // unless the box list confirms
  std::uint64_t resolve_limit_ms = 8000;   // then: outcome unknown
  std::uint64_t drain_limit_ms = 120000;
  std::uint64_t random_seed = 0;  // 0: from the system
};

// Reads and checks a file; all faults are added to the list.
entry_settings read_entry_settings(std::string_view text, fault_list& faults);
node_settings read_node_settings(std::string_view text, fault_list& faults);

// The address under a key; a fault is added where it is none.
address read_address(strict_object& from, std::string_view key);

// The file's bytes. Errors: errc::settings_unreadable.
result<std::string> read_file(const std::string& path);

}  // namespace trayrock
