// Tests that a response without an end, or cut within its head, ends in an
// error after a bounded number of bytes, on every kind of route.
#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <vector>

#include "deployment_with_endpoints.h"
#include "endless_endpoint.h"
#include "scripted_endpoint.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::size_t mega = 1U << 20;
// The gateway reads 64 MB of a stream and 4 MB of anything else; the rest is
// for the buffers of sockets.
constexpr std::size_t max_stream_bytes = 80 * mega;
constexpr std::size_t max_other_bytes = 20 * mega;
constexpr std::size_t max_growth_bytes = 48 * mega;

constexpr std::array routes{"/safe/a", "/unsafe/a", "/stream/a",
                            "/resumable-stream/a"};

bool is_stream(const std::string& route) {
  return route.find("stream") != std::string::npos;
}

std::string sealed_head(const std::string& request, const std::string& more) {
  const std::string attempt = header_of(request, "Trayrock-Attempt-Id");
  return "HTTP/1.1 200 OK\r\nTrayrock-Attempt-Id: " + attempt +
         "\r\nTrayrock-Response-Seal: seal." + attempt + "\r\n" + more;
}

class endless_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_response_test);
  CPPUNIT_TEST(bytes_that_are_no_response);
  CPPUNIT_TEST(header_value);
  CPPUNIT_TEST(header_fields);
  CPPUNIT_TEST(interim_responses);
  CPPUNIT_TEST(responses_to_other_requests);
  CPPUNIT_TEST(chunk_size);
  CPPUNIT_TEST(chunk_extension);
  CPPUNIT_TEST(chunks);
  CPPUNIT_TEST(trailers);
  CPPUNIT_TEST(bytes_beyond_the_length);
  CPPUNIT_TEST(body_without_length);
  CPPUNIT_TEST(body_of_a_failure_without_length);
  CPPUNIT_TEST(body_without_seal);
  CPPUNIT_TEST(body_of_a_refusal);
  CPPUNIT_TEST(events);
  CPPUNIT_TEST(event_without_line_end);
  CPPUNIT_TEST(endpoint_that_closes_within_its_head);
  CPPUNIT_TEST_SUITE_END();

 public:
  void bytes_that_are_no_response() {
    check([](const std::string&) { return endless_response{"", "garbage "}; });
  }

  void header_value() {
    check([](const std::string& request) {
      return endless_response{sealed_head(request, "X-Long: "), "a"};
    });
  }

  void header_fields() {
    check([](const std::string& request) {
      return endless_response{sealed_head(request, ""), "X-More: a\r\n"};
    });
  }

  void interim_responses() {
    check([](const std::string&) {
      return endless_response{"", "HTTP/1.1 100 Continue\r\n\r\n"};
    });
  }

  void responses_to_other_requests() {
    check([](const std::string&) {
      return endless_response{
          "",
          "HTTP/1.1 200 OK\r\nTrayrock-Attempt-Id: other\r\n"
          "Content-Length: 1\r\n\r\na"};
    });
  }

  void chunk_size() {
    check([](const std::string& request) {
      return endless_response{
          sealed_head(request, "Transfer-Encoding: chunked\r\n\r\n"), "0"};
    });
  }

  void chunk_extension() {
    check([](const std::string& request) {
      return endless_response{
          sealed_head(request, "Transfer-Encoding: chunked\r\n\r\n5;"), "a"};
    });
  }

  void chunks() {
    check([](const std::string& request) {
      return endless_response{
          sealed_head(request, "Transfer-Encoding: chunked\r\n\r\n"),
          "4\r\ndata\r\n"};
    });
  }

  void trailers() {
    check([](const std::string& request) {
      return endless_response{sealed_head(request,
                                          "Transfer-Encoding: chunked\r\n\r\n"
                                          "4\r\ndata\r\n0\r\n"),
                              "X-More: a\r\n"};
    });
  }

  // The response ends with its length, so that it may be whole.
  void bytes_beyond_the_length() {
    check(
        [](const std::string& request) {
          return endless_response{
              sealed_head(request, "Content-Length: 4\r\n\r\ndata"), "a"};
        },
        "data");
  }

  void body_without_length() {
    check([](const std::string& request) {
      return endless_response{sealed_head(request, "\r\n"), "line\n"};
    });
  }

  void body_of_a_failure_without_length() {
    check([](const std::string&) {
      return endless_response{"HTTP/1.1 500 Error\r\n\r\n", "line\n"};
    });
  }

  void body_without_seal() {
    check([](const std::string&) {
      return endless_response{"HTTP/1.1 200 OK\r\n\r\n", "line\n"};
    });
  }

  void body_of_a_refusal() {
    check([](const std::string&) {
      return endless_response{
          "HTTP/1.1 503 Full\r\nTrayrock-Not-Executed: 1\r\n\r\n", "line\n"};
    });
  }

  void events() {
    check([](const std::string& request) {
      return endless_response{
          sealed_head(request, "Content-Type: text/event-stream\r\n\r\n"),
          "data: 0123456789\n\n"};
    });
  }

  void event_without_line_end() {
    check([](const std::string& request) {
      return endless_response{
          sealed_head(request, "Content-Type: text/event-stream\r\n\r\ndata: "),
          "a"};
    });
  }

  void endpoint_that_closes_within_its_head() {
    std::atomic<std::size_t> cut = 1;
    const auto head_of = [](const std::string& request) {
      return sealed_head(request, "Content-Length: 4\r\n\r\n");
    };
    std::atomic<bool> whole_head = false;
    scripted_endpoint endpoint([&](const std::string& request) {
      const std::string head = head_of(request);
      whole_head = cut >= head.size();
      return scripted_response{head.substr(0, cut)};
    });
    deployment_with_endpoints deployment({endpoint.address()});
    for (const std::string route : routes) {
      whole_head = false;
      for (cut = 1; !whole_head; cut += 7) {
        const http_answer seen = deployment.request(
            route + std::to_string(cut), "cut-" + route + std::to_string(cut));
        TRAYROCK_CHECK(
            seen.status != 200 || !seen.complete,
            route << ": a head cut after " << cut
                  << " bytes was taken for a whole response: " << seen.body);
      }
    }
  }

 private:
  // On each route the client gets an error, or a response that is cut visibly,
  // or `whole`.
  static void check(
      const std::function<endless_response(const std::string&)>& respond,
      const std::string& whole = "") {
    // Each failure leaves an endpoint in backoff.
    std::list<endless_endpoint> endpoints;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < routes.size(); ++i) {
      addresses.push_back(endpoints.emplace_back(respond).address());
    }
    deployment_with_endpoints deployment(addresses);
    const auto sent = [&] {
      std::size_t sum = 0;
      for (const endless_endpoint& each : endpoints) {
        sum += each.sent();
      }
      return sum;
    };
    const pid_t gateway = deployment.system().process_id("gateway-1");
    const std::size_t memory = resident_bytes(gateway);
    for (const std::string route : routes) {
      const std::size_t before = sent();
      const http_answer seen = deployment.request(route, "of" + route);
      const bool taken_for_whole =
          seen.status == 200 && seen.complete && seen.body != whole;
      TRAYROCK_CHECK(!taken_for_whole, route << ": a response without an end "
                                                "was taken for a whole one of "
                                             << seen.body.size() << " bytes");
      constexpr int status_timeout = 504;
      TRAYROCK_CHECK(seen.status != status_timeout,
                     route << ": the response was read until the deadline");
      wait_until("the gateway closes the connection",
                 [&] { return sent() > before; });
      const std::size_t allowed =
          is_stream(route) ? max_stream_bytes : max_other_bytes;
      TRAYROCK_CHECK(sent() - before <= allowed,
                     route << ": the endpoint could send " << sent() - before
                           << " bytes, " << allowed << " allowed");
      const std::size_t grown = resident_bytes(gateway);
      TRAYROCK_CHECK(grown <= memory + max_growth_bytes,
                     route << ": the gateway's memory grew from " << memory
                           << " to " << grown << " bytes");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_response_test);

}  // namespace
}  // namespace trayrock::testing
