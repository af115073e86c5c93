// Plays crashes of many endpoints at once against the decision code, and counts
// innocent requests that are refused as poison.
//
// Target: at most one innocent request in 1,000.
#include <algorithm>
#include <iostream>
#include <random>
#include <utility>
#include <vector>

#include "test_support.h"
#include "trayrock/internal/decide/poison_requests.h"

namespace trayrock::testing {
namespace {

constexpr double max_refused_share = 0.001;
constexpr std::uint64_t step_ms = 10;
constexpr std::uint64_t day_ms = 40000;
constexpr std::uint64_t restart_ms = 3000;
// By gateways, clients and programs together.
constexpr int max_sends = 18;

struct crash_day {
  int endpoints = 20;
  double arrivals_per_step = 1;
  std::uint64_t run_ms = 300;
  double share = 0;                 // of the endpoints that end in each wave
  std::uint64_t wave_gap_ms = 0;    // 0: no waves
  std::uint64_t wave_ms = 0;        // in which the endpoints of a wave end
  std::uint64_t poison_gap_ms = 0;  // 0: no poison requests
};

struct outcome {
  int innocent = 0;
  int refused = 0;  // of them
  int poison = 0;
  std::size_t most_ended = 0;  // under one poison request
};

class model {
 public:
  model(const crash_day& day, unsigned seed) : day_(day), random_(seed) {
    for (int i = 0; i < day.endpoints; ++i) {
      endpoints_.push_back({{"e" + std::to_string(i), 1}});
    }
  }

  outcome play() {
    for (now_ = 1; now_ < day_ms; now_ += step_ms) {
      restart_endpoints();
      finish();
      for (const running& each : std::exchange(waiting_, {})) {
        send(each);
      }
      arrive();
      if (due(day_.wave_gap_ms)) {
        begin_wave();
      }
      end_endpoints();
    }
    return seen_;
  }

 private:
  struct running {
    request_fingerprint request = 0;
    bool poison = false;
    int sends = 0;
    std::uint64_t ends_ms = 0;
  };
  struct modelled_endpoint {
    endpoint_identity identity;
    std::uint64_t down_until_ms = 0;  // 0: it runs
    std::uint64_t ends_at_ms = 0;     // in a wave; 0: in none
    std::vector<running> requests;
  };

  double draw() { return std::uniform_real_distribution<>()(random_); }

  bool due(std::uint64_t gap_ms) const {
    return gap_ms > 0 && now_ % gap_ms < step_ms && now_ > gap_ms;
  }

  void restart_endpoints() {
    for (modelled_endpoint& each : endpoints_) {
      if (each.down_until_ms != 0 && each.down_until_ms <= now_) {
        each.down_until_ms = 0;
        ++each.identity.started_ms;
      }
    }
  }

  void finish() {
    for (modelled_endpoint& each : endpoints_) {
      std::erase_if(each.requests, [&](const running& request) {
        const bool ended = !request.poison && request.ends_ms <= now_;
        if (ended) {
          tries_.record_survived(request.request, each.identity);
        }
        return ended;
      });
    }
  }

  void arrive() {
    const auto count =
        std::poisson_distribution<>(day_.arrivals_per_step)(random_);
    for (int i = 0; i < count; ++i) {
      ++seen_.innocent;
      send({++last_request_, false});
    }
    if (due(day_.poison_gap_ms)) {
      ++seen_.poison;
      send({++last_request_, true});
    }
  }

  void send(running request) {
    if (request.sends++ == max_sends) {
      return;
    }
    const try_verdict verdict =
        tries_.decide(request.request, request_scope::program, now_);
    if (verdict == try_verdict::wait) {
      --request.sends;
      waiting_.push_back(request);
      return;
    }
    if (verdict == try_verdict::refuse) {
      seen_.refused += request.poison ? 0 : 1;
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      if (endpoints_[i].down_until_ms == 0) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    modelled_endpoint& to =
        endpoints_[up[std::uniform_int_distribution<std::size_t>(
            0, up.size() - 1)(random_)]];
    request.ends_ms = now_ + day_.run_ms;
    tries_.record_sent(request.request, to.identity, now_);
    to.requests.push_back(request);
  }

  void begin_wave() {
    for (modelled_endpoint& each : endpoints_) {
      if (each.down_until_ms == 0 && draw() < day_.share) {
        each.ends_at_ms =
            now_ + static_cast<std::uint64_t>(
                       draw() * static_cast<double>(day_.wave_ms));
      }
    }
  }

  static bool has_poison(const modelled_endpoint& at) {
    return std::any_of(at.requests.begin(), at.requests.end(),
                       [](const running& each) { return each.poison; });
  }

  // All that end at the same moment do so before anything is sent again.
  void end_endpoints() {
    std::vector<running> lost;
    for (modelled_endpoint& each : endpoints_) {
      const bool due = each.ends_at_ms != 0 && each.ends_at_ms <= now_;
      if (each.down_until_ms != 0 || !(due || has_poison(each))) {
        continue;
      }
      each.ends_at_ms = 0;
      each.down_until_ms = now_ + restart_ms;
      for (const running& request : each.requests) {
        tries_.record_broken(request.request, each.identity, now_);
      }
      tries_.record_ended(each.identity, now_);
      for (const running& request : each.requests) {
        if (request.poison) {
          seen_.most_ended =
              std::max(seen_.most_ended, tries_.ended(request.request, now_));
        }
        lost.push_back(request);
      }
      each.requests.clear();
    }
    for (const running& each : lost) {
      send(each);
    }
  }

  crash_day day_;
  std::mt19937 random_;
  std::uint64_t now_ = 0;
  request_fingerprint last_request_ = 0;
  std::vector<modelled_endpoint> endpoints_;
  std::vector<running> waiting_;
  poison_requests tries_;
  outcome seen_;
};

outcome play_seeds(const crash_day& day) {
  constexpr unsigned seeds = 25;
  outcome sum;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    const outcome each = model(day, seed).play();
    sum.innocent += each.innocent;
    sum.refused += each.refused;
    sum.poison += each.poison;
    sum.most_ended = std::max(sum.most_ended, each.most_ended);
  }
  return sum;
}

outcome play_and_print(const char* name, const crash_day& day) {
  const outcome seen = play_seeds(day);
  std::cout << name << ": " << seen.refused << " of " << seen.innocent
            << " innocent requests refused; at most " << seen.most_ended
            << " endpoints ended under each of " << seen.poison
            << " poison requests" << std::endl;
  TRAYROCK_CHECK(seen.most_ended <= poison_requests::max_ended,
                 name << ": " << seen.most_ended << " endpoints ended");
  return seen;
}

void check_target(const char* name, const crash_day& day) {
  const outcome seen = play_and_print(name, day);
  TRAYROCK_CHECK(seen.refused <= seen.innocent * max_refused_share,
                 name << ": " << seen.refused << " of " << seen.innocent
                      << " innocent requests were refused");
}

class poison_requests_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poison_requests_model_test);
  CPPUNIT_TEST(waves_of_crashes_condemn_few_innocent_requests);
  CPPUNIT_TEST(lasting_crashes_under_long_streams);
  CPPUNIT_TEST(poison_requests_condemn_few_requests_beside_them);
  CPPUNIT_TEST(poison_requests_among_waves_condemn_few_requests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void waves_of_crashes_condemn_few_innocent_requests() {
    crash_day day;
    day.share = 0.3;
    day.wave_gap_ms = 2000;
    check_target("30% of 20 endpoints each 2 s", day);
    day.share = 0.6;
    day.wave_gap_ms = 5000;
    check_target("60% of 20 endpoints each 5 s", day);
    day.wave_ms = 500;
    check_target("60% of 20 endpoints each 5 s, within 0.5 s", day);
  }

  // The target is not reached (docs/CAPACITY.md).
  void lasting_crashes_under_long_streams() {
    crash_day day;
    day.run_ms = 3000;
    day.share = 0.15;
    day.wave_gap_ms = 1000;
    day.poison_gap_ms = 4000;
    play_and_print("streams of 3 s, 15% of 20 endpoints each second", day);
  }

  void poison_requests_condemn_few_requests_beside_them() {
    crash_day day;
    day.poison_gap_ms = 4000;
    check_target("a poison request each 4 s", day);
    day.endpoints = 100;
    day.arrivals_per_step = 5;
    day.poison_gap_ms = 500;
    check_target("100 endpoints, a poison request each 0.5 s", day);
  }

  void poison_requests_among_waves_condemn_few_requests() {
    crash_day day;
    day.share = 0.15;
    day.wave_gap_ms = 3000;
    day.poison_gap_ms = 4000;
    check_target("a poison request each 4 s, 15% of 20 endpoints each 3 s",
                 day);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_requests_model_test);

}  // namespace
}  // namespace trayrock::testing
