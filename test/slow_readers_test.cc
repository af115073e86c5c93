// Hundreds of clients that do not read, against one gateway process with a
// small memory limit.
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

#include "service_deployment.h"
#include "stalled_reader.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int stalled_clients = 300;
constexpr int events_of_a_response = 30;
constexpr int event_bytes = 10000;
// All responses together are 90 MB.
constexpr int memory_limit_mb = 48;
// The address sanitizer keeps freed memory: with it a gateway used 467 MB.
#ifdef __SANITIZE_ADDRESS__
constexpr bool measures_memory = false;
#else
constexpr bool measures_memory = true;
#endif
constexpr int code_buffers_full = 1312;

// The most memory that a process has used, in megabytes.
double peak_memory_mb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  constexpr double kb_per_mb = 1024;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stod(line.substr(line.find(':') + 1)) / kb_per_mb;
    }
  }
  return 0;
}

// The body of a whole response of the fake runner.
std::string response_of(const std::string& attempt) {
  std::string body;
  for (int event = 1; event <= events_of_a_response; ++event) {
    const std::string number = std::to_string(event);
    body.append("id: ").append(number).append("\ndata: ").append(attempt);
    body.append("-").append(number).append(event_bytes, 'x').append("\n\n");
  }
  return body;
}

class slow_readers_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slow_readers_test);
  CPPUNIT_TEST(gateway_stays_below_its_limit_and_serves_others);
  CPPUNIT_TEST(nothing_is_bounded_without_the_mechanism);
  CPPUNIT_TEST(reading_goes_on_below_the_first_threshold);
  CPPUNIT_TEST(cut_of_an_unread_response_is_not_held_against_its_endpoint);
  CPPUNIT_TEST(new_requests_are_refused_and_the_largest_holder_is_ended);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gateway that runs out of memory, one that serves nobody
  // while clients stall, and responses that were cut and look complete.
  void gateway_stays_below_its_limit_and_serves_others() {
    service_deployment system(options_of(memory_limit_mb));
    system.start_all();
    std::vector<std::unique_ptr<stalled_reader>> clients =
        stall(system, stalled_clients);
    wait_until("responses are paused",
               [&] { return gauge(system, "paused_responses") > 0; });
    for (int i = 0; i < 40; ++i) {
      const std::string attempt = "s" + std::to_string(i);
      const http_answer answer =
          system.request("gateway-1", "/safe/a", attempt);
      CPPUNIT_ASSERT_EQUAL(200, answer.status);
      CPPUNIT_ASSERT_EQUAL("answer to " + attempt, answer.body);
    }
    const http_answer stream =
        system.request("gateway-1", "/padded-stream/a", "other", {}, "text");
    CPPUNIT_ASSERT_EQUAL(200, stream.status);
    TRAYROCK_CHECK(stream.complete, "the other client's stream was cut");

    // All responses are whole once their clients read.
    int whole = 0;
    {
      std::vector<std::jthread> readers;
      std::vector<std::string> received(clients.size());
      constexpr std::size_t threads = 8;
      for (std::size_t first = 0; first < threads; ++first) {
        readers.emplace_back([&, first] {
          for (std::size_t i = first; i < clients.size(); i += threads) {
            received[i] = clients[i]->read_to_end(20);
          }
        });
      }
      readers.clear();
      for (std::size_t i = 0; i < received.size(); ++i) {
        const http_answer answer = parse_answer(received[i]);
        const std::string expected = response_of("c" + std::to_string(i));
        TRAYROCK_CHECK(!answer.complete || answer.body == expected,
                       "response " << i << " with " << answer.body.size()
                                   << " bytes looks complete, expected "
                                   << expected.size());
        whole += answer.complete ? 1 : 0;
      }
    }
    const double peak = peak_memory_mb(system.process_id("gateway-1"));
    std::cout << "slow readers: peak " << peak << " MB of " << memory_limit_mb
              << "; whole " << whole << " of " << stalled_clients << std::endl;
    TRAYROCK_CHECK(!measures_memory || peak < memory_limit_mb,
                   "the gateway used " << peak);
    CPPUNIT_ASSERT_EQUAL(stalled_clients, whole);
    wait_until("nothing is buffered any more", [&] {
      return gauge(system, "buffered_bytes") == 0 &&
             gauge(system, "paused_responses") == 0;
    });
    CPPUNIT_ASSERT(gauge(system, "responses_paused_total") > 0);
    CPPUNIT_ASSERT_EQUAL(-1.0,
                         gauge(system, "connections_ended_for_memory_total"));
    CPPUNIT_ASSERT_EQUAL(-1.0,
                         gauge(system, "requests_refused_for_memory_total"));
  }

  // Shows that the load of the case above does exceed its limit.
  void nothing_is_bounded_without_the_mechanism() {
    service_options options = options_of(memory_limit_mb);
    options.trial_without = {"buffer_budget"};
    service_deployment system(options);
    system.start_all();
    const std::vector<std::unique_ptr<stalled_reader>> clients =
        stall(system, stalled_clients);
    wait_until("the gateway exceeds the limit", [&] {
      return peak_memory_mb(system.process_id("gateway-1")) > memory_limit_mb;
    });
    CPPUNIT_ASSERT_EQUAL(-1.0, gauge(system, "buffered_bytes"));
  }

  // Guards against an endpoint that cuts off a response which the gateway had
  // room for: all of it is read although the client reads nothing.
  void reading_goes_on_below_the_first_threshold() {
    service_deployment system(options_of(memory_limit_mb));
    system.start_all();
    const std::vector<std::unique_ptr<stalled_reader>> clients =
        stall(system, 10);
    wait_until("the endpoints have sent everything",
               [&] { return requests_done(system) == 10; });
    CPPUNIT_ASSERT_EQUAL(-1.0, gauge(system, "responses_paused_total"));
    CPPUNIT_ASSERT(gauge(system, "buffered_bytes") > 1000000);
  }

  // Guards against stalled clients that send all endpoints into backoff, and
  // against a second run of what may run only once.
  void cut_of_an_unread_response_is_not_held_against_its_endpoint() {
    constexpr std::size_t unread_clients = 10;
    service_options options = options_of(16);
    options.runners = 1;
    // More than the sockets between gateway and endpoint hold.
    options.runner_events = 120;
    options.runner_padding = 100000;
    options.runner_pause_ms = 5;
    options.runner_unread_limit_ms = 1000;
    service_deployment system(options);
    system.start_all();
    std::vector<std::unique_ptr<stalled_reader>> clients =
        stall(system, unread_clients);
    wait_until("responses are paused",
               [&] { return gauge(system, "paused_responses") > 0; });
    // Until the endpoint has cut them off.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::size_t cut = 0;
    for (std::size_t i = 0; i < unread_clients; ++i) {
      const std::string received = clients[i]->read_to_end(20);
      cut += received.ends_with("0\r\n\r\n") ? 0 : 1;
      CPPUNIT_ASSERT_EQUAL(1, system.runs("c" + std::to_string(i)));
    }
    CPPUNIT_ASSERT(cut > 0);
    const http_answer next = system.request("gateway-1", "/unsafe/a", "u1");
    CPPUNIT_ASSERT_EQUAL(200, next.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         system.log_lines("gateway-1", "endpoint_avoided"));
  }

  // Requests that a silent endpoint doesn't answer can't be paused. Guards
  // against a refusal of a request that runs, and against an end of the process
  // in place of the end of one connection.
  void new_requests_are_refused_and_the_largest_holder_is_ended() {
    service_options options = options_of(16);
    options.runners = 1;
    service_deployment system(options);
    system.start_all();
    system.runner_fault("runner-1", {{"hang", 1000}});
    // Requests are refused above 6 MB, and a holder is ended above 8 MB. Each
    // of these holds 60 KB, and as much again while it is sent.
    constexpr double refuse_at = 6 << 20;
    std::vector<std::unique_ptr<stalled_reader>> clients;
    wait_until("hanging requests fill the memory", [&] {
      clients.push_back(
          post(system, "h" + std::to_string(clients.size()), 60000));
      return gauge(system, "buffered_bytes") > refuse_at;
    });
    const http_answer refused =
        system.request("gateway-1", "/unsafe/a", "refused");
    CPPUNIT_ASSERT_EQUAL(503, refused.status);
    CPPUNIT_ASSERT_EQUAL(code_buffers_full, refused.error_code());
    TRAYROCK_CHECK(refused.headers.contains("retry-after"),
                   "expected Retry-After, seen none");

    // Bodies that are still being received count as well.
    std::vector<std::unique_ptr<stalled_reader>> partial;
    constexpr int partial_requests = 60;
    partial.reserve(partial_requests);
    for (int i = 0; i < partial_requests; ++i) {
      partial.push_back(post(system, "p" + std::to_string(i), 60000, 60001));
    }
    wait_until("a holder is ended", [&] {
      return gauge(system, "connections_ended_for_memory_total") > 0;
    });
    CPPUNIT_ASSERT(system.running("gateway-1"));
    const json counts = system.counts("runner-1");
    CPPUNIT_ASSERT(!counts["runs"].contains("refused"));
    CPPUNIT_ASSERT(!counts["runs"].empty());
    for (const auto& [attempt, run] : counts["runs"].items()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(attempt, 1, run["runs"].get<int>());
    }
  }

 private:
  static service_options options_of(int limit_mb) {
    service_options options;
    options.gateways = 1;
    options.runner_events = events_of_a_response;
    options.runner_padding = event_bytes;
    options.runner_pause_ms = 20;
    options.timeout_ms = 30000;
    // Complete responses that are not read are cut after this.
    options.idle_timeout_ms = 30000;
    options.memory_limit_mb = limit_mb;
    options.more_routes = {{{"name", "padded-stream"},
                            {"host", "local"},
                            {"pathPrefix", "/padded-stream/"},
                            {"type", "streaming"},
                            {"timeoutMs", 30000},
                            {"service", "assistant"},
                            {"attempts", 1}}};
    return options;
  }

  static std::unique_ptr<stalled_reader> post(service_deployment& system,
                                              const std::string& attempt,
                                              std::size_t body,
                                              std::size_t length = 0) {
    return std::make_unique<stalled_reader>(
        system.port("gateway-1"),
        "POST /padded-stream/a HTTP/1.1\r\nHost: local\r\n"
        "Trayrock-Attempt-Id: " +
            attempt + "\r\nContent-Length: " +
            std::to_string(length == 0 ? body : length) + "\r\n\r\n" +
            std::string(body, 'b'));
  }

  static std::vector<std::unique_ptr<stalled_reader>> stall(
      service_deployment& system, int clients) {
    std::vector<std::unique_ptr<stalled_reader>> made;
    made.reserve(static_cast<std::size_t>(clients));
    for (int i = 0; i < clients; ++i) {
      made.push_back(post(system, "c" + std::to_string(i), 4));
    }
    return made;
  }

  static double gauge(service_deployment& system, const std::string& name) {
    return system.metric("gateway-1", name);
  }

  static int requests_done(service_deployment& system) {
    const double all = gauge(
        system, "requests_total{route=\"padded-stream\",outcome=\"answered\"}");
    return static_cast<int>(all);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_readers_test);

}  // namespace
}  // namespace trayrock::testing
