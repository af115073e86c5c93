#include "trayrock/internal/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>

namespace trayrock {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string label_block(const metric_labels& labels) {
  std::string block;
  for (const auto& [key, value] : labels) {
    block += block.empty() ? "" : ",";
    block.append(key).append("=\"").append(value).append("\"");
  }
  return block;
}

std::string key_of(std::string_view name, const metric_labels& labels) {
  std::string key(name);
  if (!labels.empty()) {
    key += "{" + label_block(labels) + "}";
  }
  return key;
}

std::string number_text(double value) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.10g", value);
  return buffer.data();
}

}  // namespace

struct metrics_registry::distribution {
  using set = acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                         acc::tag::extended_p_square>>;

  distribution(std::string name_in, std::string labels_in)
      : name(std::move(name_in)),
        labels(std::move(labels_in)),
        samples(acc::extended_p_square_probabilities = quantiles) {}

  std::string line(std::string_view suffix, const std::string& extra,
                   double value) const {
    std::string block = labels;
    if (!extra.empty()) {
      block += (block.empty() ? "" : ",") + extra;
    }
    std::string out = "trayrock_" + name + std::string(suffix);
    if (!block.empty()) {
      out += "{" + block + "}";
    }
    return out + " " + number_text(value) + "\n";
  }

  std::string text() const {
    std::string out;
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
      out += line("", "quantile=\"" + number_text(quantiles[i]) + "\"",
                  acc::extended_p_square(samples)[i]);
    }
    out += line("_max", "", acc::max(samples));
    out += line("_sum", "", acc::sum(samples));
    out += line("_count", "", static_cast<double>(acc::count(samples)));
    return out;
  }

  std::string name;
  std::string labels;
  set samples;
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view name, const metric_labels& labels,
                           double amount) {
  plain_[key_of(name, labels)] += amount;
}

void metrics_registry::set(std::string_view name, const metric_labels& labels,
                           double value) {
  plain_[key_of(name, labels)] = value;
}

void metrics_registry::observe(std::string_view name,
                               const metric_labels& labels, double sample) {
  auto& held = distributions_[key_of(name, labels)];
  if (held == nullptr) {
    held =
        std::make_unique<distribution>(std::string(name), label_block(labels));
  }
  held->samples(sample);
}

double metrics_registry::value(std::string_view name,
                               const metric_labels& labels) const {
  const auto found = plain_.find(key_of(name, labels));
  return found == plain_.end() ? 0 : found->second;
}

std::string metrics_registry::text() const {
  std::string out;
  for (const auto& [key, value] : plain_) {
    out += "trayrock_" + key + " " + number_text(value) + "\n";
  }
  for (const auto& [key, held] : distributions_) {
    out += held->text();
  }
  return out;
}

}  // namespace trayrock
