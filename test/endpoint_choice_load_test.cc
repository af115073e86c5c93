// The choice of endpoints by many gateways, each of which sees its own requests
// only: plays a heavy load in virtual time and checks what callers get.
//
// 91 gateways in five data centres send turns of programs to 128 engines of six
// slots. Programs come at a rate that fills 0.55 of the slots, and at twice
// that in a burst; a tenth of the engines take four times as long. The choice
// is the product's own.
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
constexpr double pause_ms = 120;  // a tool's call between two turns
constexpr double day_ms = 12000;
constexpr double burst_from_ms = 3000;
constexpr double burst_to_ms = 6000;
constexpr double turns_a_ms = 0.55 * engine_count * slots / turn_ms;
constexpr double latency_weight = 0.2;  // as gateway/endpoint_directory.cc

struct engine {
  bool slow = false;
  int running = 0;
  std::deque<std::size_t> queue;  // turns
  double busy_slot_ms = 0;
  int begun = 0;
};

struct turn {
  int gateway = 0;
  int number = 0;  // in its program
  std::string previous;
  int at = -1;  // engine
  double came_ms = 0;
  double began_ms = 0;
};

struct event {
  double at_ms = 0;
  std::size_t turn = 0;
  bool ends = false;  // else it comes
};
struct later {
  bool operator()(const event& left, const event& right) const {
    return left.at_ms > right.at_ms;
  }
};

struct outcome {
  double mean_wait_ms = 0;
  double late_share = 0;     // turns that waited longer than they took
  double busiest_share = 0;  // of the busiest engine, against the mean
};

class load_world {
 public:
  load_world(const choice_policy& policy, std::uint64_t seed)
      : policy_(policy), random_(seed), engines_(engine_count) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].slow = i % 10 == 3;
    }
    for (int i = 0; i < gateway_count; ++i) {
      seen_.push_back(states());
    }
  }

  outcome run() {
    fill_arrivals();
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ms_ = next.at_ms;
      next.ends ? end(next.turn) : come(next.turn);
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
    while (at < day_ms) {
      const bool burst = at >= burst_from_ms && at < burst_to_ms;
      const double rate = turns_a_ms / turns_of_program * (burst ? 2 : 1);
      at += std::exponential_distribution<double>(rate)(random_);
      turn first;
      first.gateway = static_cast<int>(random_() % gateway_count);
      first.came_ms = at;
      add(first);
    }
  }

  void add(const turn& made) {
    turns_.push_back(made);
    events_.push({made.came_ms, turns_.size() - 1, false});
  }

  void come(std::size_t index) {
    turn& made = turns_[index];
    endpoint_criteria wanted;
    wanted.preferred = {made.previous};
    const std::string data_centre =
        std::to_string(made.gateway % data_centre_count);
    wanted.data_centre = data_centre;
    wanted.draw = random_();
    const auto& known = seen_[static_cast<std::size_t>(made.gateway)];
    const endpoint_state_ptr to = choose_endpoint(
        known, wanted, policy_, static_cast<std::uint64_t>(now_ms_));
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
    ++at.begun;
    made.began_ms = now_ms_;
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
    endpoint_state& seen = *seen_[static_cast<std::size_t>(done.gateway)]
                                 [static_cast<std::size_t>(done.at)];
    --seen.in_flight;
    const double latency = now_ms_ - done.came_ms;
    seen.latency_ms =
        seen.latency_ms == 0
            ? latency
            : seen.latency_ms + latency_weight * (latency - seen.latency_ms);
    seen.latency_at_ms = static_cast<std::uint64_t>(now_ms_);
    if (done.number + 1 < turns_of_program) {
      turn next;
      // A client's connections go to one gateway by a hash; its turns mostly
      // stay there.
      next.gateway = done.gateway;
      next.number = done.number + 1;
      next.previous = std::to_string(done.at);
      next.came_ms = now_ms_ + pause_ms;
      add(next);
    }
  }

  outcome result() const {
    outcome made;
    for (const turn& each : turns_) {
      const double waited = each.began_ms - each.came_ms;
      made.mean_wait_ms += waited;
      made.late_share += waited > turn_ms ? 1 : 0;
    }
    const auto count = static_cast<double>(turns_.size());
    made.mean_wait_ms /= count;
    made.late_share /= count;
    int busiest = 0;
    for (const engine& each : engines_) {
      busiest = std::max(busiest, each.begun);
    }
    made.busiest_share = busiest * engine_count / count;
    return made;
  }

  choice_policy policy_;
  std::mt19937_64 random_;
  std::vector<engine> engines_;
  std::vector<std::vector<endpoint_state_ptr>> seen_;  // by each gateway
  std::vector<turn> turns_;
  std::priority_queue<event, std::vector<event>, later> events_;
  double now_ms_ = 0;
};

outcome play(const choice_policy& policy) {
  constexpr int seeds = 5;
  outcome mean;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const outcome each = load_world(policy, seed).run();
    mean.mean_wait_ms += each.mean_wait_ms / seeds;
    mean.late_share += each.late_share / seeds;
    mean.busiest_share += each.busiest_share / seeds;
  }
  return mean;
}

choice_policy first_of_the_quickest() {
  choice_policy made;
  made.breaks_ties_randomly = false;
  made.ignores_latency_noise = false;
  return made;
}

std::string text_of(const outcome& from) {
  return "wait " + std::to_string(from.mean_wait_ms) + " ms, late " +
         std::to_string(from.late_share) + ", busiest " +
         std::to_string(from.busiest_share);
}

class endpoint_choice_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_choice_load_test);
  CPPUNIT_TEST(turns_wait_less_when_gateways_do_not_choose_alike);
  CPPUNIT_TEST(slow_engines_still_get_less);
  CPPUNIT_TEST_SUITE_END();

 public:
  void turns_wait_less_when_gateways_do_not_choose_alike() {
    const outcome before = play(first_of_the_quickest());
    const outcome after = play({});
    const std::string seen =
        "before: " + text_of(before) + "; after: " + text_of(after);
    CPPUNIT_ASSERT_MESSAGE(seen, after.late_share < 0.7 * before.late_share);
    CPPUNIT_ASSERT_MESSAGE(seen, after.mean_wait_ms < before.mean_wait_ms);
  }

  void slow_engines_still_get_less() {
    const outcome drawn = play({});
    choice_policy blind;
    blind.elsewhere_factor = 1;
    const std::string seen = text_of(drawn);
    CPPUNIT_ASSERT_MESSAGE(seen, drawn.busiest_share < 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_choice_load_test);

}  // namespace
}  // namespace trayrock::testing
