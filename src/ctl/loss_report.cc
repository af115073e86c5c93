#include "loss_report.h"

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>

namespace trayrock {
namespace {

using nlohmann::json;

constexpr std::int64_t seconds_a_day = 86400;

// Events that change what can be served.
const std::set<std::string, std::less<>> notable_events = {
    "gateway_started",      "store_started",       "drain_begun",
    "dependency_lost",      "dependency_regained", "group_adopted",
    "endpoint_avoided",     "endpoint_late",       "endpoints_changed",
    "configuration_adopted"};

double number_in(const json& line, const char* key) {
  return std::strtod(line.value(key, "0").c_str(), nullptr);
}

// Times count from the request's coming; a stage that was not reached took
// nothing.
std::array<double, loss_report::stage_count> stages_of(const json& line) {
  const double total = number_in(line, "total_ms");
  const double reserved = number_in(line, "reserve_ms");
  const double head = number_in(line, "head_ms");
  const double kept = number_in(line, "keep_ms");
  const double begun = head > 0 ? head : total;
  std::array<double, loss_report::stage_count> made{};
  made[loss_report::stores] = reserved;
  made[loss_report::endpoint] = std::max(begun - reserved, 0.0);
  made[loss_report::answer] = std::max(total - begun - kept, 0.0);
  made[loss_report::keeping] = kept;
  return made;
}

std::string outcome_of(const json& line) {
  return line.value("outcome", "") + " (" + line.value("status", "") + ")";
}

}  // namespace

void loss_report::read(std::istream& log) {
  std::string line;
  while (std::getline(log, line)) {
    read_line(line);
  }
}

// Seconds since the first line; a log may go on over midnight.
std::int64_t loss_report::window_of(const std::string& time) {
  int hour = 0;
  int minute = 0;
  int second = 0;
  const std::size_t clock = time.find('T');
  const bool clock_found = clock != std::string::npos &&
                           std::sscanf(time.c_str() + clock + 1, "%2d:%2d:%2d",
                                       &hour, &minute, &second) == 3;
  if (!clock_found) {
    ++unreadable_;
    return 0;
  }
  constexpr int seconds_a_minute = 60;
  const std::int64_t at =
      (hour * seconds_a_minute + minute) * seconds_a_minute + second;
  if (first_second_ < 0) {
    first_second_ = at;
  }
  const std::int64_t passed =
      (at - first_second_ + seconds_a_day) % seconds_a_day;
  return passed / window_.count();
}

void loss_report::read_line(const std::string& line) {
  const std::size_t begin = line.find('{');
  const json parsed = begin == std::string::npos
                          ? json()
                          : json::parse(line.substr(begin), nullptr, false);
  if (!parsed.is_object() || !parsed.contains("event")) {
    ++unreadable_;
    return;
  }
  try {
    const std::string event = parsed.at("event").get<std::string>();
    const std::int64_t window = window_of(parsed.value("time", ""));
    if (notable_events.contains(event)) {
      ++events_[{window, event}];
    }
    if (event != "request_done") {
      return;
    }
    group& to =
        groups_[{window, parsed.value("route", ""), outcome_of(parsed)}];
    const auto stages = stages_of(parsed);
    ++to.requests;
    for (std::size_t i = 0; i < stages.size(); ++i) {
      to.stage_ms[i] += stages[i];
    }
    to.longest_ms = std::max(to.longest_ms, number_in(parsed, "total_ms"));
  } catch (const json::exception&) {
    ++unreadable_;
  }
}

void loss_report::print(std::ostream& out) const {
  out << "from_s  requests  stores  endpoint  answer  keeping  longest  route"
         "  outcome\n"
      << std::fixed << std::setprecision(0);
  for (const auto& [key, each] : groups_) {
    out << std::setw(6) << key.window * window_.count() << std::setw(10)
        << each.requests;
    constexpr std::array<int, stage_count> widths{8, 10, 8, 9};
    for (std::size_t i = 0; i < stage_count; ++i) {
      out << std::setw(widths[i])
          << each.stage_ms[i] / static_cast<double>(each.requests);
    }
    out << std::setw(9) << each.longest_ms << "  " << key.route << "  "
        << key.outcome << "\n";
  }
  out << "\nfrom_s  times  event\n";
  for (const auto& [key, count] : events_) {
    out << std::setw(6) << key.first * window_.count() << std::setw(7) << count
        << "  " << key.second << "\n";
  }
  out << "lines that could not be read: " << unreadable_ << "\n";
}

}  // namespace trayrock
