// Numbered errors of trayrock as std::error_code values.
//
// Every fault that a caller, an operator or a log line can see carries one of
// these numbers. docs/ERRORS.md holds the same table with what to do about
// each; test/errors_test.cc keeps the two in step.
//
// Example:
//   std::error_code code = trayrock::errc::budget_exhausted;
//   log(code.value(), code.message());        // 1301, "budget exhausted"
//   int status = trayrock::http_status(trayrock::errc::budget_exhausted);
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace trayrock {

// Groups: 10xx input, 11xx programs and order, 12xx routing and ownership,
// 13xx limits, 14xx runners, 15xx platform and journal, 16xx declarations,
// 17xx settings and command line, 18xx wire.
enum class errc {
  malformed_request = 1001,
  body_too_large = 1002,
  missing_header = 1003,
  unknown_path = 1004,

  unknown_program = 1101,
  wrong_member = 1102,
  sequence_in_past = 1103,
  sequence_in_future = 1104,
  history_conflict = 1105,
  call_in_progress = 1106,
  key_reused = 1107,
  program_ended = 1108,
  unknown_member = 1109,
  unknown_service = 1110,
  unknown_route = 1111,
  unknown_turn = 1112,
  unknown_key = 1113,

  shard_moving = 1201,
  no_owner_reachable = 1202,
  no_runner = 1203,
  leaving = 1204,
  stale_term = 1205,
  wrong_start = 1206,
  cut_off = 1207,

  budget_exhausted = 1301,
  queue_full = 1302,
  wait_too_long = 1303,
  retry_budget_spent = 1304,
  copy_space_full = 1305,
  deadline_passed = 1306,
  program_limit = 1307,
  tokens_spent = 1308,
  tokens_reserved = 1309,
  workspace_limit = 1310,
  workspace_limit_unknown = 1311,
  buffers_full = 1312,

  runner_failed = 1401,
  outcome_unknown = 1402,
  runner_timeout = 1403,
  answer_cut = 1404,
  answer_invalid = 1405,
  endpoints_full = 1406,
  stopping = 1407,
  endpoints_cold = 1408,
  poison_request = 1409,
  poison_suspected = 1410,

  platform_unavailable = 1501,
  version_conflict = 1502,
  journal_sealed = 1503,
  not_found = 1504,
  already_exists = 1505,
  platform_timeout = 1506,
  not_durable = 1507,
  disk_failed = 1508,
  history_unavailable = 1509,
  not_configured = 1510,
  platform_garbled = 1511,
  platform_busy = 1512,
  disk_format = 1513,
  entry_unreadable = 1514,
  entry_too_large = 1515,
  entry_too_deep = 1516,
  entry_repeats_key = 1517,
  entry_lacks_field = 1518,
  entry_wrong_type = 1519,
  entry_out_of_range = 1520,
  entry_unknown_phase = 1521,
  entry_repeats_name = 1522,
  configuration_unproven = 1523,

  declaration_syntax = 1601,
  declaration_unknown_kind = 1602,
  declaration_unknown_key = 1603,
  declaration_wrong_type = 1604,
  declaration_out_of_range = 1605,
  declaration_missing_key = 1606,
  declaration_broken_reference = 1607,
  declaration_conflict = 1608,

  settings_unreadable = 1701,
  settings_syntax = 1702,
  settings_unknown_key = 1703,
  settings_wrong_type = 1704,
  settings_out_of_range = 1705,
  settings_missing_key = 1706,
  settings_conflict = 1707,

  wire_garbled = 1801,
  wire_too_large = 1802,
  connection_lost = 1803,
  connect_failed = 1804,
  rpc_timeout = 1805,
  wire_out_of_step = 1806,
};

// One row of the table of errors.
struct error_row {
  errc code;
  int http_status;
  std::string_view text;
};

// All rows, in order of their numbers.
std::span<const error_row> error_table();

// The category that gives the codes their texts; its name is "trayrock".
const std::error_category& error_category();

std::error_code make_error_code(errc code);

// The HTTP status that the entry answers with for a code.
int http_status(errc code);

// As above for a number from the wire; 500 for a number not in the table.
int http_status(int code);

}  // namespace trayrock

template <>
struct std::is_error_code_enum<trayrock::errc> : std::true_type {};
