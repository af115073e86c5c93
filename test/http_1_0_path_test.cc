// Streams to HTTP/1.0 clients, which get neither a length nor chunks: guards
// against a cut stream that looks complete.
#include <atomic>
#include <thread>

#include "raw_exchange.h"
#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int longest_silence_s = 10;

class http_1_0_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_1_0_path_test);
  CPPUNIT_TEST(whole_stream_ends_with_a_close);
  CPPUNIT_TEST(stream_that_the_endpoint_cuts_ends_with_a_reset);
  CPPUNIT_TEST(stream_of_a_killed_gateway_ends_with_a_reset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void whole_stream_ends_with_a_close() {
    service_deployment system(one_gateway());
    system.start_all();
    const raw_exchange seen = stream(system, "t1");
    CPPUNIT_ASSERT_EQUAL(0, seen.error);
    TRAYROCK_CHECK(seen.bytes.find("data: t1-3") != std::string::npos,
                   "expected the last event, seen " << seen.bytes);
    CPPUNIT_ASSERT_EQUAL(200,
                         system.turn("gateway-1", "t2", "t1", "two").status);
  }

  void stream_that_the_endpoint_cuts_ends_with_a_reset() {
    service_deployment system(one_gateway());
    system.start_all();
    system.runner_fault("runner-1", {{"cut_midway", 1}});
    const raw_exchange seen = stream(system, "t1");
    TRAYROCK_CHECK(seen.error == ECONNRESET, "expected a reset, seen "
                                                 << seen.error << " after "
                                                 << seen.bytes);
  }

  void stream_of_a_killed_gateway_ends_with_a_reset() {
    service_options options = one_gateway();
    options.runner_events = 500;
    options.runner_pause_ms = 10;
    service_deployment system(options);
    system.start_all();
    raw_exchange seen;
    std::atomic<bool> begun = false;
    std::jthread client(
        [&] { seen = stream(system, "t1", [&] { begun = true; }); });
    wait_until("the stream has begun", [&] { return begun.load(); });
    system.kill("gateway-1");
    client.join();
    TRAYROCK_CHECK(seen.error == ECONNRESET,
                   "expected a reset, seen " << seen.error << " after "
                                             << seen.bytes.size() << " bytes");
  }

 private:
  static service_options one_gateway() {
    service_options options;
    options.gateways = 1;
    options.runners = 1;
    return options;
  }

  static raw_exchange stream(
      service_deployment& system, const std::string& attempt,
      const std::function<void()>& on_received = [] {}) {
    return exchange_raw(system.port("gateway-1"),
                        "POST /stream/a HTTP/1.0\r\nHost: local\r\n"
                        "Trayrock-Attempt-Id: " +
                            attempt + "\r\nContent-Length: 3\r\n\r\none",
                        longest_silence_s, on_received);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_1_0_path_test);

}  // namespace
}  // namespace trayrock::testing
