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
  CPPUNIT_TEST(time_on_time_is_attended);
  CPPUNIT_TEST(time_behind_is_not_attended);
  CPPUNIT_TEST(attended_time_never_goes_back);
  CPPUNIT_TEST(time_before_the_loop_runs_is_not_attended);
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

  void time_on_time_is_attended() {
    loop_delay delay(1000);
    std::uint64_t now = 1000;
    for (int tick = 0; tick < 20; ++tick) {
      now += period_ms;
      delay.tick(now);
    }
    CPPUNIT_ASSERT_EQUAL(now + 30, delay.attended_ms(now + 30));
  }

  // Guards against stores that count as silent because this process is behind.
  void time_behind_is_not_attended() {
    loop_delay delay(1000);
    for (std::uint64_t now = 1300; now <= 2200; now += 300) {
      delay.tick(now);
    }
    const std::uint64_t attended = delay.attended_ms(2500) - 1000;
    TRAYROCK_CHECK(attended <= 350, "expected at most 350 ms, seen "
                                        << attended << " of 1500 ms");
  }

  void attended_time_never_goes_back() {
    loop_delay delay(1000);
    const std::uint64_t before_tick = delay.attended_ms(5000);
    delay.tick(5000);
    const std::uint64_t after_tick = delay.attended_ms(5000);
    CPPUNIT_ASSERT_EQUAL(before_tick, after_tick);
  }

  void time_before_the_loop_runs_is_not_attended() {
    loop_delay delay(1000);
    delay.resume(5000);
    const std::uint64_t attended = delay.attended_ms(5000) - 1000;
    TRAYROCK_CHECK(attended <= 2 * period_ms, "expected at most "
                                                  << 2 * period_ms
                                                  << " ms, seen " << attended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, delay.last_ms());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(loop_delay_test);

}  // namespace
}  // namespace trayrock::testing
