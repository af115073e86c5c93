#include "burn_report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

#include "trayrock/internal/decide/burn_windows.h"
#include "trayrock/internal/decide/declarations.h"
#include "trayrock/internal/process.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr std::size_t short_minutes = 5;
constexpr int exit_unread = 1;

using series = std::vector<double>;
using counts = std::map<std::string, series>;
using all_counts = std::map<burn_key, counts>;

// One objective's line in the report.
struct burn_line {
  burn_key key;
  std::string what;  // program latency, wasted cache, success
  std::string target;
  double allowed = 0;  // bad share that the objective allows
  double short_burn = 0;
  double long_burn = 0;
  std::string driver;  // what burns it most
  series by_minute;    // burn rate of each minute
};

void add_counts(all_counts& all, const json& read) {
  for (const json& each : read) {
    counts& to = all[{each.value("service", ""), each.value("class", "")}];
    for (std::size_t i = 0; i < burn_counts; ++i) {
      const std::string name(name_of(static_cast<burn_count>(i)));
      series& row = to[name];
      row.resize(burn_windows::minutes);
      const json values = each.value(name, json::array());
      for (std::size_t at = 0; at < std::min(row.size(), values.size()); ++at) {
        row[at] += values[at].get<double>();
      }
    }
  }
}

double last(const series& row, std::size_t minutes) {
  const std::size_t taken = std::min(minutes, row.size());
  return std::accumulate(row.end() - static_cast<std::ptrdiff_t>(taken),
                         row.end(), 0.0);
}

double share(double bad, double all) { return all == 0 ? 0 : bad / all; }

// The strongest cause of late or failed work, by what it cost.
std::string driver_of(const counts& from, const std::string& what) {
  const auto of = [&](burn_count which) {
    return last(from.at(std::string(name_of(which))), burn_windows::minutes);
  };
  std::vector<std::pair<double, std::string>> causes;
  if (what == "success") {
    causes = {{of(burn_count::refusals), "refusals"},
              {of(burn_count::unknown), "unknown outcomes"}};
  } else if (what == "wasted cache") {
    causes = {{of(burn_count::recomputed_tokens), "recompute"}};
  } else {
    // In milliseconds: waiting, recomputing at a usual rate, retries.
    constexpr double recompute_ms_a_token = 0.05;
    constexpr double retry_ms = 500;
    causes = {
        {of(burn_count::queue_ms), "queueing"},
        {of(burn_count::recomputed_tokens) * recompute_ms_a_token, "recompute"},
        {of(burn_count::retries) * retry_ms, "retries"}};
  }
  const auto most = std::max_element(causes.begin(), causes.end());
  return most->first > 0 ? most->second : "-";
}

burn_line make_line(const burn_key& key, const counts& from,
                    const std::string& what, const std::string& target,
                    double allowed, burn_count bad, burn_count all) {
  const series& bad_row = from.at(std::string(name_of(bad)));
  const series& all_row = from.at(std::string(name_of(all)));
  burn_line made{key, what, target, allowed};
  const auto burn = [&](std::size_t minutes) {
    return share(last(bad_row, minutes), last(all_row, minutes)) / allowed;
  };
  made.short_burn = burn(short_minutes);
  made.long_burn = burn(burn_windows::minutes);
  made.driver = driver_of(from, what);
  for (std::size_t i = 0; i < bad_row.size(); ++i) {
    made.by_minute.push_back(share(bad_row[i], all_row[i]) / allowed);
  }
  return made;
}

std::string percent_text(double value) {
  constexpr double percent = 100;
  std::ostringstream text;
  text << percent * value << "%";
  return text.str();
}

std::vector<burn_line> make_lines(const configuration& config,
                                  const all_counts& all) {
  std::vector<burn_line> lines;
  counts nothing;
  for (std::size_t i = 0; i < burn_counts; ++i) {
    nothing[std::string(name_of(static_cast<burn_count>(i)))].resize(
        burn_windows::minutes);
  }
  for (const auto& [service, spec] : config.services) {
    for (const objective& each : spec.objectives) {
      const burn_key key{service, each.work_class};
      const auto found = all.find(key);
      const counts& from = found == all.end() ? nothing : found->second;
      if (each.program_ms > 0) {
        lines.push_back(make_line(key, from, "program latency",
                                  percent_text(each.within_share) + " within " +
                                      std::to_string(each.program_ms) + " ms",
                                  1 - each.within_share,
                                  burn_count::late_programs,
                                  burn_count::programs));
      }
      lines.push_back(make_line(
          key, from, "success", percent_text(each.success_share),
          1 - each.success_share, burn_count::failed_calls, burn_count::calls));
      if (each.recomputed_share > 0) {
        lines.push_back(
            make_line(key, from, "wasted cache",
                      "at most " + percent_text(each.recomputed_share),
                      each.recomputed_share, burn_count::recomputed_tokens,
                      burn_count::prompt_tokens));
      }
    }
  }
  return lines;
}

double budget_left(const burn_line& line) {
  return std::max(0.0, 1 - line.long_burn);
}

json line_json(const burn_line& line) {
  return {{"service", line.key.service},      {"class", line.key.work_class},
          {"objective", line.what},           {"target", line.target},
          {"short_burn", line.short_burn},    {"long_burn", line.long_burn},
          {"budget_left", budget_left(line)}, {"driver", line.driver}};
}

void print_table(const std::vector<burn_line>& lines) {
  std::printf("%-14s %-7s %-16s %-24s %8s %8s %8s  %s\n", "service", "class",
              "objective", "target", "burn 5m", "burn 1h", "left", "driver");
  for (const burn_line& each : lines) {
    std::printf("%-14s %-7s %-16s %-24s %8.2f %8.2f %8s  %s\n",
                each.key.service.c_str(), each.key.work_class.c_str(),
                each.what.c_str(), each.target.c_str(), each.short_burn,
                each.long_burn, percent_text(budget_left(each)).c_str(),
                each.driver.c_str());
  }
}

// The burn rate of each minute, the line at 1 dashed.
std::string plot(const burn_line& line) {
  constexpr double width = 480;
  constexpr double height = 80;
  const double most = std::max(
      2.0, *std::max_element(line.by_minute.begin(), line.by_minute.end()));
  std::ostringstream svg;
  svg << "<svg viewBox=\"0 0 " << width << " " << height << "\" width=\""
      << width << "\" role=\"img\"><polyline fill=\"none\" "
      << "stroke=\"#1f77b4\" stroke-width=\"2\" points=\"";
  const double step = width / static_cast<double>(burn_windows::minutes - 1);
  for (std::size_t i = 0; i < line.by_minute.size(); ++i) {
    svg << static_cast<double>(i) * step << ","
        << height - height * line.by_minute[i] / most << " ";
  }
  const double one = height - height / most;
  svg << "\"/><line x1=\"0\" x2=\"" << width << "\" y1=\"" << one << "\" y2=\""
      << one << "\" stroke=\"#b22\" stroke-dasharray=\"4\"/></svg>";
  return svg.str();
}

std::string page(const std::vector<burn_line>& lines) {
  std::ostringstream html;
  html << "<!doctype html><meta charset=\"utf-8\"><title>Burn report</title>"
       << "<style>body{font:15px sans-serif;margin:2em}td,th{padding:.3em "
          ".8em;text-align:left;border-bottom:1px solid #ddd}"
          ".hot{color:#b22;font-weight:bold}</style><h1>Burn report</h1>"
       << "<p>Burn rate by minute over the last hour; above the dashed line "
          "the budget does not last.</p><table><tr><th>Service<th>Class"
          "<th>Objective<th>Target<th>5 min<th>1 h<th>Left<th>Driver"
          "<th>By minute</tr>";
  for (const burn_line& each : lines) {
    const char* heat = each.long_burn > 1 ? " class=\"hot\"" : "";
    html << "<tr><td>" << each.key.service << "<td>" << each.key.work_class
         << "<td>" << each.what << "<td>" << each.target << "<td>"
         << each.short_burn << "<td" << heat << ">" << each.long_burn << "<td>"
         << percent_text(budget_left(each)) << "<td>" << each.driver << "<td>"
         << plot(each) << "</tr>";
  }
  html << "</table>\n";
  return html.str();
}

configuration read_configuration(stored_client& stored) {
  configuration whole;
  const result<listing> listed = stored.list("c/config/Service/");
  if (!listed) {
    return whole;
  }
  for (const listed_object& each : listed.value().items) {
    const result<stored_object> held = stored.get(each.key);
    fault_list faults;
    const std::string name = each.key.substr(each.key.rfind('/') + 1);
    const auto spec =
        held ? read_spec({"Service", name, held.value().bytes}, faults)
             : std::nullopt;
    if (spec) {
      whole.put("Service", name, *spec);
    }
  }
  return whole;
}

}  // namespace

int report_burn(stored_client& stored, const burn_options& options) {
  all_counts all;
  for (const std::string& each : options.processes) {
    const result<address> where = address::parse(each);
    const result<std::string> body = where
                                         ? stored.fetch(where.value(), "/burn")
                                         : result<std::string>(where.error());
    const json read =
        body ? json::parse(body.value(), nullptr, false) : json(nullptr);
    if (!read.is_array()) {
      std::fprintf(stderr, "%s cannot be read\n", each.c_str());
      return exit_unread;
    }
    add_counts(all, read);
  }
  const std::vector<burn_line> lines =
      make_lines(read_configuration(stored), all);
  if (options.as_json) {
    json out = json::array();
    for (const burn_line& each : lines) {
      out.push_back(line_json(each));
    }
    std::printf("%s\n", out.dump(2).c_str());
  } else {
    print_table(lines);
  }
  if (!options.html_path.empty()) {
    std::ofstream(options.html_path) << page(lines);
  }
  return exit_done;
}

}  // namespace trayrock
