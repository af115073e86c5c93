// Tests when requests are moved away from slow endpoints: a single endpoint
// that hangs, and a service that is slow as a whole.
#include "trayrock/internal/decide/slow_endpoint_detector.h"

#include <random>

#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds objective{250};
constexpr int requests = 2000;

// Random times to the first byte with a mean of `mean_ms`.
class response_times {
 public:
  explicit response_times(double mean_ms) : wait_(1 / mean_ms) {}
  milliseconds next() {
    return milliseconds(static_cast<long>(wait_(random_)));
  }

 private:
  std::mt19937 random_{1};
  std::exponential_distribution<double> wait_;
};

struct outcome {
  int resent = 0;
  double mean_wait_ms = 0;
};

// One in `hang_every` requests goes to an endpoint that never responds; the
// client gives up after its timeout if the request is not sent again.
outcome simulate(response_times load, int hang_every) {
  constexpr milliseconds client_timeout{2000};
  slow_endpoint_detector detector;
  outcome made;
  for (int i = 1; i <= requests; ++i) {
    const bool hangs = hang_every > 0 && i % hang_every == 0;
    milliseconds wait = hangs ? client_timeout : load.next();
    const milliseconds timeout = detector.first_byte_timeout(objective);
    const bool slow = wait > timeout;
    detector.record_first_byte(std::min(wait, timeout));
    if (slow && detector.acquire_resend()) {
      ++made.resent;
      wait = timeout + load.next();
    }
    made.mean_wait_ms += static_cast<double>(wait.count()) / requests;
  }
  return made;
}

class slow_endpoint_detector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slow_endpoint_detector_test);
  CPPUNIT_TEST(fast_service_has_the_objective_as_timeout);
  CPPUNIT_TEST(requests_to_a_hanging_endpoint_are_sent_again);
  CPPUNIT_TEST(slow_service_gets_few_resends);
  CPPUNIT_TEST(resends_are_limited_to_a_share);
  CPPUNIT_TEST(initial_timeout_is_a_multiple_of_the_objective);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fast_service_has_the_objective_as_timeout() {
    slow_endpoint_detector detector;
    for (int i = 0; i < 100; ++i) {
      detector.record_first_byte(milliseconds(20 + i % 10));
    }
    CPPUNIT_ASSERT(detector.first_byte_timeout(objective) == objective);
  }

  void requests_to_a_hanging_endpoint_are_sent_again() {
    const outcome result = simulate(response_times(35), 20);
    TRAYROCK_CHECK(
        result.mean_wait_ms < 75 && result.resent > 90,
        "waited " << result.mean_wait_ms << " ms, resent " << result.resent);
  }

  // Guards against resends that add load to a service which is overloaded
  // already, as with a timeout fixed at the objective.
  void slow_service_gets_few_resends() {
    const outcome result = simulate(response_times(200), 0);
    TRAYROCK_CHECK(result.resent < requests / 50, "resent " << result.resent);
  }

  void resends_are_limited_to_a_share() {
    const outcome result = simulate(response_times(35), 2);
    TRAYROCK_CHECK(result.resent <= requests / 10 + 5,
                   "resent " << result.resent);
  }

  void initial_timeout_is_a_multiple_of_the_objective() {
    CPPUNIT_ASSERT(slow_endpoint_detector().first_byte_timeout(objective) ==
                   3 * objective);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_endpoint_detector_test);

}  // namespace
}  // namespace trayrock::testing
