// Compares three ways to count a workspace's limit over many gateways under
// heavy load, in virtual time: how far a window exceeds the limit, and how many
// requests within the limit are refused.
//
// Twenty gateways receive 0.6 times the limit of one workspace, 1.7 times that
// in a burst and seven times that in a hot phase. One gateway receives half of
// the requests, since clients reuse connections. A counting process is
// killed, another one is replaced, and finally all lose power at once.
//
//   own_share     each gateway counts a twentieth of the limit by itself
//   one_counter   one process counts for all; its successor starts from zero
//   store_shares  five stores issue a share each (decide/permit_limiter.h)
#include <algorithm>
#include <array>
#include <deque>
#include <iostream>
#include <random>
#include <set>

#include "test_support.h"
#include "trayrock/internal/decide/permit_limiter.h"
#include "trayrock/internal/decide/permit_sources.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t duration_ms = 60000;
constexpr std::uint64_t window_ms = 5000;
constexpr int gateway_count = 20;
constexpr int store_count = 5;
constexpr limit_terms terms{milliseconds(window_ms), 0.1, 20};
constexpr request_limit limit{40, 40, 1};
constexpr double tolerated_in_window = (40 * 5 + 40) * 1.1 + 20;
constexpr double base_rate_per_ms = 0.6 * 40 / 1000;

// An exact counter of one process.
class sliding_counter {
 public:
  bool acquire(std::uint64_t now_ms, double max_count) {
    while (!issued_.empty() && issued_.front() + window_ms <= now_ms) {
      issued_.pop_front();
    }
    if (static_cast<double>(issued_.size()) + 1 > max_count) {
      return false;
    }
    issued_.push_back(now_ms);
    return true;
  }
  void reset() { issued_.clear(); }

 private:
  std::deque<std::uint64_t> issued_;
};

constexpr double whole_limit = 40 * 5 + 40;
constexpr double issued_limit = (40 * 5 + 40) * 1.05 + 10;

class own_share {
 public:
  bool acquire(int gateway, std::uint64_t now_ms) {
    return counters_[gateway].acquire(now_ms, issued_limit / gateway_count);
  }
  void kill_one(std::uint64_t) { counters_[0].reset(); }
  void replace_one(std::uint64_t) { counters_[1].reset(); }
  void lose_power(std::uint64_t) {
    for (sliding_counter& each : counters_) {
      each.reset();
    }
  }

 private:
  std::array<sliding_counter, gateway_count> counters_;
};

class one_counter {
 public:
  bool acquire(int, std::uint64_t now_ms) {
    return counter_.acquire(now_ms, issued_limit);
  }
  void kill_one(std::uint64_t) { counter_.reset(); }
  void replace_one(std::uint64_t) { counter_.reset(); }
  void lose_power(std::uint64_t) { counter_.reset(); }

 private:
  sliding_counter counter_;
};

class store_shares {
 public:
  store_shares() {
    for (int i = 0; i < store_count; ++i) {
      names_.push_back("store-" + std::to_string(i));
    }
    for (int i = 0; i < store_count; ++i) {
      limiters_.emplace_back(terms);
      limiters_.back().begin(names_, names_[i]);
    }
    for (int i = 0; i < gateway_count; ++i) {
      sources_.emplace_back(data_centre_of(i), static_cast<std::uint64_t>(i));
      sources_.back().set_stores(locations());
    }
  }

  bool acquire(int gateway, std::uint64_t now_ms) {
    std::set<std::string> tried;
    for (;;) {
      const permit_source next =
          sources_[gateway].next(workspace, permit_use::regular, tried, now_ms);
      const auto* attempt = std::get_if<try_store>(&next);
      if (attempt == nullptr) {
        return false;
      }
      tried.insert(attempt->store);
      const auto at = static_cast<std::size_t>(
          std::find(names_.begin(), names_.end(), attempt->store) -
          names_.begin());
      const permit_verdict verdict =
          limiters_[at].acquire(workspace, limit, permit_use::regular, now_ms);
      if (std::holds_alternative<permit_given>(verdict)) {
        return true;
      }
      sources_[gateway].on_refusal(
          workspace, permit_use::regular, attempt->store,
          std::get<permit_refused>(verdict).next, now_ms);
    }
  }

  void kill_one(std::uint64_t now_ms) { restart(0, now_ms, 0); }

  // The new store has an empty disk and another name.
  void replace_one(std::uint64_t now_ms) {
    names_[1] = "store-new";
    limiters_[1] = permit_limiter(terms);
    for (int i = 0; i < store_count; ++i) {
      limiters_[i].set_stores(names_, names_[i], now_ms);
    }
    for (permit_sources& each : sources_) {
      each.set_stores(locations());
    }
  }

  // Loses the permits that are not on disk yet.
  void lose_power(std::uint64_t now_ms) {
    for (std::size_t i = 0; i < store_count; ++i) {
      restart(i, now_ms, limiters_[i].max_unsynced(workspace));
    }
  }

 private:
  static constexpr const char* workspace = "growers";

  static std::string data_centre_of(int number) {
    return "dc-" + std::to_string(number % 3);
  }

  std::vector<permit_store_location> locations() const {
    std::vector<permit_store_location> made(store_count);
    for (int i = 0; i < store_count; ++i) {
      made[i] = {names_[i], data_centre_of(i)};
    }
    return made;
  }

  void restart(std::size_t which, std::uint64_t now_ms, std::uint64_t lost) {
    std::vector<std::uint32_t> counts =
        limiters_[which].counts(workspace, now_ms);
    for (std::uint32_t& each : counts) {
      const auto removed = std::min<std::uint64_t>(each, lost);
      each -= static_cast<std::uint32_t>(removed);
      lost -= removed;
    }
    limiters_[which] = permit_limiter(terms);
    limiters_[which].begin(names_, names_[which]);
    limiters_[which].restore(workspace, counts, now_ms);
  }

  std::vector<std::string> names_;
  std::vector<permit_limiter> limiters_;
  std::vector<permit_sources> sources_;
};

struct outcome {
  double max_in_window = 0;  // as a share of the tolerated requests
  // Refused requests, as a share of those that an exact counter admits.
  double refused_within_limit = 0;
};

double rate_at(std::uint64_t now_ms) {
  const bool burst = now_ms >= 10000 && now_ms < 16000;
  const bool hot = now_ms >= 22000 && now_ms < 50000;
  return base_rate_per_ms * (hot ? 7 : burst ? 1.7 : 1);
}

template <typename counter_type>
outcome run(unsigned seed) {
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(1);
  counter_type counters;
  sliding_counter exact;
  std::deque<std::uint64_t> window;
  outcome result;
  std::array<double, duration_ms / window_ms + 1> admissible{};
  std::array<double, duration_ms / window_ms + 1> served{};
  bool killed = false;
  bool replaced = false;
  bool lost_power = false;
  double at = 0;
  while (at < duration_ms) {
    at += gap(random) / rate_at(static_cast<std::uint64_t>(at));
    const auto now = static_cast<std::uint64_t>(at);
    if (!killed && now >= 26000) {
      killed = true;
      counters.kill_one(now);
    }
    if (!replaced && now >= 34000) {
      replaced = true;
      counters.replace_one(now);
    }
    if (!lost_power && now >= 44000) {
      lost_power = true;
      counters.lose_power(now);
    }
    const int gateway =
        random() % 2 == 0 ? 0 : static_cast<int>(random() % gateway_count);
    const bool admitted = counters.acquire(gateway, now);
    admissible[now / window_ms] += exact.acquire(now, whole_limit) ? 1 : 0;
    if (admitted) {
      served[now / window_ms] += 1;
      window.push_back(now);
    }
    while (!window.empty() && window.front() + window_ms <= now) {
      window.pop_front();
    }
    result.max_in_window =
        std::max(result.max_in_window,
                 static_cast<double>(window.size()) / tolerated_in_window);
  }
  double all = 0;
  double missing = 0;
  for (std::size_t i = 0; i < admissible.size(); ++i) {
    all += admissible[i];
    missing += std::max(admissible[i] - served[i], 0.0);
  }
  result.refused_within_limit = missing / all;
  return result;
}

template <typename counter_type>
outcome worst_of_seeds() {
  outcome worst;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    const outcome result = run<counter_type>(seed);
    worst.max_in_window = std::max(worst.max_in_window, result.max_in_window);
    worst.refused_within_limit =
        std::max(worst.refused_within_limit, result.refused_within_limit);
  }
  return worst;
}

void print(const char* name, const outcome& result) {
  std::cout << "\n  " << name << ": refused within the limit "
            << result.refused_within_limit << ", maximum in a window "
            << result.max_in_window << std::flush;
}

class permit_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_load_test);
  CPPUNIT_TEST(store_shares_keep_the_bound_and_refuse_less);
  CPPUNIT_TEST_SUITE_END();

 public:
  void store_shares_keep_the_bound_and_refuse_less() {
    const outcome own_shares = worst_of_seeds<own_share>();
    const outcome single = worst_of_seeds<one_counter>();
    const outcome stores = worst_of_seeds<store_shares>();
    print("own_share", own_shares);
    print("one_counter", single);
    print("store_shares", stores);

    TRAYROCK_CHECK(stores.max_in_window <= 1,
                   "expected no window above the tolerated requests, got "
                       << stores.max_in_window);
    TRAYROCK_CHECK(
        stores.refused_within_limit < own_shares.refused_within_limit / 2,
        "expected less than half of " << own_shares.refused_within_limit
                                      << " refused, got "
                                      << stores.refused_within_limit);
    TRAYROCK_CHECK(
        single.max_in_window > 1,
        "expected that the loss of one_counter exceeds the bound, got "
            << single.max_in_window);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_load_test);

}  // namespace
}  // namespace trayrock::testing
