// Rounds of the event loop that a large message between processes takes.
#include "deployment.h"
#include "records.pb.h"
#include "test_support.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock::testing {
namespace {

constexpr std::size_t message_bytes = 1 << 20;
constexpr milliseconds call_timeout{10000};

records::Record record_of(std::size_t bytes) {
  records::Record made;
  made.mutable_turn()->set_input(std::string(bytes, 'x'));
  return made;
}

// Counts the rounds of a loop: a timer that is due fires once in each.
class round_counter {
 public:
  explicit round_counter(event_loop& loop) : loop_(loop) { count(); }

  int rounds() const { return rounds_; }

 private:
  void count() {
    ++rounds_;
    timer_ = loop_.after(milliseconds(0), [this] { count(); });
  }

  event_loop& loop_;
  timer timer_;
  int rounds_ = 0;
};

class rpc_rounds_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rpc_rounds_test);
  CPPUNIT_TEST(large_message_takes_few_rounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that wait for one another on their connection while a
  // busy process runs few rounds a second.
  void large_message_takes_few_rounds() {
    constexpr int max_rounds = 100;
    event_loop loop;
    rpc_server server(loop, {});
    server.handle_typed<records::Record>(
        "Echo", [](records::Record& received, const rpc_reply_ptr& reply) {
          reply->send(received);
          reply->finish();
        });
    const std::string peer =
        "127.0.0.1:" + std::to_string(free_ports(1).front());
    CPPUNIT_ASSERT(server.listen(address::parse(peer).value()));
    rpc_pool pool(loop, {});
    std::size_t received_bytes = 0;
    const round_counter counter(loop);
    const rpc_call call = pool.ask<records::Record>(
        peer, "Echo", record_of(message_bytes), call_timeout,
        [&](const result<records::Record>& reply) {
          received_bytes = reply ? reply.value().turn().input().size() : 0;
          loop.stop();
        });
    loop.run();

    CPPUNIT_ASSERT_EQUAL(message_bytes, received_bytes);
    TRAYROCK_CHECK(counter.rounds() <= max_rounds,
                   "expected at most " << max_rounds << " rounds, seen "
                                       << counter.rounds());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rpc_rounds_test);

}  // namespace
}  // namespace trayrock::testing
