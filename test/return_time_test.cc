// When clients that a stopping gateway turns away come back.
#include "trayrock/internal/decide/return_time.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

class return_time_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(return_time_test);
  CPPUNIT_TEST(before_the_balancer_notices_clients_come_back_at_once);
  CPPUNIT_TEST(without_new_connections_clients_come_back_at_once);
  CPPUNIT_TEST(gateways_that_all_stop_name_the_time_of_the_successor);
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

 private:
  static void expect(int ms, const drain_view& view) {
    const milliseconds seen = return_time(view);
    TRAYROCK_CHECK(seen == milliseconds(ms),
                   "expected " << ms << " ms, seen " << seen.count() << " ms");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(return_time_test);

}  // namespace
}  // namespace trayrock::testing
