// When clients that a stopping gateway turns away come back.
#include "trayrock/internal/decide/retry_after.h"

#include <algorithm>

#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

class return_time_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(return_time_test);
  CPPUNIT_TEST(before_the_balancer_notices_clients_come_back_at_once);
  CPPUNIT_TEST(without_new_connections_clients_come_back_at_once);
  CPPUNIT_TEST(gateways_that_all_stop_name_the_time_of_the_successor);
  CPPUNIT_TEST(client_outlasts_a_platform_that_is_out_for_six_seconds);
  CPPUNIT_TEST(limit_names_a_time_that_clients_wait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void before_the_balancer_notices_clients_come_back_at_once() {
    expect(50, {milliseconds(2900), milliseconds(0)});
  }

  void without_new_connections_clients_come_back_at_once() {
    expect(50, {milliseconds(6000), milliseconds(1100)});
  }

  // Where all gateways are stopped a second apart, programs that are turned
  // away for 50 ms each time use up their tries within a second, and the first
  // successor comes after four.
  void gateways_that_all_stop_name_the_time_of_the_successor() {
    expect(1500, {milliseconds(7700), milliseconds(20)});
    expect(1500, {milliseconds(5100), milliseconds(20)});
  }

  // Keys are refused from some three seconds after the beginning of an outage
  // until its end. A turn of a program has three tries, each with one return,
  // and some tenths of a second between them.
  void client_outlasts_a_platform_that_is_out_for_six_seconds() {
    constexpr int refused_ms = 3500;
    CPPUNIT_ASSERT(tries_last_ms(milliseconds(500)) < refused_ms);
    CPPUNIT_ASSERT(tries_last_ms(retry_after_when_config_stale()) > refused_ms);
  }

  void limit_names_a_time_that_clients_wait() {
    CPPUNIT_ASSERT(retry_after_at_limit(milliseconds(0)) == milliseconds(100));
    CPPUNIT_ASSERT(retry_after_at_limit(milliseconds(700)) ==
                   milliseconds(700));
    CPPUNIT_ASSERT(retry_after_at_limit(milliseconds(5000)) ==
                   milliseconds(1500));
  }

 private:
  // From a turn's first refusal to its last one.
  static long tries_last_ms(milliseconds back_after) {
    constexpr int tries = 3;
    constexpr long between_tries_ms = 250;
    constexpr long deadline_ms = 5000;
    const long waits =
        std::min(static_cast<long>(back_after.count()), deadline_ms / 3);
    return tries * waits + (tries - 1) * between_tries_ms;
  }

  static void expect(int ms, const drain_view& view) {
    const milliseconds seen = retry_after_delay(view);
    TRAYROCK_CHECK(seen == milliseconds(ms),
                   "expected " << ms << " ms, seen " << seen.count() << " ms");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(return_time_test);

}  // namespace
}  // namespace trayrock::testing
