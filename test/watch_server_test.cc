// When a gateway replies to gateways that poll it.
#include "trayrock/internal/gateway/watch_server.h"

#include <optional>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t known_revision = 5;
constexpr milliseconds wait{2000};
constexpr milliseconds reply_timeout{1000};
// When the server's status changes.
constexpr milliseconds change_at{150};

class watch_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_server_test);
  CPPUNIT_TEST(gateway_that_has_just_started_is_waited_for);
  CPPUNIT_TEST(gateway_that_does_not_watch_after_its_start_says_so);
  CPPUNIT_TEST(watcher_that_loses_the_platform_says_so_at_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a third watcher: a poll reached a selected watcher in the
  // 40 ms between its first data and the begin of its watches, and the caller
  // watched in its place.
  void gateway_that_has_just_started_is_waited_for() {
    const outcome seen =
        poll_during(watch_status::starting, watch_status::watching);
    CPPUNIT_ASSERT(seen.watching);
  }

  void gateway_that_does_not_watch_after_its_start_says_so() {
    const outcome seen =
        poll_during(watch_status::starting, watch_status::not_watching);
    CPPUNIT_ASSERT(!seen.watching);
    check_prompt(seen);
  }

  // Guards against callers that wait for a watcher which can't have an update:
  // the wait is a sixth of the time in which they must avoid a draining
  // endpoint.
  void watcher_that_loses_the_platform_says_so_at_once() {
    const outcome seen =
        poll_during(watch_status::watching, watch_status::not_watching);
    CPPUNIT_ASSERT(!seen.watching);
    check_prompt(seen);
  }

 private:
  struct outcome {
    bool watching = false;
    std::uint64_t after_ms = 0;
  };

  static void check_prompt(const outcome& seen) {
    constexpr std::uint64_t at_once_ms = 250;  // with a busy processor
    const auto earliest = static_cast<std::uint64_t>(change_at.count());
    TRAYROCK_CHECK(
        seen.after_ms + 1 >= earliest && seen.after_ms < earliest + at_once_ms,
        "expected a reply after " << earliest << " ms, seen after "
                                  << seen.after_ms);
  }

  // The reply to a poll of a gateway whose status changes meanwhile.
  static outcome poll_during(watch_status first, watch_status then) {
    event_loop loop;
    watch_status status = first;
    watch_log log(1);
    watch_server server(
        loop, log, [&] { return status; },
        [](const relay_peer&, std::uint64_t) {}, [](records::WatchReply&) {});
    rpc_server rpc(loop, {});
    server.serve(rpc);
    const std::string where =
        "127.0.0.1:" + std::to_string(free_ports(1).front());
    CPPUNIT_ASSERT(rpc.listen(address::parse(where).value()));
    rpc_pool pool(loop, rpc_limits{});

    records::WatchRequest request;
    request.set_endpoints_revision(known_revision);
    request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
    const std::uint64_t began_ms = loop.now_ms();
    std::optional<outcome> seen;
    const rpc_call call = pool.ask<records::WatchReply>(
        where, "Watch", request, wait + reply_timeout,
        [&](const result<records::WatchReply>& reply) {
          CPPUNIT_ASSERT(reply.has_value());
          seen = {reply.value().watching(), loop.now_ms() - began_ms};
          loop.stop();
        });
    const timer change = loop.after(change_at, [&] { status = then; });
    loop.run();
    CPPUNIT_ASSERT(seen.has_value());
    return *seen;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_server_test);

}  // namespace
}  // namespace trayrock::testing
