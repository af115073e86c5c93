// One store's share of a workspace's limit, and the selection of the store from
// which a gateway requests a permit.
#include "trayrock/internal/decide/permit_limiter.h"

#include "test_support.h"
#include "trayrock/internal/decide/permit_sources.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr limit_terms plain_terms{milliseconds(5000), 0, 0};
const std::vector<std::string> three_stores{"store-1", "store-2", "store-3"};
// 10 requests a second for 5 s, and a burst of 10.
constexpr request_limit limit_of_60{10, 10, 1};

bool given(const permit_verdict& verdict) {
  return std::holds_alternative<permit_given>(verdict);
}

// Acquires all available permits and returns their number.
int acquire_all(permit_limiter& from, std::uint64_t now_ms,
                const request_limit& limit = limit_of_60,
                permit_use use = permit_use::regular) {
  int count = 0;
  while (given(from.acquire("growers", limit, use, now_ms))) {
    ++count;
  }
  return count;
}

permit_limiter limiter_of(const std::string& own,
                          const limit_terms& terms = plain_terms) {
  permit_limiter made(terms);
  made.begin(three_stores, own);
  return made;
}

class permit_limiter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_limiter_test);
  CPPUNIT_TEST(shares_add_up_to_the_limit);
  CPPUNIT_TEST(half_of_the_tolerance_is_issued);
  CPPUNIT_TEST(no_sliding_window_exceeds_the_share);
  CPPUNIT_TEST(refusal_returns_the_wait_for_the_next_permit);
  CPPUNIT_TEST(starting_programs_leave_a_quarter);
  CPPUNIT_TEST(unused_permit_is_issued_again);
  CPPUNIT_TEST(permit_of_an_expired_window_is_not_returned);
  CPPUNIT_TEST(lower_limit_applies_at_once_and_an_outdated_one_never);
  CPPUNIT_TEST(workspaces_have_separate_limits);
  CPPUNIT_TEST(restart_keeps_the_permits_issued_before);
  CPPUNIT_TEST(joining_store_issues_nothing_for_a_window);
  CPPUNIT_TEST(joining_store_that_is_opened_issues_its_share);
  CPPUNIT_TEST(store_is_within_its_share_once_enough_permits_have_expired);
  CPPUNIT_TEST(store_within_a_smaller_share_stays_within_it);
  CPPUNIT_TEST(store_that_left_is_within_its_share_without_permits_only);
  CPPUNIT_TEST(shares_grow_one_window_after_a_store_has_left);
  CPPUNIT_TEST(replacement_of_a_store_keeps_the_limit_in_every_window);
  CPPUNIT_TEST(store_outside_the_group_issues_nothing);
  CPPUNIT_TEST(limit_of_one_request_is_issued_by_one_store);
  CPPUNIT_TEST(store_of_the_same_data_centre_is_tried_first);
  CPPUNIT_TEST(store_that_refused_is_skipped_until_its_next_permit);
  CPPUNIT_TEST(unresponsive_store_is_tried_last);
  CPPUNIT_TEST_SUITE_END();

 public:
  void shares_add_up_to_the_limit() {
    int sum = 0;
    for (const std::string& each : three_stores) {
      permit_limiter limiter = limiter_of(each);
      sum += acquire_all(limiter, 1000, {10, 11, 1});
    }
    CPPUNIT_ASSERT_EQUAL(61, sum);
  }

  void half_of_the_tolerance_is_issued() {
    const limit_terms terms{milliseconds(5000), 0.1, 20};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{73},
                         requests_in_window(limit_of_60, terms));
  }

  void no_sliding_window_exceeds_the_share() {
    permit_limiter limiter = limiter_of("store-1");
    std::vector<std::uint64_t> times;
    for (std::uint64_t now = 0; now < 30000; now += 7) {
      if (given(limiter.acquire("growers", limit_of_60, permit_use::regular,
                                now))) {
        times.push_back(now);
      }
    }
    for (std::size_t i = 0; i + 20 < times.size(); ++i) {
      const std::uint64_t span = times[i + 20] - times[i];
      TRAYROCK_CHECK(span >= 5000, "expected at most 20 permits in 5 s, "
                                       << "got 21 within " << span << " ms");
    }
    TRAYROCK_CHECK(
        times.size() >= 100,
        "expected at least 100 permits in 30 s, got " << times.size());
  }

  void refusal_returns_the_wait_for_the_next_permit() {
    permit_limiter limiter = limiter_of("store-1");
    acquire_all(limiter, 1000);
    const permit_verdict verdict =
        limiter.acquire("growers", limit_of_60, permit_use::regular, 2000);
    const auto next = static_cast<std::uint64_t>(
        std::get<permit_refused>(verdict).next.count());

    CPPUNIT_ASSERT(!given(limiter.acquire(
        "growers", limit_of_60, permit_use::regular, 2000 + next - 1)));
    CPPUNIT_ASSERT(given(limiter.acquire("growers", limit_of_60,
                                         permit_use::regular, 2000 + next)));
  }

  void starting_programs_leave_a_quarter() {
    permit_limiter limiter = limiter_of("store-1");
    CPPUNIT_ASSERT_EQUAL(15, acquire_all(limiter, 1000, limit_of_60,
                                         permit_use::starts_program));
    CPPUNIT_ASSERT_EQUAL(5, acquire_all(limiter, 1000));
  }

  void unused_permit_is_issued_again() {
    permit_limiter limiter = limiter_of("store-1");
    const permit_verdict first =
        limiter.acquire("growers", limit_of_60, permit_use::regular, 1000);
    acquire_all(limiter, 1300);
    limiter.give_back("growers", std::get<permit_given>(first).slot);

    CPPUNIT_ASSERT_EQUAL(1, acquire_all(limiter, 1300));
  }

  void permit_of_an_expired_window_is_not_returned() {
    permit_limiter limiter = limiter_of("store-1");
    const permit_verdict first =
        limiter.acquire("growers", limit_of_60, permit_use::regular, 1000);
    acquire_all(limiter, 9000);
    limiter.give_back("growers", std::get<permit_given>(first).slot);

    CPPUNIT_ASSERT_EQUAL(0, acquire_all(limiter, 9000));
  }

  void lower_limit_applies_at_once_and_an_outdated_one_never() {
    permit_limiter limiter = limiter_of("store-1");
    CPPUNIT_ASSERT_EQUAL(10, acquire_all(limiter, 1000, {5, 5, 2}));
    CPPUNIT_ASSERT_EQUAL(0, acquire_all(limiter, 1000, {50, 50, 1}));
    CPPUNIT_ASSERT_EQUAL(10, acquire_all(limiter, 1000, {10, 10, 3}));
  }

  void workspaces_have_separate_limits() {
    permit_limiter limiter = limiter_of("store-1");
    acquire_all(limiter, 1000);
    CPPUNIT_ASSERT(given(
        limiter.acquire("buyers", limit_of_60, permit_use::regular, 1000)));
  }

  void restart_keeps_the_permits_issued_before() {
    permit_limiter before = limiter_of("store-1");
    acquire_all(before, 4000);
    permit_limiter after(plain_terms);
    after.begin(three_stores, "store-1");
    after.restore("growers", before.counts("growers", 4000), 100);

    CPPUNIT_ASSERT_EQUAL(0, acquire_all(after, 100));
    CPPUNIT_ASSERT_EQUAL(0, acquire_all(after, 5000));
    CPPUNIT_ASSERT_EQUAL(20, acquire_all(after, 5600));
  }

  void joining_store_issues_nothing_for_a_window() {
    permit_limiter limiter(plain_terms);
    limiter.begin({}, "store-1");
    limiter.set_stores(three_stores, "store-1", 1000);

    CPPUNIT_ASSERT_EQUAL(0, acquire_all(limiter, 6000));
    CPPUNIT_ASSERT_EQUAL(20, acquire_all(limiter, 6300));
  }

  void joining_store_that_is_opened_issues_its_share() {
    permit_limiter limiter(plain_terms);
    limiter.begin({}, "store-1");
    limiter.set_stores(three_stores, "store-1", 1000);
    CPPUNIT_ASSERT(limiter.is_closed(1000));
    limiter.open();

    CPPUNIT_ASSERT(!limiter.is_closed(1000));
    CPPUNIT_ASSERT_EQUAL(20, acquire_all(limiter, 1000));
  }

  void store_is_within_its_share_once_enough_permits_have_expired() {
    permit_limiter limiter(plain_terms);
    limiter.begin({"store-1", "store-2"}, "store-1");
    CPPUNIT_ASSERT_EQUAL(30, acquire_all(limiter, 1000));
    CPPUNIT_ASSERT(limiter.is_within_share(1000));
    limiter.set_stores(three_stores, "store-1", 1100);

    CPPUNIT_ASSERT(!limiter.is_within_share(1100));
    CPPUNIT_ASSERT(limiter.is_within_share(6500));
  }

  void store_within_a_smaller_share_stays_within_it() {
    permit_limiter limiter(plain_terms);
    limiter.begin({"store-1", "store-2"}, "store-1");
    for (int i = 0; i < 5; ++i) {
      limiter.acquire("growers", limit_of_60, permit_use::regular, 1000);
    }
    limiter.set_stores(three_stores, "store-1", 1100);
    CPPUNIT_ASSERT(limiter.is_within_share(1100));

    CPPUNIT_ASSERT_EQUAL(15, acquire_all(limiter, 1200));
    CPPUNIT_ASSERT(limiter.is_within_share(1200));
  }

  void store_that_left_is_within_its_share_without_permits_only() {
    permit_limiter limiter = limiter_of("store-1");
    limiter.acquire("growers", limit_of_60, permit_use::regular, 1000);
    limiter.set_stores({"store-2", "store-3"}, "store-1", 1100);

    CPPUNIT_ASSERT(!limiter.is_within_share(1100));
    CPPUNIT_ASSERT(limiter.is_within_share(6500));
  }

  void shares_grow_one_window_after_a_store_has_left() {
    permit_limiter limiter = limiter_of("store-1");
    limiter.set_stores({"store-1", "store-2"}, "store-1", 1000);

    CPPUNIT_ASSERT_EQUAL(20, acquire_all(limiter, 1000));
    CPPUNIT_ASSERT_EQUAL(30, acquire_all(limiter, 6500));
  }

  // The remainder of a limit that three stores don't divide is assigned by
  // their order. The name of a new store may change that order, and the share
  // of a store must not grow within the window.
  void replacement_of_a_store_keeps_the_limit_in_every_window() {
    constexpr request_limit eight{1, 3, 1};
    for (const char* removed : {"store-1", "store-2", "store-3"}) {
      for (const char* added : {"store-0", "store-15", "store-25", "store-9"}) {
        std::vector<std::string> after{added};
        int issued = 0;
        for (const std::string& each : three_stores) {
          permit_limiter limiter = limiter_of(each);
          issued += acquire_all(limiter, 1000, eight);
        }
        for (const std::string& each : three_stores) {
          if (each != removed) {
            after.push_back(each);
          }
        }
        for (const std::string& each : three_stores) {
          if (each == removed) {
            continue;
          }
          permit_limiter limiter = limiter_of(each);
          acquire_all(limiter, 1000, eight);
          limiter.set_stores(after, each, 1500);
          issued += acquire_all(limiter, 1600, eight);
        }
        TRAYROCK_CHECK(issued <= 8, "expected at most 8 with "
                                        << added << " for " << removed
                                        << ", got " << issued);
      }
    }
  }

  void store_outside_the_group_issues_nothing() {
    permit_limiter limiter = limiter_of("store-1");
    limiter.set_stores({"store-2", "store-3"}, "store-1", 1000);
    CPPUNIT_ASSERT_EQUAL(0, acquire_all(limiter, 9000));
  }

  void limit_of_one_request_is_issued_by_one_store() {
    int sum = 0;
    for (const std::string& each : three_stores) {
      permit_limiter limiter = limiter_of(each);
      sum += acquire_all(limiter, 1000, {0.2, 0, 1});
    }
    CPPUNIT_ASSERT_EQUAL(1, sum);
  }

  void store_of_the_same_data_centre_is_tried_first() {
    permit_sources sources = sources_of_three();
    const permit_source next =
        sources.next("growers", permit_use::regular, {}, 1000);
    CPPUNIT_ASSERT_EQUAL(std::string("store-2"),
                         std::get<try_store>(next).store);
  }

  void store_that_refused_is_skipped_until_its_next_permit() {
    permit_sources sources = sources_of_three();
    for (const std::string& each : three_stores) {
      sources.on_refusal("growers", permit_use::regular, each,
                         milliseconds(each == "store-3" ? 250 : 500), 1000);
    }
    const permit_source none =
        sources.next("growers", permit_use::regular, {}, 1000);
    const permit_source later =
        sources.next("growers", permit_use::regular, {}, 1250);
    const permit_source other =
        sources.next("buyers", permit_use::regular, {}, 1000);

    CPPUNIT_ASSERT(std::get<limit_reached>(none).next == milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::string("store-3"),
                         std::get<try_store>(later).store);
    CPPUNIT_ASSERT(std::holds_alternative<try_store>(other));
  }

  void unresponsive_store_is_tried_last() {
    permit_sources sources = sources_of_three();
    sources.on_failure("store-2", 1000);
    const permit_source first =
        sources.next("growers", permit_use::regular, {}, 1000);
    const permit_source last = sources.next("growers", permit_use::regular,
                                            {"store-1", "store-3"}, 1000);
    const permit_source none =
        sources.next("growers", permit_use::regular,
                     {"store-1", "store-2", "store-3"}, 1000);

    CPPUNIT_ASSERT(std::get<try_store>(first).store != "store-2");
    CPPUNIT_ASSERT_EQUAL(std::string("store-2"),
                         std::get<try_store>(last).store);
    CPPUNIT_ASSERT(std::holds_alternative<no_store_available>(none));
  }

 private:
  static permit_sources sources_of_three() {
    permit_sources made("south", 7);
    made.set_stores(
        {{"store-1", "north"}, {"store-2", "south"}, {"store-3", "east"}});
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_limiter_test);

}  // namespace
}  // namespace trayrock::testing
