// HTTP client of the own interface: distinguishes requests that were never sent
// from those that may have been received, and resends nothing.
#include "trayrock/internal/net/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "deployment.h"
#include "loopback.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

// Accepts connections one after another, reads what comes, and closes after
// answering so many requests on each.
class rude_server {
 public:
  explicit rude_server(int answers) : answers_(answers) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where = loopback(0);
    const int bound =
        bind(listener_, reinterpret_cast<sockaddr*>(&where), sizeof(where));
    TRAYROCK_CHECK(bound == 0, "cannot bind");
    socklen_t length = sizeof(where);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &length);
    port_ = ntohs(where.sin_port);
    listen(listener_, 8);
    thread_ = std::thread([this] { serve(); });
  }
  rude_server(const rude_server&) = delete;
  rude_server& operator=(const rude_server&) = delete;
  ~rude_server() {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    thread_.join();
  }

  address where() const {
    return address::parse("127.0.0.1:" + std::to_string(port_)).value();
  }
  int requests() const { return requests_; }

 private:
  void serve() {
    while (true) {
      const int client = accept(listener_, nullptr, nullptr);
      if (client < 0) {
        return;
      }
      for (int i = 0; i <= answers_; ++i) {
        char buffer[4096];
        if (read(client, buffer, sizeof(buffer)) <= 0) {
          break;
        }
        ++requests_;
        if (i < answers_) {
          const std::string_view answer =
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
          (void)!write(client, answer.data(), answer.size());
        }
      }
      close(client);
    }
  }

  int answers_;
  int listener_;
  int port_ = 0;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

class http_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_client_test);
  CPPUNIT_TEST(refused_connection_is_never_sent);
  CPPUNIT_TEST(closed_after_the_request_may_have_been_seen);
  CPPUNIT_TEST(reused_connection_that_closes_is_not_resent);
  CPPUNIT_TEST(delete_with_a_body_is_not_sent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refused_connection_is_never_sent() {
    const address nobody =
        address::parse("127.0.0.1:" + std::to_string(free_ports(1)[0])).value();
    CPPUNIT_ASSERT(send(nobody, {"POST", "/", "x", {}}).error() ==
                   errc::connect_failed);
  }

  void closed_after_the_request_may_have_been_seen() {
    rude_server server(0);
    CPPUNIT_ASSERT(send(server.where(), {"POST", "/", "x", {}}).error() ==
                   errc::connection_lost);
    CPPUNIT_ASSERT_EQUAL(1, server.requests());
  }

  void reused_connection_that_closes_is_not_resent() {
    rude_server server(1);
    const auto first = send(server.where(), {"POST", "/1", "x", {}});
    const auto second = send(server.where(), {"POST", "/2", "x", {}});
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT(second.error() == errc::connection_lost);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(2, server.requests());
  }

  void delete_with_a_body_is_not_sent() {
    rude_server server(1);
    CPPUNIT_ASSERT(send(server.where(), {"DELETE", "/", "x", {}}).error() ==
                   errc::malformed_request);
    CPPUNIT_ASSERT_EQUAL(0, server.requests());
  }

 private:
  result<http_reply> send(const address& peer, const http_message& message) {
    result<http_reply> got = errc::not_found;
    http_call call = client_.start(peer, message, milliseconds(10000), nullptr,
                                   [&](result<http_reply> reply) {
                                     got = std::move(reply);
                                     loop_.stop();
                                   });
    loop_.run();
    return got;
  }

  event_loop loop_;
  http_client client_{loop_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

}  // namespace
}  // namespace trayrock::testing
