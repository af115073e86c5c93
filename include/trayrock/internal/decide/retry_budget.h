// A bound on retries that reach a service: a share of its calls.
//
// Each call earns a part of a retry; each retry spends a whole one. A small
// reserve lets the first failures of a quiet service be retried.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trayrock {

class retry_budget {
 public:
  // `percent` of the calls may be retried; `reserve` is the most saved up.
  explicit retry_budget(std::uint64_t percent, double reserve = 5)
      : share_(static_cast<double>(percent) / 100.0),
        reserve_(reserve),
        saved_(std::min(reserve, percent > 0 ? reserve : 0)) {}

  void set_percent(std::uint64_t percent) {
    share_ = static_cast<double>(percent) / 100.0;
  }

  void record_call() { saved_ = std::min(reserve_, saved_ + share_); }

  // Spends one retry; false when there is none.
  bool try_spend() {
    if (saved_ < 1 || share_ == 0) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  double share_;
  double reserve_;
  double saved_;
};

}  // namespace trayrock
