// The budget of a program over any order of events: turns side by side at
// several gateways, retries after an unknown end, gateways that stop, record
// stores that are away and miss records.
//
// The world is small and random, from a seed; what decides is the product's
// own: the record book of each store, its quorums, and the rule of the budget.
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

constexpr std::uint64_t most = 10;  // tokens of one turn
constexpr int steps_of_a_run = 400;
constexpr std::size_t most_turns_at_once = 5;

struct faults {
  bool stores_away = false;
  bool gateways_stop = false;  // reservations stay open for ever
};

class budget_world {
 public:
  budget_world(unsigned seed, std::size_t tolerated, std::uint64_t budget,
               faults allowed)
      : random_(seed),
        tolerated_(tolerated),
        budget_(budget),
        allowed_(allowed) {
    for (std::size_t i = 0; i < full_group_size(tolerated); ++i) {
      stores_.emplace_back([](const std::string&) { return std::nullopt; });
    }
    away_.resize(stores_.size(), false);
  }

  // Runs to its end and returns the tokens that clients got.
  std::uint64_t play() {
    for (int step = 0; step < steps_of_a_run; ++step) {
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
          strike();
          break;
      }
    }
    return handed_out_;
  }

  int refused() const { return refused_; }

 private:
  struct turn {
    std::string attempt;
    bool running = false;
    std::set<std::size_t> acknowledged;
    program_usage seen;
  };
  struct settlement {
    records::Record record;
    std::set<std::size_t> left;  // stores that it has not reached
  };

  void begin_turn() {
    if (turns_.size() < most_turns_at_once) {
      turns_.push_back({"a" + std::to_string(++made_), false, {}, {}});
    }
  }

  // One record reaches one store, if that is there.
  void deliver() {
    const std::size_t store = random_() % stores_.size();
    if (away_[store]) {
      return;
    }
    if (!settlements_.empty() && random_() % 2 == 0) {
      settlement& each = settlements_[random_() % settlements_.size()];
      if (each.left.erase(store) > 0) {
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
    record.mutable_reservation()->set_tokens(most);
    stores_[store].add(record, 0);
    for (const turn_usage& known : stores_[store].usage("p")) {
      each.seen.add(known);
    }
    if (each.acknowledged.size() == write_quorum(stores_.size(), tolerated_)) {
      judge(index);
    }
  }

  void judge(std::size_t index) {
    turn& each = turns_[index];
    const budget_verdict verdict =
        each.seen.decide(bytes_of(id_of(each.attempt)), most, budget_);
    if (verdict == budget_verdict::fits) {
      each.running = true;
      return;
    }
    ++refused_;
    settle(index, 0);
  }

  // A turn that runs ends, after any part of its tokens.
  void end_turn() {
    if (turns_.empty()) {
      return;
    }
    const std::size_t index = random_() % turns_.size();
    if (turns_[index].running) {
      const std::uint64_t tokens = random_() % 3 == 0 ? random_() % most : most;
      handed_out_ += tokens;
      settle(index, tokens);
    }
  }

  void settle(std::size_t index, std::uint64_t tokens) {
    settlement made;
    made.record.mutable_settlement()->set_program("p");
    made.record.mutable_settlement()->set_attempt(turns_[index].attempt);
    made.record.mutable_settlement()->set_tokens(tokens);
    for (std::size_t i = 0; i < stores_.size(); ++i) {
      made.left.insert(i);
    }
    settlements_.push_back(std::move(made));
    turns_.erase(turns_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void strike() {
    if (allowed_.stores_away) {
      std::fill(away_.begin(), away_.end(), false);
      for (std::size_t i = 0; i < tolerated_; ++i) {
        away_[random_() % away_.size()] = true;
      }
    }
    if (allowed_.gateways_stop && random_() % 8 == 0) {
      for (const turn& each : turns_) {
        handed_out_ += each.running ? most : 0;
      }
      turns_.clear();
      settlements_.clear();  // those that are still on their way are lost
    }
  }

  std::mt19937 random_;
  std::size_t tolerated_;
  std::uint64_t budget_;
  faults allowed_;
  std::vector<record_index> stores_;
  std::vector<bool> away_;
  std::vector<turn> turns_;
  std::vector<settlement> settlements_;
  int made_ = 0;
  int refused_ = 0;
  std::uint64_t handed_out_ = 0;
};

class token_budget_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(token_budget_model_test);
  CPPUNIT_TEST(budget_and_one_turn_is_the_most_with_one_loss);
  CPPUNIT_TEST(budget_and_one_turn_is_the_most_with_two_losses);
  CPPUNIT_TEST(proper_program_is_not_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void budget_and_one_turn_is_the_most_with_one_loss() { play_all(1); }
  void budget_and_one_turn_is_the_most_with_two_losses() { play_all(2); }

  // A budget that holds all turns at their most refuses none of them.
  void proper_program_is_not_refused() {
    for (unsigned seed = 1; seed <= runs; ++seed) {
      budget_world world(seed, 1, most * steps_of_a_run, {true, true});
      world.play();
      TRAYROCK_CHECK(world.refused() == 0,
                     "seed " << seed << ": " << world.refused());
    }
  }

 private:
  static constexpr unsigned runs = 2000;

  static void play_all(std::size_t tolerated) {
    for (unsigned seed = 1; seed <= runs; ++seed) {
      const std::uint64_t budget = most * (2 + seed % 7);
      const faults allowed{seed % 2 == 0, seed % 3 == 0};
      const std::uint64_t got =
          budget_world(seed, tolerated, budget, allowed).play();
      TRAYROCK_CHECK(got <= budget + most, "seed " << seed << ": budget "
                                                   << budget << ", got "
                                                   << got);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_budget_model_test);

}  // namespace
}  // namespace trayrock::testing
