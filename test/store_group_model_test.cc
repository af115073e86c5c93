// The rules of the record stores' group against the real decision code, over
// many seeded runs of a small world of stores and faults
// (store_group_simulation.h).
//
// What must hold: a record that was acknowledged is never denied by a read
// quorum, and of two acknowledged reservations one sees the other. Each rule
// is left out in turn, to show what it is needed for.
#include "store_group_simulation.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t seeds = 1500;
constexpr int steps_a_seed = 700;

using store_group::left_out;
using store_group::world;

struct model_result {
  int broken = 0;
  std::uint64_t changes = 0;
  std::string first;
};

model_result play(int boxes, std::uint32_t tolerated, left_out rule,
                  std::uint64_t runs) {
  model_result made;
  for (std::uint64_t seed = 0; seed < runs; ++seed) {
    world held(seed, boxes, tolerated, rule);
    for (int i = 0; i < steps_a_seed && held.fault().empty(); ++i) {
      held.step();
    }
    made.changes += held.changes();
    const std::string fault = held.fault();
    if (!fault.empty() && made.broken++ == 0) {
      made.first = "seed " + std::to_string(seed) + ": " + fault;
    }
  }
  return made;
}

class store_group_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_group_model_test);
  CPPUNIT_TEST(three_stores_without_a_spare_lose_nothing);
  CPPUNIT_TEST(four_stores_lose_nothing);
  CPPUNIT_TEST(groups_that_bear_two_losses_lose_nothing);
  CPPUNIT_TEST(without_the_fence_records_are_lost);
  CPPUNIT_TEST(without_the_last_read_records_are_lost);
  CPPUNIT_TEST(without_names_of_stores_records_are_lost);
  CPPUNIT_TEST(with_one_denial_records_are_denied);
  CPPUNIT_TEST_SUITE_END();

 public:
  void three_stores_without_a_spare_lose_nothing() { expect_sound(3, 1); }
  void four_stores_lose_nothing() { expect_sound(4, 1); }
  void groups_that_bear_two_losses_lose_nothing() { expect_sound(6, 2); }

  void without_the_fence_records_are_lost() { expect_broken(left_out::fence); }
  void without_the_last_read_records_are_lost() {
    expect_broken(left_out::last_read);
  }
  void without_names_of_stores_records_are_lost() {
    expect_broken(left_out::store_names);
  }
  void with_one_denial_records_are_denied() {
    expect_broken(left_out::two_denials);
  }

 private:
  static void expect_sound(int boxes, std::uint32_t tolerated) {
    const model_result seen = play(boxes, tolerated, left_out::nothing, seeds);
    TRAYROCK_CHECK(seen.broken == 0, seen.broken << " of " << seeds
                                                 << " runs broke; "
                                                 << seen.first);
    TRAYROCK_CHECK(seen.changes > seeds,
                   "the group changed " << seen.changes << " times only");
  }

  static void expect_broken(left_out rule) {
    TRAYROCK_CHECK(play(4, 1, rule, seeds).broken > 0,
                   "no run of " << seeds << " broke without the rule");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_group_model_test);

}  // namespace
}  // namespace trayrock::testing
