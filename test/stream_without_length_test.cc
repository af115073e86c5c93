// Tests what becomes of an endpoint's response that has neither a length nor
// chunks and ends with its connection.
#include <memory>
#include <mutex>
#include <sstream>
#include <vector>

#include "raw_exchange.h"
#include "scripted_endpoint.h"
#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int code_unknown_turn = 1112;

std::string event(const std::string& attempt, int number) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: " + attempt + "-" + text + "\n\n";
}

std::string events(const std::string& attempt, int count) {
  std::string made;
  for (int number = 1; number <= count; ++number) {
    made += event(attempt, number);
  }
  return made;
}

// Without a length or chunks, unless `more` says so.
std::string head(const std::string& attempt, const std::string& more = "",
                 const std::string& type = "text/event-stream") {
  return "HTTP/1.1 200 OK\r\nTrayrock-Attempt-Id: " + attempt +
         "\r\nTrayrock-Response-Seal: seal." + attempt +
         "\r\nContent-Type: " + type + "\r\n" + more + "\r\n";
}

std::string in_one_chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

std::string attempt_of(const std::string& request) {
  return header_of(request, "Trayrock-Attempt-Id");
}

// One gateway, whose endpoints answer as the script says.
class scripted_deployment {
 public:
  scripted_deployment(const scripted_endpoint::script& respond, int endpoints)
      : system_(one_of_each()) {
    system_.start_all();
    for (int i = 0; i < endpoints; ++i) {
      endpoints_.push_back(std::make_unique<scripted_endpoint>(respond));
      system_.put_object("servers", "scripted-" + std::to_string(i),
                         service_deployment::endpoint_entry(
                             endpoints_.back()->address(), "ready"));
    }
    wait_until("the gateway has the endpoints", [&] {
      return system_.metric("gateway-1", "endpoints_known") == endpoints + 1;
    });
    system_.remove_object("servers", "runner-1");
    wait_until("the gateway uses these endpoints alone", [&] {
      return system_.log_lines("gateway-1", "\"removed\":\"runner-1\"") == 1;
    });
  }

  service_deployment& system() { return system_; }

 private:
  // A gateway without endpoints is not ready: a runner is there at its start.
  static service_options one_of_each() {
    service_options options;
    options.gateways = 1;
    options.runners = 1;
    return options;
  }

  std::vector<std::unique_ptr<scripted_endpoint>> endpoints_;
  service_deployment system_;
};

class stream_without_length_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_without_length_test);
  CPPUNIT_TEST(stream_without_length_cut_inside_an_event_is_not_complete);
  CPPUNIT_TEST(stream_without_length_that_ends_between_events_is_complete);
  CPPUNIT_TEST(stream_without_length_cut_inside_an_event_is_no_stored_turn);
  CPPUNIT_TEST(stream_without_length_and_without_events_is_not_complete);
  CPPUNIT_TEST(stream_without_length_that_is_reset_is_not_complete);
  CPPUNIT_TEST(stream_in_chunks_that_ends_inside_an_event_is_not_complete);
  CPPUNIT_TEST(stream_without_length_cut_inside_an_event_resumes_elsewhere);
  CPPUNIT_TEST(resumed_stream_without_length_and_events_is_not_complete);
  CPPUNIT_TEST(tokens_of_an_interrupted_stream_are_counted);
  CPPUNIT_TEST(body_of_another_type_is_complete_by_its_framing);
  CPPUNIT_TEST(body_without_length_is_complete_at_its_close);
  CPPUNIT_TEST(response_without_content_on_a_streaming_route_is_complete);
  CPPUNIT_TEST(response_to_head_on_a_streaming_route_is_complete);
  CPPUNIT_TEST_SUITE_END();

 public:
  void stream_without_length_cut_inside_an_event_is_not_complete() {
    const std::string last = event("t1", 2);
    for (std::size_t cut = 1; cut < last.size(); ++cut) {
      const http_answer seen = turn_of_stream(
          event("t1", 1) + last.substr(0, cut), "cut-" + std::to_string(cut));
      CPPUNIT_ASSERT_EQUAL(200, seen.status);
      TRAYROCK_CHECK(!seen.complete, "cut after " << cut
                                                  << " bytes of an event, seen "
                                                     "as complete:\n"
                                                  << seen.body);
    }
  }

  void stream_without_length_that_ends_between_events_is_complete() {
    const http_answer seen = turn_of_stream(events("t1", 3));
    CPPUNIT_ASSERT_EQUAL(200, seen.status);
    CPPUNIT_ASSERT(seen.complete);
    CPPUNIT_ASSERT_EQUAL(events("t1", 3), seen.body);
    const http_answer next = deployed().turn("gateway-1", "t2", "t1", "two");
    CPPUNIT_ASSERT_EQUAL(200, next.status);
  }

  void stream_without_length_cut_inside_an_event_is_no_stored_turn() {
    turn_of_stream(event("t1", 1) + "id: 2\nda");
    const http_answer next = deployed().turn("gateway-1", "t2", "t1", "two");
    CPPUNIT_ASSERT_EQUAL(404, next.status);
    CPPUNIT_ASSERT_EQUAL(code_unknown_turn, next.error_code());
  }

  void stream_without_length_and_without_events_is_not_complete() {
    const http_answer seen = turn_of_stream("");
    TRAYROCK_CHECK(seen.status != 200 || !seen.complete,
                   "expected an error or an incomplete stream, seen "
                       << seen.status << " with " << seen.body);
  }

  void stream_without_length_that_is_reset_is_not_complete() {
    const http_answer seen =
        turn_of_stream(events("t1", 2), "t1", connection_end::reset);
    CPPUNIT_ASSERT_EQUAL(200, seen.status);
    CPPUNIT_ASSERT(!seen.complete);
  }

  void stream_in_chunks_that_ends_inside_an_event_is_not_complete() {
    deploy([](const std::string& request) {
      return scripted_response{
          head(attempt_of(request), "Transfer-Encoding: chunked\r\n") +
          in_one_chunk("id: 1\ndata: a\n\nid: 2\ndata") + "0\r\n\r\n"};
    });
    const http_answer seen = deployed().turn("gateway-1", "t1", "", "one");
    CPPUNIT_ASSERT(!seen.complete);
  }

  void stream_without_length_cut_inside_an_event_resumes_elsewhere() {
    constexpr int endpoints = 2;
    deploy(
        [](const std::string& request) {
          const std::string attempt = attempt_of(request);
          const std::string rest = event(attempt, 2) + event(attempt, 3);
          const bool resumed = header_of(request, "Last-Event-Id") == "1";
          return scripted_response{
              head(attempt) +
              (resumed ? rest : event(attempt, 1) + rest.substr(0, 9))};
        },
        endpoints);
    const http_answer seen =
        deployed().request("gateway-1", "/resumable-stream/a", "s1");
    CPPUNIT_ASSERT_EQUAL(200, seen.status);
    CPPUNIT_ASSERT(seen.complete);
    CPPUNIT_ASSERT_EQUAL(events("s1", 3), seen.body);
  }

  void resumed_stream_without_length_and_events_is_not_complete() {
    constexpr int endpoints = 2;
    deploy(
        [](const std::string& request) {
          const bool resumed = header_of(request, "Last-Event-Id") == "1";
          return scripted_response{head(attempt_of(request)) +
                                   (resumed ? "" : "id: 1\ndata: a\n\nid: 2")};
        },
        endpoints);
    const http_answer seen =
        deployed().request("gateway-1", "/resumable-stream/a", "s1");
    TRAYROCK_CHECK(!seen.complete, "expected an incomplete stream, seen "
                                       << seen.status << " with " << seen.body);
  }

  void tokens_of_an_interrupted_stream_are_counted() {
    constexpr std::uint64_t budget = 17;
    // Four events of two tokens have begun; a turn may make ten.
    turn_of_stream(events("t1", 3) + "id: 4\nda");
    const http_answer next =
        deployed().turn("gateway-1", "t2", "", "two", budget);
    CPPUNIT_ASSERT_EQUAL(402, next.status);
  }

  void body_of_another_type_is_complete_by_its_framing() {
    deploy([](const std::string& request) {
      return scripted_response{
          "HTTP/1.1 200 OK\r\nTrayrock-Attempt-Id: " + attempt_of(request) +
          "\r\nTrayrock-Response-Seal: s\r\nContent-Type: application/json"
          "\r\nContent-Length: 2\r\n\r\n{}"};
    });
    const http_answer seen = deployed().turn("gateway-1", "t1", "", "one");
    CPPUNIT_ASSERT_EQUAL(200, seen.status);
    CPPUNIT_ASSERT(seen.complete);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), seen.body);
  }

  void body_without_length_is_complete_at_its_close() {
    turn_of_stream(events("t1", 1));
    const http_answer seen = deployed().request("gateway-1", "/unsafe/a", "u1");
    CPPUNIT_ASSERT_EQUAL(200, seen.status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer to u1"), seen.body);
  }

  void response_without_content_on_a_streaming_route_is_complete() {
    deploy([](const std::string& request) {
      return scripted_response{
          "HTTP/1.1 204 No Content\r\nTrayrock-Attempt-Id: " +
              attempt_of(request) + "\r\nTrayrock-Response-Seal: s\r\n\r\n",
          connection_end::keep_open};
    });
    const http_answer seen =
        deployed().request("gateway-1", "/resumable-stream/a", "s1");
    CPPUNIT_ASSERT_EQUAL(204, seen.status);
  }

  void response_to_head_on_a_streaming_route_is_complete() {
    constexpr int seconds = 10;
    deploy([](const std::string& request) {
      return scripted_response{head(attempt_of(request)),
                               connection_end::keep_open};
    });
    const raw_exchange seen =
        exchange_raw(deployed().port("gateway-1"),
                     "HEAD /resumable-stream/a HTTP/1.1\r\nHost: local\r\n"
                     "Connection: close\r\nTrayrock-Attempt-Id: h1\r\n\r\n",
                     seconds);
    TRAYROCK_CHECK(seen.bytes.starts_with("HTTP/1.1 200"),
                   "expected status 200, seen " << seen.bytes);
  }

  void setUp() override { made_.reset(); }
  void tearDown() override { made_.reset(); }

 private:
  // The first turn of a program at a deployment whose endpoint sends this
  // stream; one deployment serves the streams of a test.
  http_answer turn_of_stream(const std::string& stream,
                             const std::string& attempt = "t1",
                             connection_end end = connection_end::close) {
    {
      const std::scoped_lock lock(guard_);
      stream_ = stream;
      end_ = end;
    }
    if (made_ == nullptr) {
      deploy([this](const std::string& request) { return respond(request); });
    }
    return deployed().turn("gateway-1", attempt, "", "one");
  }

  void deploy(const scripted_endpoint::script& respond, int endpoints = 1) {
    made_ = std::make_unique<scripted_deployment>(respond, endpoints);
  }

  scripted_response respond(const std::string& request) {
    const std::string attempt = attempt_of(request);
    if (request.find("stream/") == std::string::npos) {
      return {head(attempt, "", "text/plain") + "answer to " + attempt};
    }
    const std::scoped_lock lock(guard_);
    return {head(attempt) + stream_, end_};
  }

  service_deployment& deployed() { return made_->system(); }

  std::mutex guard_;
  std::string stream_;
  connection_end end_ = connection_end::close;
  std::unique_ptr<scripted_deployment> made_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_without_length_test);

}  // namespace
}  // namespace trayrock::testing
