// Tests the delays after which rejected clients retry.
#include "trayrock/internal/decide/retry_after.h"

#include <algorithm>

#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

class retry_after_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_after_test);
  CPPUNIT_TEST(clients_retry_at_once_before_the_balancer_notices);
  CPPUNIT_TEST(clients_retry_at_once_without_new_connections);
  CPPUNIT_TEST(clients_wait_for_a_successor_if_all_gateways_stop);
  CPPUNIT_TEST(client_outlasts_a_platform_outage_of_six_seconds);
  CPPUNIT_TEST(delay_at_limit_is_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void clients_retry_at_once_before_the_balancer_notices() {
    expect(50, {milliseconds(2900), milliseconds(0)});
  }

  void clients_retry_at_once_without_new_connections() {
    expect(50, {milliseconds(6000), milliseconds(1100)});
  }

  // Guards against clients that use up their retries before the first successor
  // starts, when all gateways stop one after another.
  void clients_wait_for_a_successor_if_all_gateways_stop() {
    expect(1500, {milliseconds(7700), milliseconds(20)});
    expect(1500, {milliseconds(5100), milliseconds(20)});
  }

  // Keys are refused from three seconds after the start of an outage until its
  // end. A turn has three attempts, each with one retry.
  void client_outlasts_a_platform_outage_of_six_seconds() {
    constexpr int refused_ms = 3500;
    CPPUNIT_ASSERT(attempts_last_ms(milliseconds(500)) < refused_ms);
    CPPUNIT_ASSERT(attempts_last_ms(retry_after_when_config_stale()) >
                   refused_ms);
  }

  void delay_at_limit_is_bounded() {
    CPPUNIT_ASSERT(retry_after_at_limit(milliseconds(0)) == milliseconds(100));
    CPPUNIT_ASSERT(retry_after_at_limit(milliseconds(700)) ==
                   milliseconds(700));
    CPPUNIT_ASSERT(retry_after_at_limit(milliseconds(5000)) ==
                   milliseconds(1500));
  }

 private:
  // The time from a turn's first refusal to its last one.
  static long attempts_last_ms(milliseconds retry_after) {
    constexpr int attempts = 3;
    constexpr long between_attempts_ms = 250;
    constexpr long deadline_ms = 5000;
    const long waits =
        std::min(static_cast<long>(retry_after.count()), deadline_ms / 3);
    return attempts * waits + (attempts - 1) * between_attempts_ms;
  }

  static void expect(int ms, const drain_view& view) {
    const milliseconds actual = retry_after_delay(view);
    TRAYROCK_CHECK(actual == milliseconds(ms),
                   "expected " << ms << " ms, got " << actual.count() << " ms");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_after_test);

}  // namespace
}  // namespace trayrock::testing
