// Tests what gateways learn of each other's tries at the record stores.
#include "trayrock/internal/records/try_ledger.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "deployment.h"
#include "test_support.h"
#include "trayrock/internal/records/try_ledger_client.h"

namespace trayrock::testing {
namespace {

constexpr request_fingerprint content = 7;
constexpr std::size_t voters = 5;
constexpr milliseconds max_test_duration{10000};

request_try try_of(std::uint64_t owner) {
  request_try made{content, {"endpoint-" + std::to_string(owner), 1}};
  made.owner = owner;
  return made;
}

struct voter {
  voter(event_loop& loop, const std::string& address_in, bool has_ledger)
      : rpc(loop, {}), ledger(loop, metrics) {
    if (has_ledger) {
      ledger.serve(rpc);
    }
    CPPUNIT_ASSERT(rpc.listen(address::parse(address_in).value()));
  }
  metrics_registry metrics;
  rpc_server rpc;
  try_ledger ledger;
};

struct seen_registration {
  registration outcome = registration::unreachable;
  std::vector<request_try> known;
};

class try_ledger_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(try_ledger_test);
  CPPUNIT_TEST(second_gateway_sees_the_try_of_the_first);
  CPPUNIT_TEST(outcome_travels_with_the_next_try);
  CPPUNIT_TEST(query_records_nothing);
  CPPUNIT_TEST(try_is_confirmed_while_a_minority_is_out_of_reach);
  CPPUNIT_TEST(try_is_not_confirmed_without_a_majority);
  CPPUNIT_TEST(voters_of_an_earlier_version_are_not_waited_for);
  CPPUNIT_TEST(group_without_voters_is_out_of_reach);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<event_loop>();
    pool_ = std::make_unique<rpc_pool>(*loop_, rpc_limits{});
    for (const int port : free_ports(voters)) {
      records::Store& added = *group_.add_voters();
      added.set_id("store-" + std::to_string(port));
      added.set_address("127.0.0.1:" + std::to_string(port));
      added.set_data_centre("dc-" + std::to_string(group_.voters_size()));
    }
  }

  void tearDown() override {
    clients_.clear();
    running_.clear();
    pool_.reset();
    loop_.reset();
    group_.Clear();
  }

  // Whichever voters each of them asks first.
  void second_gateway_sees_the_try_of_the_first() {
    start_voters(voters);
    for (std::uint64_t rotation = 0; rotation < voters; ++rotation) {
      const std::uint64_t owner = 100 + rotation;
      CPPUNIT_ASSERT(open(client(0), try_of(owner)).outcome ==
                     registration::confirmed);
      const seen_registration seen = query(client(rotation));
      CPPUNIT_ASSERT(seen.outcome == registration::confirmed);
      CPPUNIT_ASSERT(has_try_of(seen, owner));
    }
  }

  void outcome_travels_with_the_next_try() {
    start_voters(voters);
    try_ledger_client& gateway = client(0);
    open(gateway, try_of(2));
    request_try closed = try_of(2);
    closed.stage = try_stage::survived;
    gateway.post(closed);
    open(gateway, try_of(3));
    const seen_registration seen = query(client(1));
    CPPUNIT_ASSERT(!has_try_of(seen, 2));
    CPPUNIT_ASSERT(has_try_of(seen, 3));
  }

  void query_records_nothing() {
    start_voters(voters);
    query(client(0));
    CPPUNIT_ASSERT(query(client(1)).known.empty());
  }

  void try_is_confirmed_while_a_minority_is_out_of_reach() {
    start_voters(3);
    for (std::uint64_t rotation = 0; rotation < voters; ++rotation) {
      CPPUNIT_ASSERT(open(client(rotation), try_of(rotation + 2)).outcome ==
                     registration::confirmed);
    }
  }

  void try_is_not_confirmed_without_a_majority() {
    start_voters(2);
    try_ledger_client& gateway = client(0);
    CPPUNIT_ASSERT(gateway.is_reachable());
    CPPUNIT_ASSERT(open(gateway, try_of(2)).outcome ==
                   registration::unreachable);
    CPPUNIT_ASSERT(!gateway.is_reachable());
  }

  void voters_of_an_earlier_version_are_not_waited_for() {
    start_voters(voters, false);
    CPPUNIT_ASSERT(open(client(0), try_of(2)).outcome ==
                   registration::unsupported);
  }

  void group_without_voters_is_out_of_reach() {
    group_.Clear();
    CPPUNIT_ASSERT(open(client(0), try_of(2)).outcome ==
                   registration::unreachable);
  }

 private:
  void start_voters(std::size_t count, bool with_ledger = true) {
    for (std::size_t i = 0; i < count; ++i) {
      const records::Store& each = group_.voters(static_cast<int>(i));
      running_.push_back(
          std::make_unique<voter>(*loop_, each.address(), with_ledger));
    }
  }

  try_ledger_client& client(std::uint64_t rotation) {
    clients_.push_back(std::make_unique<try_ledger_client>(
        *loop_, *pool_, metrics_, "elsewhere", rotation,
        [this]() -> const records::Group& { return group_; }));
    return *clients_.back();
  }

  seen_registration open(try_ledger_client& at, const request_try& sent) {
    return run([&](try_ledger_client::callback done) {
      at.open(sent, std::move(done));
    });
  }

  seen_registration query(try_ledger_client& at) {
    return run([&](try_ledger_client::callback done) {
      at.query(content, std::move(done));
    });
  }

  seen_registration run(
      const std::function<void(try_ledger_client::callback)>& begin) {
    std::optional<seen_registration> seen;
    begin([&](registration outcome, std::span<const request_try> known) {
      seen = seen_registration{outcome, {known.begin(), known.end()}};
      loop_->stop();
    });
    const timer limit =
        loop_->after(max_test_duration, [this] { loop_->stop(); });
    loop_->run();
    CPPUNIT_ASSERT(seen.has_value());
    return *seen;
  }

  static bool has_try_of(const seen_registration& seen, std::uint64_t owner) {
    return std::any_of(
        seen.known.begin(), seen.known.end(),
        [owner](const request_try& each) { return each.owner == owner; });
  }

  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<rpc_pool> pool_;
  metrics_registry metrics_;
  records::Group group_;
  std::vector<std::unique_ptr<voter>> running_;
  std::vector<std::unique_ptr<try_ledger_client>> clients_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(try_ledger_test);

}  // namespace
}  // namespace trayrock::testing
