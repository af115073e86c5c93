// The stand-in of endpoints breaks and extends its responses as told, so that
// tests of the gateway meet what they mean to meet.
#include <memory>
#include <utility>

#include "persistent_connection.h"
#include "received_response.h"
#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int answer_seconds = 10;
const std::string events =
    "id: 1\ndata: t-1\n\nid: 2\ndata: t-2\n\nid: 3\ndata: t-3\n\n";
const std::string plain = "answer to t";

service_options one_runner() {
  service_options options;
  options.gateways = 0;
  options.stores = 0;
  options.runners = 1;
  return options;
}

std::string request(const std::string& path, const std::string& attempt,
                    const std::string& body = "") {
  return "POST " + path + " HTTP/1.1\r\nTrayrock-Attempt-Id: " + attempt +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

class runner_responses_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(runner_responses_test);
  CPPUNIT_TEST(complete_responses_without_length_end_with_their_connection);
  CPPUNIT_TEST(streams_are_cut);
  CPPUNIT_TEST(plain_responses_are_cut);
  CPPUNIT_TEST(surplus_follows_a_complete_response);
  CPPUNIT_TEST(early_responses_come_before_the_body);
  CPPUNIT_TEST(early_responses_close_their_connection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    system_ = std::make_unique<service_deployment>(one_runner());
    system_->start("runner-1");
    wait_until("the stand-in answers",
               [&] { return system_->counts("runner-1").is_object(); });
  }
  void tearDown() override { system_.reset(); }

  void complete_responses_without_length_end_with_their_connection() {
    for (const auto& [path, body] :
         {std::pair{"/stream/a", events}, std::pair{"/unsafe/a", plain}}) {
      const received_response seen = respond("closed_whole", path);
      CPPUNIT_ASSERT(!seen.headers.contains("content-length"));
      CPPUNIT_ASSERT(!seen.headers.contains("transfer-encoding"));
      CPPUNIT_ASSERT(seen.complete);
      CPPUNIT_ASSERT_EQUAL(body, seen.body);
    }
  }

  void streams_are_cut() {
    for (const char* fault :
         {"closed_in_event", "closed_before_event", "reset",
          "chunks_cut_in_event", "chunks_cut_between_events", "length_short"}) {
      expect_cut(fault, "/stream/a", events);
    }
  }

  void plain_responses_are_cut() {
    expect_cut("reset", "/unsafe/a", plain);
    expect_cut("length_short", "/unsafe/a", plain);
  }

  void surplus_follows_a_complete_response() {
    for (const char* fault : {"surplus_bytes", "surplus_response"}) {
      system_->runner_fault("runner-1", {{fault, 1}});
      persistent_connection connection(system_->port("runner-1"));
      const received_response first = exchange(connection, "/unsafe/a");
      CPPUNIT_ASSERT(first.complete);
      CPPUNIT_ASSERT_EQUAL(plain, first.body);
      // At the latest it comes in front of the next response.
      const std::string next =
          connection.exchange(request("/unsafe/a", "t"), answer_seconds);
      TRAYROCK_CHECK(
          !first.surplus.empty() || !connection.unexpected().empty() ||
              parse_response(next, false).header("trayrock-attempt-id") != "t",
          fault << " brought nothing: " << next);
    }
  }

  void early_responses_come_before_the_body() {
    for (const auto& [fault, status] :
         {std::pair{"early_refusal", 503}, std::pair{"early_response", 200}}) {
      system_->runner_fault("runner-1", {{fault, 1}});
      persistent_connection connection(system_->port("runner-1"));
      const std::string sent = request("/unsafe/a", fault, long_body());
      const std::string head =
          connection.exchange(sent.substr(0, sent.size() / 2), answer_seconds);
      CPPUNIT_ASSERT_EQUAL(status, parse_response(head, false).status);
      const std::string next = connection.exchange(
          sent.substr(sent.size() / 2) + request("/unsafe/a", "t"),
          answer_seconds);
      CPPUNIT_ASSERT_EQUAL(plain, parse_response(next, false).body);
    }
    const json counts = system_->counts("runner-1");
    CPPUNIT_ASSERT(!counts["runs"].contains("early_refusal"));
    CPPUNIT_ASSERT(counts["refused_early"]["early_refusal"] ==
                   json::array({long_body()}));
    CPPUNIT_ASSERT(counts["runs"]["early_response"]["body"] == long_body());
  }

  void early_responses_close_their_connection() {
    for (const char* fault :
         {"early_refusal_closed", "early_response_closed"}) {
      system_->runner_fault("runner-1", {{fault, 1}});
      persistent_connection connection(system_->port("runner-1"));
      const std::string sent = request("/unsafe/a", fault, long_body());
      const received_response seen = parse_response(
          connection.exchange(sent.substr(0, sent.size() / 2), answer_seconds),
          false);
      CPPUNIT_ASSERT(seen.complete);
      CPPUNIT_ASSERT_EQUAL(std::string("close"), seen.header("connection"));
    }
  }

 private:
  static std::string long_body() { return std::string(20000, 'b'); }

  static received_response exchange(persistent_connection& connection,
                                    const std::string& path) {
    const std::string bytes =
        connection.exchange(request(path, "t"), answer_seconds);
    return parse_response(bytes, connection.closed());
  }

  received_response respond(const char* fault, const std::string& path) {
    system_->runner_fault("runner-1", {{fault, 1}});
    persistent_connection connection(system_->port("runner-1"));
    return exchange(connection, path);
  }

  void expect_cut(const char* fault, const std::string& path,
                  const std::string& whole) {
    constexpr int places = 20;  // drawn anew each time
    for (int i = 0; i < places; ++i) {
      const received_response seen = respond(fault, path);
      TRAYROCK_CHECK(!seen.complete && whole.starts_with(seen.body),
                     fault << " of " << path << " brought "
                           << (seen.complete ? "a complete body: " : "")
                           << seen.body);
    }
  }

  std::unique_ptr<service_deployment> system_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_responses_test);

}  // namespace
}  // namespace trayrock::testing
