// Tests which requests are refused because endpoints ended under them.
#include "trayrock/internal/decide/poison_requests.h"

#include "test_support.h"
#include "trayrock/internal/gateway/request_fingerprint.h"

namespace trayrock::testing {
namespace {

constexpr request_fingerprint request = 7;
constexpr request_scope in_program = request_scope::program;
constexpr request_scope shared = request_scope::shared;
constexpr request_scope after_wait = request_scope::shared_after_wait;
constexpr std::uint64_t now = 1000000;
constexpr std::uint64_t after_pause = now + poison_requests::last_try_pause_ms;

endpoint_identity endpoint_named(int number) {
  return {"endpoint-" + std::to_string(number), 0};
}

void end_under(poison_requests& tries, request_fingerprint content, int number,
               std::uint64_t at_ms = now) {
  tries.record_sent(content, endpoint_named(number), at_ms);
  tries.record_broken(content, endpoint_named(number), at_ms);
  tries.record_ended(endpoint_named(number), at_ms);
}

http1_request http_request(const std::string& attempt,
                           const std::string& body) {
  http1_request made;
  made.method = "POST";
  made.target = "/path";
  made.headers.add("Host", "local");
  made.headers.add("Trayrock-Attempt-Id", attempt);
  made.body = body;
  return made;
}

class poison_requests_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poison_requests_test);
  CPPUNIT_TEST(request_is_refused_after_three_endpoints_ended);
  CPPUNIT_TEST(last_try_waits_for_a_pause);
  CPPUNIT_TEST(last_try_waits_for_an_endpoint_that_was_just_left);
  CPPUNIT_TEST(other_requests_are_not_refused);
  CPPUNIT_TEST(all_requests_at_an_ended_endpoint_count_it);
  CPPUNIT_TEST(try_that_never_reached_its_endpoint_does_not_count);
  CPPUNIT_TEST(open_try_of_another_gateway_is_left_to_its_report);
  CPPUNIT_TEST(broken_responses_of_living_endpoints_do_not_count);
  CPPUNIT_TEST(endpoint_that_ends_after_it_was_left_counts);
  CPPUNIT_TEST(endpoint_that_ends_after_it_survived_does_not_count);
  CPPUNIT_TEST(later_try_at_a_left_endpoint_keeps_its_record);
  CPPUNIT_TEST(copies_wait_while_their_endpoints_may_end);
  CPPUNIT_TEST(copies_outside_of_programs_wait_until_an_endpoint_has_responded);
  CPPUNIT_TEST(copies_outside_of_programs_pass_endpoints_that_stay_alive);
  CPPUNIT_TEST(request_that_succeeded_leaves_no_tries_for_those_that_are_alike);
  CPPUNIT_TEST(response_does_not_hide_a_suspicion);
  CPPUNIT_TEST(response_is_known_through_the_ledger);
  CPPUNIT_TEST(response_expires);
  CPPUNIT_TEST(try_that_its_owner_reports_outlasts_the_ledgers_reply);
  CPPUNIT_TEST(copies_at_one_endpoint_count_it_once);
  CPPUNIT_TEST(
      open_tries_of_other_gateways_count_until_their_endpoint_is_alive);
  CPPUNIT_TEST(reported_survival_closes_a_try_of_another_gateway);
  CPPUNIT_TEST(closed_try_of_another_gateway_does_not_count_later);
  CPPUNIT_TEST(ended_endpoints_expire);
  CPPUNIT_TEST(ended_endpoints_count_while_the_request_is_repeated);
  CPPUNIT_TEST(old_report_does_not_undo_a_renewal);
  CPPUNIT_TEST(number_of_requests_is_bounded);
  CPPUNIT_TEST(try_of_unknown_outcome_counts_until_its_endpoint_is_alive);
  CPPUNIT_TEST(ends_of_an_endpoint_under_the_same_id_add_up);
  CPPUNIT_TEST(end_that_two_gateways_report_counts_once);
  CPPUNIT_TEST(end_that_is_reported_settles_the_own_try);
  CPPUNIT_TEST(fourth_of_several_registered_tries_is_over_the_bound);
  CPPUNIT_TEST(tries_that_the_ledger_no_longer_has_do_not_count);
  CPPUNIT_TEST(reported_outcome_keeps_its_times);
  CPPUNIT_TEST(fingerprint_ignores_the_attempt);
  CPPUNIT_TEST(fingerprint_tells_contents_apart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void request_is_refused_after_three_endpoints_ended() {
    poison_requests tries;
    end_under(tries, request, 1);
    CPPUNIT_ASSERT(tries.decide(request, in_program, now) == try_verdict::send);
    end_under(tries, request, 2);
    CPPUNIT_ASSERT(tries.decide(request, in_program, after_pause) ==
                   try_verdict::send);
    end_under(tries, request, 3);
    CPPUNIT_ASSERT(tries.decide(request, in_program, now) ==
                   try_verdict::refuse);
  }

  void last_try_waits_for_a_pause() {
    poison_requests tries;
    end_under(tries, request, 1);
    end_under(tries, request, 2);
    CPPUNIT_ASSERT(tries.decide(request, shared, after_pause - 1) ==
                   try_verdict::wait);
    CPPUNIT_ASSERT(tries.decide(request, shared, after_pause) ==
                   try_verdict::send);
  }

  // Its connection broke, it still accepted another one, and it ended a moment
  // later: the fourth endpoint under the request.
  void last_try_waits_for_an_endpoint_that_was_just_left() {
    poison_requests tries;
    end_under(tries, request, 1);
    end_under(tries, request, 2);
    tries.record_sent(request, endpoint_named(3), after_pause);
    tries.record_broken(request, endpoint_named(3), after_pause);
    tries.record_alive(endpoint_named(3), after_pause);
    CPPUNIT_ASSERT(tries.decide(request, in_program, after_pause + 1) ==
                   try_verdict::wait);
    const std::uint64_t later = after_pause + poison_requests::broken_settle_ms;
    CPPUNIT_ASSERT(tries.decide(request, in_program, later) ==
                   try_verdict::wait);
    tries.record_alive(endpoint_named(3), later);
    CPPUNIT_ASSERT(tries.decide(request, in_program, later) ==
                   try_verdict::send);
    tries.record_ended(endpoint_named(3), later);
    CPPUNIT_ASSERT(tries.decide(request, in_program, later) ==
                   try_verdict::refuse);
  }

  void other_requests_are_not_refused() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      end_under(tries, request, i);
    }
    CPPUNIT_ASSERT(tries.decide(request + 1, in_program, now) ==
                   try_verdict::send);
  }

  void all_requests_at_an_ended_endpoint_count_it() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_sent(request + 1, endpoint_named(1), now);
    tries.record_sent(request + 2, endpoint_named(2), now);
    for (request_fingerprint each = request; each <= request + 2; ++each) {
      tries.record_broken(each, endpoint_named(each == request + 2 ? 2 : 1),
                          now);
    }
    const auto counted = tries.record_ended(endpoint_named(1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, counted.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(request, now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.ended(request + 2, now));
  }

  void try_that_never_reached_its_endpoint_does_not_count() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    CPPUNIT_ASSERT(tries.record_ended(endpoint_named(1), now).empty());
    tries.record_survived(request, endpoint_named(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.ended(request, now));
  }

  void open_try_of_another_gateway_is_left_to_its_report() {
    poison_requests tries;
    tries.record_peer_try({request, endpoint_named(1), try_stage::open}, now);
    CPPUNIT_ASSERT(tries.record_ended(endpoint_named(1), now).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.ended(request, now));
    tries.record_peer_try({request, endpoint_named(1), try_stage::ended}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(request, now));
  }

  void broken_responses_of_living_endpoints_do_not_count() {
    poison_requests tries;
    for (int i = 1; i <= 9; ++i) {
      tries.record_sent(request, endpoint_named(i), now);
      tries.record_broken(request, endpoint_named(i), now);
    }
    const std::uint64_t settled = now + poison_requests::broken_settle_ms;
    CPPUNIT_ASSERT(tries.decide(request, in_program, settled) ==
                   try_verdict::wait);
    for (int i = 1; i <= 9; ++i) {
      tries.record_alive(endpoint_named(i), settled);
    }
    CPPUNIT_ASSERT(tries.decide(request, in_program, settled) ==
                   try_verdict::send);
    CPPUNIT_ASSERT(!tries.is_suspected(request, settled));
  }

  void endpoint_that_ends_after_it_was_left_counts() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_left(request, endpoint_named(1), now);
    const std::uint64_t later = now + poison_requests::left_settle_ms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         tries.unresolved_endpoints(request, later).size());
    tries.record_ended(endpoint_named(1), later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(request, later));
  }

  void endpoint_that_ends_after_it_survived_does_not_count() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_survived(request, endpoint_named(1));
    tries.record_ended(endpoint_named(1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.ended(request, now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.size());
  }

  void later_try_at_a_left_endpoint_keeps_its_record() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_left(request, endpoint_named(1), now);
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_survived(request, endpoint_named(1));
    tries.record_ended(endpoint_named(1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(request, now));
  }

  void copies_wait_while_their_endpoints_may_end() {
    poison_requests tries;
    end_under(tries, request, 1);
    tries.record_sent(request, endpoint_named(2), now);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::send);
    tries.record_sent(request, endpoint_named(3), now);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::wait);
    tries.record_survived(request, endpoint_named(2));
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::send);
  }

  void copies_outside_of_programs_wait_until_an_endpoint_has_responded() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::send);
      tries.record_sent(request, endpoint_named(i), now);
    }
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::wait);
    tries.record_response(request, false);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::send);
    CPPUNIT_ASSERT(tries.decide(request, in_program, now) == try_verdict::wait);
  }

  // Long ones that are alike.
  void copies_outside_of_programs_pass_endpoints_that_stay_alive() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      tries.record_sent(request, endpoint_named(i), now);
      tries.record_alive(endpoint_named(i), now);
    }
    const std::uint64_t later = now + poison_requests::broken_settle_ms;
    CPPUNIT_ASSERT(tries.decide(request, after_wait, later) ==
                   try_verdict::wait);
    tries.record_alive(endpoint_named(3), later);
    CPPUNIT_ASSERT(tries.decide(request, shared, later) == try_verdict::wait);
    CPPUNIT_ASSERT(tries.decide(request, after_wait, later) ==
                   try_verdict::send);
  }

  void request_that_succeeded_leaves_no_tries_for_those_that_are_alike() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      end_under(tries, request, i);
    }
    tries.record_sent(request, endpoint_named(4), now);
    tries.record_left(request, endpoint_named(4), now);
    tries.record_sent(request, endpoint_named(5), now);
    tries.record_response(request, false);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::refuse);
    tries.record_response(request, true);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::send);
    CPPUNIT_ASSERT(tries.endpoints_at_risk(request, now) ==
                   std::vector{endpoint_named(5)});
  }

  void response_does_not_hide_a_suspicion() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      tries.record_sent(request, endpoint_named(i), now);
    }
    tries.record_response(request, false);
    tries.record_left(request, endpoint_named(3), now);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::wait);
    CPPUNIT_ASSERT(tries.decide(request, after_wait, now) == try_verdict::wait);
    CPPUNIT_ASSERT(!tries.has_response(request));
  }

  void response_is_known_through_the_ledger() {
    poison_requests ledger;
    poison_requests gateway(100);
    request_try closed{request, endpoint_named(1), try_stage::survived};
    closed.owner = 2;
    ledger.record_peer_try(closed, now);
    CPPUNIT_ASSERT(!ledger.has_response(request));
    closed.responded = true;
    ledger.record_peer_try(closed, now);
    gateway.replace_peer_tries(request, ledger.tries_of(request, now), now);
    CPPUNIT_ASSERT(gateway.has_response(request));
  }

  void response_expires() {
    poison_requests tries;
    tries.remove_expired(now);
    tries.record_response(request, false);
    tries.remove_expired(now + poison_requests::response_lifetime_ms + 1);
    CPPUNIT_ASSERT(tries.has_response(request));
    tries.remove_expired(now + 2 * poison_requests::response_lifetime_ms + 2);
    CPPUNIT_ASSERT(!tries.has_response(request));
  }

  void try_that_its_owner_reports_outlasts_the_ledgers_reply() {
    poison_requests tries;
    request_try by_others{request, endpoint_named(1)};
    by_others.owner = 2;
    request_try by_owner{request, endpoint_named(2)};
    by_owner.owner = 3;
    tries.record_peer_try(by_others, now, try_source::others);
    tries.record_peer_try(by_owner, now);
    tries.replace_peer_tries(request, {}, now);
    CPPUNIT_ASSERT(tries.endpoints_at_risk(request, now) ==
                   std::vector{endpoint_named(2)});
  }

  void copies_at_one_endpoint_count_it_once() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_broken(request, endpoint_named(1), now);
    tries.record_ended(endpoint_named(1), now);
    tries.record_broken(request, endpoint_named(1), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(request, now));
    CPPUNIT_ASSERT(tries.decide(request, in_program, now) == try_verdict::send);
  }

  void open_tries_of_other_gateways_count_until_their_endpoint_is_alive() {
    poison_requests tries;
    end_under(tries, request, 1);
    end_under(tries, request, 2);
    tries.record_peer_try({request, endpoint_named(3), try_stage::open}, now);
    CPPUNIT_ASSERT(tries.decide(request, shared, after_pause) ==
                   try_verdict::wait);
    const std::uint64_t settled = now + poison_requests::peer_open_lifetime_ms +
                                  poison_requests::left_settle_ms;
    CPPUNIT_ASSERT(tries.decide(request, shared, settled) == try_verdict::wait);
    tries.record_alive(endpoint_named(3), settled);
    CPPUNIT_ASSERT(tries.decide(request, shared, settled) == try_verdict::send);
  }

  void reported_survival_closes_a_try_of_another_gateway() {
    poison_requests tries;
    end_under(tries, request, 1);
    end_under(tries, request, 2);
    tries.record_peer_try({request, endpoint_named(3), try_stage::open}, now);
    tries.record_peer_try({request, endpoint_named(3), try_stage::survived},
                          now);
    CPPUNIT_ASSERT(tries.decide(request, shared, after_pause) ==
                   try_verdict::send);
    tries.record_peer_try({request, endpoint_named(3), try_stage::ended}, now);
    CPPUNIT_ASSERT(tries.decide(request, shared, now) == try_verdict::refuse);
  }

  void closed_try_of_another_gateway_does_not_count_later() {
    poison_requests tries;
    tries.record_peer_try({request, endpoint_named(1), try_stage::open}, now);
    tries.record_peer_try({request, endpoint_named(1), try_stage::survived},
                          now);
    CPPUNIT_ASSERT(tries.record_ended(endpoint_named(1), now).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.size());
  }

  void ended_endpoints_expire() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      end_under(tries, request, i);
    }
    const std::uint64_t later = now + poison_requests::ended_lifetime_ms;
    CPPUNIT_ASSERT(tries.decide(request, in_program, later) ==
                   try_verdict::refuse);
    CPPUNIT_ASSERT(tries.decide(request, in_program, later + 1) ==
                   try_verdict::send);
    tries.remove_expired(later + 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tries.size());
  }

  // Guards against a program that ends three more endpoints each time that the
  // records of the former ones have expired.
  void ended_endpoints_count_while_the_request_is_repeated() {
    poison_requests here;
    poison_requests elsewhere;
    for (int i = 1; i <= 3; ++i) {
      end_under(here, request, i);
    }
    std::uint64_t time = now;
    for (int i = 0; i < 20; ++i) {
      time += 40000;
      CPPUNIT_ASSERT(here.decide(request, in_program, time) ==
                     try_verdict::refuse);
      const auto renewed = here.renew_ended(request, time);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, renewed.size());
      for (const request_try& each : renewed) {
        elsewhere.record_peer_try(each, time);
      }
      CPPUNIT_ASSERT(here.renew_ended(request, time + 1000).empty());
      CPPUNIT_ASSERT(elsewhere.decide(request, in_program, time) ==
                     try_verdict::refuse);
    }
    time += poison_requests::ended_lifetime_ms + 1;
    CPPUNIT_ASSERT(here.decide(request, in_program, time) == try_verdict::send);
  }

  void old_report_does_not_undo_a_renewal() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      end_under(tries, request, i);
    }
    const std::uint64_t renewed = now + 100000;
    tries.renew_ended(request, renewed);
    for (int i = 1; i <= 3; ++i) {
      tries.record_peer_try(
          {request, endpoint_named(i), try_stage::ended, 110000}, renewed);
    }
    CPPUNIT_ASSERT(tries.decide(request, in_program, renewed + 60000) ==
                   try_verdict::refuse);
  }

  void number_of_requests_is_bounded() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    for (request_fingerprint each = 1000; each < 11000; ++each) {
      end_under(tries, each, static_cast<int>(each), now + each);
    }
    CPPUNIT_ASSERT_EQUAL(poison_requests::max_requests, tries.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.own_tries(request, now).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(10999, now + 10999));
  }

  void try_of_unknown_outcome_counts_until_its_endpoint_is_alive() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      tries.record_sent(request, endpoint_named(i), now);
      tries.record_left(request, endpoint_named(i), now);
    }
    const std::uint64_t settled = now + poison_requests::left_settle_ms;
    tries.record_alive(endpoint_named(1), settled - 1);
    CPPUNIT_ASSERT(tries.decide(request, shared,
                                now + poison_requests::ended_lifetime_ms) ==
                   try_verdict::wait);
    tries.record_alive(endpoint_named(1), settled);
    CPPUNIT_ASSERT(tries.decide(request, shared, settled) == try_verdict::send);
  }

  void ends_of_an_endpoint_under_the_same_id_add_up() {
    poison_requests tries;
    for (int i = 0; i < 3; ++i) {
      end_under(tries, request, 1, now + static_cast<std::uint64_t>(i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tries.ended(request, now));
  }

  void end_that_two_gateways_report_counts_once() {
    poison_requests here(2);
    poison_requests elsewhere(3);
    end_under(here, request, 1);
    end_under(elsewhere, request, 1);
    for (const request_try& each : elsewhere.tries_of(request, now)) {
      here.record_peer_try(each, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, here.ended(request, now));
  }

  void end_that_is_reported_settles_the_own_try() {
    poison_requests tries;
    tries.record_sent(request, endpoint_named(1), now);
    tries.record_left(request, endpoint_named(1), now);
    tries.record_peer_try({request, endpoint_named(1), try_stage::ended}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tries.ended(request, now));
    CPPUNIT_ASSERT(tries.unresolved_endpoints(request, now).empty());
  }

  void fourth_of_several_registered_tries_is_over_the_bound() {
    poison_requests ledger;
    poison_requests gateway(100);
    for (int i = 1; i <= 3; ++i) {
      request_try each{request, endpoint_named(i)};
      each.owner = static_cast<std::uint64_t>(i) + 1;
      ledger.record_peer_try(each, now);
    }
    gateway.record_sent(request, endpoint_named(4), now);
    CPPUNIT_ASSERT(gateway.is_within_bound(request, in_program, now));
    gateway.replace_peer_tries(request, ledger.tries_of(request, now), now);
    CPPUNIT_ASSERT(!gateway.is_within_bound(request, in_program, now));
  }

  void tries_that_the_ledger_no_longer_has_do_not_count() {
    poison_requests tries;
    for (int i = 1; i <= 3; ++i) {
      tries.record_peer_try({request, endpoint_named(i), try_stage::open}, now,
                            try_source::others);
    }
    CPPUNIT_ASSERT(tries.decide(request, in_program, now) == try_verdict::wait);
    tries.replace_peer_tries(request, {}, now);
    CPPUNIT_ASSERT(tries.decide(request, in_program, now) == try_verdict::send);
  }

  void reported_outcome_keeps_its_times() {
    poison_requests here(2);
    poison_requests elsewhere(3);
    here.record_sent(request, endpoint_named(1), now);
    here.record_left(request, endpoint_named(1), now);
    const std::uint64_t later = now + 1000;
    for (const request_try& each : here.own_tries(request, later)) {
      elsewhere.record_peer_try(each, later);
    }
    const std::uint64_t settled = now + poison_requests::left_settle_ms;
    elsewhere.record_alive(endpoint_named(1), settled - 1);
    CPPUNIT_ASSERT(elsewhere.is_suspected(request, settled));
    elsewhere.record_alive(endpoint_named(1), settled);
    CPPUNIT_ASSERT(!elsewhere.is_suspected(request, settled));
  }

  void fingerprint_ignores_the_attempt() {
    request_metadata first;
    first.attempt = "a";
    first.time_left = std::chrono::milliseconds(100);
    request_metadata second;
    second.attempt = "b";
    CPPUNIT_ASSERT_EQUAL(fingerprint_of(http_request("a", "x"), first, ""),
                         fingerprint_of(http_request("b", "x"), second, ""));
  }

  void fingerprint_tells_contents_apart() {
    const request_metadata none;
    request_metadata with_program;
    with_program.program = "p";
    const request_fingerprint plain =
        fingerprint_of(http_request("a", "x"), none, "");
    CPPUNIT_ASSERT(plain != fingerprint_of(http_request("a", "y"), none, ""));
    CPPUNIT_ASSERT(plain != fingerprint_of(http_request("a", "x"), none, "w"));
    CPPUNIT_ASSERT(plain !=
                   fingerprint_of(http_request("a", "x"), with_program, ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_requests_test);

}  // namespace
}  // namespace trayrock::testing
