// Tests that a response whose head breaks the grammar of HTTP is no response,
// on every kind of route: nothing of it reaches the client, and its connection
// carries no other request.
#include <array>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "broken_responses.h"
#include "deployment_with_endpoints.h"
#include "scripted_endpoint.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int bad_gateway = 502;
constexpr std::array routes{"/safe/a", "/unsafe/a", "/stream/a",
                            "/resumable-stream/a"};
const std::string body = "id: 1\ndata: of the endpoint\n\n";

// Without these fields each response is refused, whatever its head.
std::string sealed_fields(const std::string& request) {
  const std::string attempt = header_of(request, "Trayrock-Attempt-Id");
  return "Trayrock-Attempt-Id: " + attempt +
         "\r\nTrayrock-Response-Seal: seal." + attempt + "\r\n";
}

// An endpoint that sends one of a list of responses, and keeps its connections.
class faulty_endpoint {
 public:
  using response_list =
      std::function<std::string(const std::string& sealed_fields)>;

  void respond(response_list with) {
    const std::scoped_lock lock(guard_);
    with_ = std::move(with);
  }

  void respond_soundly() {
    respond(
        [](const std::string& fields) { return sound_response(fields, body); });
  }

  std::string address() const { return endpoint_.address(); }
  int requests() const { return endpoint_.requests(); }
  int connections() const { return endpoint_.connections(); }

 private:
  scripted_response respond_to(const std::string& request) {
    const std::scoped_lock lock(guard_);
    return {with_(sealed_fields(request)), connection_end::keep_open};
  }

  std::mutex guard_;
  response_list with_;
  scripted_endpoint endpoint_{
      [this](const std::string& request) { return respond_to(request); }};
};

class broken_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_head_test);
  CPPUNIT_TEST(unusual_heads_are_passed_on);
  CPPUNIT_TEST(broken_head_is_no_response);
  CPPUNIT_TEST(bytes_behind_a_broken_head_are_no_response);
  CPPUNIT_TEST(broken_trailers_leave_the_response_incomplete);
  CPPUNIT_TEST(broken_head_leaves_the_outcome_unknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void unusual_heads_are_passed_on() {
    deployment_with_endpoints deployment({endpoint_.address()});
    const std::size_t count = unusual_responses("", body).size();
    for (const std::string route : routes) {
      for (std::size_t i = 0; i < count; ++i) {
        endpoint_.respond([i](const std::string& fields) {
          return unusual_responses(fields, body)[i];
        });
        const http_answer seen = ask(deployment, route);
        TRAYROCK_CHECK(seen.status == 200 && seen.complete && seen.body == body,
                       route << ": expected 200 for "
                             << unusual_responses("", body)[i] << ", seen "
                             << seen.status << " " << seen.body);
      }
    }
  }

  void broken_head_is_no_response() {
    check_each(broken_responses, [](const std::string&) { return ""; });
  }

  void bytes_behind_a_broken_head_are_no_response() {
    check_each(broken_responses, [](const std::string& fields) {
      return sound_response(fields, body);
    });
  }

  // A stream's events were passed on before the fault showed.
  void broken_trailers_leave_the_response_incomplete() {
    check_each(broken_trailers, [](const std::string&) { return ""; });
  }

  // A request that may run once is not sent again; others are.
  void broken_head_leaves_the_outcome_unknown() {
    faulty_endpoint other;
    deployment_with_endpoints deployment({endpoint_.address(), other.address()},
                                         2);
    for (const char* head :
         {"HTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nX Bad: 1"}) {
      const auto respond = [head](const std::string& fields) {
        return std::string(head) + "\r\n" + fields +
               "Content-Length: 4\r\n\r\nbody";
      };
      endpoint_.respond(respond);
      other.respond(respond);
      int before = endpoint_.requests() + other.requests();
      CPPUNIT_ASSERT_EQUAL(bad_gateway, ask(deployment, "/unsafe/a").status);
      CPPUNIT_ASSERT_EQUAL(before + 1, endpoint_.requests() + other.requests());

      before = endpoint_.requests() + other.requests();
      CPPUNIT_ASSERT_EQUAL(bad_gateway, ask(deployment, "/safe/a").status);
      CPPUNIT_ASSERT_EQUAL(before + 2, endpoint_.requests() + other.requests());
    }
    constexpr std::size_t failed_attempts = 6;
    CPPUNIT_ASSERT_EQUAL(
        failed_attempts,
        deployment.system().log_lines("gateway-1", "\"outcome\":\"unknown\""));
  }

 private:
  using responses = std::vector<broken_response>(const std::string& fields,
                                                 const std::string& body);
  using rest = std::function<std::string(const std::string& fields)>;

  // Each response comes on a connection that has been used before, and the
  // same endpoint's next response, which is sound, on another one.
  void check_each(responses* all, const rest& behind) {
    deployment_with_endpoints deployment({endpoint_.address()});
    const std::size_t count = all("", body).size();
    std::size_t faults = 0;
    std::ostringstream listed;
    for (const std::string route : routes) {
      endpoint_.respond_soundly();
      CPPUNIT_ASSERT_EQUAL(200, ask(deployment, route).status);
      for (std::size_t i = 0; i < count; ++i) {
        const std::string fault = fault_of(deployment, route, all, i, behind);
        if (!fault.empty()) {
          ++faults;
          listed << route << ", " << all("", body)[i].what << ": " << fault
                 << "\n";
        }
      }
    }
    TRAYROCK_CHECK(faults == 0, faults << " of " << count * routes.size()
                                       << " were taken otherwise:\n"
                                       << listed.str());
  }

  // How the client's response differs from the one that is expected.
  std::string fault_of(deployment_with_endpoints& deployment,
                       const std::string& route, responses* all, std::size_t at,
                       const rest& behind) {
    const int requests = endpoint_.requests();
    const int connections = endpoint_.connections();
    endpoint_.respond([all, at, behind](const std::string& fields) {
      return all(fields, body)[at].bytes + behind(fields);
    });
    const http_answer broken = ask(deployment, route);
    endpoint_.respond_soundly();
    const http_answer sound = ask(deployment, route);

    const std::string shown = std::to_string(broken.status) + " " + broken.body;
    const bool cut_stream = all == broken_trailers &&
                            route.find("stream") != std::string::npos &&
                            broken.status == 200 && !broken.complete;
    if (!cut_stream &&
        (broken.status != bad_gateway || !broken.complete ||
         broken.body.find("of the endpoint") != std::string::npos ||
         broken.headers.contains("trayrock-response-seal"))) {
      return "expected 502, seen " + shown;
    }
    if (sound.status != 200 || sound.body != body) {
      return "the next response was " + std::to_string(sound.status) + " " +
             sound.body;
    }
    if (endpoint_.requests() != requests + 2) {
      return "the endpoint had " +
             std::to_string(endpoint_.requests() - requests) + " requests";
    }
    if (endpoint_.connections() != connections + 1) {
      return "the connection was used again";
    }
    return {};
  }

  http_answer ask(deployment_with_endpoints& deployment,
                  const std::string& route) {
    const std::string number = std::to_string(++asked_);
    return deployment.request(route + number, "attempt-" + number);
  }

  faulty_endpoint endpoint_;
  int asked_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_head_test);

}  // namespace
}  // namespace trayrock::testing
