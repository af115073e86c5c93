// Four gateway processes of one data centre, two of which watch the platform.
#include <algorithm>
#include <chrono>
#include <thread>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int gateway_count = 4;

service_options shared_options() {
  service_options made;
  made.gateways = gateway_count;
  made.gateways_together = true;
  return made;
}

std::string gateway(int number) { return "gateway-" + std::to_string(number); }

class shared_watch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shared_watch_test);
  CPPUNIT_TEST(two_of_four_gateways_watch);
  CPPUNIT_TEST(configuration_reaches_gateways_that_do_not_watch);
  CPPUNIT_TEST(gateways_that_do_not_watch_stop_using_a_draining_endpoint);
  CPPUNIT_TEST(other_gateways_watch_when_the_watchers_are_killed);
  CPPUNIT_TEST(all_gateways_serve_during_an_outage);
  CPPUNIT_TEST(list_request_to_a_silent_platform_is_repeated);
  CPPUNIT_TEST(starting_gateway_reads_its_state_from_peers);
  CPPUNIT_TEST(draining_endpoint_is_avoided_while_watchers_lost_the_platform);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_of_four_gateways_watch() {
    service_deployment system(shared_options());
    system.start_all();
    wait_until("two watch", [&] { return watchers(system).size() == 2; });
  }

  void configuration_reaches_gateways_that_do_not_watch() {
    service_deployment system(shared_options());
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

  void gateways_that_do_not_watch_stop_using_a_draining_endpoint() {
    service_deployment system(shared_options());
    start_shared(system);
    system.register_runner("runner-1", "draining");
    for (int i = 1; i <= gateway_count; ++i) {
      wait_until(gateway(i) + " stops using the endpoint",
                 [&] { return avoids_runner_1(system, i); });
    }
  }

  void other_gateways_watch_when_the_watchers_are_killed() {
    service_deployment system(shared_options());
    start_shared(system);
    const std::vector<int> first = watchers(system);
    for (const int each : first) {
      system.kill(gateway(each));
    }
    system.configure(2);
    wait_until("the other gateways watch",
               [&] { return watchers(system).size() == 2; });
    for (const int each : watchers(system)) {
      CPPUNIT_ASSERT(std::find(first.begin(), first.end(), each) ==
                     first.end());
    }
  }

  void all_gateways_serve_during_an_outage() {
    service_deployment system(shared_options());
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
      wait_until(gateway(i) + " stops using it after the outage",
                 [&] { return avoids_runner_1(system, i); });
    }
  }

  // A call that a silent platform received may never get a response.
  void list_request_to_a_silent_platform_is_repeated() {
    service_deployment system(shared_options());
    system.start("objects");
    wait_until("the platform responds", [&] {
      return system.platform_calls("GET /objects/config") == 0;
    });
    system.platform_fault({{"silent", true}});
    system.start(gateway(1));
    wait_until("three lists are requested",
               [&] { return system.platform_calls(list_of_gateways) >= 3; });
    CPPUNIT_ASSERT_EQUAL(0, system.platform_calls("POST " + gateways));
  }

  void starting_gateway_reads_its_state_from_peers() {
    service_deployment system(shared_options());
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

  // Guards against requests to a draining endpoint from gateways that reach the
  // platform and poll watchers to which it has fallen silent: these claimed to
  // watch for as long as they were polled. A gateway of another data centre
  // has the change.
  void draining_endpoint_is_avoided_while_watchers_lost_the_platform() {
    service_options options = shared_options();
    options.gateways = gateway_count + 1;
    options.gateways_elsewhere = 1;
    options.links = true;
    service_deployment system(options);
    start_shared(system);
    const std::vector<int> watching = watchers(system);
    for (const int each : watching) {
      system.link("platform of " + gateway(each)).set(link_fault::silence);
    }
    system.register_runner("runner-1", "draining");
    std::this_thread::sleep_for(endpoint_notice);

    for (int i = 1; i <= gateway_count; ++i) {
      const bool follows =
          std::find(watching.begin(), watching.end(), i) == watching.end();
      CPPUNIT_ASSERT_MESSAGE(gateway(i),
                             !follows || avoids_runner_1(system, i));
    }
  }

 private:
  // The default of the setting endpoint_notice_ms.
  static constexpr std::chrono::milliseconds endpoint_notice{2000};
  inline static const std::string gateways = "/objects/trayrock-gateways";
  inline static const std::string list_of_gateways = "GET " + gateways;

  static void start_shared(service_deployment& system) {
    system.start_all();
    wait_until("two watch", [&] { return watchers(system).size() == 2; });
  }

  // The numbers of the gateways whose metric says that they watch.
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

  // Whether ten requests all go to runner-2.
  static bool avoids_runner_1(service_deployment& system, int number) {
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
