// Permits for a gateway that cannot reach the record stores directly: guards
// against requests that time out at every store before a relay is used.
#include "trayrock/internal/records/permit_client.h"

#include <optional>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds max_test_duration{10000};
constexpr int store_count = 5;

std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

class permit_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_client_test);
  CPPUNIT_TEST(request_uses_a_relay_after_two_unanswered_calls);
  CPPUNIT_TEST(newer_group_in_a_reply_is_adopted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void request_uses_a_relay_after_two_unanswered_calls() {
    event_loop loop;
    rpc_pool pool(loop, {});
    metrics_registry metrics;
    record_client records(loop, pool, "dc-0", metrics);
    const std::vector<int> ports = free_ports(store_count + 1);
    rpc_server stores(loop, {});  // accept calls without replying
    int direct_calls = 0;
    std::vector<rpc_reply_ptr> unanswered;
    stores.handle_typed<records::PermitRequest>(
        "Permit", [&](records::PermitRequest&, const rpc_reply_ptr& reply) {
          ++direct_calls;
          unanswered.push_back(reply);
        });
    CPPUNIT_ASSERT(stores.listen(address::parse(local(ports[0])).value()));
    rpc_server relay(loop, {});
    std::string relayed_workspace;
    relay.handle_typed<records::RelayRequest>(
        "Relay",
        [&](records::RelayRequest& request, const rpc_reply_ptr& reply) {
          relayed_workspace = request.permit().workspace();
          records::PermitReply message;
          message.set_given(true);
          reply->send(message);
          reply->finish();
        });
    CPPUNIT_ASSERT(relay.listen(address::parse(local(ports[1])).value()));
    records.adopt(group_at(local(ports[0]), 1));
    permit_client permits(loop, pool, records, metrics, "dc-0");
    permits.use_relays({[&] { return local(ports[1]); },
                        [](const std::string&, relay_failure) {},
                        [](const std::string&) {}});

    const permit_result reply = acquire(loop, permits);

    CPPUNIT_ASSERT(std::holds_alternative<permit>(reply));
    CPPUNIT_ASSERT_EQUAL(std::string("growers"), relayed_workspace);
    CPPUNIT_ASSERT_EQUAL(2, direct_calls);
  }

  void newer_group_in_a_reply_is_adopted() {
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
          records::PermitReply message;
          if (request.epoch() < newer.epoch()) {
            message.set_outcome(records::OUTCOME_STALE_EPOCH);
            *message.mutable_group() = newer;
          } else {
            message.set_given(true);
          }
          reply->send(message);
          reply->finish();
        });
    CPPUNIT_ASSERT(stores.listen(address::parse(local(ports[0])).value()));
    records.adopt(group_at(local(ports[0]), 1));
    permit_client permits(loop, pool, records, metrics, "dc-0");

    const permit_result reply = acquire(loop, permits);

    CPPUNIT_ASSERT(std::holds_alternative<permit>(reply));
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
    std::optional<permit_result> received;
    permits.acquire({"growers", {10, 10, 1}, permit_use::regular},
                    milliseconds(1500), [&](const permit_result& reply) {
                      received = reply;
                      loop.stop();
                    });
    const timer limit = loop.after(max_test_duration, [&] { loop.stop(); });
    if (!received) {
      loop.run();
    }
    TRAYROCK_CHECK(received.has_value(), "expected a reply, received none");
    return *received;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_client_test);

}  // namespace
}  // namespace trayrock::testing
