// Permits for a gateway that cannot reach the record stores directly, or whose
// stores have slow disks: guards against requests that time out at every store.
#include "trayrock/internal/records/permit_client.h"

#include <optional>

#include "deployment.h"
#include "test_support.h"
#include "trayrock/internal/records/permit_server.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds max_test_duration{10000};
constexpr int store_count = 5;

std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

// A store that issues permits; its writes can be held back.
class permit_issuer {
 public:
  permit_issuer(event_loop& loop, const records::Group& group,
                const std::string& id)
      : loop_(loop),
        rpc_(loop, {}),
        server_(loop, metrics_, {milliseconds(60000), 0, 0},
                {[this]() -> const records::StoreState& { return state_; },
                 [this](const records::GivenPermits&,
                        std::function<void(std::error_code)> durable) {
                   writes_.push_back(std::move(durable));
                   finish_writes();
                 },
                 [](const std::vector<std::string>&) {}}) {
    state_.set_id(id);
    *state_.mutable_group() = group;
    server_.serve(rpc_);
  }

  bool listen(const std::string& at) {
    return rpc_.listen(address::parse(at).value()).has_value();
  }

  void hold_writes() { held_ = true; }
  void release_writes() {
    held_ = false;
    finish_writes();
  }

 private:
  void finish_writes() {
    if (held_) {
      return;
    }
    for (auto& each : std::exchange(writes_, {})) {
      loop_.post([durable = std::move(each)] { durable({}); });
    }
  }

  event_loop& loop_;
  metrics_registry metrics_;
  records::StoreState state_;
  rpc_server rpc_;
  permit_server server_;
  bool held_ = false;
  std::vector<std::function<void(std::error_code)>> writes_;
};

class permit_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_client_test);
  CPPUNIT_TEST(request_uses_a_relay_after_two_unanswered_calls);
  CPPUNIT_TEST(newer_group_in_a_reply_is_adopted);
  CPPUNIT_TEST(request_waits_while_the_disks_of_all_stores_are_slow);
  CPPUNIT_TEST(permits_of_dropped_calls_are_returned);
  CPPUNIT_TEST(cancelled_permit_is_issued_again);
  CPPUNIT_TEST(limit_is_not_reached_while_a_slow_store_has_permits);
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

  // Guards against rejected requests while no store is unreachable.
  void request_waits_while_the_disks_of_all_stores_are_slow() {
    start_issuers();
    permit_client permits(loop_, pool_, records_, metrics_, "dc-0");
    hold_writes();
    const timer end_of_stall = loop_.after(stall, [this] { release_writes(); });
    int given = 0;
    for (int i = 0; i < permits_in_window; ++i) {
      given += std::holds_alternative<permit>(acquire_limited(permits)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(permits_in_window, given);
  }

  // Guards against a limit that is used up by permits that no request got: the
  // client leaves a slow store for another one.
  void permits_of_dropped_calls_are_returned() {
    start_issuers();
    permit_client permits(loop_, pool_, records_, metrics_, "dc-0");
    hold_writes();
    // The replies to the first permit of each store don't wait for its disk.
    for (int i = 0; i < issuer_count; ++i) {
      CPPUNIT_ASSERT(std::holds_alternative<permit>(acquire_limited(permits)));
    }
    // Tries one store after another.
    const timer end_of_stall = loop_.after(stall, [this] { release_writes(); });
    CPPUNIT_ASSERT(std::holds_alternative<permit>(acquire_limited(permits)));
    int given = issuer_count + 1;
    while (std::holds_alternative<permit>(acquire_limited(permits))) {
      ++given;
    }
    CPPUNIT_ASSERT_EQUAL(permits_in_window, given);
  }

  // Guards against 429 for a request that a slow store would still permit.
  void limit_is_not_reached_while_a_slow_store_has_permits() {
    start_issuers();
    permit_client permits(loop_, pool_, records_, metrics_, "dc-0");
    constexpr std::uint64_t share = permits_in_window / issuer_count;
    for (int store = 1; store < issuer_count; ++store) {
      for (std::uint64_t call = 1; call <= share; ++call) {
        const std::uint64_t id = static_cast<std::uint64_t>(store) * 100 + call;
        ask<records::PermitReply>("Permit", permit_call(id, store), store);
      }
    }
    hold_writes();
    // The reply to the first permit doesn't wait for the disk.
    CPPUNIT_ASSERT(std::holds_alternative<permit>(acquire_limited(permits)));
    const timer end_of_stall = loop_.after(stall, [this] { release_writes(); });

    const permit_result reply = acquire_limited(permits);

    CPPUNIT_ASSERT(std::holds_alternative<permit>(reply));
  }

  // Guards against a limit that is used up by permits whose replies crossed the
  // end of their calls.
  void cancelled_permit_is_issued_again() {
    constexpr std::uint64_t share = permits_in_window / issuer_count;
    start_issuers();
    for (std::uint64_t call = 1; call <= share; ++call) {
      CPPUNIT_ASSERT(
          ask<records::PermitReply>("Permit", permit_call(call)).given());
    }
    const bool beyond_share =
        ask<records::PermitReply>("Permit", permit_call(share + 1)).given();
    records::CancelPermitRequest cancellation;
    cancellation.set_store("store-0");
    cancellation.set_call(share);
    ask<records::CancelPermitReply>("CancelPermit", cancellation);
    // A second cancellation must not return another permit.
    ask<records::CancelPermitReply>("CancelPermit", cancellation);
    const bool after_cancellation =
        ask<records::PermitReply>("Permit", permit_call(share + 2)).given();
    const bool after_second =
        ask<records::PermitReply>("Permit", permit_call(share + 3)).given();

    CPPUNIT_ASSERT(!beyond_share);
    CPPUNIT_ASSERT(after_cancellation);
    CPPUNIT_ASSERT(!after_second);
  }

 private:
  // A request to an issuer.
  static records::PermitRequest permit_call(std::uint64_t call, int store = 0) {
    records::PermitRequest made;
    made.set_store("store-" + std::to_string(store));
    made.set_epoch(1);
    made.set_workspace("growers");
    made.set_configuration(1);
    made.set_per_second(0.2);
    made.set_call(call);
    return made;
  }

  // Calls an issuer.
  template <typename reply_type>
  reply_type ask(const std::string& method,
                 const google::protobuf::MessageLite& request, int store = 0) {
    std::optional<reply_type> received;
    const rpc_call call = pool_.ask<reply_type>(
        records_.group().voters(store).address(), method, request,
        max_test_duration, [&](const result<reply_type>& reply) {
          if (reply) {
            received = reply.value();
          }
          loop_.stop();
        });
    loop_.run();
    TRAYROCK_CHECK(received.has_value(), "expected a reply to " << method);
    return *received;
  }

  static constexpr int issuer_count = 3;
  // 0.2 a second in the issuers' window of a minute.
  static constexpr int permits_in_window = 12;
  static constexpr milliseconds stall{1000};

  void start_issuers() {
    const std::vector<int> ports = free_ports(issuer_count);
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(1);
    for (int i = 0; i < issuer_count; ++i) {
      records::Store& each = *group.add_voters();
      each.set_id("store-" + std::to_string(i));
      each.set_address(local(ports[i]));
      each.set_data_centre("dc-" + std::to_string(i));
    }
    for (const records::Store& each : group.voters()) {
      issuers_.push_back(
          std::make_unique<permit_issuer>(loop_, group, each.id()));
      CPPUNIT_ASSERT(issuers_.back()->listen(each.address()));
    }
    records_.adopt(group);
  }

  void hold_writes() {
    for (const auto& each : issuers_) {
      each->hold_writes();
    }
  }

  void release_writes() {
    for (const auto& each : issuers_) {
      each->release_writes();
    }
  }

  // With a time limit that is shorter than the stall of the disks.
  permit_result acquire_limited(permit_client& permits) {
    return acquire(loop_, permits, {0.2, 0, 1}, milliseconds(500));
  }

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

  static permit_result acquire(event_loop& loop, permit_client& permits,
                               const request_limit& of = {10, 10, 1},
                               milliseconds limit = milliseconds(1500)) {
    std::optional<permit_result> received;
    permits.acquire({"growers", of, permit_use::regular}, limit,
                    [&](const permit_result& reply) {
                      received = reply;
                      loop.stop();
                    });
    const timer end = loop.after(max_test_duration, [&] { loop.stop(); });
    if (!received) {
      loop.run();
    }
    TRAYROCK_CHECK(received.has_value(), "expected a reply, received none");
    return *received;
  }

  event_loop loop_;
  rpc_pool pool_{loop_, {}};
  metrics_registry metrics_;
  record_client records_{loop_, pool_, "dc-0", metrics_};
  std::vector<std::unique_ptr<permit_issuer>> issuers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_client_test);

}  // namespace
}  // namespace trayrock::testing
