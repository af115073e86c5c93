// Delay of an event loop, in virtual time.
#include "trayrock/internal/decide/loop_delay.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t period_ms = loop_delay::tick_period_ms;

class loop_delay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(loop_delay_test);
  CPPUNIT_TEST(tick_on_time_shows_no_delay);
  CPPUNIT_TEST(late_tick_shows_by_how_much);
  CPPUNIT_TEST(delay_ends_with_the_next_tick_on_time);
  CPPUNIT_TEST(largest_delay_is_reported_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tick_on_time_shows_no_delay() {
    loop_delay delay(1000);
    delay.tick(1000 + period_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, delay.last_ms());
  }

  void late_tick_shows_by_how_much() {
    loop_delay delay(1000);
    delay.tick(1000 + period_ms + 200);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, delay.last_ms());
  }

  void delay_ends_with_the_next_tick_on_time() {
    loop_delay delay(1000);
    delay.tick(1000 + period_ms + 200);
    delay.tick(1000 + 2 * period_ms + 200);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, delay.last_ms());
  }

  void largest_delay_is_reported_once() {
    loop_delay delay(1000);
    delay.tick(1000 + period_ms + 200);
    delay.tick(1000 + 2 * period_ms + 230);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, delay.take_max_ms());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, delay.take_max_ms());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(loop_delay_test);

}  // namespace
}  // namespace trayrock::testing
