// How long a route's requests take.
#include "trayrock/internal/decide/duration_estimator.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

class duration_book_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(duration_book_test);
  CPPUNIT_TEST(route_with_few_samples_is_unknown);
  CPPUNIT_TEST(longest_of_the_last_counts);
  CPPUNIT_TEST(old_samples_are_forgotten);
  CPPUNIT_TEST(stream_needs_more_than_the_longest_of_late);
  CPPUNIT_TEST_SUITE_END();

 public:
  void route_with_few_samples_is_unknown() {
    duration_estimator durations;
    add(durations, 15, 10);
    CPPUNIT_ASSERT(durations.longest("chat") == duration_estimator::unknown);
    CPPUNIT_ASSERT(durations.longest("other") == duration_estimator::unknown);
  }

  void longest_of_the_last_counts() {
    duration_estimator durations;
    add(durations, 20, 10);
    add(durations, 1, 900);
    add(durations, 20, 10);
    CPPUNIT_ASSERT(durations.longest("chat") == milliseconds(900));
  }

  void old_samples_are_forgotten() {
    duration_estimator durations;
    add(durations, 1, 900);
    add(durations, 64, 10);
    CPPUNIT_ASSERT(durations.longest("chat") == milliseconds(10));
  }

  // A stream of 1.4 s, longer than the 64
  // before it, was broken off by the end of its gateway.
  void stream_needs_more_than_the_longest_of_late() {
    duration_estimator durations;
    add(durations, 20, 100);
    CPPUNIT_ASSERT(durations.needed("chat", partial_delivery::no) ==
                   milliseconds(100));
    CPPUNIT_ASSERT(durations.needed("chat", partial_delivery::yes) ==
                   milliseconds(2600));
    add(durations, 1, 2000);
    CPPUNIT_ASSERT(durations.needed("chat", partial_delivery::yes) ==
                   milliseconds(3600));
  }

 private:
  static void add(duration_estimator& durations, int count, int ms) {
    for (int i = 0; i < count; ++i) {
      durations.add("chat", milliseconds(ms));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duration_book_test);

}  // namespace
}  // namespace trayrock::testing
