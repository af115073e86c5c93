// The loss report: which requests were not served or waited, when and where.
//
// Reads the logs of gateways and record stores, any number of processes in one
// stream; what stands before a line's JSON is ignored. Requests are grouped by
// window of time, route and outcome. For each group it tells how long they
// waited on average for the record stores, for the endpoint's first byte, for
// the rest of the answer and for the turn to be kept. Beside it stands what
// happened to processes in the window, since work that was under way when they
// all stopped could have been saved by no decision.
//
// Example:
//   std::ifstream log("gateway-1.log");
//   loss_report report(std::chrono::seconds(2));
//   report.read(log);
//   report.print(std::cout);
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace trayrock {

class loss_report {
 public:
  // Milliseconds of a request's life, in their order.
  enum stage { stores, endpoint, answer, keeping, stage_count };

  struct group_key {
    std::int64_t window = 0;  // number of the window, from the first line's
    std::string route;
    std::string outcome;

    bool operator<(const group_key& other) const {
      return std::tie(window, route, outcome) <
             std::tie(other.window, other.route, other.outcome);
    }
  };
  struct group {
    std::uint64_t requests = 0;
    std::array<double, stage_count> stage_ms{};  // sums
    double longest_ms = 0;
  };

  explicit loss_report(std::chrono::seconds window) : window_(window) {}

  // Takes the lines of a log. Those that can not be read are counted.
  void read(std::istream& log);

  const std::map<group_key, group>& groups() const { return groups_; }

  // How often an event of a process came in a window.
  const std::map<std::pair<std::int64_t, std::string>, std::uint64_t>& events()
      const {
    return events_;
  }
  std::uint64_t unreadable() const { return unreadable_; }

  void print(std::ostream& out) const;

 private:
  void read_line(const std::string& line);
  std::int64_t window_of(const std::string& time);

  std::chrono::seconds window_;
  std::int64_t first_second_ = -1;  // of the day, of the first line
  std::map<group_key, group> groups_;
  std::map<std::pair<std::int64_t, std::string>, std::uint64_t> events_;
  std::uint64_t unreadable_ = 0;
};

}  // namespace trayrock
