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

request_try try_of(std::uint64_t owner, request_fingerprint of = content) {
  request_try made{of, {"endpoint-" + std::to_string(owner), 1}};
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
  CPPUNIT_TEST(one_voter_has_an_open_try);
  CPPUNIT_TEST(most_voters_have_a_try_of_unknown_outcome);
  CPPUNIT_TEST(outcome_travels_with_the_next_try);
  CPPUNIT_TEST(query_records_nothing);
  CPPUNIT_TEST(try_is_confirmed_while_a_minority_is_out_of_reach);
  CPPUNIT_TEST(try_is_not_confirmed_without_its_voter_and_a_majority);
  CPPUNIT_TEST(voter_that_started_again_is_not_enough);
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

  void second_gateway_sees_the_try_of_the_first() {
    start_voters(voters);
    for (request_fingerprint each = 1; each <= voters; ++each) {
      CPPUNIT_ASSERT(open(client(), try_of(2, each)).outcome ==
                     registration::confirmed);
      const seen_registration seen = query(client(), each);
      CPPUNIT_ASSERT(seen.outcome == registration::confirmed);
      CPPUNIT_ASSERT(has_try_of(seen, 2));
    }
  }

  void one_voter_has_an_open_try() {
    start_voters(voters);
    open(client(), try_of(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, voters_that_know(2));
  }

  void most_voters_have_a_try_of_unknown_outcome() {
    start_voters(voters);
    try_ledger_client& gateway = client();
    request_try left = try_of(2);
    left.stage = try_stage::unknown;
    left.settle_ms = poison_requests::left_settle_ms;
    gateway.post(left);
    wait_for([&] { return voters_that_know(2) == voters / 2 + 1; });
  }

  void outcome_travels_with_the_next_try() {
    start_voters(voters);
    try_ledger_client& gateway = client();
    open(gateway, try_of(2));
    request_try closed = try_of(2);
    closed.stage = try_stage::survived;
    gateway.post(closed);
    open(gateway, try_of(3));
    const seen_registration seen = query(client());
    CPPUNIT_ASSERT(!has_try_of(seen, 2));
    CPPUNIT_ASSERT(has_try_of(seen, 3));
  }

  void query_records_nothing() {
    start_voters(voters);
    query(client());
    CPPUNIT_ASSERT(query(client()).known.empty());
  }

  void try_is_confirmed_while_a_minority_is_out_of_reach() {
    start_voters(3);
    for (request_fingerprint each = 1; each <= voters; ++each) {
      CPPUNIT_ASSERT(open(client(), try_of(2, each)).outcome ==
                     registration::confirmed);
      CPPUNIT_ASSERT(has_try_of(query(client(), each), 2));
    }
  }

  // Whatever content it is whose voter is out of reach.
  void try_is_not_confirmed_without_its_voter_and_a_majority() {
    start_voters(2);
    int confirmed = 0;
    for (request_fingerprint each = 1; each <= voters; ++each) {
      try_ledger_client& gateway = client();
      CPPUNIT_ASSERT(gateway.is_reachable());
      const bool reached =
          open(gateway, try_of(2, each)).outcome == registration::confirmed;
      CPPUNIT_ASSERT_EQUAL(reached, gateway.is_reachable());
      confirmed += reached ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, confirmed);
  }

  void voter_that_started_again_is_not_enough() {
    start_voters(voters);
    try_ledger_client& gateway = client();
    open(gateway, try_of(2));
    const std::size_t asked = voter_that_knows(2);
    CPPUNIT_ASSERT(asked < voters);
    running_[asked].reset();
    running_[asked] = std::make_unique<voter>(
        *loop_, group_.voters(static_cast<int>(asked)).address(), true);
    open(gateway, try_of(3));
    CPPUNIT_ASSERT(voters_that_know(3) > voters / 2);
  }

  void voters_of_an_earlier_version_are_not_waited_for() {
    start_voters(voters, false);
    CPPUNIT_ASSERT(open(client(), try_of(2)).outcome ==
                   registration::unsupported);
  }

  void group_without_voters_is_out_of_reach() {
    group_.Clear();
    CPPUNIT_ASSERT(open(client(), try_of(2)).outcome ==
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

  try_ledger_client& client() {
    clients_.push_back(std::make_unique<try_ledger_client>(
        *loop_, *pool_, metrics_,
        [this]() -> const records::Group& { return group_; }));
    return *clients_.back();
  }

  seen_registration open(try_ledger_client& at, const request_try& sent) {
    return run([&](try_ledger_client::callback done) {
      at.open(sent, std::move(done));
    });
  }

  seen_registration query(try_ledger_client& at,
                          request_fingerprint of = content) {
    return run([&](try_ledger_client::callback done) {
      at.query(of, std::move(done));
    });
  }

  // The tries at one voter alone.
  bool knows(std::size_t at, std::uint64_t owner) {
    records::RequestTries question;
    records::RequestTry& about = *question.add_tries();
    about.set_request(content);
    question.set_wants_tries(true);
    const records::RequestTriesReply reply =
        running_[at]->ledger.record(question);
    return std::any_of(reply.tries().begin(), reply.tries().end(),
                       [owner](const records::RequestTry& each) {
                         return each.owner() == owner;
                       });
  }

  std::size_t voters_that_know(std::uint64_t owner) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < running_.size(); ++i) {
      count += knows(i, owner) ? 1 : 0;
    }
    return count;
  }

  std::size_t voter_that_knows(std::uint64_t owner) {
    std::size_t at = 0;
    while (at < running_.size() && !knows(at, owner)) {
      ++at;
    }
    return at;
  }

  void wait_for(const std::function<bool()>& holds) {
    const timer poll = loop_->every(milliseconds(10), [&] {
      if (holds()) {
        loop_->stop();
      }
    });
    const timer limit =
        loop_->after(max_test_duration, [this] { loop_->stop(); });
    loop_->run();
    CPPUNIT_ASSERT(holds());
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
