// Choice of endpoints after failed attempts, expired records and reports.
#include "trayrock/internal/gateway/endpoint_directory.h"

#include "test_support.h"
#include "trayrock/internal/decide/record_expiry.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;
constexpr const char* service = "ledger";
constexpr const char* address = "10.0.0.1:8040";

class endpoint_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_directory_test);
  CPPUNIT_TEST(superseded_instance_gets_no_requests);
  CPPUNIT_TEST(outdated_record_does_not_restore_a_superseded_instance);
  CPPUNIT_TEST(outdated_listing_does_not_restore_a_superseded_instance);
  CPPUNIT_TEST(refusing_endpoint_does_not_count_as_least_loaded);
  CPPUNIT_TEST(refusing_endpoint_is_used_after_its_backoff);
  CPPUNIT_TEST(endpoints_are_used_when_all_are_in_backoff);
  CPPUNIT_TEST(instance_reported_as_superseded_gets_no_requests);
  CPPUNIT_TEST(report_received_before_the_record_counts);
  CPPUNIT_TEST(expired_endpoint_is_kept_for_the_grace_period);
  CPPUNIT_TEST(expired_endpoint_is_removed_after_the_grace_period);
  CPPUNIT_TEST(expired_draining_endpoint_is_removed_at_once);
  CPPUNIT_TEST(listing_without_most_endpoints_keeps_them);
  CPPUNIT_TEST(few_removals_do_not_count_as_expired);
  CPPUNIT_TEST(draining_endpoint_missing_after_a_loss_is_removed_at_once);
  CPPUNIT_TEST(expired_endpoint_is_not_chosen_after_the_grace_period);
  CPPUNIT_TEST(instance_whose_address_another_one_has_is_replaced);
  CPPUNIT_TEST(listed_instance_is_not_replaced);
  CPPUNIT_TEST(instance_is_not_replaced_by_an_expired_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance that rejects requests for another id at once would otherwise
  // look like the least loaded endpoint.
  void superseded_instance_gets_no_requests() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::other_instance);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 9000));
  }

  void outdated_record_does_not_restore_a_superseded_instance() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::other_instance);
    endpoints.remove({"a"}, 0);
    endpoints.update(named("a"), start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 9000));
  }

  void outdated_listing_does_not_restore_a_superseded_instance() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::other_instance);
    endpoints.replace({named("b")}, false, {start_ms + 100});
    endpoints.replace({named("a"), named("b")}, false, {start_ms + 200});
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 9000));
  }

  void expired_endpoint_is_kept_for_the_grace_period() {
    endpoint_directory endpoints;
    endpoints.replace({named("a")}, false, {start_ms});
    endpoints.expire({"a"}, 0, {start_ms});
    endpoints.sweep(start_ms + 2000);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(endpoints, start_ms + 2000));
    endpoints.update(named("a"), start_ms);
    endpoints.sweep(start_ms + 9000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void expired_endpoint_is_removed_after_the_grace_period() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    endpoints.expire({"a"}, 0, {start_ms});
    endpoints.sweep(start_ms + 2500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void expired_draining_endpoint_is_removed_at_once() {
    endpoint_directory endpoints;
    endpoint draining = named("a");
    draining.draining = true;
    endpoints.replace({draining, named("b")}, false, {start_ms});
    endpoints.expire({"a"}, 0, {start_ms});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void listing_without_most_endpoints_keeps_them() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b"), named("c"), named("d")}, false,
                      {start_ms});
    endpoints.replace({named("a")}, false, {start_ms});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, endpoints.size());
    endpoints.sweep(start_ms + 2500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  void draining_endpoint_missing_after_a_loss_is_removed_at_once() {
    endpoint_directory endpoints;
    endpoint draining = named("a");
    draining.draining = true;
    endpoints.replace({draining, named("b")}, false, {start_ms});
    const auto kept = endpoints.replace({named("b")}, true, {start_ms});
    CPPUNIT_ASSERT(kept.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, endpoints.size());
  }

  // Holds before the next sweep, too.
  void expired_endpoint_is_not_chosen_after_the_grace_period() {
    endpoint_directory endpoints;
    endpoints.replace({named("a")}, false, {start_ms});
    endpoints.replace({}, true, {start_ms, start_ms});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(endpoints, start_ms + 2200));
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(endpoints, start_ms + 2300));
  }

  void few_removals_do_not_count_as_expired() {
    CPPUNIT_ASSERT(is_mass_expiry(68, 68));
    CPPUNIT_ASSERT(is_mass_expiry(3, 4));
    CPPUNIT_ASSERT(!is_mass_expiry(34, 68));
    CPPUNIT_ASSERT(!is_mass_expiry(2, 2));
    CPPUNIT_ASSERT(!is_mass_expiry(0, 0));
  }

  void refusing_endpoint_does_not_count_as_least_loaded() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b"), named("c")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::refused);
    CPPUNIT_ASSERT(chosen(endpoints, start_ms + 10) != "a");
  }

  void refusing_endpoint_is_used_after_its_backoff() {
    endpoint_directory endpoints;
    endpoints.replace({named("a")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::refused);
    endpoints.update(named("b"), start_ms);
    endpoint_directory::begin_attempt(*state_of(endpoints, "b"), start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(endpoints, start_ms + 500));
  }

  void endpoints_are_used_when_all_are_in_backoff() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    attempt_at(endpoints, "a", attempt_outcome::refused);
    attempt_at(endpoints, "b", attempt_outcome::refused);
    CPPUNIT_ASSERT(!chosen(endpoints, start_ms + 10).empty());
  }

  void instance_reported_as_superseded_gets_no_requests() {
    endpoint_directory endpoints;
    endpoints.replace({named("a"), named("b")}, false, {start_ms});
    CPPUNIT_ASSERT(endpoints.mark_superseded({"a"}));
    CPPUNIT_ASSERT(!endpoints.mark_superseded({"a"}));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 10));
  }

  void report_received_before_the_record_counts() {
    endpoint_directory endpoints;
    endpoints.replace({named("b")}, false, {start_ms});
    endpoints.mark_superseded({"a"});
    endpoints.update(named("a"), start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(endpoints, start_ms + 10));
  }

  void instance_whose_address_another_one_has_is_replaced() {
    endpoint_directory endpoints;
    endpoints.replace({at_address("a"), named("c")}, false, {start_ms});
    endpoints.remove({"a"}, 1);
    CPPUNIT_ASSERT(!endpoints.is_replaced({"a"}, address));
    endpoints.update(at_address("b"), start_ms);
    CPPUNIT_ASSERT(endpoints.is_replaced({"a"}, address));
    endpoints.mark_superseded({"c"});
    CPPUNIT_ASSERT(endpoints.is_replaced({"c"}, ""));
  }

  // The record of its predecessor may still be listed.
  void listed_instance_is_not_replaced() {
    endpoint_directory endpoints;
    endpoints.replace({at_address("a"), at_address("b")}, false, {start_ms});
    CPPUNIT_ASSERT(!endpoints.is_replaced({"a"}, address));
    CPPUNIT_ASSERT(!endpoints.is_replaced({"b"}, address));
  }

  void instance_is_not_replaced_by_an_expired_one() {
    endpoint_directory endpoints;
    endpoints.replace({at_address("a"), at_address("b")}, false, {start_ms});
    endpoints.remove({"a"}, 1);
    endpoints.expire({"b"}, 1, {start_ms});
    CPPUNIT_ASSERT(!endpoints.is_replaced({"a"}, address));
  }

 private:
  static endpoint at_address(const std::string& id) {
    endpoint made = named(id);
    made.address = address;
    return made;
  }

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
    auto found = endpoints.choose(wanted, start_ms).endpoint;
    TRAYROCK_CHECK(found != nullptr && found->record.identity.id == id,
                   "the preferred endpoint is chosen: " + id);
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
    const auto found = endpoints.choose(wanted, now_ms).endpoint;
    return found == nullptr ? std::string() : found->record.identity.id;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_directory_test);

}  // namespace
}  // namespace trayrock::testing
