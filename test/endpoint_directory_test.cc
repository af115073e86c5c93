// Which endpoint a request goes to, after what earlier requests saw.
#include "trayrock/internal/gateway/endpoint_directory.h"

#include "test_support.h"
#include "trayrock/internal/decide/record_expiry.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;
constexpr const char* service = "ledger";

class endpoint_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_directory_test);
  CPPUNIT_TEST(instance_that_is_no_longer_there_gets_nothing_more);
  CPPUNIT_TEST(late_record_of_a_former_instance_does_not_bring_it_back);
  CPPUNIT_TEST(listing_with_a_former_instance_does_not_bring_it_back);
  CPPUNIT_TEST(endpoint_that_refuses_is_not_the_least_loaded);
  CPPUNIT_TEST(endpoint_that_refused_is_used_again_soon);
  CPPUNIT_TEST(all_are_used_when_all_refuse);
  CPPUNIT_TEST(instance_that_another_gateway_missed_gets_nothing);
  CPPUNIT_TEST(report_that_comes_before_the_late_record_counts);
  CPPUNIT_TEST(records_that_lapse_at_once_stay_for_a_moment);
  CPPUNIT_TEST(lapsed_record_that_does_not_come_back_goes);
  CPPUNIT_TEST(leaving_endpoint_that_lapses_goes_at_once);
  CPPUNIT_TEST(listing_that_misses_nearly_all_is_a_lapse);
  CPPUNIT_TEST(few_removals_are_no_lapse);
  CPPUNIT_TEST(leaving_endpoint_that_is_not_listed_after_a_loss_goes_at_once);
  CPPUNIT_TEST(unlisted_endpoint_gets_nothing_once_its_time_is_over);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Endpoints came back under other ids
  // at their addresses. They refused requests for the former ids at once,
  // which made the former ids the least loaded ones.
  void instance_that_is_no_longer_there_gets_nothing_more() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::other_instance);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 9000));
  }

  void late_record_of_a_former_instance_does_not_bring_it_back() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::other_instance);
    endpoints.remove({"a"}, 0);
    endpoints.update(named("a"), start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 9000));
  }

  void listing_with_a_former_instance_does_not_bring_it_back() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::other_instance);
    endpoints.replace({named("b")}, false, {start_ms + 100});
    endpoints.replace({named("a"), named("b")}, false, {start_ms + 200});
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 9000));
  }

  void records_that_lapse_at_once_stay_for_a_moment() {
    endpoint_directory endpoints;
    endpoints.replace({named("a")}, false, {start_ms});
    endpoints.expire({"a"}, 0, {start_ms});
    endpoints.sweep(start_ms + 2000);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(endpoints, start_ms + 2000));
    endpoints.update(named("a"), start_ms);
    endpoints.sweep(start_ms + 9000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void lapsed_record_that_does_not_come_back_goes() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    endpoints.expire({"a"}, 0, {start_ms});
    endpoints.sweep(start_ms + 2500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void leaving_endpoint_that_lapses_goes_at_once() {
    endpoint_directory endpoints;
    endpoint leaving = named("a");
    leaving.draining = true;
    endpoints.replace({leaving, named("b")}, false, {start_ms});
    endpoints.expire({"a"}, 0, {start_ms});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void listing_that_misses_nearly_all_is_a_lapse() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b"), named("c"), named("d")}, false,
                      {start_ms});
    endpoints.replace({named("a")}, false, {start_ms});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, endpoints.size());
    endpoints.sweep(start_ms + 2500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void leaving_endpoint_that_is_not_listed_after_a_loss_goes_at_once() {
    endpoint_directory endpoints;
    endpoint leaving = named("a");
    leaving.draining = true;
    endpoints.replace({leaving, named("b")}, false, {start_ms});
    const auto kept = endpoints.replace({named("b")}, true, {start_ms});
    CPPUNIT_ASSERT(kept.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  // Between two sweeps.
  void unlisted_endpoint_gets_nothing_once_its_time_is_over() {
    endpoint_directory endpoints;
    endpoints.replace({named("a")}, false, {start_ms});
    endpoints.replace({}, true, {start_ms, start_ms});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(endpoints, start_ms + 2200));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(endpoints, start_ms + 2300));
  }

  void few_removals_are_no_lapse() {
    CPPUNIT_ASSERT(is_mass_expiry(68, 68));
    CPPUNIT_ASSERT(is_mass_expiry(3, 4));
    CPPUNIT_ASSERT(!is_mass_expiry(34, 68));
    CPPUNIT_ASSERT(!is_mass_expiry(2, 2));
    CPPUNIT_ASSERT(!is_mass_expiry(0, 0));
  }

  void endpoint_that_refuses_is_not_the_least_loaded() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b"), named("c")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::refused);
    CPPUNIT_ASSERT(chosen(endpoints, start_ms + 10) != "a");
  }

  void endpoint_that_refused_is_used_again_soon() {
    endpoint_directory endpoints;
    endpoints.replace({named("a")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::refused);
    endpoints.update(named("b"), start_ms);
    endpoint_directory::begin_attempt(*state_of(endpoints, "b"), start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(endpoints, start_ms + 500));
  }

  void all_are_used_when_all_refuse() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::refused);
    attempt_at(endpoints, "b", attempt_outcome::refused);
    CPPUNIT_ASSERT(!chosen(endpoints, start_ms + 10).empty());
  }

  void instance_that_another_gateway_missed_gets_nothing() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    CPPUNIT_ASSERT(endpoints.mark_superseded({"a"}));
    CPPUNIT_ASSERT(!endpoints.mark_superseded({"a"}));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 10));
  }

  void report_that_comes_before_the_late_record_counts() {
    endpoint_directory endpoints;
    endpoints.replace({named("b")}, false, {start_ms});
    endpoints.mark_superseded({"a"});
    endpoints.update(named("a"), start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 10));
  }

 private:
  static endpoint named(const std::string& id) {
    endpoint made;
    made.identity.id = id;
    made.service = service;
    made.capacity = 4;
    return made;
  }

  static std::shared_ptr<endpoint_state> state_of(
      const endpoint_directory& endpoints, const std::string& id) {
    endpoint_criteria wanted;
    wanted.service = service;
    wanted.preferred = {id};
    auto found = endpoints.choose(wanted, start_ms);
    TRAYROCK_CHECK(found != nullptr && found->record.identity.id == id,
                   "the endpoint asked for is chosen: " + id);
    return found;
  }

  static void attempt_at(endpoint_directory& endpoints, const std::string& id,
                         attempt_outcome outcome) {
    const auto at = state_of(endpoints, id);
    endpoint_directory::begin_attempt(*at, start_ms);
    endpoint_directory::end_attempt(*at, outcome, 1, start_ms);
  }

  static std::string chosen(const endpoint_directory& endpoints,
                            std::uint64_t now_ms) {
    endpoint_criteria wanted;
    wanted.service = service;
    const auto found = endpoints.choose(wanted, now_ms);
    return found == nullptr ? std::string() : found->record.identity.id;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_directory_test);

}  // namespace
}  // namespace trayrock::testing
