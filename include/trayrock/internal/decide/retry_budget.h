// A retry budget: limits the retries that a service receives to a share of its
// calls. A small reserve allows retries while there are few calls.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trayrock {

class retry_budget {
 public:
  // Up to `percent` of the calls may be retried; `reserve` is the largest
  // number of unused retries that are kept.
  explicit retry_budget(std::uint64_t percent, double reserve = 5)
      : share_(static_cast<double>(percent) / 100.0),
        reserve_(reserve),
        available_(std::min(reserve, percent > 0 ? reserve : 0)) {}

  void set_percent(std::uint64_t percent) {
    share_ = static_cast<double>(percent) / 100.0;
  }

  void record_call() { available_ = std::min(reserve_, available_ + share_); }

  // Spends one retry; false if none is left.
  bool try_spend() {
    if (available_ < 1 || share_ == 0) {
      return false;
    }
    available_ -= 1;
    return true;
  }

 private:
  double share_;
  double reserve_;
  double available_;
};

}  // namespace trayrock
