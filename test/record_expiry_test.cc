// Tests how long endpoints whose records are missing remain in use.
#include "trayrock/internal/decide/record_expiry.h"

#include "platform/call_round.h"
#include "test_support.h"
#include "trayrock/internal/decide/probe_schedule.h"

namespace trayrock::testing {
namespace {

using platform::call_round;

constexpr std::uint64_t reconnect_ms = 3000;
constexpr std::uint64_t now_ms = 20000;
// Expired records are back this long after the platform's return.
constexpr std::uint64_t registration_ms = 2000;

std::uint64_t kept_after_outage(std::uint64_t failed_call_ms) {
  return kept_until_ms(missing_cause::absent_after_outage,
                       {now_ms, failed_call_ms}, reconnect_ms);
}

std::uint64_t kept_after_mass_removal(std::uint64_t failed_call_ms) {
  return kept_until_ms(missing_cause::mass_removal, {now_ms, failed_call_ms},
                       reconnect_ms);
}

class record_expiry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_expiry_test);
  CPPUNIT_TEST(expired_endpoints_are_used_until_their_records_are_back);
  CPPUNIT_TEST(missing_endpoints_are_dropped_after_an_old_failed_call);
  CPPUNIT_TEST(mass_removal_between_replies_is_an_expiry);
  CPPUNIT_TEST(reporting_peer_sets_the_deadline);
  CPPUNIT_TEST(delayed_report_of_an_expiry_has_no_effect);
  CPPUNIT_TEST(round_is_settled_by_its_first_reply);
  CPPUNIT_TEST(round_fails_with_its_last_call);
  CPPUNIT_TEST(calls_of_an_older_round_do_not_count);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Checks each time at which the platform may return between a failed call and
  // the next one. Guards against endpoints that are dropped before their
  // records are back.
  void expired_endpoints_are_used_until_their_records_are_back() {
    const probe_schedule schedule = probe_schedule_within(reconnect_ms);
    const std::uint64_t interval = schedule.hedge_interval_ms;
    CPPUNIT_ASSERT(schedule.max_backoff_ms <= interval);
    for (std::uint64_t return_ms = 0; return_ms < interval; ++return_ms) {
      const std::uint64_t failed = now_ms - interval;
      const std::uint64_t until = kept_after_outage(failed);
      TRAYROCK_CHECK(until >= failed + return_ms + registration_ms,
                     "platform returned "
                         << return_ms << " ms after the failed call; "
                         << "used until " << until << ", expected "
                         << failed + return_ms + registration_ms);
    }
  }

  void missing_endpoints_are_dropped_after_an_old_failed_call() {
    CPPUNIT_ASSERT(kept_after_outage(now_ms - reconnect_ms) <= now_ms);
  }

  // A watch that was open throughout the outage has no failed call; an old
  // failed call belongs to an earlier outage.
  void mass_removal_between_replies_is_an_expiry() {
    CPPUNIT_ASSERT(kept_after_mass_removal(0) >= now_ms + registration_ms);
    CPPUNIT_ASSERT(kept_after_mass_removal(now_ms - 60000) >=
                   now_ms + registration_ms);
  }

  void reporting_peer_sets_the_deadline() {
    reply_times times{now_ms, 0};
    times.peer_keeps_until_ms = now_ms + 700;
    CPPUNIT_ASSERT_EQUAL(
        now_ms + 700,
        kept_until_ms(missing_cause::mass_removal, times, reconnect_ms));
  }

  // A gateway that was partitioned may receive a report of an expiry minutes
  // later.
  void delayed_report_of_an_expiry_has_no_effect() {
    reply_times times{now_ms, 0};
    times.peer_keeps_until_ms = now_ms;
    CPPUNIT_ASSERT_EQUAL(
        now_ms,
        kept_until_ms(missing_cause::absent_after_outage, times, reconnect_ms));
  }

  void round_is_settled_by_its_first_reply() {
    call_round round;
    round.begin();
    const std::uint64_t first = round.add();
    const std::uint64_t second = round.add();
    CPPUNIT_ASSERT(round.on_end(second, true) == call_round::verdict::settles);
    CPPUNIT_ASSERT(round.on_end(first, true) == call_round::verdict::stale);
  }

  void round_fails_with_its_last_call() {
    call_round round;
    round.begin();
    const std::uint64_t first = round.add();
    const std::uint64_t second = round.add();
    CPPUNIT_ASSERT(round.on_end(first, false) == call_round::verdict::pending);
    CPPUNIT_ASSERT(round.on_end(second, false) == call_round::verdict::settles);
  }

  void calls_of_an_older_round_do_not_count() {
    call_round round;
    round.begin();
    const std::uint64_t old = round.add();
    round.begin();
    const std::uint64_t current = round.add();
    CPPUNIT_ASSERT(round.on_end(old, true) == call_round::verdict::stale);
    CPPUNIT_ASSERT(round.on_end(current, true) == call_round::verdict::settles);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_expiry_test);

}  // namespace
}  // namespace trayrock::testing
