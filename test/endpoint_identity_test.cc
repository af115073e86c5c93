// Tests endpoints that restart under the same id. Guards against the state of a
// former instance (superseded, failures, requests in flight) that is applied to
// the new one.
#include "trayrock/internal/decide/endpoint_identity.h"

#include <algorithm>
#include <array>
#include <random>

#include "test_support.h"
#include "trayrock/internal/gateway/endpoint_directory.h"
#include "trayrock/internal/gateway/endpoint_records.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t now_ms = 10000;
constexpr std::uint64_t first_start = 1000;
constexpr std::uint64_t second_start = 2000;
constexpr const char* service = "chat";

endpoint instance(std::uint64_t started_ms, std::uint64_t revision,
                  bool draining = false) {
  endpoint made;
  made.identity = {"a", started_ms};
  made.service = service;
  made.address = "10.0.0.1:80";
  made.revision = revision;
  made.draining = draining;
  return made;
}

endpoint_state_ptr chosen(const endpoint_directory& endpoints,
                          std::uint64_t at_ms = now_ms) {
  endpoint_criteria criteria;
  criteria.service = service;
  return endpoints.choose(criteria, at_ms).endpoint;
}

// The start of the instance that a request goes to; 0: none.
std::uint64_t chosen_start(const endpoint_directory& endpoints) {
  const endpoint_state_ptr found = chosen(endpoints);
  return found == nullptr ? 0 : found->record.identity.started_ms;
}

endpoint_directory directory_with(const endpoint& listed) {
  endpoint_directory made;
  made.update(listed, now_ms);
  return made;
}

class endpoint_identity_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_identity_test);
  CPPUNIT_TEST(text_names_the_instance);
  CPPUNIT_TEST(new_instance_has_no_state_of_the_former_one);
  CPPUNIT_TEST(new_instance_has_nothing_in_flight);
  CPPUNIT_TEST(new_instance_of_a_draining_endpoint_is_used);
  CPPUNIT_TEST(restart_is_detected_in_a_listing);
  CPPUNIT_TEST(restart_and_removal_in_one_reply_keep_the_new_instance);
  CPPUNIT_TEST(record_of_the_former_instance_has_no_effect);
  CPPUNIT_TEST(record_without_a_start_does_not_replace_one_with_a_start);
  CPPUNIT_TEST(listing_of_a_former_instance_has_no_effect);
  CPPUNIT_TEST(delayed_removal_of_the_former_instance_has_no_effect);
  CPPUNIT_TEST(removal_without_a_start_is_ordered_by_its_revision);
  CPPUNIT_TEST(delayed_response_of_the_former_instance_has_no_effect);
  CPPUNIT_TEST(reports_of_the_former_instance_have_no_effect);
  CPPUNIT_TEST(report_before_the_new_record_applies_to_it);
  CPPUNIT_TEST(turn_of_the_former_instance_has_no_preference);
  CPPUNIT_TEST(request_may_try_the_new_instance_after_the_former);
  CPPUNIT_TEST(identity_is_encoded_in_messages);
  CPPUNIT_TEST(any_order_of_records_and_reports);
  CPPUNIT_TEST_SUITE_END();

 public:
  void text_names_the_instance() {
    const endpoint_identity expected{"runner-1", 77};
    CPPUNIT_ASSERT_EQUAL(std::string("runner-1@77"), expected.text());
    for (const endpoint_identity& each :
         {expected, endpoint_identity{"runner-1", 0}, endpoint_identity{"", 0},
          endpoint_identity{"a@b", 9}}) {
      CPPUNIT_ASSERT(endpoint_identity::parse(each.text()) == each);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a@x"),
                         endpoint_identity::parse("a@x").id);
  }

  void new_instance_has_no_state_of_the_former_one() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    const endpoint_state_ptr former = chosen(endpoints);
    attempt(*former, attempt_outcome::other_instance);
    attempt(*former, attempt_outcome::unreachable);
    CPPUNIT_ASSERT(chosen(endpoints) == nullptr);

    endpoints.update(instance(second_start, 2), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
    CPPUNIT_ASSERT(!chosen(endpoints)->health.is_in_backoff(now_ms));
  }

  void new_instance_has_nothing_in_flight() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    endpoint_directory::begin_attempt(*chosen(endpoints), now_ms);
    endpoints.update(instance(second_start, 2), now_ms);
    CPPUNIT_ASSERT_EQUAL(0U, chosen(endpoints)->in_flight);
  }

  void new_instance_of_a_draining_endpoint_is_used() {
    endpoint_directory endpoints =
        directory_with(instance(first_start, 1, true));
    CPPUNIT_ASSERT(chosen(endpoints) == nullptr);
    endpoints.update(instance(second_start, 2), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void restart_is_detected_in_a_listing() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    chosen(endpoints)->superseded = true;
    endpoints.replace({instance(second_start, 2)}, true, {now_ms, now_ms});
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void restart_and_removal_in_one_reply_keep_the_new_instance() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    endpoints.remove({"a", first_start}, 5);
    endpoints.update(instance(second_start, 4), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void record_of_the_former_instance_has_no_effect() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.update(instance(first_start, 9, true), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  // Gateways of earlier versions send records without a start.
  void record_without_a_start_does_not_replace_one_with_a_start() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.update(instance(0, 9, true), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void listing_of_a_former_instance_has_no_effect() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.replace({instance(first_start, 1)}, false, {now_ms});
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void delayed_removal_of_the_former_instance_has_no_effect() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.remove({"a", first_start}, 9);
    endpoints.expire({"a", first_start}, 9, {now_ms});
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, endpoints.unlisted());
  }

  void removal_without_a_start_is_ordered_by_its_revision() {
    endpoint_directory endpoints = directory_with(instance(second_start, 7));
    endpoints.remove({"a", 0}, 6);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
    endpoints.remove({"a", 0}, 8);
    CPPUNIT_ASSERT(chosen(endpoints) == nullptr);
  }

  void delayed_response_of_the_former_instance_has_no_effect() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    const endpoint_state_ptr former = chosen(endpoints);
    endpoint_directory::begin_attempt(*former, now_ms);
    endpoints.update(instance(second_start, 2), now_ms);
    endpoint_directory::begin_attempt(*chosen(endpoints), now_ms);
    endpoint_directory::end_attempt(*former, attempt_outcome::unreachable, 1,
                                    now_ms);
    CPPUNIT_ASSERT_EQUAL(1U, chosen(endpoints)->in_flight);
    CPPUNIT_ASSERT(!chosen(endpoints)->health.is_in_backoff(now_ms));
  }

  void reports_of_the_former_instance_have_no_effect() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    for (const std::uint64_t start : {first_start, std::uint64_t{0}}) {
      CPPUNIT_ASSERT(!endpoints.mark_superseded({"a", start}));
      for (const char* gateway : {"g1", "g2", "g3", "g4"}) {
        CPPUNIT_ASSERT(
            !endpoints.record_peer_failure({"a", start}, gateway, now_ms));
      }
    }
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
    CPPUNIT_ASSERT(!chosen(endpoints)->health.is_in_backoff(now_ms));
  }

  void report_before_the_new_record_applies_to_it() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    endpoints.mark_superseded({"a", second_start});
    CPPUNIT_ASSERT_EQUAL(first_start, chosen_start(endpoints));
    endpoints.update(instance(second_start, 2), now_ms);
    CPPUNIT_ASSERT(chosen(endpoints) == nullptr);
  }

  void turn_of_the_former_instance_has_no_preference() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoint other = instance(0, 3);
    other.identity = {"b", first_start};
    endpoints.update(other, now_ms);
    endpoint_criteria criteria;
    criteria.service = service;
    criteria.preferred = {"a", first_start};
    // Without a preference, the request's random number breaks the tie.
    criteria.draw = 1;
    const std::string one =
        endpoints.choose(criteria, now_ms).endpoint->record.identity.id;
    criteria.draw = 2;
    const std::string two =
        endpoints.choose(criteria, now_ms).endpoint->record.identity.id;
    CPPUNIT_ASSERT(one != two);
  }

  void request_may_try_the_new_instance_after_the_former() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    const std::set<endpoint_identity> tried{{"a", first_start}};
    endpoint_criteria criteria;
    criteria.service = service;
    criteria.excluded = &tried;
    CPPUNIT_ASSERT(endpoints.choose(criteria, now_ms).endpoint != nullptr);
  }

  void identity_is_encoded_in_messages() {
    const endpoint expected = instance(second_start, 2);
    CPPUNIT_ASSERT(decode(encode(expected)).value().identity ==
                   expected.identity);
    CPPUNIT_ASSERT(decode(encode(expected.identity)) == expected.identity);
  }

  // Two gateways receive the records and reports of an endpoint with several
  // starts, each in a random order.
  void any_order_of_records_and_reports() {
    constexpr std::uint64_t seeds = 2000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      simulate(seed);
    }
  }

 private:
  static void attempt(endpoint_state& at, attempt_outcome outcome) {
    endpoint_directory::begin_attempt(at, now_ms);
    endpoint_directory::end_attempt(at, outcome, 1, now_ms);
  }

  // A record or report that a gateway receives.
  struct message {
    enum class kind { record, listing, removal, failure, superseded } what;
    endpoint about;
  };

  static std::vector<message> random_messages(std::mt19937_64& random,
                                              std::uint64_t starts) {
    std::vector<message> made;
    std::uint64_t revision = 0;
    for (std::uint64_t start = 1; start <= starts; ++start) {
      const endpoint ready = instance(start, ++revision);
      const endpoint leaving = instance(start, ++revision, true);
      made.push_back({message::kind::record, ready});
      made.push_back({message::kind::listing, ready});
      if (start < starts) {
        made.push_back({message::kind::record, leaving});
        made.push_back({message::kind::removal, instance(start, ++revision)});
        made.push_back({message::kind::failure, ready});
        made.push_back({message::kind::superseded, ready});
      }
    }
    std::shuffle(made.begin(), made.end(), random);
    return made;
  }

  static void deliver(endpoint_directory& endpoints, const message& received,
                      std::uint64_t seed) {
    switch (received.what) {
      case message::kind::record:
        endpoints.update(received.about, now_ms);
        return;
      case message::kind::listing:
        endpoints.replace({received.about}, seed % 2 == 0, {now_ms, now_ms});
        return;
      case message::kind::removal:
        endpoints.remove(received.about.identity, received.about.revision);
        return;
      case message::kind::failure:
        endpoints.record_peer_failure(received.about.identity, "other", now_ms);
        return;
      case message::kind::superseded:
        endpoints.mark_superseded(received.about.identity);
        return;
    }
  }

  static void simulate(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::uint64_t starts = 2 + seed % 3;
    for (int gateway = 0; gateway < 2; ++gateway) {
      endpoint_directory endpoints;
      std::uint64_t newest_received = 0;
      std::uint64_t newest_draining = 0;
      for (const message& each : random_messages(random, starts)) {
        deliver(endpoints, each, seed);
        const bool lists_instance = each.what == message::kind::record ||
                                    each.what == message::kind::listing;
        const std::uint64_t start = each.about.identity.started_ms;
        if (lists_instance) {
          newest_received = std::max(newest_received, start);
        }
        if (each.what == message::kind::record && each.about.draining &&
            start >= newest_received) {
          newest_draining = std::max(newest_draining, start);
        }
        const std::uint64_t used = chosen_start(endpoints);
        TRAYROCK_CHECK(used == 0 || used >= newest_received,
                       "seed " << seed << ": instance " << used
                               << " is used, newest is " << newest_received);
        TRAYROCK_CHECK(used == 0 || used > newest_draining,
                       "seed " << seed << ": instance " << used
                               << " is used although it is draining");
      }
      TRAYROCK_CHECK(chosen_start(endpoints) == starts,
                     "seed " << seed << ": the ready instance " << starts
                             << " is unused, used is "
                             << chosen_start(endpoints));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_identity_test);

}  // namespace
}  // namespace trayrock::testing
