// How urgent turns are to engines, and which programs are under way.
#include "trayrock/internal/decide/urgency.h"

#include "test_support.h"
#include "trayrock/internal/decide/recent_programs.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t start_ms = 10000;
constexpr bool goes_on = true;
constexpr bool begins = false;

int urgency(long time_left_ms, bool under_way, std::uint32_t rank) {
  return urgency_of({milliseconds(time_left_ms), under_way, rank});
}

class urgency_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(urgency_test);
  CPPUNIT_TEST(late_programs_come_behind_all_others);
  CPPUNIT_TEST(programs_under_way_come_before_new_ones_of_their_rank);
  CPPUNIT_TEST(more_urgent_routes_come_first);
  CPPUNIT_TEST(program_that_names_no_time_is_usual);
  CPPUNIT_TEST(urgencies_are_what_engines_know);
  CPPUNIT_TEST(program_is_known_for_a_while_after_its_last_turn);
  CPPUNIT_TEST(programs_of_long_ago_are_forgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void late_programs_come_behind_all_others() {
    for (const std::uint32_t rank : {0U, 1U, 7U}) {
      CPPUNIT_ASSERT(urgency(0, goes_on, 0) > urgency(1, begins, rank));
      CPPUNIT_ASSERT(urgency(-500, goes_on, 0) > urgency(1, begins, rank));
    }
  }

  void programs_under_way_come_before_new_ones_of_their_rank() {
    for (const std::uint32_t rank : {0U, 1U, 2U}) {
      CPPUNIT_ASSERT(urgency(1, goes_on, rank) < urgency(1, begins, rank));
    }
  }

  void more_urgent_routes_come_first() {
    CPPUNIT_ASSERT(urgency(1, begins, 0) < urgency(1, goes_on, 1));
    CPPUNIT_ASSERT(urgency(1, begins, 1) < urgency(1, goes_on, 2));
  }

  void program_that_names_no_time_is_usual() {
    CPPUNIT_ASSERT_EQUAL(usual_urgency, urgency_of({std::nullopt, true, 0}));
  }

  void urgencies_are_what_engines_know() {
    for (const std::uint32_t rank : {0U, 1U, 2U, 3U, 4000000000U}) {
      for (const long left : {-1L, 0L, 1L}) {
        const int seen = urgency(left, begins, rank);
        TRAYROCK_CHECK(seen >= 0 && seen <= 9, "seen " << seen);
      }
    }
  }

  void program_is_known_for_a_while_after_its_last_turn() {
    recent_programs seen;
    CPPUNIT_ASSERT(!seen.contains("a", start_ms));
    seen.record("a", start_ms);
    seen.record("a", start_ms + 15000);
    CPPUNIT_ASSERT(seen.contains("a", start_ms + 30000));
    CPPUNIT_ASSERT(!seen.contains("a", start_ms + 60000));
    CPPUNIT_ASSERT(!seen.contains("b", start_ms));
  }

  void programs_of_long_ago_are_forgotten() {
    recent_programs seen;
    for (std::uint64_t i = 0; i < 10000; ++i) {
      seen.record("program-" + std::to_string(i), start_ms + 100 * i);
    }
    TRAYROCK_CHECK(seen.size() < 300, "seen " << seen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(urgency_test);

}  // namespace
}  // namespace trayrock::testing
