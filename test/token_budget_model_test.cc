// Checks that a program never exceeds its token budget by more than one turn,
// in seeded random orders of concurrent turns, retries, stopping gateways and
// unreachable record stores.
//
// The product's own code decides: the record tables of the stores, their
// quorums and the budget (decide/token_budget.h).
#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include "test_support.h"
#include "trayrock/internal/decide/token_budget.h"
#include "trayrock/internal/records/record_index.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t max_tokens = 10;  // of one turn
constexpr int steps_per_run = 400;
constexpr std::size_t max_concurrent_turns = 5;

struct faults {
  bool stores_unreachable = false;
  bool gateways_stop = false;  // their reservations stay open
};

class budget_simulation {
 public:
  budget_simulation(unsigned seed, std::size_t tolerated, std::uint64_t budget,
                    faults allowed)
      : random_(seed),
        tolerated_(tolerated),
        budget_(budget),
        allowed_(allowed) {
    for (std::size_t i = 0; i < full_group_size(tolerated); ++i) {
      stores_.emplace_back([](const std::string&) { return std::nullopt; });
    }
    unreachable_.resize(stores_.size(), false);
  }

  // Returns the number of tokens that clients received.
  std::uint64_t run() {
    for (int step = 0; step < steps_per_run; ++step) {
      switch (random_() % 6) {
        case 0:
          begin_turn();
          break;
        case 1:
        case 2:
        case 3:
          deliver();
          break;
        case 4:
          end_turn();
          break;
        default:
          inject_fault();
          break;
      }
    }
    return delivered_;
  }

  int refused() const { return refused_; }

 private:
  struct turn {
    std::string attempt;
    bool running = false;
    std::set<std::size_t> acknowledged;
    program_usage usage;
  };
  struct settlement {
    records::Record record;
    std::set<std::size_t> pending;  // stores that it has not reached
  };

  void begin_turn() {
    if (turns_.size() < max_concurrent_turns) {
      turns_.emplace_back().attempt = "a" + std::to_string(++made_);
    }
  }

  // One record reaches one store, if that is reachable.
  void deliver() {
    const std::size_t store = random_() % stores_.size();
    if (unreachable_[store]) {
      return;
    }
    if (!settlements_.empty() && random_() % 2 == 0) {
      settlement& each = settlements_[random_() % settlements_.size()];
      if (each.pending.erase(store) > 0) {
        stores_[store].add(each.record, 0);
      }
      return;
    }
    if (!turns_.empty()) {
      reserve(random_() % turns_.size(), store);
    }
  }

  void reserve(std::size_t index, std::size_t store) {
    turn& each = turns_[index];
    if (each.running || !each.acknowledged.insert(store).second) {
      return;
    }
    records::Record record;
    record.mutable_reservation()->set_program("p");
    record.mutable_reservation()->set_attempt(each.attempt);
    record.mutable_reservation()->set_tokens(max_tokens);
    stores_[store].add(record, 0);
    for (const turn_usage& known : stores_[store].usage("p")) {
      each.usage.add(known);
    }
    if (each.acknowledged.size() == write_quorum(stores_.size(), tolerated_)) {
      decide_turn(index);
    }
  }

  void decide_turn(std::size_t index) {
    turn& each = turns_[index];
    const budget_verdict verdict =
        each.usage.decide(bytes_of(id_of(each.attempt)), max_tokens, budget_);
    if (verdict == budget_verdict::fits) {
      each.running = true;
      return;
    }
    ++refused_;
    settle(index, 0);
  }

  // A running turn ends, with all or some of its tokens.
  void end_turn() {
    if (turns_.empty()) {
      return;
    }
    const std::size_t index = random_() % turns_.size();
    if (turns_[index].running) {
      const std::uint64_t tokens =
          random_() % 3 == 0 ? random_() % max_tokens : max_tokens;
      delivered_ += tokens;
      settle(index, tokens);
    }
  }

  void settle(std::size_t index, std::uint64_t tokens) {
    settlement made;
    made.record.mutable_settlement()->set_program("p");
    made.record.mutable_settlement()->set_attempt(turns_[index].attempt);
    made.record.mutable_settlement()->set_tokens(tokens);
    for (std::size_t i = 0; i < stores_.size(); ++i) {
      made.pending.insert(i);
    }
    settlements_.push_back(std::move(made));
    turns_.erase(turns_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void inject_fault() {
    if (allowed_.stores_unreachable) {
      std::fill(unreachable_.begin(), unreachable_.end(), false);
      for (std::size_t i = 0; i < tolerated_; ++i) {
        unreachable_[random_() % unreachable_.size()] = true;
      }
    }
    if (allowed_.gateways_stop && random_() % 8 == 0) {
      for (const turn& each : turns_) {
        delivered_ += each.running ? max_tokens : 0;
      }
      turns_.clear();
      settlements_.clear();  // the pending ones are lost
    }
  }

  std::mt19937 random_;
  std::size_t tolerated_;
  std::uint64_t budget_;
  faults allowed_;
  std::vector<record_index> stores_;
  std::vector<bool> unreachable_;
  std::vector<turn> turns_;
  std::vector<settlement> settlements_;
  int made_ = 0;
  int refused_ = 0;
  std::uint64_t delivered_ = 0;
};

class token_budget_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(token_budget_model_test);
  CPPUNIT_TEST(usage_exceeds_the_budget_by_one_turn_at_most_with_one_loss);
  CPPUNIT_TEST(usage_exceeds_the_budget_by_one_turn_at_most_with_two_losses);
  CPPUNIT_TEST(program_within_its_budget_is_not_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void usage_exceeds_the_budget_by_one_turn_at_most_with_one_loss() {
    run_all(1);
  }
  void usage_exceeds_the_budget_by_one_turn_at_most_with_two_losses() {
    run_all(2);
  }

  // A budget for the maximum of all turns refuses none of them.
  void program_within_its_budget_is_not_refused() {
    for (unsigned seed = 1; seed <= runs; ++seed) {
      budget_simulation simulation(seed, 1, max_tokens * steps_per_run,
                                   {true, true});
      simulation.run();
      TRAYROCK_CHECK(simulation.refused() == 0,
                     "seed " << seed << ": " << simulation.refused());
    }
  }

 private:
  static constexpr unsigned runs = 2000;

  static void run_all(std::size_t tolerated) {
    for (unsigned seed = 1; seed <= runs; ++seed) {
      const std::uint64_t budget = max_tokens * (2 + seed % 7);
      const faults allowed{seed % 2 == 0, seed % 3 == 0};
      const std::uint64_t delivered =
          budget_simulation(seed, tolerated, budget, allowed).run();
      TRAYROCK_CHECK(delivered <= budget + max_tokens,
                     "seed " << seed << ": budget " << budget << ", delivered "
                             << delivered);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_budget_model_test);

}  // namespace
}  // namespace trayrock::testing
