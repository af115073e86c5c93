// Tests when failures, reports and refusals put an endpoint into backoff.
#include "trayrock/internal/decide/endpoint_health.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;

class endpoint_health_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_health_test);
  CPPUNIT_TEST(two_consecutive_failures_start_a_backoff);
  CPPUNIT_TEST(responses_do_not_reset_the_evidence);
  CPPUNIT_TEST(rare_failures_start_no_backoff);
  CPPUNIT_TEST(reports_of_three_gateways_start_a_backoff);
  CPPUNIT_TEST(reports_of_one_gateway_start_no_backoff);
  CPPUNIT_TEST(backoff_ends_and_doubles_after_a_relapse);
  CPPUNIT_TEST(failed_connection_starts_a_backoff);
  CPPUNIT_TEST(probation_after_a_backoff_ends_with_a_response);
  CPPUNIT_TEST(response_during_a_backoff_does_not_end_probation);
  CPPUNIT_TEST(refusal_starts_a_short_backoff);
  CPPUNIT_TEST(consecutive_refusals_double_the_backoff);
  CPPUNIT_TEST(response_resets_the_refusal_backoff);
  CPPUNIT_TEST(failure_during_a_refusal_backoff_counts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_consecutive_failures_start_a_backoff() {
    endpoint_health health;
    CPPUNIT_ASSERT(!health.record_failure(start_ms));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms));
    CPPUNIT_ASSERT(health.record_failure(start_ms + 900));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 901));
  }

  // Guards against responses that reset the evidence of failures: an endpoint
  // that fails a third of its requests must get a backoff.
  void responses_do_not_reset_the_evidence() {
    endpoint_health health;
    std::uint64_t at = start_ms;
    for (int i = 0; i < 4 && !health.is_in_backoff(at); ++i) {
      health.record_failure(at);
      health.record_response(at);
      health.record_response(at);
      at += 100;
    }
    TRAYROCK_CHECK(health.is_in_backoff(at),
                   "expected a backoff after four failures in 400 ms, each "
                   "followed by two responses");
  }

  void refusal_starts_a_short_backoff() {
    endpoint_health health;
    CPPUNIT_ASSERT(health.record_refusal(start_ms));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 59));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 60));
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 60));
  }

  void consecutive_refusals_double_the_backoff() {
    endpoint_health health;
    health.record_refusal(start_ms);
    health.record_refusal(start_ms + 100);
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 219));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 220));
  }

  void response_resets_the_refusal_backoff() {
    endpoint_health health;
    health.record_refusal(start_ms);
    health.record_response(start_ms + 100);
    health.record_refusal(start_ms + 200);
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 260));
  }

  void failure_during_a_refusal_backoff_counts() {
    endpoint_health health;
    health.record_refusal(start_ms);
    health.record_failure(start_ms + 10);
    CPPUNIT_ASSERT(health.record_failure(start_ms + 20));
  }

  void rare_failures_start_no_backoff() {
    endpoint_health health;
    for (std::uint64_t i = 0; i < 20; ++i) {
      const std::uint64_t at = start_ms + 1500 * i;
      health.record_failure(at);
      health.record_response(at);
      CPPUNIT_ASSERT(!health.is_in_backoff(at));
    }
  }

  void reports_of_three_gateways_start_a_backoff() {
    endpoint_health health;
    CPPUNIT_ASSERT(!health.record_peer_failure("gateway-1", start_ms));
    CPPUNIT_ASSERT(!health.record_peer_failure("gateway-2", start_ms + 10));
    CPPUNIT_ASSERT(health.record_peer_failure("gateway-3", start_ms + 20));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 21));
  }

  void reports_of_one_gateway_start_no_backoff() {
    endpoint_health health;
    for (std::uint64_t i = 0; i < 200; ++i) {
      health.record_peer_failure("gateway-1", start_ms + 20 * i);
      CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 20 * i));
    }
  }

  void backoff_ends_and_doubles_after_a_relapse() {
    endpoint_health health;
    CPPUNIT_ASSERT(health.record_unreachable(start_ms));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 400));
    CPPUNIT_ASSERT(health.record_unreachable(start_ms + 500));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 500 + 700));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 500 + 800));
  }

  void failed_connection_starts_a_backoff() {
    endpoint_health health;
    CPPUNIT_ASSERT(health.record_unreachable(start_ms));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms));
  }

  void probation_after_a_backoff_ends_with_a_response() {
    endpoint_health health;
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms));
    health.record_unreachable(start_ms);
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 399));
    CPPUNIT_ASSERT(health.is_on_probation(start_ms + 400));
    health.record_response(start_ms + 500);
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 501));
  }

  void response_during_a_backoff_does_not_end_probation() {
    endpoint_health health;
    health.record_unreachable(start_ms);
    health.record_response(start_ms + 100);
    CPPUNIT_ASSERT(health.is_on_probation(start_ms + 400));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_health_test);

}  // namespace
}  // namespace trayrock::testing
