// Where the lines of turns of a gateway were sent.
#include "trayrock/internal/decide/recent_placements.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t now_ms = 100000;
const turn_line parent{"program", "parent"};
const turn_line child{"program", "child"};
const endpoint_identity first{"e1", 7};
const endpoint_identity second{"e2", 7};

class recent_placements_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(recent_placements_test);
  CPPUNIT_TEST(line_is_found_where_its_last_turn_was_sent);
  CPPUNIT_TEST(new_line_is_found_with_the_last_turn_of_its_program);
  CPPUNIT_TEST(sessions_of_the_same_name_belong_to_their_program);
  CPPUNIT_TEST(programs_of_the_same_name_belong_to_their_workspace);
  CPPUNIT_TEST(line_is_forgotten_after_a_long_pause);
  CPPUNIT_TEST(line_counts_once_at_its_last_endpoint);
  CPPUNIT_TEST(line_stops_counting_after_a_pause);
  CPPUNIT_TEST(turn_that_its_endpoint_broke_off_is_no_placement);
  CPPUNIT_TEST(table_is_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void line_is_found_where_its_last_turn_was_sent() {
    recent_.record(parent, first, now_ms);
    recent_.record(child, second, now_ms);
    recent_.record(parent, second, now_ms + 1);
    recent_.record(child, first, now_ms + 1);
    CPPUNIT_ASSERT(recent_.find_line(parent, now_ms + 2) == second);
    CPPUNIT_ASSERT(recent_.find_line(child, now_ms + 2) == first);
  }

  void new_line_is_found_with_the_last_turn_of_its_program() {
    recent_.record(parent, first, now_ms);
    CPPUNIT_ASSERT(!recent_.find_line(child, now_ms));
    CPPUNIT_ASSERT(recent_.find_program(child, now_ms) == first);
    CPPUNIT_ASSERT(!recent_.find_program({"other", "child"}, now_ms));
  }

  void sessions_of_the_same_name_belong_to_their_program() {
    recent_.record(parent, first, now_ms);
    recent_.record({"other", "parent"}, second, now_ms);
    CPPUNIT_ASSERT(recent_.find_line(parent, now_ms) == first);
  }

  void programs_of_the_same_name_belong_to_their_workspace() {
    recent_.record({"program", "parent", "growers"}, first, now_ms);
    CPPUNIT_ASSERT(!recent_.find_program({"program", "x", "buyers"}, now_ms));
    CPPUNIT_ASSERT(recent_.find_program({"program", "x", "growers"}, now_ms));
  }

  void line_is_forgotten_after_a_long_pause() {
    recent_.record(parent, first, now_ms);
    CPPUNIT_ASSERT(recent_.find_line(parent, now_ms + 20000) == first);
    CPPUNIT_ASSERT(!recent_.find_line(parent, now_ms + 20001));
    recent_.record({"other", ""}, first, now_ms + 20001);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, recent_.size());
  }

  void line_counts_once_at_its_last_endpoint() {
    recent_.record(parent, first, now_ms);
    recent_.record(parent, first, now_ms + 10);
    recent_.record(child, first, now_ms + 10);
    CPPUNIT_ASSERT_EQUAL(2U, recent_.active_lines(first, now_ms + 10));
    recent_.record(parent, second, now_ms + 20);
    CPPUNIT_ASSERT_EQUAL(1U, recent_.active_lines(first, now_ms + 20));
    CPPUNIT_ASSERT_EQUAL(1U, recent_.active_lines(second, now_ms + 20));
  }

  void line_stops_counting_after_a_pause() {
    constexpr std::uint64_t active_ms = recent_placements::active_ms;
    recent_.record(parent, first, now_ms);
    recent_.record(child, first, now_ms + 500);
    CPPUNIT_ASSERT_EQUAL(2U, recent_.active_lines(first, now_ms + active_ms));
    CPPUNIT_ASSERT_EQUAL(1U,
                         recent_.active_lines(first, now_ms + active_ms + 1));
    CPPUNIT_ASSERT_EQUAL(0U, recent_.active_lines(first, now_ms + 5000));
    CPPUNIT_ASSERT(recent_.find_line(parent, now_ms + 5000) == first);
  }

  void turn_that_its_endpoint_broke_off_is_no_placement() {
    recent_.record(parent, first, now_ms);
    recent_.record(child, second, now_ms);
    recent_.forget(child, second);
    CPPUNIT_ASSERT(!recent_.find_line(child, now_ms));
    CPPUNIT_ASSERT(!recent_.find_program(child, now_ms));
    CPPUNIT_ASSERT(recent_.find_line(parent, now_ms) == first);
    CPPUNIT_ASSERT_EQUAL(0U, recent_.active_lines(second, now_ms));
    // A later turn of the line was sent elsewhere.
    recent_.record(child, first, now_ms + 1);
    recent_.forget(child, second);
    CPPUNIT_ASSERT(recent_.find_line(child, now_ms + 1) == first);
    CPPUNIT_ASSERT_EQUAL(2U, recent_.active_lines(first, now_ms + 1));
  }

  void table_is_bounded() {
    constexpr int programs = 30000;
    for (int i = 0; i < programs; ++i) {
      recent_.record({std::to_string(i), "s"}, first, now_ms);
    }
    CPPUNIT_ASSERT(recent_.size() <= 20002);
    CPPUNIT_ASSERT(recent_.find_line({std::to_string(programs - 1), "s"},
                                     now_ms) == first);
    CPPUNIT_ASSERT(!recent_.find_line({"0", "s"}, now_ms));
  }

 private:
  recent_placements recent_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(recent_placements_test);

}  // namespace
}  // namespace trayrock::testing
