// Simulates a heavy load in virtual time: many gateways, each of which counts
// only its own requests, choose endpoints. Guards against all gateways sending
// to the same few endpoints.
//
// Programs arrive at a rate that fills 0.55 of the engines' slots, and twice
// that in a burst; a tenth of the engines is slow.
#include <algorithm>
#include <memory>
#include <queue>
#include <random>

#include "test_support.h"
#include "trayrock/internal/decide/endpoint_choice.h"

namespace trayrock::testing {
namespace {

constexpr int gateway_count = 91;
constexpr int engine_count = 128;
constexpr int data_centre_count = 5;
constexpr int slots = 6;
constexpr int turns_of_program = 4;
constexpr double turn_ms = 150;
constexpr double slow_factor = 4;
constexpr double pause_ms = 120;  // a tool call between two turns
constexpr double duration_ms = 12000;
constexpr double burst_from_ms = 3000;
constexpr double burst_to_ms = 6000;
constexpr double turns_per_ms = 0.55 * engine_count * slots / turn_ms;
constexpr double latency_weight = 0.2;  // as in gateway/endpoint_directory.cc

struct engine {
  bool slow = false;
  int running = 0;
  std::deque<std::size_t> queue;  // turns
  double busy_slot_ms = 0;
  int started = 0;
};

struct turn {
  int gateway = 0;
  int number = 0;  // in its program
  std::string previous;
  int at = -1;  // engine
  double arrived_ms = 0;
  double started_ms = 0;
};

struct event {
  double at_ms = 0;
  std::size_t turn = 0;
  bool ends = false;  // else the turn arrives
};
struct later {
  bool operator()(const event& left, const event& right) const {
    return left.at_ms > right.at_ms;
  }
};

struct outcome {
  double mean_wait_ms = 0;
  double long_wait_share = 0;  // turns that waited longer than they ran
  double busiest_share = 0;  // load of the busiest engine relative to the mean
};

class load_simulation {
 public:
  load_simulation(const choice_policy& policy, std::uint64_t seed)
      : policy_(policy), random_(seed), engines_(engine_count) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].slow = i % 10 == 3;
    }
    for (int i = 0; i < gateway_count; ++i) {
      states_.push_back(states());
    }
  }

  outcome run() {
    fill_arrivals();
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ms_ = next.at_ms;
      next.ends ? end(next.turn) : arrive(next.turn);
    }
    return result();
  }

 private:
  static std::vector<endpoint_state_ptr> states() {
    std::vector<endpoint_state_ptr> made;
    for (int i = 0; i < engine_count; ++i) {
      auto state = std::make_shared<endpoint_state>();
      state->record.identity.id = std::to_string(i);
      state->record.capacity = slots;
      state->record.data_centre = std::to_string(i % data_centre_count);
      made.push_back(state);
    }
    return made;
  }

  void fill_arrivals() {
    double at = 0;
    while (at < duration_ms) {
      const bool burst = at >= burst_from_ms && at < burst_to_ms;
      const double rate = turns_per_ms / turns_of_program * (burst ? 2 : 1);
      at += std::exponential_distribution<double>(rate)(random_);
      turn first;
      first.gateway = static_cast<int>(random_() % gateway_count);
      first.arrived_ms = at;
      add(first);
    }
  }

  void add(const turn& made) {
    turns_.push_back(made);
    events_.push({made.arrived_ms, turns_.size() - 1, false});
  }

  void arrive(std::size_t index) {
    turn& made = turns_[index];
    endpoint_criteria criteria;
    criteria.preferred = {made.previous};
    const std::string data_centre =
        std::to_string(made.gateway % data_centre_count);
    criteria.data_centre = data_centre;
    criteria.draw = random_();
    const auto& endpoints = states_[static_cast<std::size_t>(made.gateway)];
    const endpoint_state_ptr to =
        choose_endpoint(endpoints, criteria, policy_,
                        static_cast<std::uint64_t>(now_ms_))
            .endpoint;
    ++to->in_flight;
    made.at = std::stoi(to->record.identity.id);
    engine& at = engines_[static_cast<std::size_t>(made.at)];
    if (at.running < slots) {
      begin(index);
    } else {
      at.queue.push_back(index);
    }
  }

  void begin(std::size_t index) {
    turn& made = turns_[index];
    engine& at = engines_[static_cast<std::size_t>(made.at)];
    ++at.running;
    ++at.started;
    made.started_ms = now_ms_;
    events_.push(
        {now_ms_ + turn_ms * (at.slow ? slow_factor : 1), index, true});
  }

  void end(std::size_t index) {
    const turn done = turns_[index];
    engine& at = engines_[static_cast<std::size_t>(done.at)];
    --at.running;
    if (!at.queue.empty()) {
      const std::size_t next = at.queue.front();
      at.queue.pop_front();
      begin(next);
    }
    endpoint_state& state = *states_[static_cast<std::size_t>(done.gateway)]
                                    [static_cast<std::size_t>(done.at)];
    --state.in_flight;
    const double latency = now_ms_ - done.arrived_ms;
    state.latency_ms =
        state.latency_ms == 0
            ? latency
            : state.latency_ms + latency_weight * (latency - state.latency_ms);
    state.latency_at_ms = static_cast<std::uint64_t>(now_ms_);
    if (done.number + 1 < turns_of_program) {
      turn next;
      // The balancer hashes a client's connections to one gateway, so its turns
      // mostly stay there.
      next.gateway = done.gateway;
      next.number = done.number + 1;
      next.previous = std::to_string(done.at);
      next.arrived_ms = now_ms_ + pause_ms;
      add(next);
    }
  }

  outcome result() const {
    outcome made;
    for (const turn& each : turns_) {
      const double waited = each.started_ms - each.arrived_ms;
      made.mean_wait_ms += waited;
      made.long_wait_share += waited > turn_ms ? 1 : 0;
    }
    const auto count = static_cast<double>(turns_.size());
    made.mean_wait_ms /= count;
    made.long_wait_share /= count;
    int busiest = 0;
    for (const engine& each : engines_) {
      busiest = std::max(busiest, each.started);
    }
    made.busiest_share = busiest * engine_count / count;
    return made;
  }

  choice_policy policy_;
  std::mt19937_64 random_;
  std::vector<engine> engines_;
  std::vector<std::vector<endpoint_state_ptr>> states_;  // by gateway
  std::vector<turn> turns_;
  std::priority_queue<event, std::vector<event>, later> events_;
  double now_ms_ = 0;
};

outcome simulate(const choice_policy& policy) {
  constexpr int seeds = 5;
  outcome mean;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const outcome each = load_simulation(policy, seed).run();
    mean.mean_wait_ms += each.mean_wait_ms / seeds;
    mean.long_wait_share += each.long_wait_share / seeds;
    mean.busiest_share += each.busiest_share / seeds;
  }
  return mean;
}

choice_policy without_load_spreading() {
  choice_policy made;
  made.breaks_ties_randomly = false;
  made.ignores_latency_noise = false;
  return made;
}

std::string text_of(const outcome& from) {
  return "wait " + std::to_string(from.mean_wait_ms) + " ms, long waits " +
         std::to_string(from.long_wait_share) + ", busiest " +
         std::to_string(from.busiest_share);
}

class endpoint_choice_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_choice_load_test);
  CPPUNIT_TEST(turns_wait_less_when_ties_are_broken_randomly);
  CPPUNIT_TEST(busiest_engine_gets_a_bounded_share);
  CPPUNIT_TEST_SUITE_END();

 public:
  void turns_wait_less_when_ties_are_broken_randomly() {
    const outcome without_spreading = simulate(without_load_spreading());
    const outcome with_spreading = simulate({});
    const std::string text =
        "without spreading: " + text_of(without_spreading) +
        "; with spreading: " + text_of(with_spreading);
    CPPUNIT_ASSERT_MESSAGE(text, with_spreading.long_wait_share <
                                     0.7 * without_spreading.long_wait_share);
    CPPUNIT_ASSERT_MESSAGE(
        text, with_spreading.mean_wait_ms < without_spreading.mean_wait_ms);
  }

  void busiest_engine_gets_a_bounded_share() {
    const outcome result = simulate({});
    choice_policy blind;
    blind.elsewhere_factor = 1;
    const std::string text = text_of(result);
    CPPUNIT_ASSERT_MESSAGE(text, result.busiest_share < 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_choice_load_test);

}  // namespace
}  // namespace trayrock::testing
