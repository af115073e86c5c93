// When an endpoint that fails requests is left alone, and when it is not.
#include "trayrock/internal/decide/endpoint_health.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;

class endpoint_health_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_health_test);
  CPPUNIT_TEST(two_failures_in_a_row_suffice);
  CPPUNIT_TEST(answers_between_failures_do_not_hide_them);
  CPPUNIT_TEST(rare_failures_are_borne);
  CPPUNIT_TEST(reports_of_three_gateways_suffice);
  CPPUNIT_TEST(reports_of_one_gateway_do_not);
  CPPUNIT_TEST(pause_ends_and_grows_with_each_relapse);
  CPPUNIT_TEST(endpoint_without_connection_is_left_alone_at_once);
  CPPUNIT_TEST(trial_behind_a_pause_ends_with_an_answer);
  CPPUNIT_TEST(answer_within_a_pause_does_not_end_the_trial);
  CPPUNIT_TEST(refusal_pauses_for_a_moment);
  CPPUNIT_TEST(refusals_in_a_row_pause_for_longer);
  CPPUNIT_TEST(answer_ends_a_row_of_refusals);
  CPPUNIT_TEST(failure_within_a_refusal_pause_counts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_failures_in_a_row_suffice() {
    endpoint_health health;
    CPPUNIT_ASSERT(!health.record_failure(start_ms));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms));
    CPPUNIT_ASSERT(health.record_failure(start_ms + 900));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 901));
  }

  // An endpoint that fails a third of its requests used to stay in use, since
  // each answer made the failures before it forgotten.
  void answers_between_failures_do_not_hide_them() {
    endpoint_health health;
    std::uint64_t at = start_ms;
    for (int i = 0; i < 4 && !health.is_in_backoff(at); ++i) {
      health.record_failure(at);
      health.record_response(at);
      health.record_response(at);
      at += 100;
    }
    TRAYROCK_CHECK(health.is_in_backoff(at),
                   "four failures in 400 ms, each with "
                   "two answers behind it: still in use");
  }

  void refusal_pauses_for_a_moment() {
    endpoint_health health;
    CPPUNIT_ASSERT(health.record_refusal(start_ms));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 59));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 60));
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 60));
  }

  void refusals_in_a_row_pause_for_longer() {
    endpoint_health health;
    health.record_refusal(start_ms);
    health.record_refusal(start_ms + 100);
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 219));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 220));
  }

  void answer_ends_a_row_of_refusals() {
    endpoint_health health;
    health.record_refusal(start_ms);
    health.record_response(start_ms + 100);
    health.record_refusal(start_ms + 200);
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 260));
  }

  void failure_within_a_refusal_pause_counts() {
    endpoint_health health;
    health.record_refusal(start_ms);
    health.record_failure(start_ms + 10);
    CPPUNIT_ASSERT(health.record_failure(start_ms + 20));
  }

  void rare_failures_are_borne() {
    endpoint_health health;
    for (std::uint64_t i = 0; i < 20; ++i) {
      const std::uint64_t at = start_ms + 1500 * i;
      health.record_failure(at);
      health.record_response(at);
      CPPUNIT_ASSERT(!health.is_in_backoff(at));
    }
  }

  void reports_of_three_gateways_suffice() {
    endpoint_health health;
    CPPUNIT_ASSERT(!health.record_peer_failure("gateway-1", start_ms));
    CPPUNIT_ASSERT(!health.record_peer_failure("gateway-2", start_ms + 10));
    CPPUNIT_ASSERT(health.record_peer_failure("gateway-3", start_ms + 20));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 21));
  }

  void reports_of_one_gateway_do_not() {
    endpoint_health health;
    for (std::uint64_t i = 0; i < 200; ++i) {
      health.record_peer_failure("gateway-1", start_ms + 20 * i);
      CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 20 * i));
    }
  }

  void pause_ends_and_grows_with_each_relapse() {
    endpoint_health health;
    CPPUNIT_ASSERT(health.record_unreachable(start_ms));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 400));
    CPPUNIT_ASSERT(health.record_unreachable(start_ms + 500));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 500 + 700));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 500 + 800));
  }

  void endpoint_without_connection_is_left_alone_at_once() {
    endpoint_health health;
    CPPUNIT_ASSERT(health.record_unreachable(start_ms));
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms));
  }

  void trial_behind_a_pause_ends_with_an_answer() {
    endpoint_health health;
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms));
    health.record_unreachable(start_ms);
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 399));
    CPPUNIT_ASSERT(health.is_on_probation(start_ms + 400));
    health.record_response(start_ms + 500);
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 501));
  }

  void answer_within_a_pause_does_not_end_the_trial() {
    endpoint_health health;
    health.record_unreachable(start_ms);
    health.record_response(start_ms + 100);
    CPPUNIT_ASSERT(health.is_on_probation(start_ms + 400));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_health_test);

}  // namespace
}  // namespace trayrock::testing
