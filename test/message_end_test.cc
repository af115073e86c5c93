// Answers of the platform, engines and plain services that end early: guards
// against taking the end of a connection for the end of a message.
#include <atomic>
#include <fstream>
#include <list>
#include <optional>

#include "deployment.h"
#include "scripted_endpoint.h"
#include "test_support.h"
#include "trayrock.pb.h"
#include "trayrock/internal/platform/platform_client.h"

namespace trayrock::testing {
namespace {

constexpr int code_unknown = 1402;

// A head that gives neither a length nor chunks.
const std::string head_without_length =
    "HTTP/1.1 200 OK\r\nX-Version: 3\r\n\r\n";

std::string with_length(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Version: 3\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk_event(const std::string& text) {
  const json event{{"choices", {{{"delta", {{"content", text}}}}}}};
  return "data: " + event.dump() + "\n\n";
}

// A deployment whose engines and plain service answer calls as the script says.
class scripted_runners {
 public:
  explicit scripted_runners(const scripted_endpoint::script& respond) {
    json declared = json::parse(system_.declarations());
    for (json& each : declared) {
      if (each["kind"] == "Endpoint") {
        each["spec"]["runner"] = runners_.emplace_back(respond).address();
      }
    }
    std::ofstream(system_.folder() + "/declarations.json") << declared.dump();
    system_.start_all();
    program_ = system_.open("entry-1", {{"program", "balance"}});
  }

  http_answer call(std::uint64_t sequence, const std::string& service = "") {
    return system_.call("entry-1", program_, sequence,
                        "key-" + std::to_string(sequence), "hello", service);
  }

 private:
  std::list<scripted_endpoint> runners_;
  deployment system_;
  std::string program_;
};

class message_end_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(message_end_test);
  CPPUNIT_TEST(object_without_a_length_is_not_taken_as_complete);
  CPPUNIT_TEST(object_with_another_transfer_coding_is_not_complete);
  CPPUNIT_TEST(object_with_a_length_is_read);
  CPPUNIT_TEST(object_that_falls_short_of_its_length_is_not_read);
  CPPUNIT_TEST(listing_without_its_items_is_not_an_empty_one);
  CPPUNIT_TEST(service_answer_that_is_cut_is_not_an_empty_answer);
  CPPUNIT_TEST(service_answer_without_a_length_is_an_answer);
  CPPUNIT_TEST(engine_stream_with_its_end_is_an_answer);
  CPPUNIT_TEST(engine_stream_without_its_end_is_not_an_answer);
  CPPUNIT_TEST(engine_stream_with_a_torn_event_is_not_an_answer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A journal's segment that is cut between two records parses as a shorter
  // one.
  void object_without_a_length_is_not_taken_as_complete() {
    wire::Segment segment;
    segment.set_writer("journal");
    segment.add_records()->set_sequence(1);
    const std::size_t cut = segment.ByteSizeLong();
    segment.add_records()->set_sequence(2);
    const result<stored_object> seen =
        get(head_without_length + segment.SerializeAsString().substr(0, cut));
    TRAYROCK_CHECK(!seen, "expected an error, seen an object of "
                              << seen.value().bytes.size() << " of "
                              << segment.ByteSizeLong() << " bytes");
  }

  void object_with_another_transfer_coding_is_not_complete() {
    for (const char* coding : {"gzip", "identity"}) {
      const result<stored_object> seen =
          get(std::string("HTTP/1.1 200 OK\r\nX-Version: 3\r\n"
                          "Transfer-Encoding: ") +
              coding + "\r\n\r\nbytes");
      TRAYROCK_CHECK(!seen, coding << ": seen " << seen.value().bytes);
    }
  }

  void object_with_a_length_is_read() {
    const result<stored_object> seen = get(with_length("bytes"));
    CPPUNIT_ASSERT(seen.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), seen.value().bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, seen.value().version);
    CPPUNIT_ASSERT(get(with_length("")).has_value());
  }

  void object_that_falls_short_of_its_length_is_not_read() {
    std::string answer = with_length("bytes");
    answer.pop_back();
    CPPUNIT_ASSERT(!get(answer));
  }

  void listing_without_its_items_is_not_an_empty_one() {
    for (const char* body : {"{}", R"({"revision":4})", R"({"items":[]})",
                             R"({"items":7,"revision":4})"}) {
      const auto seen = from_platform<listing>(
          with_length(body), [](platform_client& platform, auto done) {
            platform.list("j/", std::move(done));
          });
      CPPUNIT_ASSERT_MESSAGE(body, !seen);
    }
    for (const char* body : {"{}", R"({"revision":4})", R"({"events":[]})"}) {
      const auto seen = from_platform<watch_result>(
          with_length(body), [](platform_client& platform, auto done) {
            platform.watch("c/", 3, milliseconds(10), std::move(done));
          });
      CPPUNIT_ASSERT_MESSAGE(body, !seen);
    }
    const auto seen = from_platform<std::vector<box>>(
        with_length("{}"), [](platform_client& platform, auto done) {
          platform.boxes(std::move(done));
        });
    CPPUNIT_ASSERT(!seen);
  }

  void service_answer_that_is_cut_is_not_an_empty_answer() {
    const std::string whole = R"({"answer":"done"})";
    std::atomic<std::size_t> cut = 0;
    scripted_runners system([&](const std::string&) {
      return scripted_response{head_without_length + whole.substr(0, cut)};
    });
    for (; cut < whole.size(); ++cut) {
      const http_answer seen = system.call(cut + 1, "core-banking");
      TRAYROCK_CHECK(seen.error_code() == code_unknown,
                     "cut after " << cut << " bytes, seen " << seen.status
                                  << " with " << seen.body);
    }
  }

  void service_answer_without_a_length_is_an_answer() {
    scripted_runners system([](const std::string&) {
      return scripted_response{head_without_length + R"({"answer":"done"})"};
    });
    const http_answer seen = system.call(1, "core-banking");
    CPPUNIT_ASSERT_EQUAL(200, seen.status);
    CPPUNIT_ASSERT_EQUAL(std::string("done"),
                         seen.parsed().value("answer", ""));
  }

  void engine_stream_with_its_end_is_an_answer() {
    scripted_runners system([](const std::string&) {
      return scripted_response{head_without_length + chunk_event("one ") +
                               chunk_event("two") + "data: [DONE]\n\n"};
    });
    const http_answer seen = system.call(1);
    TRAYROCK_CHECK(seen.status == 200, "seen " << seen.body);
    CPPUNIT_ASSERT_EQUAL(std::string("one two"),
                         seen.parsed().value("answer", ""));
  }

  void engine_stream_without_its_end_is_not_an_answer() {
    const std::string whole =
        chunk_event("one ") + chunk_event("two") + "data: [DONE]\n";
    for (const std::size_t cut :
         {std::size_t{0}, chunk_event("one ").size() + 9,
          chunk_event("one ").size() + chunk_event("two").size(),
          whole.size() - 1}) {
      check_engine_stream(whole.substr(0, cut));
    }
  }

  void engine_stream_with_a_torn_event_is_not_an_answer() {
    check_engine_stream(chunk_event("one ") + chunk_event("two").substr(0, 20) +
                        "\n\ndata: [DONE]\n\n");
  }

 private:
  static void check_engine_stream(const std::string& stream) {
    scripted_runners system([&](const std::string&) {
      return scripted_response{head_without_length + stream};
    });
    const http_answer seen = system.call(1);
    TRAYROCK_CHECK(seen.status >= 500, "stream:\n"
                                           << stream << "\nseen " << seen.status
                                           << " with " << seen.body);
  }

  // What a call brings when the platform sends these bytes and closes.
  template <typename value_type, typename call_type>
  static result<value_type> from_platform(const std::string& bytes,
                                          call_type call) {
    const scripted_endpoint platform(
        [&bytes](const std::string&) { return scripted_response{bytes}; });
    event_loop loop;
    platform_client client(loop, address::parse(platform.address()).value(),
                           "node", milliseconds(5000), 100);
    std::optional<result<value_type>> seen;
    call(client, [&](result<value_type> made) {
      seen = std::move(made);
      loop.stop();
    });
    loop.run();
    return std::move(*seen);
  }

  static result<stored_object> get(const std::string& bytes) {
    return from_platform<stored_object>(bytes,
                                        [](platform_client& client, auto done) {
                                          client.get("j/a/1", std::move(done));
                                        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_end_test);

}  // namespace
}  // namespace trayrock::testing
