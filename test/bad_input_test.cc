// Bad input gets a numbered error and does not affect other requests.
#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class bad_input_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(bad_input_test);
  CPPUNIT_TEST(bad_requests_get_numbered_errors);
  CPPUNIT_TEST(garbage_between_processes_is_counted_and_harmless);
  CPPUNIT_TEST_SUITE_END();

 public:
  void bad_requests_get_numbered_errors() {
    deployment_options options;
    options.entry_settings = R"(, "max_body_bytes": 65536,)"
                             R"( "idle_timeout_ms": 1500)";
    deployment system(options);
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    CPPUNIT_ASSERT_EQUAL(200, system.call("entry-1", id, 1, "a", "x").status);

    check(system.call("entry-1", "p-none", 1, "a", "x"), 404, 1101);
    check(system.call("entry-1", id, 1, "b", "x"), 409, 1103);
    check(system.call("entry-1", id, 5, "b", "x"), 409, 1104);
    check(system.call("entry-1", id, 2, "a", "other"), 409, 1107);
    check(system.call("entry-1", id, 2, "b", "x", "nowhere"), 404, 1110);
    check(calls(system, id, "{", "caroni"), 400, 1001);
    check(calls(system, id, R"({"messages": "x"})", "caroni"), 400, 1001);
    check(calls(system, id, R"({"messages": [], "sequence": -1})", "caroni"),
          400, 1001);
    check(calls(system, id, body(), "batangas"), 403, 1102);
    check(calls(system, id, body(), "nobody"), 403, 1109);
    check(calls(system, id, body(), ""), 400, 1003);
    check(system.request("entry-1", "POST", "/v1/programs/" + id + "/calls",
                         body(), {{"X-Trayrock-Member", "caroni"}}),
          400, 1003);
    check(system.request("entry-1", "GET", "/v2/else", "",
                         {{"X-Trayrock-Member", "caroni"}}),
          404, 1004);
    const http_answer large =
        calls(system, id, std::string(100000, 'x'), "caroni");
    CPPUNIT_ASSERT_EQUAL(413, large.status);

    const int entry = system.port("entry-1");
    const std::string garbage = send_raw(entry, "\x01\x02 garbage\r\n\r\n", 5);
    TRAYROCK_CHECK(garbage.find(" 400 ") != std::string::npos ||
                       garbage.find(" 501 ") != std::string::npos ||
                       garbage.empty(),
                   "seen: " << garbage);
    // Half a request, then silence: the entry closes by itself.
    send_raw(entry, "POST /v1/programs HTTP/1.1\r\nContent-Length: 99\r\n\r\n{",
             20);
    CPPUNIT_ASSERT_EQUAL(200, system.call("entry-1", id, 2, "b", "y").status);
  }

  void garbage_between_processes_is_counted_and_harmless() {
    deployment system;
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    const int node = system.rpc_port("box-a");
    send_raw(node, std::string(5000, '\x7f'), 5);
    // A sound preface, then a truncated frame.
    std::string frame("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    frame += std::string("\x00\x00\x20\x01\x04\x00\x00\x00\x01\x82", 10);
    send_raw(node, frame, 1);
    // A frame larger than any that was agreed on.
    std::string large("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    large += std::string("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9);
    large += std::string(70000, 'z');
    send_raw(node, large, 5);

    wait_until("garbage is counted", [&] {
      return system.metric("box-a", "wire_garbled_total") >= 1;
    });
    CPPUNIT_ASSERT_EQUAL(200, system.call("entry-1", id, 1, "a", "x").status);
    CPPUNIT_ASSERT(system.running("box-a"));
  }

 private:
  static std::string body() {
    return R"({"sequence": 2, "messages": [{"content": "x"}]})";
  }

  static http_answer calls(deployment& system, const std::string& id,
                           const std::string& body, const std::string& member) {
    std::map<std::string, std::string> headers{{"Idempotency-Key", "z"}};
    if (!member.empty()) {
      headers["X-Trayrock-Member"] = member;
    }
    return system.request("entry-1", "POST", "/v1/programs/" + id + "/calls",
                          body, headers);
  }

  static void check(const http_answer& answer, int status, int code) {
    TRAYROCK_CHECK(answer.status == status && answer.error_code() == code &&
                       answer.ran() == "no",
                   "expected " << status << " with " << code
                               << " and not run, seen " << answer.status << ": "
                               << answer.body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_input_test);

}  // namespace
}  // namespace trayrock::testing
