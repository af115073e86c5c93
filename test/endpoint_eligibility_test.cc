// Endpoints that are excluded or limited: evacuated data centres, cold starts.
#include "test_support.h"
#include "trayrock/internal/gateway/endpoint_directory.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;
constexpr std::uint64_t cold_ms = 3000;

endpoint endpoint_in(const std::string& data_centre, std::uint64_t revision = 1,
                     std::uint64_t cold_for_ms = 0) {
  endpoint made;
  made.identity.id = "in-" + data_centre;
  made.service = "s";
  made.capacity = 4;
  made.data_centre = data_centre;
  made.revision = revision;
  made.cold_for = std::chrono::milliseconds(cold_for_ms);
  return made;
}

endpoint_directory directory_with(const std::vector<endpoint>& known) {
  configuration current;
  current.services["s"].name = "s";
  current.services["s"].cold = {4, std::chrono::milliseconds(cold_ms)};
  endpoint_directory made;
  made.set_cold_limits(current);
  made.replace(known, false, {start_ms, start_ms});
  return made;
}

void share(endpoint_directory& endpoints, std::uint32_t allowed,
           std::uint64_t now_ms) {
  endpoints.update_cold_shares(
      [=](const cold_limit&, const endpoint&) { return allowed; }, now_ms);
}

endpoint_state_ptr choose(const endpoint_directory& endpoints,
                          std::uint64_t now_ms) {
  endpoint_criteria wanted;
  wanted.service = "s";
  return endpoints.choose(wanted, now_ms).endpoint;
}

// The number of consecutive requests that are sent; each ends at once.
int count_sent(const endpoint_directory& endpoints, std::uint64_t now_ms) {
  constexpr int tries = 20;
  int sent = 0;
  for (int i = 0; i < tries; ++i) {
    if (const endpoint_state_ptr to = choose(endpoints, now_ms)) {
      endpoint_directory::begin_attempt(*to, now_ms);
      endpoint_directory::end_attempt(*to, attempt_outcome::responded, 1,
                                      now_ms);
      ++sent;
    }
  }
  return sent;
}

class endpoint_eligibility_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_eligibility_test);
  CPPUNIT_TEST(evacuated_endpoints_get_no_requests);
  CPPUNIT_TEST(none_is_chosen_while_all_data_centres_are_evacuated);
  CPPUNIT_TEST(endpoint_registered_during_an_evacuation_gets_no_requests);
  CPPUNIT_TEST(endpoints_count_as_cold_after_an_evacuation);
  CPPUNIT_TEST(cold_endpoint_gets_at_most_the_share);
  CPPUNIT_TEST(cold_endpoint_without_a_share_gets_no_requests);
  CPPUNIT_TEST(endpoint_that_responds_after_backoff_counts_as_cold);
  CPPUNIT_TEST(repeated_record_does_not_restart_the_cold_period);
  CPPUNIT_TEST(later_record_ends_or_starts_the_cold_period);
  CPPUNIT_TEST_SUITE_END();

 public:
  void evacuated_endpoints_get_no_requests() {
    endpoint_directory endpoints =
        directory_with({endpoint_in("north"), endpoint_in("south")});
    CPPUNIT_ASSERT(endpoints.set_evacuated({"north"}, start_ms));
    CPPUNIT_ASSERT(!endpoints.set_evacuated({"north"}, start_ms));
    for (int i = 0; i < 10; ++i) {
      const endpoint_state_ptr to = choose(endpoints, start_ms);
      endpoint_directory::begin_attempt(*to, start_ms);
      CPPUNIT_ASSERT_EQUAL(std::string("south"), to->record.data_centre);
    }
  }

  void none_is_chosen_while_all_data_centres_are_evacuated() {
    endpoint_directory endpoints = directory_with({endpoint_in("north")});
    endpoints.set_evacuated({"north"}, start_ms);
    CPPUNIT_ASSERT(choose(endpoints, start_ms) == nullptr);
  }

  void endpoint_registered_during_an_evacuation_gets_no_requests() {
    endpoint_directory endpoints = directory_with({});
    endpoints.set_evacuated({"north"}, start_ms);
    endpoints.update(endpoint_in("north"), start_ms);
    CPPUNIT_ASSERT(choose(endpoints, start_ms) == nullptr);
  }

  void endpoints_count_as_cold_after_an_evacuation() {
    endpoint_directory endpoints = directory_with({endpoint_in("north")});
    endpoints.set_evacuated({"north"}, start_ms);
    endpoints.set_evacuated({}, start_ms + 8000);
    share(endpoints, 2, start_ms + 8000);
    CPPUNIT_ASSERT_EQUAL(2, count_sent(endpoints, start_ms + 8000));
    CPPUNIT_ASSERT_EQUAL(20, count_sent(endpoints, start_ms + 8000 + cold_ms));
  }

  void cold_endpoint_gets_at_most_the_share() {
    endpoint_directory endpoints =
        directory_with({endpoint_in("north", 1, cold_ms)});
    share(endpoints, 3, start_ms);
    CPPUNIT_ASSERT_EQUAL(3, count_sent(endpoints, start_ms));
    CPPUNIT_ASSERT_EQUAL(0, count_sent(endpoints, start_ms + 999));
    CPPUNIT_ASSERT_EQUAL(3, count_sent(endpoints, start_ms + 1000));
  }

  void cold_endpoint_without_a_share_gets_no_requests() {
    const endpoint_directory endpoints =
        directory_with({endpoint_in("north", 1, cold_ms)});
    CPPUNIT_ASSERT_EQUAL(0, count_sent(endpoints, start_ms));
    CPPUNIT_ASSERT_EQUAL(20, count_sent(endpoints, start_ms + cold_ms));
  }

  // It may have restarted, with its new record still to arrive.
  void endpoint_that_responds_after_backoff_counts_as_cold() {
    endpoint_directory endpoints = directory_with({endpoint_in("north")});
    const endpoint_state_ptr at = choose(endpoints, start_ms);
    endpoint_directory::end_attempt(*at, attempt_outcome::unreachable, 1,
                                    start_ms);
    const std::uint64_t later = start_ms + 2000;
    CPPUNIT_ASSERT(at->health.is_on_probation(later));
    share(endpoints, 2, later);
    CPPUNIT_ASSERT_EQUAL(2, count_sent(endpoints, later));
    CPPUNIT_ASSERT_EQUAL(20, count_sent(endpoints, later + cold_ms));
  }

  void repeated_record_does_not_restart_the_cold_period() {
    endpoint_directory endpoints =
        directory_with({endpoint_in("north", 7, cold_ms)});
    const std::uint64_t later = start_ms + cold_ms;
    endpoints.replace({endpoint_in("north", 7, cold_ms)}, false,
                      {later, later});
    CPPUNIT_ASSERT_EQUAL(20, count_sent(endpoints, later));
  }

  void later_record_ends_or_starts_the_cold_period() {
    endpoint_directory endpoints =
        directory_with({endpoint_in("north", 7, cold_ms)});
    endpoints.update(endpoint_in("north", 8), start_ms + 100);
    CPPUNIT_ASSERT_EQUAL(20, count_sent(endpoints, start_ms + 100));
    endpoints.update(endpoint_in("north", 9, cold_ms), start_ms + 200);
    CPPUNIT_ASSERT_EQUAL(0, count_sent(endpoints, start_ms + 200));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_eligibility_test);

}  // namespace
}  // namespace trayrock::testing
