// Until when endpoints are used whose records are missing, by what went before.
#include "trayrock/internal/decide/record_expiry.h"

#include "platform/call_round.h"
#include "test_support.h"
#include "trayrock/internal/decide/probe_schedule.h"

namespace trayrock::testing {
namespace {

using platform::call_round;

constexpr std::uint64_t reconnect_ms = 3000;
constexpr std::uint64_t now_ms = 20000;
// Records that lapsed with the platform are back this long after its return.
constexpr std::uint64_t return_ms = 2000;

std::uint64_t after_loss(std::uint64_t unserved_ms) {
  return kept_until_ms(missing_cause::absent_after_outage,
                       {now_ms, unserved_ms}, reconnect_ms);
}

std::uint64_t all_at_once(std::uint64_t unserved_ms) {
  return kept_until_ms(missing_cause::mass_removal, {now_ms, unserved_ms},
                       reconnect_ms);
}

class lapse_rule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(lapse_rule_test);
  CPPUNIT_TEST(lapsed_endpoints_are_used_until_their_records_are_back);
  CPPUNIT_TEST(missing_ones_go_at_once_when_the_last_loss_was_long_ago);
  CPPUNIT_TEST(removals_in_the_midst_of_answers_are_a_lapse);
  CPPUNIT_TEST(who_tells_of_it_knows_the_time);
  CPPUNIT_TEST(late_word_of_a_lapse_is_over);
  CPPUNIT_TEST(round_is_settled_by_its_first_answer);
  CPPUNIT_TEST(round_is_lost_with_its_last_call);
  CPPUNIT_TEST(calls_of_an_older_round_do_not_count);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Whenever a silent platform comes back against the calls of a gateway: the
  // call before its return was lost, the next one is answered. With calls 2.1 s
  // apart endpoints would be left 1.3 s too early.
  void lapsed_endpoints_are_used_until_their_records_are_back() {
    const probe_schedule pace = probe_schedule_within(reconnect_ms);
    const std::uint64_t apart = pace.hedge_interval_ms;
    CPPUNIT_ASSERT(pace.max_backoff_ms <= apart);
    for (std::uint64_t back = 0; back < apart; ++back) {
      const std::uint64_t lost = now_ms - apart;
      const std::uint64_t until = after_loss(lost);
      TRAYROCK_CHECK(until >= lost + back + return_ms,
                     "platform back " << back << " ms after the lost call; "
                                      << "used until " << until << ", expected "
                                      << lost + back + return_ms);
    }
  }

  void missing_ones_go_at_once_when_the_last_loss_was_long_ago() {
    CPPUNIT_ASSERT(after_loss(now_ms - reconnect_ms) <= now_ms);
  }

  // A watch that waited through an outage tells of it by nothing else; a loss
  // of an earlier trouble says nothing of this one.
  void removals_in_the_midst_of_answers_are_a_lapse() {
    CPPUNIT_ASSERT(all_at_once(0) >= now_ms + return_ms);
    CPPUNIT_ASSERT(all_at_once(now_ms - 60000) >= now_ms + return_ms);
  }

  void who_tells_of_it_knows_the_time() {
    reply_times times{now_ms, 0};
    times.peer_keeps_until_ms = now_ms + 700;
    CPPUNIT_ASSERT_EQUAL(
        now_ms + 700,
        kept_until_ms(missing_cause::mass_removal, times, reconnect_ms));
  }

  // One that has been cut off hears of a lapse of minutes ago.
  void late_word_of_a_lapse_is_over() {
    reply_times times{now_ms, 0};
    times.peer_keeps_until_ms = now_ms;
    CPPUNIT_ASSERT_EQUAL(
        now_ms,
        kept_until_ms(missing_cause::absent_after_outage, times, reconnect_ms));
  }

  void round_is_settled_by_its_first_answer() {
    call_round round;
    round.begin();
    const std::uint64_t first = round.add();
    const std::uint64_t second = round.add();
    CPPUNIT_ASSERT(round.ended(second, true) == call_round::verdict::settles);
    CPPUNIT_ASSERT(round.ended(first, true) == call_round::verdict::stale);
  }

  void round_is_lost_with_its_last_call() {
    call_round round;
    round.begin();
    const std::uint64_t first = round.add();
    const std::uint64_t second = round.add();
    CPPUNIT_ASSERT(round.ended(first, false) == call_round::verdict::pending);
    CPPUNIT_ASSERT(round.ended(second, false) == call_round::verdict::settles);
  }

  void calls_of_an_older_round_do_not_count() {
    call_round round;
    round.begin();
    const std::uint64_t old = round.add();
    round.begin();
    const std::uint64_t current = round.add();
    CPPUNIT_ASSERT(round.ended(old, true) == call_round::verdict::stale);
    CPPUNIT_ASSERT(round.ended(current, true) == call_round::verdict::settles);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lapse_rule_test);

}  // namespace
}  // namespace trayrock::testing
