// End-to-end tests of workspace rate limits: shared by all gateways, kept over
// restarts, and counting only requests that may have run.
#include <csignal>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int code_limit = 1310;

json workspaces_with_limit(double per_second, double burst) {
  return {{{"name", "growers"},
           {"apiKeys", {"grower-key"}},
           {"ratePerS", per_second},
           {"burst", burst}},
          {{"name", "buyers"}, {"apiKeys", {"buyer-key"}}}};
}

service_options with_limit(double per_second, double burst, double window_s) {
  service_options made;
  made.workspaces = workspaces_with_limit(per_second, burst);
  made.limit_window_s = window_s;
  return made;
}

http_answer send_request(service_deployment& system, const std::string& gateway,
                         const std::string& attempt,
                         const std::string& key = "grower-key") {
  return system.request(gateway, "/unsafe/a", attempt,
                        {{"Authorization", "Bearer " + key}});
}

void add_third_store(service_deployment& system) {
  system.add_store("store-3");
  system.start("store-3");
  wait_until("the group has three voters", [&] {
    const json group = system.group();
    return group.is_object() && group["voters"].size() == 3;
  });
  wait_until("store-3 counts",
             [&] { return system.metric("store-3", "store_counts") == 1; });
}

// Permits require that the gateways have the stores' group.
void wait_until_served(service_deployment& system) {
  wait_until("a permit is given", [&] {
    return send_request(system, "gateway-1", "first").status == 200;
  });
}

class permit_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_path_test);
  CPPUNIT_TEST(limit_is_shared_by_all_gateways);
  CPPUNIT_TEST(limit_is_complete_when_a_store_joins_a_first_group_of_two);
  CPPUNIT_TEST(store_that_joins_grants_nothing_beyond_a_used_up_limit);
  CPPUNIT_TEST(rejection_has_retry_after_and_nothing_ran);
  CPPUNIT_TEST(workspace_over_its_limit_does_not_affect_others);
  CPPUNIT_TEST(request_that_did_not_run_is_not_counted);
  CPPUNIT_TEST(restarts_do_not_reset_the_limit);
  CPPUNIT_TEST(shares_of_other_stores_survive_a_lost_store);
  CPPUNIT_TEST(request_without_a_permit_is_rejected_and_not_run);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 12 requests fit into the window; each store grants 4 of them.
  void limit_is_shared_by_all_gateways() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_until_served(system);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      const std::string gateway = i % 2 == 0 ? "gateway-1" : "gateway-2";
      served +=
          send_request(system, gateway, "u" + std::to_string(i)).status == 200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
  }

  // Guards against requests that are rejected within their limit because a
  // store with a slow disk was late for the first group.
  void limit_is_complete_when_a_store_joins_a_first_group_of_two() {
    service_options options = with_limit(0.2, 0, long_window_s);
    options.stores = 2;
    service_deployment system(options);
    system.start_all();
    wait_until_served(system);
    add_third_store(system);

    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-1", "u" + std::to_string(i)).status ==
          200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
  }

  void store_that_joins_grants_nothing_beyond_a_used_up_limit() {
    service_options options = with_limit(0.2, 0, long_window_s);
    options.stores = 2;
    service_deployment system(options);
    system.start_all();
    wait_until_served(system);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-1", "a" + std::to_string(i)).status ==
          200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
    add_third_store(system);

    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-2", "b" + std::to_string(i)).status ==
          200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
  }

  void rejection_has_retry_after_and_nothing_ran() {
    service_deployment system(with_limit(1, 0, 1));
    system.start_all();
    wait_until_served(system);
    http_answer refused;
    int number = 0;
    wait_until("the limit is reached", [&] {
      refused =
          send_request(system, "gateway-1", "u" + std::to_string(++number));
      return refused.status == 429;
    });

    CPPUNIT_ASSERT_EQUAL(code_limit, refused.error_code());
    CPPUNIT_ASSERT(refused.headers.contains("retry-after"));
    CPPUNIT_ASSERT_EQUAL(0, system.runs("u" + std::to_string(number)));
    wait_until_served(system);
  }

  void workspace_over_its_limit_does_not_affect_others() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_until_served(system);
    for (int i = 0; i < 30; ++i) {
      send_request(system, "gateway-1", "u" + std::to_string(i));
    }
    for (int i = 0; i < 30; ++i) {
      const std::string attempt = "b" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(
          200, send_request(system, "gateway-1", attempt, "buyer-key").status);
    }
  }

  // Counting thirty refusals by endpoints would exhaust the limit twice.
  void request_that_did_not_run_is_not_counted() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_until_served(system);
    for (int i = 0; i < 30; ++i) {
      system.runner_fault("runner-1", {{"refuse", 2}});
      system.runner_fault("runner-2", {{"refuse", 2}});
      CPPUNIT_ASSERT_EQUAL(
          503,
          send_request(system, "gateway-1", "r" + std::to_string(i)).status);
    }
    system.runner_fault("runner-1", {{"refuse", 0}});
    system.runner_fault("runner-2", {{"refuse", 0}});
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-1", "u" + std::to_string(i)).status ==
          200;
    }
    TRAYROCK_CHECK(served >= 11, "expected 11 or 12 served, seen " << served);
  }

  void restarts_do_not_reset_the_limit() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_until_served(system);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-1", "u" + std::to_string(i)).status ==
          200;
    }
    for (const char* each :
         {"gateway-1", "gateway-2", "store-1", "store-2", "store-3"}) {
      system.kill(each);
      system.start(each);
    }
    system.wait_ready("gateway-1");
    system.wait_ready("gateway-2");
    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-2", "v" + std::to_string(i)).status ==
          200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
  }

  void shares_of_other_stores_survive_a_lost_store() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_until_served(system);
    system.signal("store-2", SIGSTOP);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served +=
          send_request(system, "gateway-1", "u" + std::to_string(i)).status ==
          200;
    }
    system.signal("store-2", SIGCONT);
    TRAYROCK_CHECK(served >= 8 && served <= 12,
                   "expected two shares of 4 at least, seen " << served);
  }

  void request_without_a_permit_is_rejected_and_not_run() {
    service_options options = with_limit(100, 100, 1);
    options.links = true;
    service_deployment system(options);
    system.start_all();
    wait_until_served(system);
    for (const char* each : {"store-1", "store-2", "store-3"}) {
      system.link(each).set(link_fault::silence);
    }
    const int refused = send_request(system, "gateway-1", "u1").status;
    for (const char* each : {"store-1", "store-2", "store-3"}) {
      system.link(each).set(link_fault::none);
    }

    TRAYROCK_CHECK(refused == 503 && system.runs("u1") == 0,
                   "expected 503 and no run, seen " << refused);
    wait_until("permits are given again", [&] {
      return send_request(system, "gateway-1", "u2").status == 200;
    });
  }

 private:
  // Far longer than a test takes.
  static constexpr double long_window_s = 60;
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_path_test);

}  // namespace
}  // namespace trayrock::testing
