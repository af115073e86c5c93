// Counters, gauges and distributions of one process, shown at /metrics.
//
// Distributions use Boost.Accumulators: count, sum, largest and estimated
// quantiles (P-square), so that memory does not grow with the samples.
//
// Example:
//   metrics_registry metrics;
//   metrics.add("calls_total", {{"outcome", "done"}});
//   metrics.observe("program_ms", {{"class", "talk"}}, 812.0);
//   std::string page = metrics.text();
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trayrock {

using metric_labels = std::vector<std::pair<std::string_view, std::string>>;

class metrics_registry {
 public:
  metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;
  ~metrics_registry();

  // Raises a counter.
  void add(std::string_view name, const metric_labels& labels = {},
           double amount = 1);

  // Sets a gauge.
  void set(std::string_view name, const metric_labels& labels, double value);

  // Adds a sample to a distribution.
  void observe(std::string_view name, const metric_labels& labels,
               double sample);

  // The current value of a counter or gauge; zero if never touched.
  double value(std::string_view name, const metric_labels& labels = {}) const;

  // All metrics in Prometheus' text format, each with the prefix "trayrock_".
  std::string text() const;

 private:
  struct distribution;
  std::map<std::string, double, std::less<>> plain_;
  std::map<std::string, std::unique_ptr<distribution>, std::less<>>
      distributions_;
};

}  // namespace trayrock
