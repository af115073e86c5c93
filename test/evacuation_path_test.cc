// Gateway processes while the operator evacuates a data centre.
#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int gateway_count = 4;

service_options options() {
  service_options made;
  made.gateways = gateway_count;
  made.gateways_together = true;
  made.evacuation_notice_ms = 2000;
  return made;
}

std::string gateway(int number) { return "gateway-" + std::to_string(number); }

// Runner 1 is in dc-1, runner 2 in dc-2.
void start_in_two_data_centres(service_deployment& system) {
  system.start_all();
  json entry = system.object("servers", "runner-2")["spec"];
  entry["zone"] = "dc-2";
  system.put_object("servers", "runner-2", entry);
  wait_until("two gateways watch", [&] {
    int watching = 0;
    for (int i = 1; i <= gateway_count; ++i) {
      watching += system.metric(gateway(i), "watches_platform") == 1 ? 1 : 0;
    }
    return watching == 2;
  });
}

// Whether ten requests through the gateway all avoid the endpoint.
bool avoids(service_deployment& system, int number,
            const std::string& endpoint) {
  static int attempts = 0;
  constexpr int tries = 10;
  const std::size_t before = system.counts(endpoint)["runs"].size();
  for (int i = 0; i < tries; ++i) {
    system.request(gateway(number), "/safe/a",
                   "attempt-" + std::to_string(++attempts));
  }
  return system.counts(endpoint)["runs"].size() == before;
}

class evacuation_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_path_test);
  CPPUNIT_TEST(all_gateways_avoid_an_evacuated_data_centre);
  CPPUNIT_TEST(data_centre_is_used_after_its_evacuation);
  CPPUNIT_TEST(gateway_started_during_an_evacuation_avoids_it);
  CPPUNIT_TEST(requests_are_rejected_while_all_are_evacuated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void all_gateways_avoid_an_evacuated_data_centre() {
    service_deployment system(options());
    start_in_two_data_centres(system);
    system.put_object("evacuations", "dc-1", json::object());
    expect_all_avoid(system, "runner-1");
  }

  void data_centre_is_used_after_its_evacuation() {
    service_deployment system(options());
    start_in_two_data_centres(system);
    system.put_object("evacuations", "dc-1", json::object());
    expect_all_avoid(system, "runner-1");
    system.remove_object("evacuations", "dc-1");
    for (int i = 1; i <= gateway_count; ++i) {
      wait_until(gateway(i) + " uses it again",
                 [&] { return !avoids(system, i, "runner-1"); });
    }
  }

  void gateway_started_during_an_evacuation_avoids_it() {
    service_deployment system(options());
    start_in_two_data_centres(system);
    system.put_object("evacuations", "dc-1", json::object());
    system.kill(gateway(1));
    system.start(gateway(1));
    system.wait_ready(gateway(1));
    wait_until("the restarted gateway avoids it",
               [&] { return avoids(system, 1, "runner-1"); });
  }

  void requests_are_rejected_while_all_are_evacuated() {
    service_deployment system(options());
    start_in_two_data_centres(system);
    system.put_object("evacuations", "dc-1", json::object());
    system.put_object("evacuations", "dc-2", json::object());
    expect_all_avoid(system, "runner-1");
    expect_all_avoid(system, "runner-2");
    const http_answer response =
        system.request(gateway(1), "/unsafe/a", "refused");
    CPPUNIT_ASSERT_EQUAL(503, response.status);
    CPPUNIT_ASSERT_EQUAL(0, system.runs("refused"));
  }

 private:
  static void expect_all_avoid(service_deployment& system,
                               const std::string& endpoint) {
    for (int i = 1; i <= gateway_count; ++i) {
      wait_until(gateway(i) + " avoids " + endpoint,
                 [&] { return avoids(system, i, endpoint); });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_path_test);

}  // namespace
}  // namespace trayrock::testing
