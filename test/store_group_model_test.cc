// Checks the decision code of the record stores' group over many seeded runs of
// a simulation with faults (store_group_simulation.h).
//
// Invariants: a read quorum never denies an acknowledged record, and of two
// acknowledged reservations at least one sees the other. Each rule of the
// protocol is omitted in turn, to check that the simulation finds a violation.
#include "store_group_simulation.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t seeds = 3000;
constexpr int steps_per_seed = 700;

using store_group::omitted_rule;
using store_group::simulation;

struct model_result {
  int violations = 0;
  std::uint64_t changes = 0;
  std::string first;
};

model_result run_seeds(int boxes, std::uint32_t tolerated, omitted_rule omitted,
                       std::uint64_t runs) {
  model_result made;
  for (std::uint64_t seed = 0; seed < runs; ++seed) {
    simulation simulated(seed, boxes, tolerated, omitted);
    for (int i = 0; i < steps_per_seed && simulated.violation().empty(); ++i) {
      simulated.step();
    }
    made.changes += simulated.changes();
    const std::string violation = simulated.violation();
    if (!violation.empty() && made.violations++ == 0) {
      made.first = "seed " + std::to_string(seed) + ": " + violation;
    }
  }
  return made;
}

class store_group_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_group_model_test);
  CPPUNIT_TEST(three_stores_without_a_spare_lose_nothing);
  CPPUNIT_TEST(four_stores_lose_nothing);
  CPPUNIT_TEST(groups_that_tolerate_two_losses_lose_nothing);
  CPPUNIT_TEST(without_the_fence_records_are_lost);
  CPPUNIT_TEST(without_the_last_read_records_are_lost);
  CPPUNIT_TEST(without_new_store_ids_records_are_lost);
  CPPUNIT_TEST(with_a_single_denial_records_are_denied);
  CPPUNIT_TEST(with_reads_ahead_of_the_disk_records_are_lost);
  CPPUNIT_TEST(with_pulls_from_before_the_fence_records_are_lost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void three_stores_without_a_spare_lose_nothing() {
    expect_no_violation(3, 1);
  }
  void four_stores_lose_nothing() { expect_no_violation(4, 1); }
  void groups_that_tolerate_two_losses_lose_nothing() {
    expect_no_violation(6, 2);
  }

  void without_the_fence_records_are_lost() {
    expect_violation(omitted_rule::fence);
  }
  void without_the_last_read_records_are_lost() {
    expect_violation(omitted_rule::last_read);
  }
  void without_new_store_ids_records_are_lost() {
    expect_violation(omitted_rule::store_ids);
  }
  void with_a_single_denial_records_are_denied() {
    expect_violation(omitted_rule::two_denials);
  }
  void with_reads_ahead_of_the_disk_records_are_lost() {
    expect_violation(omitted_rule::durable_reads);
  }
  void with_pulls_from_before_the_fence_records_are_lost() {
    expect_violation(omitted_rule::pull_start);
  }

 private:
  static void expect_no_violation(int boxes, std::uint32_t tolerated) {
    const model_result result =
        run_seeds(boxes, tolerated, omitted_rule::none, seeds);
    TRAYROCK_CHECK(result.violations == 0, result.violations
                                               << " of " << seeds
                                               << " runs had a violation; "
                                               << result.first);
    TRAYROCK_CHECK(result.changes > seeds,
                   "the group changed " << result.changes << " times only");
  }

  static void expect_violation(omitted_rule omitted) {
    TRAYROCK_CHECK(
        run_seeds(4, 1, omitted, seeds).violations > 0,
        "no run of " << seeds << " had a violation without the rule");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_group_model_test);

}  // namespace
}  // namespace trayrock::testing
