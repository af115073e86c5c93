// Tests what clients receive of streams that resume at another endpoint.
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
  CPPUNIT_TEST(run_broken_at_any_byte_leaves_complete_events);
  CPPUNIT_TEST(next_run_continues_without_gap_or_duplicate);
  CPPUNIT_TEST(run_that_repeats_an_event_is_rejected);
  CPPUNIT_TEST(events_without_numeric_ids_can_not_be_resumed);
  CPPUNIT_TEST(only_idempotent_requests_are_sent_again);
  CPPUNIT_TEST(stream_cut_in_an_event_resumes_at_another_endpoint);
  CPPUNIT_TEST(response_keeps_the_headers_of_its_first_run);
  CPPUNIT_TEST(hanging_stream_resumes_at_another_endpoint);
  CPPUNIT_TEST(endpoint_that_never_responds_is_replaced_by_another);
  CPPUNIT_TEST(run_that_restarts_does_not_reach_the_client);
  CPPUNIT_TEST(stream_that_breaks_at_all_endpoints_is_incomplete);
  CPPUNIT_TEST(resuming_client_receives_the_remaining_events);
  CPPUNIT_TEST(tokens_of_a_resumed_stream_are_counted_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void run_broken_at_any_byte_leaves_complete_events() {
    const std::string bytes =
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    const std::string expected[] = {"", "id: 1\ndata: a\n\n",
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
      TRAYROCK_CHECK(got == expected[last], "cut at " << cut << ": last id "
                                                      << last << ", got\n"
                                                      << got);
    }
  }

  void next_run_continues_without_gap_or_duplicate() {
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

  void run_that_repeats_an_event_is_rejected() {
    complete_event_buffer stream;
    stream.add(events("a", 1, 2));
    stream.begin_run();
    CPPUNIT_ASSERT_EQUAL(std::string(), stream.add(events("a", 2, 3)));
    CPPUNIT_ASSERT(stream.repeated());
  }

  void events_without_numeric_ids_can_not_be_resumed() {
    for (const char* bytes :
         {"data: a\n\n", "id: x\ndata: a\n\n", "id: -1\ndata: a\n\n",
          "id: 99999999999999999999\ndata: a\n\n", "id:\ndata: a\n\n"}) {
      complete_event_buffer stream;
      CPPUNIT_ASSERT_EQUAL(std::string(bytes), stream.add(bytes));
      CPPUNIT_ASSERT(!stream.last_id().has_value());
    }
  }

  void only_idempotent_requests_are_sent_again() {
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

  void stream_cut_in_an_event_resumes_at_another_endpoint() {
    const int length = static_cast<int>(event("s1", 2).size());
    for (const int cut : {0, 1, length / 2, length - 1}) {
      service_deployment system(one_gateway());
      system.start_all();
      send_until_resumed(system, {{"cut_at_byte", cut}});
    }
  }

  void response_keeps_the_headers_of_its_first_run() {
    service_deployment system(one_gateway());
    system.start_all();
    const resumed actual = send_until_resumed(system, {{"cut_midway", 1}});
    CPPUNIT_ASSERT_EQUAL("seal." + actual.first + "." + actual.attempt,
                         actual.answer.headers.at("trayrock-response-seal"));
  }

  void hanging_stream_resumes_at_another_endpoint() {
    service_deployment system(one_gateway());
    system.start_all();
    const resumed actual = send_until_resumed(system, {{"hang_midway", 1}});
    wait_until("the connection of the hanging endpoint is closed", [&] {
      return system.counts(actual.first).value("cancelled", 0) == 1;
    });
  }

  void endpoint_that_never_responds_is_replaced_by_another() {
    for (const char* fault : {"hang", "cut_unanswered"}) {
      service_deployment system(one_gateway());
      system.start_all();
      send_until_resumed(system, {{fault, 1}});
    }
  }

  void run_that_restarts_does_not_reach_the_client() {
    service_deployment system(one_gateway());
    system.start_all();
    const std::string first = next_endpoint(system);
    system.runner_fault(first, {{"cut_midway", 100}});
    system.runner_fault(first == "runner-1" ? "runner-2" : "runner-1",
                        {{"ignore_last_event", 100}});
    int attempts = 0;
    wait_until(first + " has started a stream", [&] {
      const std::string attempt = "s" + std::to_string(++attempts);
      const std::string actual = raw_response(system, attempt);
      const bool broken = system.runs(attempt) == 2;
      const bool complete = actual.find("\r\n0\r\n\r\n") != std::string::npos;
      TRAYROCK_CHECK(broken != complete, (broken ? "two runs" : "one run")
                                             << ", response\n"
                                             << actual);
      return broken;
    });
  }

  void stream_that_breaks_at_all_endpoints_is_incomplete() {
    service_deployment system(one_gateway());
    system.start_all();
    system.runner_fault("runner-1", {{"cut_midway", 1}});
    system.runner_fault("runner-2", {{"cut_midway", 1}});
    const std::string actual = raw_response(system, "s1");
    TRAYROCK_CHECK(actual.find("data: s1-2") != std::string::npos &&
                       actual.find("data: s1-3") == std::string::npos,
                   "expected one event of each run, got " << actual);
    TRAYROCK_CHECK(actual.find("\r\n0\r\n\r\n") == std::string::npos,
                   "expected an incomplete response, got " << actual);
  }

  void resuming_client_receives_the_remaining_events() {
    service_deployment system(one_gateway());
    system.start_all();
    const http_answer answer =
        system.request("gateway-1", path, "s1", {{"Last-Event-Id", "1"}}, "in");
    CPPUNIT_ASSERT_EQUAL(events("s1", 2, 3), answer.body);
  }

  void tokens_of_a_resumed_stream_are_counted_once() {
    service_deployment system(one_gateway());
    system.start_all();
    system.runner_fault("runner-1", {{"cut_midway", 1}});
    system.runner_fault("runner-2", {{"cut_midway", 1}});
    // Each run sends one event of two tokens; each turn may produce ten tokens.
    system.turn("gateway-1", "t1", "", "one", 14, path);
    wait_until("the turn's tokens are settled", [&] {
      return system.turn("gateway-1", "t2", "", "two", 14, path).status == 200;
    });
    CPPUNIT_ASSERT_EQUAL(
        402, system.turn("gateway-1", "t3", "", "three", 14, path).status);
  }

 private:
  struct resumed {
    std::string first;  // the endpoint with the fault
    std::string attempt;
    http_answer answer;
  };

  // The endpoint that the next stream goes to: the one that served a stream
  // last, since the gateway is connected to it.
  static std::string next_endpoint(service_deployment& system) {
    const std::string attempt = "found-out";
    system.request("gateway-1", path, attempt, {}, "in");
    const json made = system.counts("runner-1");
    return made["runs"].contains(attempt) ? "runner-1" : "runner-2";
  }

  // Sends streams until one has run at both endpoints, the first of which has
  // the fault. Each client must receive its complete stream.
  static resumed send_until_resumed(service_deployment& system,
                                    const json& fault) {
    resumed made;
    made.first = next_endpoint(system);
    int sent = 0;
    wait_until("a stream resumes", [&] {
      system.runner_fault(made.first, fault);
      made.attempt = "s" + std::to_string(++sent);
      made.answer = system.request("gateway-1", path, made.attempt, {}, "in");
      CPPUNIT_ASSERT_EQUAL(200, made.answer.status);
      CPPUNIT_ASSERT_EQUAL(events(made.attempt, 1, 3), made.answer.body);
      return system.runs(made.attempt) == 2;
    });
    return made;
  }

  // The bytes of the response up to its end or the end of the connection.
  static std::string raw_response(service_deployment& system,
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
