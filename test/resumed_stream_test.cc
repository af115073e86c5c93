// Streams that go on at another endpoint: what their clients get.
#include "service_deployment.h"
#include "test_support.h"
#include "trayrock/internal/decide/complete_event_buffer.h"
#include "trayrock/internal/decide/resend_policy.h"

namespace trayrock::testing {
namespace {

const std::string path = "/resumable-stream/a";

std::string event(const std::string& attempt, int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: " + attempt + "-" + text + "\n\n";
}

std::string events(const std::string& attempt, int from, int to) {
  std::string made;
  for (int number = from; number <= to; ++number) {
    made += event(attempt, number);
  }
  return made;
}

service_options one_gateway() {
  service_options options;
  options.gateways = 1;
  return options;
}

class resumed_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(resumed_stream_test);
  CPPUNIT_TEST(run_broken_at_any_byte_leaves_whole_events);
  CPPUNIT_TEST(next_run_joins_without_gap_or_double);
  CPPUNIT_TEST(run_that_repeats_an_event_is_refused);
  CPPUNIT_TEST(events_without_numbers_can_not_be_followed);
  CPPUNIT_TEST(only_idempotent_requests_go_on);
  CPPUNIT_TEST(stream_cut_in_an_event_goes_on_at_another_endpoint);
  CPPUNIT_TEST(answer_keeps_the_head_of_its_first_run);
  CPPUNIT_TEST(stream_that_falls_silent_goes_on_at_another_endpoint);
  CPPUNIT_TEST(endpoint_that_never_begins_is_left_for_another);
  CPPUNIT_TEST(run_that_starts_over_does_not_reach_the_client);
  CPPUNIT_TEST(stream_that_breaks_everywhere_does_not_look_complete);
  CPPUNIT_TEST(client_that_resumes_gets_what_is_left);
  CPPUNIT_TEST(tokens_of_a_resumed_stream_count_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void run_broken_at_any_byte_leaves_whole_events() {
    const std::string bytes =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    const std::string whole_ends[] = {"", "id: 1\ndata: a\n\n",
                                      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n"
                                      "\r\n",
                                      bytes};
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      complete_event_buffer stream;
      std::string got;
      for (const char each : bytes.substr(0, cut)) {
        got += stream.add(std::string_view(&each, 1));
      }
      const std::uint64_t last = stream.last_id().value_or(0);
      TRAYROCK_CHECK(got == whole_ends[last], "cut at " << cut << ": last id "
                                                        << last << ", got\n"
                                                        << got);
    }
  }

  void next_run_joins_without_gap_or_double() {
    const std::string bytes = events("a", 1, 3);
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      complete_event_buffer stream;
      std::string got = stream.add(bytes.substr(0, cut));
      stream.begin_run();
      const auto last = static_cast<int>(stream.last_id().value_or(0));
      got += stream.add(events("a", last + 1, 3));
      CPPUNIT_ASSERT(!stream.repeated());
      CPPUNIT_ASSERT_EQUAL(bytes, got);
    }
  }

  void run_that_repeats_an_event_is_refused() {
    complete_event_buffer stream;
    stream.add(events("a", 1, 2));
    stream.begin_run();
    CPPUNIT_ASSERT_EQUAL(std::string(), stream.add(events("a", 2, 3)));
    CPPUNIT_ASSERT(stream.repeated());
  }

  void events_without_numbers_can_not_be_followed() {
    for (const char* bytes :
         {"data: a\n\n", "id: x\ndata: a\n\n", "id: -1\ndata: a\n\n",
          "id: 99999999999999999999\ndata: a\n\n", "id:\ndata: a\n\n"}) {
      complete_event_buffer stream;
      CPPUNIT_ASSERT_EQUAL(std::string(bytes), stream.add(bytes));
      CPPUNIT_ASSERT(!stream.last_id().has_value());
    }
  }

  void only_idempotent_requests_go_on() {
    resend_view view{repetition::stream, true, 1, 2, true, true};
    CPPUNIT_ASSERT(resend_after_failure(view) == resend::resume);
    view.response_started = false;
    CPPUNIT_ASSERT(resend_after_failure(view) == resend::again);
    view.resumable = false;
    CPPUNIT_ASSERT(resend_after_failure(view) == resend::never);
    view.kind = repetition::once;
    CPPUNIT_ASSERT(resend_after_failure(view) == resend::never);
    view.kind = repetition::repeatable;
    CPPUNIT_ASSERT(resend_after_failure(view) == resend::again);
    CPPUNIT_ASSERT(!may_abandon_slow_endpoint(view));
    view.sends = 0;
    CPPUNIT_ASSERT(may_abandon_slow_endpoint(view));
    view.response_started = true;
    CPPUNIT_ASSERT(resend_after_failure(view) == resend::never);
  }

  void stream_cut_in_an_event_goes_on_at_another_endpoint() {
    const int length = static_cast<int>(event("s1", 2).size());
    for (const int cut : {0, 1, length / 2, length - 1}) {
      service_deployment system(one_gateway());
      system.start_all();
      send_until_resumed(system, {{"cut_at_byte", cut}});
    }
  }

  void answer_keeps_the_head_of_its_first_run() {
    service_deployment system(one_gateway());
    system.start_all();
    const resumed seen = send_until_resumed(system, {{"cut_midway", 1}});
    CPPUNIT_ASSERT_EQUAL("seal." + seen.first + "." + seen.attempt,
                         seen.answer.headers.at("trayrock-response-seal"));
  }

  void stream_that_falls_silent_goes_on_at_another_endpoint() {
    service_deployment system(one_gateway());
    system.start_all();
    const resumed seen = send_until_resumed(system, {{"hang_midway", 1}});
    wait_until("the silent endpoint sees its connection closed", [&] {
      return system.counts(seen.first).value("cancelled", 0) == 1;
    });
  }

  void endpoint_that_never_begins_is_left_for_another() {
    for (const char* fault : {"hang", "cut_unanswered"}) {
      service_deployment system(one_gateway());
      system.start_all();
      send_until_resumed(system, {{fault, 1}});
    }
  }

  void run_that_starts_over_does_not_reach_the_client() {
    service_deployment system(one_gateway());
    system.start_all();
    const std::string first = next_runner(system);
    system.runner_fault(first, {{"cut_midway", 100}});
    system.runner_fault(first == "runner-1" ? "runner-2" : "runner-1",
                        {{"ignore_last_event", 100}});
    int begun = 0;
    wait_until(first + " has begun a stream", [&] {
      const std::string attempt = "s" + std::to_string(++begun);
      const std::string seen = raw_answer(system, attempt);
      const bool broken = system.runs(attempt) == 2;
      const bool complete = seen.find("\r\n0\r\n\r\n") != std::string::npos;
      TRAYROCK_CHECK(broken != complete, (broken ? "two runs" : "one run")
                                             << ", seen\n"
                                             << seen);
      return broken;
    });
  }

  void stream_that_breaks_everywhere_does_not_look_complete() {
    service_deployment system(one_gateway());
    system.start_all();
    system.runner_fault("runner-1", {{"cut_midway", 1}});
    system.runner_fault("runner-2", {{"cut_midway", 1}});
    const std::string seen = raw_answer(system, "s1");
    TRAYROCK_CHECK(seen.find("data: s1-2") != std::string::npos &&
                       seen.find("data: s1-3") == std::string::npos,
                   "expected one event of each run, seen " << seen);
    TRAYROCK_CHECK(seen.find("\r\n0\r\n\r\n") == std::string::npos,
                   "expected no end of the answer, seen " << seen);
  }

  void client_that_resumes_gets_what_is_left() {
    service_deployment system(one_gateway());
    system.start_all();
    const http_answer answer =
        system.request("gateway-1", path, "s1", {{"Last-Event-Id", "1"}}, "in");
    CPPUNIT_ASSERT_EQUAL(events("s1", 2, 3), answer.body);
  }

  void tokens_of_a_resumed_stream_count_once() {
    service_deployment system(one_gateway());
    system.start_all();
    system.runner_fault("runner-1", {{"cut_midway", 1}});
    system.runner_fault("runner-2", {{"cut_midway", 1}});
    // One event of each run, of two tokens; each turn may make ten.
    system.turn("gateway-1", "t1", "", "one", 14, path);
    wait_until("the turn's tokens are settled", [&] {
      return system.turn("gateway-1", "t2", "", "two", 14, path).status == 200;
    });
    CPPUNIT_ASSERT_EQUAL(
        402, system.turn("gateway-1", "t3", "", "three", 14, path).status);
  }

 private:
  struct resumed {
    std::string first;  // the endpoint that was to fail
    std::string attempt;
    http_answer answer;
  };

  // The endpoint that the next stream goes to: the one that has just served
  // one, since there is a connection to it.
  static std::string next_runner(service_deployment& system) {
    const std::string attempt = "found-out";
    system.request("gateway-1", path, attempt, {}, "in");
    const json made = system.counts("runner-1");
    return made["runs"].contains(attempt) ? "runner-1" : "runner-2";
  }

  // Sends streams until one has run at both endpoints, of which the first has
  // the fault. Each of them must reach its client whole.
  static resumed send_until_resumed(service_deployment& system,
                                    const json& fault) {
    resumed made;
    made.first = next_runner(system);
    int sent = 0;
    wait_until("a stream goes on", [&] {
      system.runner_fault(made.first, fault);
      made.attempt = "s" + std::to_string(++sent);
      made.answer = system.request("gateway-1", path, made.attempt, {}, "in");
      CPPUNIT_ASSERT_EQUAL(200, made.answer.status);
      CPPUNIT_ASSERT_EQUAL(events(made.attempt, 1, 3), made.answer.body);
      return system.runs(made.attempt) == 2;
    });
    return made;
  }

  // The bytes of the answer, up to its end or the connection's.
  static std::string raw_answer(service_deployment& system,
                                const std::string& attempt) {
    constexpr int seconds = 5;
    return send_raw(system.port("gateway-1"),
                    "POST " + path +
                        " HTTP/1.1\r\nHost: local\r\nConnection: close\r\n"
                        "Trayrock-Attempt-Id: " +
                        attempt + "\r\nContent-Length: 2\r\n\r\nin",
                    seconds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumed_stream_test);

}  // namespace
}  // namespace trayrock::testing
