// Simulates in virtual time a load on a service of which half or all endpoints
// have just started. Guards against overloaded cold endpoints and refused
// callers.
#include <algorithm>
#include <map>
#include <queue>
#include <random>

#include "test_support.h"
#include "trayrock/internal/gateway/endpoint_directory.h"

namespace trayrock::testing {
namespace {

constexpr int data_centre_count = 3;
constexpr double allowed_per_second = 26;
constexpr std::uint64_t cold_ms = 3000;
constexpr std::uint64_t duration_ms = 4000;
constexpr std::uint64_t start_ms = 10000;
constexpr std::uint64_t turn_ms = 300;
constexpr std::uint32_t capacity = 16;
// Requests a second per endpoint; about half of what a cold endpoint may get.
constexpr double load_per_endpoint = 12;

struct fleet {
  int gateways = 0;
  int endpoints = 0;
  bool all_cold = false;  // else every second endpoint
};

struct outcome {
  int requests = 0;
  int refused = 0;
  std::size_t max_per_second = 0;  // requests to any one cold endpoint
};

std::string data_centre_of(int number) {
  return "dc-" + std::to_string(number % data_centre_count);
}

class cold_start_simulation {
 public:
  cold_start_simulation(const fleet& size, std::uint64_t seed)
      : size_(size), random_(seed) {
    for (int i = 0; i < size.gateways; ++i) {
      peers_.push_back({"gateway-" + std::to_string(i), "", data_centre_of(i)});
    }
    for (int i = 0; i < size.gateways; ++i) {
      add_gateway(static_cast<std::size_t>(i));
    }
  }

  outcome run() {
    const double rate = load_per_endpoint * size_.endpoints / 1000;  // per ms
    double at_ms = 0;
    while (at_ms < duration_ms) {
      at_ms += std::exponential_distribution<double>(rate)(random_);
      arrive(start_ms + static_cast<std::uint64_t>(at_ms));
    }
    return result();
  }

 private:
  struct ending {
    std::uint64_t at_ms = 0;
    endpoint_state_ptr at;
    bool operator<(const ending& other) const { return at_ms > other.at_ms; }
  };

  void add_gateway(std::size_t own) {
    configuration config;
    config.services["s"].name = "s";
    config.services["s"].cold = {allowed_per_second,
                                 std::chrono::milliseconds(cold_ms)};
    endpoint_directory directory;
    directory.set_cold_limits(config);
    directory.replace(endpoints(), false, {start_ms, start_ms});
    std::vector<relay_peer> others = peers_;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(own));
    directory.update_cold_shares(
        [&](const cold_limit& limit, const endpoint& of) {
          return cold_share(limit, of.identity, of.data_centre, peers_[own],
                            others);
        },
        start_ms);
    directories_.push_back(std::move(directory));
  }

  std::vector<endpoint> endpoints() const {
    std::vector<endpoint> made;
    for (int i = 0; i < size_.endpoints; ++i) {
      endpoint each;
      each.identity = {std::to_string(i)};
      each.service = "s";
      each.capacity = capacity;
      each.data_centre = data_centre_of(i);
      each.revision = 1;
      each.cold_for = std::chrono::milliseconds(is_cold(i) ? cold_ms : 0);
      made.push_back(each);
    }
    return made;
  }

  bool is_cold(int endpoint) const {
    return size_.all_cold || endpoint % 2 == 0;
  }

  void arrive(std::uint64_t now_ms) {
    while (!endings_.empty() && endings_.top().at_ms <= now_ms) {
      const ending done = endings_.top();
      endings_.pop();
      endpoint_directory::end_attempt(*done.at, attempt_outcome::responded,
                                      turn_ms, done.at_ms);
    }
    const std::size_t own = random_() % directories_.size();
    endpoint_criteria criteria;
    criteria.service = "s";
    criteria.data_centre = peers_[own].data_centre;
    criteria.draw = random_();
    const endpoint_state_ptr to =
        directories_[own].choose(criteria, now_ms).endpoint;
    ++outcome_.requests;
    if (to == nullptr) {
      ++outcome_.refused;
      return;
    }
    endpoint_directory::begin_attempt(*to, now_ms);
    endings_.push({now_ms + turn_ms, to});
    const int number = std::stoi(to->record.identity.id);
    if (is_cold(number) && now_ms < start_ms + cold_ms) {
      arrivals_[number].push_back(now_ms);
    }
  }

  outcome result() const {
    outcome made = outcome_;
    for (const auto& [number, times] : arrivals_) {
      for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + 1000);
        made.max_per_second = std::max(made.max_per_second,
                                       static_cast<std::size_t>(end - first));
      }
    }
    return made;
  }

  fleet size_;
  std::mt19937_64 random_;
  std::vector<relay_peer> peers_;
  std::vector<endpoint_directory> directories_;
  std::priority_queue<ending> endings_;
  std::map<int, std::vector<std::uint64_t>> arrivals_;
  outcome outcome_;
};

class cold_endpoint_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(cold_endpoint_load_test);
  CPPUNIT_TEST(small_fleet_keeps_the_limit_and_serves_all);
  CPPUNIT_TEST(large_fleet_keeps_the_limit_and_serves_all);
  CPPUNIT_TEST(all_cold_endpoints_serve_a_load_within_the_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void small_fleet_keeps_the_limit_and_serves_all() { check({20, 44, false}); }

  void large_fleet_keeps_the_limit_and_serves_all() {
    check({354, 494, false});
  }

  void all_cold_endpoints_serve_a_load_within_the_limit() {
    for (const fleet& size : {fleet{20, 44, true}, fleet{354, 494, true}}) {
      const outcome result = cold_start_simulation(size, 1).run();
      const std::string text = text_of(size, result);
      CPPUNIT_ASSERT_MESSAGE(text, result.max_per_second <= allowed_per_second);
      // The load is half of the limit.
      CPPUNIT_ASSERT_MESSAGE(text, result.refused < result.requests / 10);
    }
  }

 private:
  static void check(const fleet& size) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const outcome result = cold_start_simulation(size, seed).run();
      const std::string text = text_of(size, result);
      CPPUNIT_ASSERT_MESSAGE(text, result.max_per_second <= allowed_per_second);
      CPPUNIT_ASSERT_MESSAGE(text, result.refused == 0);
    }
  }

  static std::string text_of(const fleet& size, const outcome& result) {
    return std::to_string(size.gateways) +
           " gateways: " + std::to_string(result.refused) + " of " +
           std::to_string(result.requests) + " refused, at most " +
           std::to_string(result.max_per_second) +
           " in a second at one cold endpoint";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_endpoint_load_test);

}  // namespace
}  // namespace trayrock::testing
