// Limits of workspaces through gateways and record stores: counted over all
// gateways, over restarts, and only for what has run.
#include <csignal>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int code_limit = 1310;

json limited(double per_second, double burst) {
  return {{{"name", "growers"},
           {"apiKeys", {"grower-key"}},
           {"ratePerS", per_second},
           {"burst", burst}},
          {{"name", "buyers"}, {"apiKeys", {"buyer-key"}}}};
}

service_options with_limit(double per_second, double burst, double window_s) {
  service_options made;
  made.workspaces = limited(per_second, burst);
  made.limit_window_s = window_s;
  return made;
}

http_answer ask(service_deployment& system, const std::string& gateway,
                const std::string& attempt,
                const std::string& key = "grower-key") {
  return system.request(gateway, "/unsafe/a", attempt,
                        {{"Authorization", "Bearer " + key}});
}

// The gateways have to hear of the stores' group.
void wait_served(service_deployment& system) {
  wait_until("a permit is given",
             [&] { return ask(system, "gateway-1", "first").status == 200; });
}

class permit_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_path_test);
  CPPUNIT_TEST(limit_counts_over_all_gateways);
  CPPUNIT_TEST(refusal_says_when_to_come_back_and_is_true);
  CPPUNIT_TEST(workspace_over_its_limit_takes_nothing_from_others);
  CPPUNIT_TEST(request_that_no_endpoint_ran_counts_for_nothing);
  CPPUNIT_TEST(restarted_gateways_and_stores_give_no_fresh_limit);
  CPPUNIT_TEST(lost_store_leaves_the_other_shares);
  CPPUNIT_TEST(no_permit_from_any_store_is_a_true_refusal);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 12 requests fit into the window, and each store gives 4 of them.
  void limit_counts_over_all_gateways() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_served(system);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      const std::string gateway = i % 2 == 0 ? "gateway-1" : "gateway-2";
      served += ask(system, gateway, "u" + std::to_string(i)).status == 200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
  }

  void refusal_says_when_to_come_back_and_is_true() {
    service_deployment system(with_limit(1, 0, 1));
    system.start_all();
    wait_served(system);
    http_answer refused;
    int number = 0;
    wait_until("the limit is reached", [&] {
      refused = ask(system, "gateway-1", "u" + std::to_string(++number));
      return refused.status == 429;
    });

    CPPUNIT_ASSERT_EQUAL(code_limit, refused.error_code());
    CPPUNIT_ASSERT(refused.headers.contains("retry-after"));
    CPPUNIT_ASSERT_EQUAL(0, system.runs("u" + std::to_string(number)));
    wait_served(system);
  }

  void workspace_over_its_limit_takes_nothing_from_others() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_served(system);
    for (int i = 0; i < 30; ++i) {
      ask(system, "gateway-1", "u" + std::to_string(i));
    }
    for (int i = 0; i < 30; ++i) {
      const std::string attempt = "b" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(
          200, ask(system, "gateway-1", attempt, "buyer-key").status);
    }
  }

  // Thirty refusals by endpoints would use the limit up twice.
  void request_that_no_endpoint_ran_counts_for_nothing() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_served(system);
    for (int i = 0; i < 30; ++i) {
      system.runner_fault("runner-1", {{"refuse", 2}});
      system.runner_fault("runner-2", {{"refuse", 2}});
      CPPUNIT_ASSERT_EQUAL(
          503, ask(system, "gateway-1", "r" + std::to_string(i)).status);
    }
    system.runner_fault("runner-1", {{"refuse", 0}});
    system.runner_fault("runner-2", {{"refuse", 0}});
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served += ask(system, "gateway-1", "u" + std::to_string(i)).status == 200;
    }
    TRAYROCK_CHECK(served >= 11, "expected 11 or 12 served, seen " << served);
  }

  void restarted_gateways_and_stores_give_no_fresh_limit() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_served(system);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served += ask(system, "gateway-1", "u" + std::to_string(i)).status == 200;
    }
    for (const char* each :
         {"gateway-1", "gateway-2", "store-1", "store-2", "store-3"}) {
      system.kill(each);
      system.start(each);
    }
    system.wait_ready("gateway-1");
    system.wait_ready("gateway-2");
    for (int i = 0; i < 20; ++i) {
      served += ask(system, "gateway-2", "v" + std::to_string(i)).status == 200;
    }
    CPPUNIT_ASSERT_EQUAL(12, served);
  }

  void lost_store_leaves_the_other_shares() {
    service_deployment system(with_limit(0.2, 0, long_window_s));
    system.start_all();
    wait_served(system);
    system.signal("store-2", SIGSTOP);
    int served = 1;
    for (int i = 0; i < 20; ++i) {
      served += ask(system, "gateway-1", "u" + std::to_string(i)).status == 200;
    }
    system.signal("store-2", SIGCONT);
    TRAYROCK_CHECK(served >= 8 && served <= 12,
                   "expected two shares of 4 at least, seen " << served);
  }

  void no_permit_from_any_store_is_a_true_refusal() {
    service_options options = with_limit(100, 100, 1);
    options.links = true;
    service_deployment system(options);
    system.start_all();
    wait_served(system);
    for (const char* each : {"store-1", "store-2", "store-3"}) {
      system.link(each).set(link_fault::silence);
    }
    const int refused = ask(system, "gateway-1", "u1").status;
    for (const char* each : {"store-1", "store-2", "store-3"}) {
      system.link(each).set(link_fault::none);
    }

    TRAYROCK_CHECK(refused == 503 && system.runs("u1") == 0,
                   "expected 503 and no run, seen " << refused);
    wait_until("permits are given again",
               [&] { return ask(system, "gateway-1", "u2").status == 200; });
  }

 private:
  // Far longer than a test takes.
  static constexpr double long_window_s = 60;
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_path_test);

}  // namespace
}  // namespace trayrock::testing
