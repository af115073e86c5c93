// Tests how many endpoints end under a request that ends each process that
// runs it, and that other requests stay served.
#include <algorithm>
#include <map>
#include <string>
#include <thread>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int runners = 10;
constexpr int max_ended = 3;
constexpr int repeats = 9;
constexpr int code_poison_request = 1409;

service_options many_runners() {
  service_options options;
  options.runners = runners;
  return options;
}

std::string gateway_of(int repeat) {
  return repeat % 2 == 0 ? "gateway-1" : "gateway-2";
}

class poison_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poison_request_test);
  CPPUNIT_TEST(repeats_of_a_safe_request_end_three_endpoints);
  CPPUNIT_TEST(repeats_of_an_unsafe_request_end_three_endpoints);
  CPPUNIT_TEST(repeats_of_a_turn_end_three_endpoints);
  CPPUNIT_TEST(repeats_of_a_resumed_stream_end_three_endpoints);
  CPPUNIT_TEST(repeats_of_a_programs_call_end_three_endpoints);
  CPPUNIT_TEST(copies_side_by_side_at_a_gateway_end_three_endpoints);
  CPPUNIT_TEST(repeats_end_three_endpoints_when_a_gateway_is_killed);
  CPPUNIT_TEST(endpoints_that_end_after_their_client_has_left_count);
  CPPUNIT_TEST(endpoints_that_start_again_at_their_address_count);
  CPPUNIT_TEST(replaced_endpoint_counts_at_the_gateway_that_sent_the_request);
  CPPUNIT_TEST(gateway_that_starts_later_refuses_a_known_poison_request);
  CPPUNIT_TEST(refusal_is_immediate_and_names_its_cause);
  CPPUNIT_TEST(cut_and_reset_responses_do_not_condemn_a_request);
  CPPUNIT_TEST_SUITE_END();

 public:
  void repeats_of_a_safe_request_end_three_endpoints() {
    check_repeats([](service_deployment& system, int repeat) {
      return system.request(gateway_of(repeat), "/safe/fatal",
                            "a" + std::to_string(repeat));
    });
  }

  void repeats_of_an_unsafe_request_end_three_endpoints() {
    check_repeats([](service_deployment& system, int repeat) {
      return system.request(gateway_of(repeat), "/unsafe/fatal",
                            "a" + std::to_string(repeat), {}, "body");
    });
  }

  void repeats_of_a_turn_end_three_endpoints() {
    check_repeats([](service_deployment& system, int repeat) {
      return system.turn(gateway_of(repeat), "a" + std::to_string(repeat), "",
                         "in", 1000, "/stream/fatal");
    });
  }

  void repeats_of_a_resumed_stream_end_three_endpoints() {
    check_repeats([](service_deployment& system, int repeat) {
      return system.request(gateway_of(repeat),
                            "/resumable-stream/fatal-midway",
                            "a" + std::to_string(repeat), {}, "in");
    });
  }

  void repeats_of_a_programs_call_end_three_endpoints() {
    check_repeats([](service_deployment& system, int repeat) {
      return system.request(gateway_of(repeat), "/safe/fatal",
                            "a" + std::to_string(repeat),
                            {{"Trayrock-Program-Id", "program"},
                             {"Trayrock-Session-Id", "session"}});
    });
  }

  void copies_side_by_side_at_a_gateway_end_three_endpoints() {
    service_deployment system(many_runners());
    system.start_all();
    constexpr int copies = 4;
    {
      std::vector<std::jthread> running;
      running.reserve(copies);
      for (int i = 0; i < copies; ++i) {
        running.emplace_back([&system, i] {
          for (int j = 0; j < 3; ++j) {
            system.request("gateway-1", "/safe/fatal",
                           "c" + std::to_string(i) + "-" + std::to_string(j),
                           {{"Trayrock-Program-Id", "program"}});
          }
        });
      }
    }
    check_bound(system);
  }

  void repeats_end_three_endpoints_when_a_gateway_is_killed() {
    service_deployment system(many_runners());
    system.start_all();
    system.request("gateway-1", "/unsafe/fatal", "a", {}, "body");
    system.kill("gateway-1");
    for (int repeat = 0; repeat < repeats; ++repeat) {
      system.request("gateway-2", "/unsafe/fatal", "b" + std::to_string(repeat),
                     {}, "body");
    }
    TRAYROCK_CHECK(ended(system) <= max_ended,
                   "expected at most " << max_ended
                                       << " endpoints to have ended, saw "
                                       << ended(system));
  }

  void endpoints_that_end_after_their_client_has_left_count() {
    service_deployment system(many_runners());
    system.start_all();
    for (int repeat = 0; repeat < repeats; ++repeat) {
      leave_late_request(system, "a" + std::to_string(repeat));
    }
    check_bound(system);
  }

  // A new instance that accepts connections at the address of one that has
  // ended was taken for it, so that a fourth endpoint ended.
  void endpoints_that_start_again_at_their_address_count() {
    service_deployment system(many_runners());
    system.start_all();
    std::map<std::string, std::string> ids;  // of restarted endpoints
    for (int repeat = 0; repeat < repeats; ++repeat) {
      leave_late_request(system, "a" + std::to_string(repeat));
      for (int i = 1; i <= runners; ++i) {
        const std::string name = "runner-" + std::to_string(i);
        if (!system.running(name)) {
          restart(system, name, ids.try_emplace(name, name).first->second);
        }
      }
    }
    int count = 0;
    for (int i = 1; i <= runners; ++i) {
      count += static_cast<int>(system.log_lines(
          "runner-" + std::to_string(i), "ends under /unsafe/fatal-late "));
    }
    CPPUNIT_ASSERT_EQUAL(max_ended, count);
  }

  // Another gateway sees the new instance first. The platform still lists the
  // former one.
  void replaced_endpoint_counts_at_the_gateway_that_sent_the_request() {
    service_options one_runner;
    one_runner.runners = 1;
    service_deployment system(one_runner);
    system.start_all();
    leave_late_request(system, "a");
    CPPUNIT_ASSERT(!system.running("runner-1"));
    system.restart_runner_unlisted("runner-1");
    int number = 0;
    wait_until("the first gateway counts the endpoint", [&] {
      system.request("gateway-2", "/safe/innocent",
                     "innocent-" + std::to_string(++number));
      return system.log_lines("gateway-1", "\"endpoint_ended\"") > 0;
    });
  }

  void gateway_that_starts_later_refuses_a_known_poison_request() {
    service_deployment system(many_runners());
    system.start_all();
    for (int repeat = 0; repeat < repeats; ++repeat) {
      system.request("gateway-1", "/safe/fatal", "a" + std::to_string(repeat));
    }
    system.kill("gateway-2");
    system.start("gateway-2");
    system.wait_ready("gateway-2");
    wait_until("the other gateway has told what has ended", [&] {
      return system.log_lines("gateway-2", "\"request_tries_received\"") > 0;
    });
    const http_answer answer =
        system.request("gateway-2", "/safe/fatal", "late");
    CPPUNIT_ASSERT_EQUAL(code_poison_request, answer.error_code());
    check_bound(system);
  }

  void refusal_is_immediate_and_names_its_cause() {
    service_deployment system(many_runners());
    system.start_all();
    for (int repeat = 0; repeat < repeats; ++repeat) {
      system.request("gateway-1", "/safe/fatal", "a" + std::to_string(repeat));
    }
    const http_answer answer =
        system.request("gateway-2", "/safe/fatal", "refused");
    CPPUNIT_ASSERT_EQUAL(502, answer.status);
    CPPUNIT_ASSERT_EQUAL(code_poison_request, answer.error_code());
    TRAYROCK_CHECK(system.log_lines("gateway-2", "\"poison_request\"") > 0,
                   "expected a log line of the refusal");
    TRAYROCK_CHECK(
        system.metric("gateway-2",
                      "poison_requests_refused_total{route=\"/safe/\"}") > 0,
        "expected the refusal to be counted");
  }

  void cut_and_reset_responses_do_not_condemn_a_request() {
    service_deployment system(many_runners());
    system.start_all();
    for (int i = 1; i <= runners; ++i) {
      system.runner_fault("runner-" + std::to_string(i),
                          {{"cut_unanswered", repeats}});
    }
    for (int repeat = 0; repeat < repeats; ++repeat) {
      const http_answer answer = system.request(gateway_of(repeat), "/safe/a",
                                                "a" + std::to_string(repeat));
      TRAYROCK_CHECK(answer.error_code() != code_poison_request,
                     "refused after " << repeat << " cut responses");
    }
    for (int i = 1; i <= runners; ++i) {
      system.runner_fault("runner-" + std::to_string(i),
                          {{"cut_unanswered", 0}});
    }
    wait_until("the request is served", [&] {
      return system.request("gateway-1", "/safe/a", "last").status == 200;
    });
  }

 private:
  using send_repeat = std::function<http_answer(service_deployment&, int)>;

  static int ended(service_deployment& system) {
    int count = 0;
    for (int i = 1; i <= runners; ++i) {
      count += system.running("runner-" + std::to_string(i)) ? 0 : 1;
    }
    return count;
  }

  // Its endpoint ends after its client has left.
  static void leave_late_request(service_deployment& system,
                                 const std::string& attempt) {
    system.request("gateway-1", "/unsafe/fatal-late", attempt,
                   {{"Trayrock-Deadline-Ms", "200"}}, "body");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
  }

  // The platform lists the new instance once it runs. Returns when the gateway
  // knows it.
  static void restart(service_deployment& system, const std::string& name,
                      std::string& id) {
    const std::string former = id;
    id = system.restart_runner_unlisted(name);
    system.remove_object("servers", former);
    system.put_object(
        "servers", id,
        service_deployment::endpoint_entry(
            "127.0.0.1:" + std::to_string(system.port(name)), "ready"));
    wait_until("the gateway knows " + id,
               [&] { return system.log_lines("gateway-1", id) > 0; });
  }

  static void check_bound(service_deployment& system) {
    const int count = ended(system);
    TRAYROCK_CHECK(count <= max_ended, "expected at most "
                                           << max_ended
                                           << " endpoints to have ended, saw "
                                           << count);
    for (const char* gateway : {"gateway-1", "gateway-2"}) {
      const http_answer answer = system.request(
          gateway, "/safe/innocent", std::string("innocent-") + gateway);
      TRAYROCK_CHECK(answer.status == 200,
                     "expected another request at "
                         << gateway << " to be served, got " << answer.status);
    }
  }

  static void check_repeats(const send_repeat& send) {
    service_deployment system(many_runners());
    system.start_all();
    for (int repeat = 0; repeat < repeats; ++repeat) {
      const http_answer answer = send(system, repeat);
      TRAYROCK_CHECK(answer.status != 200 || !answer.complete,
                     "a request that ends its endpoint was served");
    }
    check_bound(system);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_request_test);

}  // namespace
}  // namespace trayrock::testing
