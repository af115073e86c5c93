#include "trayrock/internal/settings/settings.h"

#include <array>
#include <fstream>
#include <sstream>

namespace trayrock {
namespace {

constexpr std::uint64_t mebibyte = 1U << 20;
constexpr std::uint64_t ten_minutes_ms = 600000;
constexpr number_range any_time_ms{0, ten_minutes_ms};
constexpr number_range some_time_ms{1, ten_minutes_ms};
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warn",
                                                     "error"};

process_settings read_process(strict_object& top) {
  process_settings made;
  made.name = top.text("name");
  made.place = top.text("place");
  made.rpc_listen = read_address(top, "rpc_listen");
  made.http_listen = read_address(top, "http_listen");
  made.platform = read_address(top, "platform");
  made.seeds = top.texts_or_empty("seeds");
  for (const std::string& seed : made.seeds) {
    if (!address::parse(seed)) {
      top.add_fault(errc::settings_out_of_range, "seeds",
                    "seen \"" + seed + "\", expected A.B.C.D:PORT");
    }
  }
  made.log_level = top.choice("log_level", log_levels, made.log_level);
  made.spread_period_ms =
      top.number_or("spread_period_ms", {50, 60000}, made.spread_period_ms);
  made.suspect_after_ms =
      top.number_or("suspect_after_ms", some_time_ms, made.suspect_after_ms);
  made.platform_timeout_ms = top.number_or("platform_timeout_ms", some_time_ms,
                                           made.platform_timeout_ms);
  made.platform_calls_per_second = top.number_or(
      "platform_calls_per_second", {1, 10000}, made.platform_calls_per_second);
  if (made.suspect_after_ms < 2 * made.spread_period_ms) {
    top.add_fault(errc::settings_conflict, "suspect_after_ms",
                  "must be at least twice spread_period_ms");
  }
  if (!made.rpc_listen.host().empty() &&
      made.rpc_listen.text() == made.http_listen.text()) {
    top.add_fault(errc::settings_conflict, "http_listen",
                  "must differ from rpc_listen");
  }
  return made;
}

}  // namespace

address read_address(strict_object& from, std::string_view key) {
  const std::string text = from.text(key);
  if (text.empty()) {
    return {};
  }
  const result<address> parsed = address::parse(text);
  if (!parsed) {
    from.add_fault(errc::settings_out_of_range, key,
                   "seen \"" + text + "\", expected A.B.C.D:PORT");
    return {};
  }
  return parsed.value();
}

entry_settings read_entry_settings(std::string_view text, fault_list& faults) {
  entry_settings made;
  const nlohmann::json root = parse_json(text, settings_faults, faults);
  if (root.is_null()) {
    return made;
  }
  strict_object top(root, "", settings_faults, faults);
  made.process = read_process(top);
  made.max_body_bytes = top.number_or("max_body_bytes", {1024, 64 * mebibyte},
                                      made.max_body_bytes);
  made.idle_timeout_ms =
      top.number_or("idle_timeout_ms", some_time_ms, made.idle_timeout_ms);
  made.owner_retry_ms =
      top.number_or("owner_retry_ms", any_time_ms, made.owner_retry_ms);
  made.drain_limit_ms =
      top.number_or("drain_limit_ms", any_time_ms, made.drain_limit_ms);
  top.close();
  return made;
}

node_settings read_node_settings(std::string_view text, fault_list& faults) {
  node_settings made;
  const nlohmann::json root = parse_json(text, settings_faults, faults);
  if (root.is_null()) {
    return made;
  }
  strict_object top(root, "", settings_faults, faults);
  made.process = read_process(top);
  made.shards = top.number_or("shards", {1, 16384}, made.shards);
  made.journal_writes_per_second = top.number_or(
      "journal_writes_per_second", {1, 10000}, made.journal_writes_per_second);
  made.commit_interval_ms =
      top.number_or("commit_interval_ms", {0, 60000}, made.commit_interval_ms);
  made.copy_after_ms =
      top.number_or("copy_after_ms", any_time_ms, made.copy_after_ms);
  made.copy_limit_bytes = top.number_or(
      "copy_limit_bytes", {1024, 1024 * mebibyte}, made.copy_limit_bytes);
  made.max_programs =
      top.number_or("max_programs", {1, 10000000}, made.max_programs);
  made.takeovers_per_minute = top.number_or("takeovers_per_minute", {1, 1000},
                                            made.takeovers_per_minute);
  made.resolve_limit_ms =
      top.number_or("resolve_limit_ms", some_time_ms, made.resolve_limit_ms);
  made.drain_limit_ms =
      top.number_or("drain_limit_ms", any_time_ms, made.drain_limit_ms);
  made.random_seed =
      top.number_or("random_seed", {0, UINT64_MAX}, made.random_seed);
  top.close();
  return made;
}

result<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return errc::settings_unreadable;
  }
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

}  // namespace trayrock
