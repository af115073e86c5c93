// Permits for a gateway that cannot reach the record stores directly.
//
// On a day on which seven of twenty gateways were cut off from all record
// stores for twelve seconds, each of their requests of a limited workspace
// asked five stores in vain, 150 ms each, before it went by another gateway:
// the day's worth fell from 0.944 to 0.842.
#include "trayrock/internal/records/permit_client.h"

#include <optional>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds longest_run{10000};
constexpr int store_count = 5;

std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

class permit_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_client_test);
  CPPUNIT_TEST(two_silent_stores_send_the_request_by_a_relay);
  CPPUNIT_TEST(answer_of_a_newer_group_is_taken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_silent_stores_send_the_request_by_a_relay() {
    event_loop loop;
    rpc_pool pool(loop, {});
    metrics_registry metrics;
    record_client records(loop, pool, "dc-0", metrics);
    const std::vector<int> ports = free_ports(store_count + 1);
    rpc_server stores(loop, {});  // take calls and leave them unanswered
    int direct = 0;
    std::vector<rpc_reply_ptr> unanswered;
    stores.handle_typed<records::PermitRequest>(
        "Permit", [&](records::PermitRequest&, const rpc_reply_ptr& reply) {
          ++direct;
          unanswered.push_back(reply);
        });
    CPPUNIT_ASSERT(stores.listen(address::parse(local(ports[0])).value()));
    rpc_server relay(loop, {});
    std::string asked_for;
    relay.handle_typed<records::RelayRequest>(
        "Relay",
        [&](records::RelayRequest& request, const rpc_reply_ptr& reply) {
          asked_for = request.permit().workspace();
          records::PermitReply answer;
          answer.set_given(true);
          reply->send(answer);
          reply->finish();
        });
    CPPUNIT_ASSERT(relay.listen(address::parse(local(ports[1])).value()));
    records.adopt(group_at(local(ports[0]), 1));
    permit_client permits(loop, pool, records, metrics, "dc-0");
    permits.use_relays({[&] { return local(ports[1]); },
                        [](const std::string&, relay_failure) {},
                        [](const std::string&) {}});

    const permit_result said = acquire(loop, permits);

    CPPUNIT_ASSERT(std::holds_alternative<permit>(said));
    CPPUNIT_ASSERT_EQUAL(std::string("growers"), asked_for);
    CPPUNIT_ASSERT_EQUAL(2, direct);
  }

  void answer_of_a_newer_group_is_taken() {
    event_loop loop;
    rpc_pool pool(loop, {});
    metrics_registry metrics;
    record_client records(loop, pool, "dc-0", metrics);
    const std::vector<int> ports = free_ports(1);
    const records::Group newer = group_at(local(ports[0]), 2);
    rpc_server stores(loop, {});
    stores.handle_typed<records::PermitRequest>(
        "Permit",
        [&](records::PermitRequest& request, const rpc_reply_ptr& reply) {
          records::PermitReply answer;
          if (request.epoch() < newer.epoch()) {
            answer.set_outcome(records::OUTCOME_STALE_EPOCH);
            *answer.mutable_group() = newer;
          } else {
            answer.set_given(true);
          }
          reply->send(answer);
          reply->finish();
        });
    CPPUNIT_ASSERT(stores.listen(address::parse(local(ports[0])).value()));
    records.adopt(group_at(local(ports[0]), 1));
    permit_client permits(loop, pool, records, metrics, "dc-0");

    const permit_result said = acquire(loop, permits);

    CPPUNIT_ASSERT(std::holds_alternative<permit>(said));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, records.group().epoch());
  }

 private:
  static records::Group group_at(const std::string& where,
                                 std::uint64_t epoch) {
    records::Group made;
    made.set_epoch(epoch);
    made.set_tolerated(2);
    for (int i = 0; i < store_count; ++i) {
      records::Store& each = *made.add_voters();
      each.set_id("store-" + std::to_string(i));
      each.set_address(where);
      each.set_data_centre("dc-" + std::to_string(i % 3));
    }
    return made;
  }

  static permit_result acquire(event_loop& loop, permit_client& permits) {
    std::optional<permit_result> seen;
    permits.acquire({"growers", {10, 10, 1}, permit_use::regular},
                    milliseconds(1500), [&](const permit_result& said) {
                      seen = said;
                      loop.stop();
                    });
    const timer limit = loop.after(longest_run, [&] { loop.stop(); });
    if (!seen) {
      loop.run();
    }
    TRAYROCK_CHECK(seen.has_value(), "expected an answer, seen none");
    return *seen;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_client_test);

}  // namespace
}  // namespace trayrock::testing
