// End-to-end tests of a gateway that is stopped while it has requests.
#include <csignal>
#include <mutex>
#include <thread>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class gateway_stopping_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_stopping_test);
  CPPUNIT_TEST(stopping_gateway_finishes_its_streams);
  CPPUNIT_TEST(stopping_gateway_refuses_connections_near_its_end);
  CPPUNIT_TEST(stopping_gateway_serves_as_long_as_it_has_time);
  CPPUNIT_TEST(stopping_gateway_responds_to_unfinished_requests);
  CPPUNIT_TEST(stopping_gateway_responds_to_requests_begun_before_its_signal);
  CPPUNIT_TEST(stopping_gateway_sends_every_response);
  CPPUNIT_TEST(stopping_gateway_cuts_no_stream_that_it_began_late);
  CPPUNIT_TEST(stopping_gateway_sends_late_streams_whole);
  CPPUNIT_TEST(stopping_gateway_responds_although_its_loop_is_late);
  CPPUNIT_TEST(stopping_gateway_refuses_requests_that_were_not_sent);
  CPPUNIT_TEST(wait_for_stores_is_no_duration_of_a_stream);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stopping_gateway_finishes_its_streams() {
    service_options options;
    options.runner_events = 40;
    options.runner_pause_ms = 50;
    service_deployment system(options);
    system.start_all();
    http_answer response;
    std::jthread client(
        [&] { response = system.turn("gateway-1", "t1", "", "one"); });
    wait_until("the turn runs", [&] { return system.runs("t1") == 1; });
    system.signal("gateway-1", SIGTERM);
    client.join();
    const int code = system.wait_end("gateway-1");

    CPPUNIT_ASSERT_EQUAL(200, response.status);
    TRAYROCK_CHECK(response.body.find("t1-40") != std::string::npos,
                   "expected the last event, seen " << response.body);
    CPPUNIT_ASSERT_EQUAL(0, code);
  }

  // Guards against requests from the balancer that can't be finished in time.
  void stopping_gateway_refuses_connections_near_its_end() {
    service_options options;
    options.runner_events = 115;
    options.runner_pause_ms = 60;
    service_deployment system(options);
    system.start_all();
    std::jthread client([&] { system.turn("gateway-1", "t1", "", "one"); });
    wait_until("the turn runs", [&] { return system.runs("t1") == 1; });
    system.signal("gateway-1", SIGTERM);
    int last = 0;
    wait_until("new connections are refused", [&] {
      const std::string attempt = "u" + std::to_string(++last);
      return system.request("gateway-1", "/unsafe/a", attempt).status == 0 &&
             system.running("gateway-1");
    });
    client.join();
    system.wait_end("gateway-1");
  }

  // Guards against an outage when all gateways are stopped one after another
  // and each refuses connections too early.
  void stopping_gateway_serves_as_long_as_it_has_time() {
    service_options options;
    options.stop_limit_s = 30;
    service_deployment system(options);
    system.start_all();
    system.signal("gateway-1", SIGTERM);
    constexpr std::chrono::seconds balancer_has_noticed{4};
    std::this_thread::sleep_for(balancer_has_noticed);
    const http_answer call = system.request("gateway-1", "/unsafe/a", "u1");

    CPPUNIT_ASSERT_EQUAL(200, call.status);
    system.kill("gateway-1");
  }

  // Requests that are open at the end get a response, not a closed connection.
  void stopping_gateway_responds_to_unfinished_requests() {
    service_options options;
    options.stop_limit_s = 4;
    service_deployment system(options);
    system.start_all();
    for (const char* runner : {"runner-1", "runner-2"}) {
      system.runner_fault(runner, {{"hang", 1}});
    }
    system.signal("gateway-1", SIGTERM);
    system.wait_draining("gateway-1");
    const http_answer call = system.request("gateway-1", "/unsafe/a", "u1");

    CPPUNIT_ASSERT_EQUAL(504, call.status);
    system.wait_end("gateway-1");
  }

  // Guards against a connection that is closed without a response because the
  // request's deadline is later than the end of the process.
  void stopping_gateway_responds_to_requests_begun_before_its_signal() {
    service_options options;
    options.stop_limit_s = 2;
    service_deployment system(options);
    system.start_all();
    for (const char* runner : {"runner-1", "runner-2"}) {
      system.runner_fault(runner, {{"hang", 1}});
    }
    http_answer response;
    {
      std::jthread client(
          [&] { response = system.request("gateway-1", "/unsafe/a", "u1"); });
      wait_until("the call runs", [&] { return system.runs("u1") == 1; });
      system.signal("gateway-1", SIGTERM);
    }

    CPPUNIT_ASSERT_EQUAL(504, response.status);
    system.wait_end("gateway-1");
  }

  // Guards against a process that ends before a written response is sent.
  void stopping_gateway_sends_every_response() {
    service_options options;
    options.stop_limit_s = 2;
    service_deployment system(options);
    system.start_all();
    std::mutex guard;
    std::vector<std::string> unanswered;
    {
      std::vector<std::jthread> callers;
      constexpr int calling = 12;
      callers.reserve(calling);
      for (int caller = 0; caller < calling; ++caller) {
        callers.emplace_back([&, caller](const std::stop_token& over) {
          for (int i = 0; !over.stop_requested(); ++i) {
            const std::string attempt =
                "u" + std::to_string(caller) + "-" + std::to_string(i);
            if (system.request("gateway-1", "/safe/a", attempt).status == 0) {
              const std::scoped_lock lock(guard);
              unanswered.push_back(attempt);
            }
          }
        });
      }
      system.signal("gateway-1", SIGTERM);
      system.wait_end("gateway-1");
    }
    int ran = 0;
    for (const std::string& attempt : unanswered) {
      ran += system.runs(attempt);
    }
    TRAYROCK_CHECK(ran == 0, ran << " of " << unanswered.size()
                                 << " requests without an answer ran");
  }

  // Guards against a stream that is begun because it should end in time, does
  // not, and is cut when the process ends.
  void stopping_gateway_cuts_no_stream_that_it_began_late() {
    service_options options;
    options.stop_limit_s = 5;
    service_deployment system(options);
    system.start_all();
    for (const char* runner : {"runner-1", "runner-2"}) {
      system.runner_fault(runner, {{"hang_midway", 1}});
    }
    system.signal("gateway-1", SIGTERM);
    system.wait_draining("gateway-1");
    const http_answer response = system.turn("gateway-1", "t1", "", "one");

    CPPUNIT_ASSERT_EQUAL(1, system.runs("t1"));
    CPPUNIT_ASSERT_EQUAL(504, response.status);
    CPPUNIT_ASSERT(response.complete);
    system.wait_end("gateway-1");
  }

  void stopping_gateway_sends_late_streams_whole() {
    service_options options;
    options.stop_limit_s = 5;
    service_deployment system(options);
    system.start_all();
    system.signal("gateway-1", SIGTERM);
    system.wait_draining("gateway-1");
    const http_answer first = system.turn("gateway-1", "t1", "", "one ");
    const http_answer second = system.turn("gateway-2", "t2", "t1", "two");

    CPPUNIT_ASSERT_EQUAL(200, first.status);
    CPPUNIT_ASSERT(first.complete);
    CPPUNIT_ASSERT(first.headers.contains("content-length"));
    CPPUNIT_ASSERT_EQUAL(200, second.status);
    const std::string body = system.body_of("t2");
    TRAYROCK_CHECK(body.starts_with("one t1-1\nt1-2\nt1-3\n"),
                   "expected the first turn, seen " << body);
    system.wait_end("gateway-1");
  }

  // Guards against a process that ends in the same round of its loop in which
  // its last responses are written.
  void stopping_gateway_responds_although_its_loop_is_late() {
    constexpr std::chrono::milliseconds before_last_responses{1000};
    constexpr std::chrono::milliseconds late{800};
    service_options options;
    options.stop_limit_s = 2;
    service_deployment system(options);
    system.start_all();
    for (const char* runner : {"runner-1", "runner-2"}) {
      system.runner_fault(runner, {{"hang", 1}});
    }
    http_answer response;
    {
      std::jthread client(
          [&] { response = system.request("gateway-1", "/unsafe/a", "u1"); });
      wait_until("the call runs", [&] { return system.runs("u1") == 1; });
      system.signal("gateway-1", SIGTERM);
      std::this_thread::sleep_for(before_last_responses);
      system.signal("gateway-1", SIGSTOP);
      std::this_thread::sleep_for(late);
      system.signal("gateway-1", SIGCONT);
    }

    CPPUNIT_ASSERT_EQUAL(504, response.status);
    system.wait_end("gateway-1");
  }

  // Guards against 504 for a request that waits for the stores and could be
  // served by another gateway.
  void stopping_gateway_refuses_requests_that_were_not_sent() {
    constexpr const char* writes =
        "record_writes_total{outcome=\"OUTCOME_OK\"}";
    service_options options;
    options.stop_limit_s = 1;
    service_deployment system(options);
    system.start_all();
    system.turn("gateway-1", "t1", "", "one");
    system.signal("store-2", SIGSTOP);
    system.signal("store-3", SIGSTOP);
    const double before = system.metric("store-1", writes);
    http_answer response;
    {
      std::jthread client(
          [&] { response = system.turn("gateway-2", "t2", "t1", "two"); });
      wait_until("the request waits for the stores",
                 [&] { return system.metric("store-1", writes) > before; });
      system.signal("gateway-2", SIGTERM);
    }
    system.signal("store-2", SIGCONT);
    system.signal("store-3", SIGCONT);

    CPPUNIT_ASSERT_EQUAL(0, system.runs("t2"));
    CPPUNIT_ASSERT_EQUAL(503, response.status);
    system.wait_end("gateway-2");
  }

  // Guards against a stopping gateway that refuses all streams because one had
  // waited long for the stores.
  void wait_for_stores_is_no_duration_of_a_stream() {
    constexpr int recent_streams = 20;
    constexpr std::chrono::milliseconds stores_frozen{4500};
    service_options options;
    options.runner_events = 10;
    options.runner_pause_ms = 30;
    service_deployment system(options);
    system.start_all();
    for (int i = 0; i < recent_streams; ++i) {
      system.turn("gateway-1", "w" + std::to_string(i), "", "one");
    }
    {
      std::jthread client([&] { system.turn("gateway-1", "t1", "", "one"); });
      wait_until("the turn runs", [&] { return system.runs("t1") == 1; });
      system.signal("store-2", SIGSTOP);
      system.signal("store-3", SIGSTOP);
      std::this_thread::sleep_for(stores_frozen);
      system.signal("store-2", SIGCONT);
      system.signal("store-3", SIGCONT);
    }
    system.signal("gateway-1", SIGTERM);
    system.wait_draining("gateway-1");
    const http_answer next = system.turn("gateway-1", "t2", "", "one");

    CPPUNIT_ASSERT_EQUAL(200, next.status);
    system.wait_end("gateway-1");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stopping_test);

}  // namespace
}  // namespace trayrock::testing
