// Gateways of one data centre, of which two watch the platform for all, as
// processes.
#include <algorithm>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int gateway_count = 4;

service_options together() {
  service_options made;
  made.gateways = gateway_count;
  made.gateways_together = true;
  return made;
}

std::string gateway(int number) { return "gateway-" + std::to_string(number); }

class shared_watch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shared_watch_test);
  CPPUNIT_TEST(two_of_four_gateways_watch);
  CPPUNIT_TEST(configuration_reaches_those_that_do_not_watch);
  CPPUNIT_TEST(leaving_endpoint_is_left_by_those_that_do_not_watch);
  CPPUNIT_TEST(others_watch_when_the_watchers_are_gone);
  CPPUNIT_TEST(those_that_ask_serve_while_the_platform_is_out);
  CPPUNIT_TEST(gateway_asks_a_silent_platform_for_the_others_again);
  CPPUNIT_TEST(gateway_that_starts_among_others_reads_no_endpoints);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_of_four_gateways_watch() {
    service_deployment system(together());
    system.start_all();
    wait_until("two watch", [&] { return watchers(system).size() == 2; });
  }

  void configuration_reaches_those_that_do_not_watch() {
    service_deployment system(together());
    start_shared(system);
    json route = {
        {"name", "new"},  {"host", "local"},        {"pathPrefix", "/new/"},
        {"type", "safe"}, {"timeoutMs", 3000},      {"sloMs", 1000},
        {"priority", 1},  {"service", "assistant"}, {"attempts", 2}};
    system.configure(2, json::array({route}));
    for (int i = 1; i <= gateway_count; ++i) {
      const std::string attempt = "new-" + std::to_string(i);
      wait_until(gateway(i) + " serves the new route", [&] {
        return system.request(gateway(i), "/new/a", attempt).status == 200;
      });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, watchers(system).size());
  }

  void leaving_endpoint_is_left_by_those_that_do_not_watch() {
    service_deployment system(together());
    start_shared(system);
    system.register_runner("runner-1", "draining");
    for (int i = 1; i <= gateway_count; ++i) {
      wait_until(gateway(i) + " leaves the endpoint",
                 [&] { return serves_by_the_other(system, i); });
    }
  }

  void others_watch_when_the_watchers_are_gone() {
    service_deployment system(together());
    start_shared(system);
    const std::vector<int> first = watchers(system);
    for (const int each : first) {
      system.kill(gateway(each));
    }
    system.configure(2);
    wait_until("the others watch",
               [&] { return watchers(system).size() == 2; });
    for (const int each : watchers(system)) {
      CPPUNIT_ASSERT(std::find(first.begin(), first.end(), each) ==
                     first.end());
    }
  }

  void those_that_ask_serve_while_the_platform_is_out() {
    service_deployment system(together());
    start_shared(system);
    system.platform_fault({{"outage", true}});
    for (int i = 1; i <= gateway_count; ++i) {
      const std::string attempt = "out-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(
          200, system.request(gateway(i), "/safe/a", attempt).status);
    }
    system.platform_fault({{"outage", false}});
    system.register_runner("runner-1", "draining");
    for (int i = 1; i <= gateway_count; ++i) {
      wait_until(gateway(i) + " hears of it",
                 [&] { return serves_by_the_other(system, i); });
    }
  }

  // A call to a platform that is silent is lost even if it is back in the next
  // moment.
  void gateway_asks_a_silent_platform_for_the_others_again() {
    service_deployment system(together());
    system.start("objects");
    wait_until("the platform answers", [&] {
      return system.platform_calls("GET /objects/config") == 0;
    });
    system.platform_fault({{"silent", true}});
    system.start(gateway(1));
    wait_until("three lists are asked for",
               [&] { return system.platform_calls(list_of_gateways) >= 3; });
    CPPUNIT_ASSERT_EQUAL(0, system.platform_calls("POST " + gateways));
  }

  void gateway_that_starts_among_others_reads_no_endpoints() {
    service_deployment system(together());
    start_shared(system);
    const std::vector<int> watching = watchers(system);
    int follower = 1;
    while (std::find(watching.begin(), watching.end(), follower) !=
           watching.end()) {
      ++follower;
    }
    system.kill(gateway(follower));
    const int lists = system.platform_calls("GET /objects/servers");
    const int configurations = system.platform_calls("GET /objects/config");
    system.start(gateway(follower));
    system.wait_ready(gateway(follower));

    CPPUNIT_ASSERT_EQUAL(lists, system.platform_calls("GET /objects/servers"));
    CPPUNIT_ASSERT_EQUAL(configurations,
                         system.platform_calls("GET /objects/config"));
  }

 private:
  inline static const std::string gateways = "/objects/trayrock-gateways";
  inline static const std::string list_of_gateways = "GET " + gateways;

  static void start_shared(service_deployment& system) {
    system.start_all();
    wait_until("two watch", [&] { return watchers(system).size() == 2; });
  }

  // The numbers of the gateways that say that they watch.
  static std::vector<int> watchers(service_deployment& system) {
    std::vector<int> found;
    for (int i = 1; i <= gateway_count; ++i) {
      const bool watches = system.running(gateway(i)) &&
                           system.metric(gateway(i), "watches_platform") == 1;
      if (watches) {
        found.push_back(i);
      }
    }
    return found;
  }

  // Ten requests that all went to runner-2.
  static bool serves_by_the_other(service_deployment& system, int number) {
    static int attempts = 0;
    constexpr int tries = 10;
    const json before = system.counts("runner-1");
    for (int i = 0; i < tries; ++i) {
      const std::string attempt = "left-" + std::to_string(++attempts);
      if (system.request(gateway(number), "/safe/a", attempt).status != 200) {
        return false;
      }
    }
    return system.counts("runner-1")["runs"].size() == before["runs"].size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_watch_test);

}  // namespace
}  // namespace trayrock::testing
