// Tests the urgency of turns, and the record of programs in progress.
#include "trayrock/internal/decide/urgency.h"

#include "test_support.h"
#include "trayrock/internal/decide/recent_programs.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t start_ms = 10000;
constexpr bool continues = true;
constexpr bool begins = false;

int urgency(long time_left_ms, bool in_progress, std::uint32_t rank) {
  return urgency_of({milliseconds(time_left_ms), in_progress, rank});
}

class urgency_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(urgency_test);
  CPPUNIT_TEST(overdue_programs_come_after_all_others);
  CPPUNIT_TEST(programs_in_progress_come_before_new_ones_of_their_rank);
  CPPUNIT_TEST(more_urgent_routes_come_first);
  CPPUNIT_TEST(program_without_a_deadline_has_the_default);
  CPPUNIT_TEST(urgencies_are_in_the_valid_range);
  CPPUNIT_TEST(program_is_recent_after_its_last_turn);
  CPPUNIT_TEST(old_programs_are_removed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void overdue_programs_come_after_all_others() {
    for (const std::uint32_t rank : {0U, 1U, 7U}) {
      CPPUNIT_ASSERT(urgency(0, continues, 0) > urgency(1, begins, rank));
      CPPUNIT_ASSERT(urgency(-500, continues, 0) > urgency(1, begins, rank));
    }
  }

  void programs_in_progress_come_before_new_ones_of_their_rank() {
    for (const std::uint32_t rank : {0U, 1U, 2U}) {
      CPPUNIT_ASSERT(urgency(1, continues, rank) < urgency(1, begins, rank));
    }
  }

  void more_urgent_routes_come_first() {
    CPPUNIT_ASSERT(urgency(1, begins, 0) < urgency(1, continues, 1));
    CPPUNIT_ASSERT(urgency(1, begins, 1) < urgency(1, continues, 2));
  }

  void program_without_a_deadline_has_the_default() {
    CPPUNIT_ASSERT_EQUAL(default_urgency, urgency_of({std::nullopt, true, 0}));
  }

  void urgencies_are_in_the_valid_range() {
    for (const std::uint32_t rank : {0U, 1U, 2U, 3U, 4000000000U}) {
      for (const long left : {-1L, 0L, 1L}) {
        const int actual = urgency(left, begins, rank);
        TRAYROCK_CHECK(actual >= 0 && actual <= 9, "actual " << actual);
      }
    }
  }

  void program_is_recent_after_its_last_turn() {
    recent_programs programs;
    CPPUNIT_ASSERT(!programs.contains("a", start_ms));
    programs.record("a", start_ms);
    programs.record("a", start_ms + 15000);
    CPPUNIT_ASSERT(programs.contains("a", start_ms + 30000));
    CPPUNIT_ASSERT(!programs.contains("a", start_ms + 60000));
    CPPUNIT_ASSERT(!programs.contains("b", start_ms));
  }

  void old_programs_are_removed() {
    recent_programs programs;
    for (std::uint64_t i = 0; i < 10000; ++i) {
      programs.record("program-" + std::to_string(i), start_ms + 100 * i);
    }
    TRAYROCK_CHECK(programs.size() < 300, "actual " << programs.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(urgency_test);

}  // namespace
}  // namespace trayrock::testing
