// Logging by log4cplus: one JSON object a line, to standard output.
//
// A line has time, level, process and event, and then what the event is about;
// request, program and endpoint come under these names. Writing never waits:
// lines that a slow reader leaves no room for are dropped, and a line with
// only the event "log_lines_dropped" and a count tells how many. Rotation is
// the platform's.
//
// Example:
//   log_info("call_refused", {{"program", id}, {"call", "3"}});
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace trayrock {

using log_pairs =
    std::initializer_list<std::pair<std::string_view, std::string>>;

// Prepares logging for the process; level is one of debug, info, warn, error.
void start_logging(std::string_view process, std::string_view level);

void log_debug(std::string_view event, log_pairs pairs);
void log_info(std::string_view event, log_pairs pairs);
void log_warn(std::string_view event, log_pairs pairs);
void log_error(std::string_view event, log_pairs pairs);

}  // namespace trayrock
