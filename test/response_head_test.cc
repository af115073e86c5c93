// Tests that each client of this system takes a response whose head breaks the
// grammar of HTTP for a broken one: the client of the endpoints, that of the
// own interface, and that of the platform. Calls between processes are tested
// in rpc_message_end_test.cc.
#include <functional>
#include <mutex>
#include <string>

#include "broken_responses.h"
#include "platform/object_store.h"
#include "scripted_endpoint.h"
#include "test_support.h"
#include "trayrock/internal/net/http1_client.h"
#include "trayrock/internal/net/http1_section.h"
#include "trayrock/internal/net/http_client.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds longest_run{10000};
const std::string fields = "X-Of: this\r\n";
const std::string body =
    R"({"metadata":{"name":"main","revision":1},"spec":1,"status":null})";

// What a client made of a response.
enum class reading { nothing, taken, broken };

class response_head_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_head_test);
  CPPUNIT_TEST(section_ends_with_its_empty_line);
  CPPUNIT_TEST(section_is_read_in_pieces);
  CPPUNIT_TEST(every_status_from_100_to_599_is_one);
  CPPUNIT_TEST(names_of_fields_are_tokens);
  CPPUNIT_TEST(values_of_fields_have_no_control_bytes);
  CPPUNIT_TEST(client_of_endpoints);
  CPPUNIT_TEST(client_of_the_own_interface);
  CPPUNIT_TEST(client_of_the_own_interface_that_reads_a_stream);
  CPPUNIT_TEST(client_of_the_platform);
  CPPUNIT_TEST(broken_head_ends_a_call_before_the_response_ends);
  CPPUNIT_TEST(connection_of_a_broken_head_is_not_used_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  void section_ends_with_its_empty_line() {
    http1_section head = http1_section::response_head();
    const std::string text = "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(text.size(), head.read(text + "A: 2\r\n\r\n"));
    CPPUNIT_ASSERT(head.ended() && !head.malformed());

    http1_section trailers = http1_section::trailers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, trailers.read("\r\nHTTP/1.1 200"));
    CPPUNIT_ASSERT(trailers.ended() && !trailers.malformed());
  }

  void section_is_read_in_pieces() {
    const std::string text = "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n";
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
      http1_section head = http1_section::response_head();
      CPPUNIT_ASSERT_EQUAL(cut, head.read(text.substr(0, cut)));
      CPPUNIT_ASSERT(!head.ended() && !head.malformed());
      CPPUNIT_ASSERT_EQUAL(text.size() - cut, head.read(text.substr(cut)));
      CPPUNIT_ASSERT(head.ended());
    }
  }

  void every_status_from_100_to_599_is_one() {
    constexpr int statuses = 1000;
    for (int status = 0; status < statuses; ++status) {
      std::string digits = std::to_string(status);
      digits.insert(0, 3 - digits.size(), '0');
      TRAYROCK_CHECK(fits("HTTP/1.1 " + digits + " \r\n\r\n") ==
                         (status >= 100 && status <= 599),
                     "status " << digits);
    }
  }

  void names_of_fields_are_tokens() {
    const std::string token_bytes =
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
        "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    for (int code = 0; code <= 0xff; ++code) {
      const char byte = static_cast<char>(code);
      const bool token = token_bytes.find(byte) != std::string::npos;
      const std::string head = "HTTP/1.1 200 OK\r\n";
      TRAYROCK_CHECK(fits(head + byte + ": 1\r\n\r\n") == token,
                     "byte " << code << " as a name");
      if (byte != ':') {  // it would end the name
        TRAYROCK_CHECK(fits(head + "A" + byte + "B: 1\r\n\r\n") == token,
                       "byte " << code << " within a name");
      }
    }
  }

  void values_of_fields_have_no_control_bytes() {
    for (int code = 0; code <= 0xff; ++code) {
      const bool text = code == '\t' || (code >= 0x20 && code != 0x7f);
      const std::string value = std::string("a") + static_cast<char>(code);
      TRAYROCK_CHECK(
          fits("HTTP/1.1 200 OK\r\nA: " + value + "b\r\n\r\n") == text,
          "byte " << code << " in a value");
    }
  }

  void client_of_endpoints() {
    check([this](const std::string& to) { return ask_endpoint(to); });
  }

  void client_of_the_own_interface() {
    check([this](const std::string& to) { return ask_own(to, nullptr); });
  }

  void client_of_the_own_interface_that_reads_a_stream() {
    std::string received;
    check([&](const std::string& to) {
      received.clear();
      const reading seen =
          ask_own(to, [&](std::string_view bytes) { received.append(bytes); });
      CPPUNIT_ASSERT(seen != reading::taken || received == body);
      return seen;
    });
  }

  void client_of_the_platform() {
    check([this](const std::string& to) { return ask_platform(to); });
  }

  // The peer sends no further byte and keeps its connection.
  void broken_head_ends_a_call_before_the_response_ends() {
    for (const char* begin :
         {"garbage", "HTTP/1.1 000", "HTTP/1.1 600", "HTTP/1.1 200 OK\r\nX B",
          "HTTP/1.1 200 OK\r\nA: 1\r\n "}) {
      respond_with(begin);
      CPPUNIT_ASSERT_MESSAGE(begin,
                             ask_endpoint(peer_.address()) == reading::broken);
      CPPUNIT_ASSERT_MESSAGE(
          begin, ask_own(peer_.address(), nullptr) == reading::broken);
    }
  }

  void connection_of_a_broken_head_is_not_used_again() {
    const std::string sound = sound_response(fields, body);
    for (const std::string& broken :
         {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" + sound,
          "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n" + sound}) {
      respond_with(sound);
      CPPUNIT_ASSERT(ask_endpoint(peer_.address()) == reading::taken);
      CPPUNIT_ASSERT(ask_own(peer_.address(), nullptr) == reading::taken);
      const int before = peer_.connections();
      respond_with(broken);
      CPPUNIT_ASSERT(ask_endpoint(peer_.address()) == reading::broken);
      CPPUNIT_ASSERT(ask_own(peer_.address(), nullptr) == reading::broken);
      CPPUNIT_ASSERT_EQUAL(before, peer_.connections());
      respond_with(sound);
      CPPUNIT_ASSERT(ask_endpoint(peer_.address()) == reading::taken);
      CPPUNIT_ASSERT(ask_own(peer_.address(), nullptr) == reading::taken);
      CPPUNIT_ASSERT_EQUAL(before + 2, peer_.connections());
    }
  }

 private:
  static bool fits(const std::string& head) {
    http1_section section = http1_section::response_head();
    return section.read(head) == head.size() && section.ended();
  }

  void respond_with(std::string bytes) {
    const std::scoped_lock lock(guard_);
    response_ = std::move(bytes);
  }

  void check(const std::function<reading(const std::string& address)>& ask) {
    std::string faults;
    for (const std::string& each : unusual_responses(fields, body)) {
      respond_with(each);
      if (ask(peer_.address()) != reading::taken) {
        faults += "not taken: " + each + "\n";
      }
    }
    for (const auto& all : {broken_responses, broken_trailers}) {
      for (const broken_response& each : all(fields, body)) {
        for (const std::string& behind :
             {std::string(), sound_response(fields, body)}) {
          respond_with(each.bytes + behind);
          if (ask(peer_.address()) != reading::broken) {
            faults += "not broken: " + each.what + "\n";
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }

  // Runs the loop until the call has ended.
  reading run(reading& seen) {
    const timer guard = loop_.after(longest_run, [this] { loop_.stop(); });
    loop_.run();
    return seen;
  }

  reading ask_endpoint(const std::string& to) {
    reading seen = reading::nothing;
    http1_observer observer;
    observer.on_head = [](const http1_answer_head&) { return true; };
    observer.on_body = [](std::string_view) {};
    observer.on_end = [&](http1_end how) {
      seen = how == http1_end::complete ? reading::taken : reading::broken;
      loop_.stop();
    };
    http1_request request;
    request.method = "GET";
    request.target = "/";
    const http1_call call = endpoints_.start(to, "life", request, observer);
    return run(seen);
  }

  reading ask_own(const std::string& to, http_client::chunk_callback on_chunk) {
    reading seen = reading::nothing;
    const http_call call = own_.start(
        address::parse(to).value(), {"GET", "/", "", {}}, longest_run,
        std::move(on_chunk), [&](const result<http_reply>& reply) {
          seen = outcome(reply, errc::connection_lost);
          loop_.stop();
        });
    return run(seen);
  }

  reading ask_platform(const std::string& to) {
    reading seen = reading::nothing;
    metrics_registry metrics;
    platform::object_store store(loop_, address::parse(to).value(), metrics);
    store.get("config", "main",
              [&](const result<platform::stored_object>& made) {
                seen = outcome(made, errc::connection_lost);
                loop_.stop();
              });
    return run(seen);
  }

  template <typename value_type>
  static reading outcome(const result<value_type>& made, errc broken) {
    if (made) {
      return reading::taken;
    }
    return made.error() == broken ? reading::broken : reading::nothing;
  }

  std::mutex guard_;
  std::string response_;
  scripted_endpoint peer_{[this](const std::string&) {
    const std::scoped_lock lock(guard_);
    return scripted_response{response_, connection_end::keep_open};
  }};
  event_loop loop_;
  http1_pool endpoints_{loop_};
  http_client own_{loop_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_head_test);

}  // namespace
}  // namespace trayrock::testing
