// Endpoints that start again under the id that they had.
//
// What was held of the instance before stayed with the id: an endpoint that had
// been marked as superseded got nothing more for good, and failures, requests
// under way and reports of the former instance counted against the new one.
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
  endpoint_criteria wanted;
  wanted.service = service;
  return endpoints.choose(wanted, at_ms);
}

// The start of the instance that a request goes to; 0: none.
std::uint64_t chosen_start(const endpoint_directory& endpoints) {
  const endpoint_state_ptr found = chosen(endpoints);
  return found == nullptr ? 0 : found->record.identity.started_ms;
}

endpoint_directory directory_with(const endpoint& known) {
  endpoint_directory made;
  made.update(known, now_ms);
  return made;
}

class endpoint_identity_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endpoint_identity_test);
  CPPUNIT_TEST(text_names_the_instance);
  CPPUNIT_TEST(new_instance_has_none_of_the_former_ones_marks);
  CPPUNIT_TEST(new_instance_has_nothing_in_flight);
  CPPUNIT_TEST(new_instance_of_a_leaving_one_is_used);
  CPPUNIT_TEST(restart_is_seen_in_a_listing);
  CPPUNIT_TEST(restart_and_removal_in_one_answer_leave_the_new_instance);
  CPPUNIT_TEST(record_of_the_former_instance_changes_nothing);
  CPPUNIT_TEST(record_without_a_start_does_not_replace_one_with);
  CPPUNIT_TEST(listing_of_a_former_instance_changes_nothing);
  CPPUNIT_TEST(late_removal_of_the_former_instance_changes_nothing);
  CPPUNIT_TEST(removal_that_names_no_start_goes_by_its_revision);
  CPPUNIT_TEST(late_answer_of_the_former_instance_changes_nothing);
  CPPUNIT_TEST(reports_of_the_former_instance_change_nothing);
  CPPUNIT_TEST(report_that_comes_before_the_new_record_counts_then);
  CPPUNIT_TEST(turn_of_the_former_instance_has_no_preference);
  CPPUNIT_TEST(request_may_try_the_new_instance_behind_the_former);
  CPPUNIT_TEST(identity_goes_between_gateways);
  CPPUNIT_TEST(any_order_of_records_and_reports);
  CPPUNIT_TEST_SUITE_END();

 public:
  void text_names_the_instance() {
    const endpoint_identity known{"runner-1", 77};
    CPPUNIT_ASSERT_EQUAL(std::string("runner-1@77"), known.text());
    for (const endpoint_identity& each :
         {known, endpoint_identity{"runner-1", 0}, endpoint_identity{"", 0},
          endpoint_identity{"a@b", 9}}) {
      CPPUNIT_ASSERT(endpoint_identity::parse(each.text()) == each);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a@x"),
                         endpoint_identity::parse("a@x").id);
  }

  void new_instance_has_none_of_the_former_ones_marks() {
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

  void new_instance_of_a_leaving_one_is_used() {
    endpoint_directory endpoints =
        directory_with(instance(first_start, 1, true));
    CPPUNIT_ASSERT(chosen(endpoints) == nullptr);
    endpoints.update(instance(second_start, 2), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void restart_is_seen_in_a_listing() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    chosen(endpoints)->superseded = true;
    endpoints.replace({instance(second_start, 2)}, true, {now_ms, now_ms});
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void restart_and_removal_in_one_answer_leave_the_new_instance() {
    endpoint_directory endpoints = directory_with(instance(first_start, 1));
    endpoints.remove({"a", first_start}, 5);
    endpoints.update(instance(second_start, 4), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void record_of_the_former_instance_changes_nothing() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.update(instance(first_start, 9, true), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  // Of an earlier version of a gateway, which knows no starts.
  void record_without_a_start_does_not_replace_one_with() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.update(instance(0, 9, true), now_ms);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void listing_of_a_former_instance_changes_nothing() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.replace({instance(first_start, 1)}, false, {now_ms});
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
  }

  void late_removal_of_the_former_instance_changes_nothing() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    endpoints.remove({"a", first_start}, 9);
    endpoints.expire({"a", first_start}, 9, {now_ms});
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, endpoints.unlisted());
  }

  void removal_that_names_no_start_goes_by_its_revision() {
    endpoint_directory endpoints = directory_with(instance(second_start, 7));
    endpoints.remove({"a", 0}, 6);
    CPPUNIT_ASSERT_EQUAL(second_start, chosen_start(endpoints));
    endpoints.remove({"a", 0}, 8);
    CPPUNIT_ASSERT(chosen(endpoints) == nullptr);
  }

  void late_answer_of_the_former_instance_changes_nothing() {
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

  void reports_of_the_former_instance_change_nothing() {
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

  void report_that_comes_before_the_new_record_counts_then() {
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
    endpoint_criteria wanted;
    wanted.service = service;
    wanted.preferred = {"a", first_start};
    // Which of two that look alike is drawn goes by the request.
    wanted.draw = 1;
    const std::string one =
        endpoints.choose(wanted, now_ms)->record.identity.id;
    wanted.draw = 2;
    const std::string two =
        endpoints.choose(wanted, now_ms)->record.identity.id;
    CPPUNIT_ASSERT(one != two);
  }

  void request_may_try_the_new_instance_behind_the_former() {
    endpoint_directory endpoints = directory_with(instance(second_start, 2));
    const std::set<endpoint_identity> tried{{"a", first_start}};
    endpoint_criteria wanted;
    wanted.service = service;
    wanted.excluded = &tried;
    CPPUNIT_ASSERT(endpoints.choose(wanted, now_ms) != nullptr);
  }

  void identity_goes_between_gateways() {
    const endpoint known = instance(second_start, 2);
    CPPUNIT_ASSERT(decode(encode(known)).value().identity == known.identity);
    CPPUNIT_ASSERT(decode(encode(known.identity)) == known.identity);
  }

  // Two gateways hear of one endpoint with several starts, each in an order of
  // its own, and report to each other what they meet.
  void any_order_of_records_and_reports() {
    constexpr std::uint64_t seeds = 2000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      play(seed);
    }
  }

 private:
  static void attempt(endpoint_state& at, attempt_outcome outcome) {
    endpoint_directory::begin_attempt(at, now_ms);
    endpoint_directory::end_attempt(at, outcome, 1, now_ms);
  }

  // One thing that a gateway hears.
  struct word {
    enum class kind { record, listing, removal, failure, superseded } what;
    endpoint about;
  };

  static std::vector<word> words_of(std::mt19937_64& random,
                                    std::uint64_t starts) {
    std::vector<word> made;
    std::uint64_t revision = 0;
    for (std::uint64_t start = 1; start <= starts; ++start) {
      const endpoint ready = instance(start, ++revision);
      const endpoint leaving = instance(start, ++revision, true);
      made.push_back({word::kind::record, ready});
      made.push_back({word::kind::listing, ready});
      if (start < starts) {
        made.push_back({word::kind::record, leaving});
        made.push_back({word::kind::removal, instance(start, ++revision)});
        made.push_back({word::kind::failure, ready});
        made.push_back({word::kind::superseded, ready});
      }
    }
    std::shuffle(made.begin(), made.end(), random);
    return made;
  }

  static void hear(endpoint_directory& endpoints, const word& heard,
                   std::uint64_t seed) {
    switch (heard.what) {
      case word::kind::record:
        endpoints.update(heard.about, now_ms);
        return;
      case word::kind::listing:
        endpoints.replace({heard.about}, seed % 2 == 0, {now_ms, now_ms});
        return;
      case word::kind::removal:
        endpoints.remove(heard.about.identity, heard.about.revision);
        return;
      case word::kind::failure:
        endpoints.record_peer_failure(heard.about.identity, "other", now_ms);
        return;
      case word::kind::superseded:
        endpoints.mark_superseded(heard.about.identity);
        return;
    }
  }

  static void play(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::uint64_t starts = 2 + seed % 3;
    for (int gateway = 0; gateway < 2; ++gateway) {
      endpoint_directory endpoints;
      std::uint64_t newest_heard = 0;
      std::uint64_t newest_left = 0;
      for (const word& each : words_of(random, starts)) {
        hear(endpoints, each, seed);
        const bool speaks_of_it =
            each.what == word::kind::record || each.what == word::kind::listing;
        const std::uint64_t start = each.about.identity.started_ms;
        if (speaks_of_it) {
          newest_heard = std::max(newest_heard, start);
        }
        if (each.what == word::kind::record && each.about.draining &&
            start >= newest_heard) {
          newest_left = std::max(newest_left, start);
        }
        const std::uint64_t used = chosen_start(endpoints);
        TRAYROCK_CHECK(used == 0 || used >= newest_heard,
                       "seed " << seed << ": instance " << used
                               << " is used, known is " << newest_heard);
        TRAYROCK_CHECK(used == 0 || used > newest_left,
                       "seed " << seed << ": instance " << used
                               << " is used, which has said that it leaves");
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
