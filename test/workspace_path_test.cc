// End-to-end tests of keys, workspaces and key revocation.
#include <chrono>
#include <csignal>
#include <future>
#include <thread>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int code_unknown_turn = 1112;
constexpr int code_unknown_key = 1113;
constexpr int code_unproven = 1523;

json workspaces_with(const json& grower_keys) {
  return {{{"name", "growers"}, {"apiKeys", grower_keys}},
          {{"name", "buyers"}, {"apiKeys", {"buyer-key"}}}};
}

std::map<std::string, std::string> with_key(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

std::map<std::string, std::string> turn_headers(const std::string& key,
                                                const std::string& previous,
                                                int budget = 1000) {
  std::map<std::string, std::string> made = with_key(key);
  made["Trayrock-Program-Id"] = "program";
  made["Trayrock-Session-Id"] = "session";
  made["Trayrock-Token-Budget"] = std::to_string(budget);
  made["Trayrock-Token-Usage"] = "100,10";
  if (!previous.empty()) {
    made["Trayrock-Previous-Turn"] = previous;
  }
  return made;
}

json open_route() {
  return {{{"name", "open"},
           {"host", "local"},
           {"pathPrefix", "/open/"},
           {"type", "safe"},
           {"service", "assistant"},
           {"public", true}}};
}

class workspace_path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(workspace_path_test);
  CPPUNIT_TEST(only_a_known_key_is_served);
  CPPUNIT_TEST(endpoint_receives_the_workspace_and_not_the_key);
  CPPUNIT_TEST(key_in_a_trailer_is_ignored);
  CPPUNIT_TEST(public_route_requires_no_key);
  CPPUNIT_TEST(turn_of_another_workspace_is_unknown);
  CPPUNIT_TEST(budgets_of_workspaces_are_separate);
  CPPUNIT_TEST(revoked_key_gets_401);
  CPPUNIT_TEST(gateway_without_platform_uses_proofs_of_peers);
  CPPUNIT_TEST(keys_are_rejected_when_no_gateway_reaches_the_platform);
  CPPUNIT_TEST(suspended_gateway_rejects_a_revoked_key_on_resume);
  CPPUNIT_TEST(gateway_that_starts_isolated_rejects_keys);
  CPPUNIT_TEST(gateway_that_starts_without_platform_uses_a_peers_proof);
  CPPUNIT_TEST_SUITE_END();

 public:
  void only_a_known_key_is_served() {
    service_deployment system(with_workspaces());
    system.start_all();
    const auto none = system.request("gateway-1", "/safe/a", "s1");
    const auto wrong =
        system.request("gateway-1", "/safe/a", "s2", with_key("grower-ke"));
    const auto right =
        system.request("gateway-1", "/safe/a", "s3", with_key("grower-key"));

    CPPUNIT_ASSERT_EQUAL(401, none.status);
    CPPUNIT_ASSERT_EQUAL(code_unknown_key, none.error_code());
    CPPUNIT_ASSERT_EQUAL(401, wrong.status);
    CPPUNIT_ASSERT_EQUAL(200, right.status);
    CPPUNIT_ASSERT_EQUAL(0, system.runs("s1") + system.runs("s2"));
  }

  void endpoint_receives_the_workspace_and_not_the_key() {
    service_deployment system(with_workspaces());
    system.start_all();
    auto headers = with_key("grower-key");
    headers["trayrock-tenant"] = "buyers";
    system.request("gateway-1", "/unsafe/a", "u1", headers);

    const json run = system.run_of("u1");
    CPPUNIT_ASSERT_EQUAL(json({"growers"}).dump(), run["workspaces"].dump());
    CPPUNIT_ASSERT(!run["saw_key"].get<bool>());
  }

  void key_in_a_trailer_is_ignored() {
    service_deployment system(with_workspaces());
    system.start_all();
    const std::string response = send_raw(
        system.port("gateway-1"),
        "POST /safe/a HTTP/1.1\r\nHost: local\r\nTrayrock-Attempt-Id: s1\r\n"
        "Trailer: Authorization\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\none\r\n0\r\nAuthorization: Bearer grower-key\r\n\r\n",
        2);

    TRAYROCK_CHECK(response.starts_with("HTTP/1.1 401"),
                   "expected 401, seen " << response);
  }

  void public_route_requires_no_key() {
    service_deployment system(with_workspaces());
    system.start_all();
    system.configure(2, open_route());
    wait_until("the route is known", [&] {
      return system.request("gateway-1", "/open/a", "s1").status == 200;
    });
    auto headers = with_key("grower-key");
    headers["Trayrock-Tenant"] = "growers";
    const auto response = system.request("gateway-1", "/open/a", "s2", headers);

    CPPUNIT_ASSERT_EQUAL(200, response.status);
    const json run = system.run_of("s2");
    CPPUNIT_ASSERT(run["workspaces"].empty());
    CPPUNIT_ASSERT(!run["saw_key"].get<bool>());
  }

  void turn_of_another_workspace_is_unknown() {
    service_deployment system(with_workspaces());
    system.start_all();
    const auto made = system.request("gateway-1", "/stream/a", "t1",
                                     turn_headers("grower-key", ""), "one");
    const auto foreign = system.request("gateway-1", "/stream/a", "t2",
                                        turn_headers("buyer-key", "t1"), "two");
    const auto elsewhere = system.request(
        "gateway-2", "/stream/a", "t3", turn_headers("buyer-key", "t1"), "two");
    const auto own = system.request("gateway-2", "/stream/a", "t4",
                                    turn_headers("grower-key", "t1"), "two");

    CPPUNIT_ASSERT_EQUAL(200, made.status);
    CPPUNIT_ASSERT_EQUAL(404, foreign.status);
    CPPUNIT_ASSERT_EQUAL(code_unknown_turn, foreign.error_code());
    CPPUNIT_ASSERT_EQUAL(404, elsewhere.status);
    CPPUNIT_ASSERT_EQUAL(200, own.status);
    CPPUNIT_ASSERT_EQUAL(0, system.runs("t2") + system.runs("t3"));
  }

  // Both workspaces use the same names for programs and turns.
  void budgets_of_workspaces_are_separate() {
    service_deployment system(with_workspaces());
    system.start_all();
    constexpr int one_turn = 15;
    const auto first =
        system.request("gateway-1", "/stream/a", "t1",
                       turn_headers("grower-key", "", one_turn), "one");
    const auto other =
        system.request("gateway-1", "/stream/a", "t1",
                       turn_headers("buyer-key", "", one_turn), "uno");
    const auto second =
        system.request("gateway-1", "/stream/a", "t2",
                       turn_headers("grower-key", "t1", one_turn), "two");

    CPPUNIT_ASSERT_EQUAL(200, first.status);
    CPPUNIT_ASSERT_EQUAL(200, other.status);
    CPPUNIT_ASSERT_EQUAL(402, second.status);
  }

  void revoked_key_gets_401() {
    service_deployment system(with_workspaces());
    system.start_all();
    CPPUNIT_ASSERT_EQUAL(
        200,
        system.request("gateway-1", "/safe/a", "s0", with_key("grower-key"))
            .status);
    system.set_workspaces(workspaces_with(json::array()));
    system.configure(2);
    wait_until("the key is refused", [&] {
      return system
                 .request("gateway-1", "/safe/a", "s1", with_key("grower-key"))
                 .status == 401;
    });
    CPPUNIT_ASSERT_EQUAL(
        200, system.request("gateway-1", "/safe/a", "s2", with_key("buyer-key"))
                 .status);
  }

  // The platform doesn't respond to one gateway for three times the revocation
  // limit. The peers confirm that the configuration is unchanged.
  void gateway_without_platform_uses_proofs_of_peers() {
    service_options options = with_workspaces();
    options.links = true;
    options.revocation_limit_ms = limit_ms;
    service_deployment system(options);
    system.start_all();
    system.link("platform of gateway-1").set(link_fault::silence);
    const auto begun = std::chrono::steady_clock::now();
    int refused = 0;
    int served = 0;
    while (std::chrono::steady_clock::now() - begun <
           std::chrono::milliseconds(3 * limit_ms)) {
      const auto response = system.request(
          "gateway-1", "/safe/a", "s" + std::to_string(served + refused),
          with_key("grower-key"));
      ++(response.status == 200 ? served : refused);
    }

    TRAYROCK_CHECK(refused == 0 && served > 0, "expected none refused, seen "
                                                   << refused << " of "
                                                   << served + refused);
  }

  void keys_are_rejected_when_no_gateway_reaches_the_platform() {
    service_options options = with_workspaces();
    options.revocation_limit_ms = limit_ms;
    service_deployment system(options);
    system.start_all();
    system.configure(2, open_route());
    wait_until("the route is known", [&] {
      return system.request("gateway-1", "/open/a", "s1").status == 200;
    });
    system.platform_fault({{"silent", true}});
    http_answer refused;
    wait_until("keys are refused", [&] {
      refused =
          system.request("gateway-1", "/safe/a", "s2", with_key("grower-key"));
      return refused.status == 503;
    });

    CPPUNIT_ASSERT_EQUAL(code_unproven, refused.error_code());
    CPPUNIT_ASSERT(refused.headers.contains("retry-after"));
    const auto unknown =
        system.request("gateway-1", "/safe/a", "s3", with_key("new-key"));
    CPPUNIT_ASSERT_EQUAL(503, unknown.status);
    CPPUNIT_ASSERT_EQUAL(200,
                         system.request("gateway-1", "/open/a", "s4").status);
    system.platform_fault({{"silent", false}});
    wait_until("keys are served again", [&] {
      return system
                 .request("gateway-1", "/safe/a", "s5", with_key("grower-key"))
                 .status == 200;
    });
  }

  void suspended_gateway_rejects_a_revoked_key_on_resume() {
    service_options options = with_workspaces();
    options.revocation_limit_ms = limit_ms;
    service_deployment system(options);
    system.start_all();
    system.signal("gateway-1", SIGSTOP);
    system.set_workspaces(workspaces_with(json::array()));
    system.configure(2);
    wait_until("another gateway refuses the key", [&] {
      return system
                 .request("gateway-2", "/safe/a", "s1", with_key("grower-key"))
                 .status == 401;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(limit_ms));
    // It waits in the socket until the gateway resumes.
    auto waiting = std::async(std::launch::async, [&] {
      return system.request("gateway-1", "/safe/a", "s2",
                            with_key("grower-key"));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    system.signal("gateway-1", SIGCONT);
    const int status = waiting.get().status;

    TRAYROCK_CHECK(status == 401 || status == 503,
                   "expected a refusal, seen " << status);
    CPPUNIT_ASSERT_EQUAL(0, system.runs("s2"));
  }

  // Neither the platform nor a peer can confirm a configuration.
  void gateway_that_starts_isolated_rejects_keys() {
    service_options options = with_workspaces();
    options.gateways = 1;
    options.links = true;
    options.revocation_limit_ms = limit_ms;
    service_deployment system(options);
    system.start_all();
    system.kill("gateway-1");
    system.link("platform of gateway-1").set(link_fault::silence);
    system.start("gateway-1");
    http_answer response;
    wait_until("the gateway answers", [&] {
      response =
          system.request("gateway-1", "/safe/a", "s1", with_key("grower-key"));
      return response.status != 0;
    });

    CPPUNIT_ASSERT_EQUAL(503, response.status);
    CPPUNIT_ASSERT_EQUAL(0, system.runs("s1"));
  }

  // The peer's proof is valid from the start, and expires as it does at the
  // peer.
  void gateway_that_starts_without_platform_uses_a_peers_proof() {
    service_options options = with_workspaces();
    options.links = true;
    options.revocation_limit_ms = limit_ms;
    service_deployment system(options);
    system.start_all();
    system.kill("gateway-1");
    system.link("platform of gateway-1").set(link_fault::silence);
    system.start("gateway-1");
    wait_until("the key is served", [&] {
      return system
                 .request("gateway-1", "/safe/a", "s1", with_key("grower-key"))
                 .status == 200;
    });
    system.set_workspaces(workspaces_with(json::array()));
    system.configure(2);
    std::this_thread::sleep_for(std::chrono::milliseconds(limit_ms));
    const int status =
        system.request("gateway-1", "/safe/a", "s2", with_key("grower-key"))
            .status;

    TRAYROCK_CHECK(status == 401 || status == 503,
                   "expected a refusal, seen " << status);
    CPPUNIT_ASSERT_EQUAL(0, system.runs("s2"));
  }

 private:
  static constexpr int limit_ms = 2000;

  static service_options with_workspaces() {
    service_options made;
    made.workspaces = workspaces_with({"grower-key"});
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_path_test);

}  // namespace
}  // namespace trayrock::testing
