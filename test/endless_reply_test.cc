// Tests that bytes without an end, sent to any client but that of the
// endpoints (endless_response_test.cc), end the call in an error after a
// bounded number of bytes, of which a bounded number is kept.
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "deployment.h"
#include "endless_endpoint.h"
#include "platform/object_store.h"
#include "records.pb.h"
#include "test_support.h"
#include "trayrock/internal/net/http_client.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock::testing {
namespace {

constexpr std::size_t mega = 1U << 20;
// A body has at most 64 MB and a head 80 KB; the rest is for the buffers of
// sockets.
constexpr std::size_t max_body_bytes = 80 * mega;
constexpr std::size_t max_head_bytes = 20 * mega;
// A body is kept once, in a string that grows by doubling.
constexpr std::size_t max_growth_bytes = 192 * mega;
constexpr milliseconds longest_silence{10000};
constexpr milliseconds longest_run{30000};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<endless_response> endless_heads() {
  return {{"", "garbage "},
          {head + "X-Long: ", "a"},
          {head, "X-More: a\r\n"},
          {head + "X-", "a"},
          {"HTTP/1.1 200 ", "a"},
          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
          {chunked, "0"},
          {chunked + "5;", "a"},
          {chunked + "4\r\ndata\r\n0\r\n", "X-More: a\r\n"},
          {chunked + "4\r\ndata\r\n0\r\nX-Long: ", "a"}};
}

std::vector<endless_response> endless_bodies() {
  constexpr std::size_t chunk = 0x1000;
  return {{chunked, "1000\r\n" + std::string(chunk, 'a') + "\r\n"},
          {head + "\r\n", "line\n"},
          {head + "Content-Length: 9999999999\r\n\r\n", "a"}};
}

// A frame of HTTP/2 on a stream (RFC 9113, 4.1).
std::string frame(int type, int flags, int stream, const std::string& payload) {
  std::string made;
  for (const int shift : {16, 8, 0}) {
    made += static_cast<char>(payload.size() >> static_cast<unsigned>(shift));
  }
  made += static_cast<char>(type);
  made += static_cast<char>(flags);
  made += std::string(3, '\0');
  made += static_cast<char>(stream);
  return made + payload;
}

constexpr int data_frame = 0;
constexpr int headers_frame = 1;
constexpr int settings_frame = 4;
constexpr int continuation_frame = 9;
constexpr int end_stream = 1;
constexpr int end_headers = 4;
constexpr int first_stream = 1;
// Payload of a frame; a frame has at most 16,384 bytes (RFC 9113, 4.2).
constexpr std::size_t block = 16000;
// The length of a message, and no bytes.
const std::string empty_message(4, '\0');
const std::string length_over_the_limit = "\x7f\xff\xff\xff";
// ":status: 200", and "x: 1" without indexing (RFC 7541, 6).
const std::string status_field = "\x88";
const std::string other_field("\x00\x01x\x01\x31", 5);

std::string repeated(const std::string& piece, std::size_t bytes) {
  std::string made;
  while (made.size() < bytes) {
    made += piece;
  }
  return made;
}

class endless_reply_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_reply_test);
  CPPUNIT_TEST(reply_of_the_own_interface);
  CPPUNIT_TEST(reply_of_the_platform);
  CPPUNIT_TEST(bytes_of_a_process_that_are_no_reply);
  CPPUNIT_TEST(head_of_a_process);
  CPPUNIT_TEST(message_of_a_process);
  CPPUNIT_TEST(data_of_a_process_behind_its_reply);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reply_of_the_own_interface() {
    check([this](const std::string& to) { return ask_own(to); });
  }

  void reply_of_the_platform() {
    check([this](const std::string& to) { return ask_platform(to); });
  }

  void bytes_of_a_process_that_are_no_reply() {
    check_process({"", "garbage "});
  }

  void head_of_a_process() {
    check_process(
        {settings() + frame(headers_frame, 0, first_stream, status_field),
         frame(continuation_frame, 0, first_stream,
               repeated(other_field, block))});
  }

  void message_of_a_process() {
    check_process(
        {settings() +
             frame(headers_frame, end_headers, first_stream, status_field) +
             frame(data_frame, 0, first_stream, length_over_the_limit),
         frame(data_frame, 0, first_stream, std::string(block, 'a'))});
  }

  void data_of_a_process_behind_its_reply() {
    check_process(
        {settings() +
             frame(headers_frame, end_headers, first_stream, status_field) +
             frame(data_frame, end_stream, first_stream, empty_message),
         frame(data_frame, 0, first_stream, std::string(block, 'a'))},
        true);
  }

 private:
  static std::string settings() { return frame(settings_frame, 0, 0, ""); }

  // Both return whether the call brought a reply.
  bool ask_own(const std::string& to) {
    bool replied = false;
    const http_call call = own_.start(
        address::parse(to).value(), {"GET", "/", "", {}}, longest_silence,
        nullptr, [&](const result<http_reply>& reply) {
          replied = reply.has_value();
          timed_out_ = !replied && reply.error() == errc::rpc_timeout;
          loop_.stop();
        });
    run();
    return replied;
  }

  bool ask_platform(const std::string& to) {
    metrics_registry metrics;
    platform::object_store store(loop_, address::parse(to).value(), metrics);
    bool replied = false;
    store.list("servers", [&](const result<platform::object_listing>& made) {
      replied = made.has_value();
      loop_.stop();
    });
    run();
    return replied;
  }

  bool ask_process(const std::string& to) {
    bool replied = false;
    const rpc_call call = processes_.ask<records::Record>(
        to, "Put", records::Record(), longest_silence,
        [&](const result<records::Record>& reply) {
          replied = reply.has_value();
          timed_out_ = !replied && reply.error() == errc::rpc_timeout;
          loop_.stop();
        });
    run();
    return replied;
  }

  void run() {
    const timer guard = loop_.after(longest_run, [this] { loop_.stop(); });
    loop_.run();
  }

  void check(const std::function<bool(const std::string& to)>& ask) {
    for (const endless_response& each : endless_heads()) {
      check_one(each, max_head_bytes, ask);
    }
    for (const endless_response& each : endless_bodies()) {
      check_one(each, max_body_bytes, ask);
    }
  }

  void check_process(const endless_response& response, bool is_reply = false) {
    check_one(
        response, max_body_bytes,
        [this](const std::string& to) { return ask_process(to); }, is_reply);
  }

  void check_one(const endless_response& response, std::size_t max_bytes,
                 const std::function<bool(const std::string& to)>& ask,
                 bool is_reply = false) {
    endless_endpoint peer([&](const std::string&) { return response; });
    const std::size_t memory = resident_bytes(getpid());
    const bool replied = ask(peer.address());
    const std::string shown = "'" + response.begin + "' and '" +
                              response.repeated.substr(0, 20) + "'";
    TRAYROCK_CHECK(replied == is_reply, shown << ": was "
                                              << (replied ? "" : "not ")
                                              << "taken for a reply");
    TRAYROCK_CHECK(!timed_out_, shown << ": was read until the timeout");
    const std::size_t grown = resident_bytes(getpid());
    TRAYROCK_CHECK(grown <= memory + max_growth_bytes,
                   shown << ": memory grew from " << memory << " to " << grown
                         << " bytes");
    // The client's loop closes the connection.
    const timer watching = loop_.every(milliseconds(10), [&] {
      if (peer.ended() > 0) {
        loop_.stop();
      }
    });
    run();
    TRAYROCK_CHECK(peer.ended() > 0, shown << ": the connection stayed open");
    TRAYROCK_CHECK(peer.sent() <= max_bytes, shown << ": the peer could send "
                                                   << peer.sent() << " bytes, "
                                                   << max_bytes << " allowed");
  }

  bool timed_out_ = false;
  event_loop loop_;
  http_client own_{loop_};
  rpc_pool processes_{loop_, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_reply_test);

}  // namespace
}  // namespace trayrock::testing
