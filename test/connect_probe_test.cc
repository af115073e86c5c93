// What a probe of an address tells of the process there.
#include "trayrock/internal/net/connect_probe.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds limit{2000};

class connect_probe_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(connect_probe_test);
  CPPUNIT_TEST(listening_process_accepts);
  CPPUNIT_TEST(ended_process_refuses);
  CPPUNIT_TEST(process_that_ends_during_the_connection_refuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, bind(listener_, reinterpret_cast<sockaddr*>(&own), sizeof(own)));
    CPPUNIT_ASSERT_EQUAL(0, listen(listener_, 1));
    socklen_t size = sizeof(own);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &size);
    port_ = ntohs(own.sin_port);
  }

  void tearDown() override { end_listening(); }

  void listening_process_accepts() {
    CPPUNIT_ASSERT(probe_result::accepted == result_of([] {}));
  }

  void ended_process_refuses() {
    end_listening();
    CPPUNIT_ASSERT(probe_result::refused == result_of([] {}));
  }

  // The kernel accepts the connection and resets it when the process ends. This
  // counted as silence, so that the endpoint's end was not known.
  void process_that_ends_during_the_connection_refuses() {
    CPPUNIT_ASSERT(probe_result::refused ==
                   result_of([this] { end_listening(); }));
  }

 private:
  probe_result result_of(const std::function<void()>& after_connect) {
    event_loop loop;
    std::optional<probe_result> seen;
    connect_probe probe(loop, "127.0.0.1:" + std::to_string(port_), limit,
                        [&](probe_result result) {
                          seen = result;
                          loop.stop();
                        });
    after_connect();
    loop.run();
    return seen.value();
  }

  void end_listening() {
    if (listener_ >= 0) {
      close(std::exchange(listener_, -1));
    }
  }

  int listener_ = -1;
  int port_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(connect_probe_test);

}  // namespace
}  // namespace trayrock::testing
