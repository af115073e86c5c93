// Stores that join a group ask the others to confirm their permits, and grant
// permits of their own before a window has passed.
#include "trayrock/internal/records/permit_joiner.h"

#include <memory>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds max_test_duration{10000};
// Longer than any of these tests.
constexpr limit_terms terms{milliseconds(60000), 0, 0};
constexpr int limit = 12;  // requests in a window

std::string id_of(int number) { return "store-" + std::to_string(number); }

// A store without records, whose disk may be slow.
class granting_store {
 public:
  granting_store(event_loop& loop, rpc_pool& pool, int number)
      : rpc_(loop, {}),
        permits_(
            loop, metrics_, terms,
            {[this]() -> const records::StoreState& { return state_; },
             [](const records::GivenPermits&,
                const std::function<void(std::error_code)>& durable) {
               durable({});
             },
             [](const std::vector<std::string>&) {},
             [this](const records::Group& group, std::function<void()> then) {
               adopt(group);
               sync(std::move(then));
             }}),
        joiner_(loop, pool, permits_,
                [this]() -> const records::StoreState& { return state_; }) {
    state_.set_id(id_of(number));
  }

  bool start(const records::Group& group, const std::string& at) {
    *state_.mutable_group() = group;
    permits_.serve(rpc_);
    return rpc_.listen(address::parse(at).value()).has_value();
  }

  void adopt(const records::Group& group) {
    if (group.epoch() > state_.group().epoch()) {
      *state_.mutable_group() = group;
      permits_.group_changed();
      joiner_.group_changed();
    }
  }

  void hold_disk() { held_ = true; }
  void release_disk() {
    held_ = false;
    for (const auto& each : std::exchange(waiting_, {})) {
      each();
    }
  }
  std::size_t waiting() const { return waiting_.size(); }

  bool is_closed() const { return permits_.is_closed(); }

 private:
  void sync(std::function<void()> then) {
    if (held_) {
      waiting_.push_back(std::move(then));
    } else {
      then();
    }
  }

  metrics_registry metrics_;
  records::StoreState state_;
  rpc_server rpc_;
  permit_server permits_;
  permit_joiner joiner_;
  bool held_ = false;
  std::vector<std::function<void()>> waiting_;
};

class permit_joiner_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_joiner_test);
  CPPUNIT_TEST(store_that_joins_the_first_group_grants_its_share);
  CPPUNIT_TEST(stores_that_join_one_after_another_grant_their_shares);
  CPPUNIT_TEST(store_waits_for_the_disks_of_all_voters);
  CPPUNIT_TEST(store_grants_nothing_while_a_voter_is_beyond_its_share);
  CPPUNIT_TEST(store_grants_nothing_while_a_voter_is_down);
  CPPUNIT_TEST(refusal_of_a_store_that_may_be_confirmed_is_short);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    addresses_.clear();
    for (const int port : free_ports(4)) {
      addresses_.push_back("127.0.0.1:" + std::to_string(port));
    }
    stores_.clear();
  }
  void tearDown() override { stores_.clear(); }

  void store_that_joins_the_first_group_grants_its_share() {
    start_first_group();
    join(2);
    CPPUNIT_ASSERT(run_until([&] { return !stores_[2]->is_closed(); }));
    CPPUNIT_ASSERT_EQUAL(limit,
                         acquire_all(0) + acquire_all(1) + acquire_all(2));
  }

  void stores_that_join_one_after_another_grant_their_shares() {
    start_first_group();
    for (const int joining : {2, 3}) {
      join(joining);
      CPPUNIT_ASSERT(run_until([&] { return !stores_[joining]->is_closed(); }));
    }
    int granted = 0;
    for (int i = 0; i < 4; ++i) {
      granted += acquire_all(i);
    }
    CPPUNIT_ASSERT_EQUAL(limit, granted);
  }

  // A voter that restarts with the old group on its disk has a larger share.
  void store_waits_for_the_disks_of_all_voters() {
    start_first_group();
    stores_[1]->hold_disk();
    join(2);
    CPPUNIT_ASSERT(run_until([&] { return stores_[1]->waiting() > 0; }));
    CPPUNIT_ASSERT_EQUAL(0, acquire_all(2));
    stores_[1]->release_disk();
    CPPUNIT_ASSERT(run_until([&] { return !stores_[2]->is_closed(); }));
  }

  void store_grants_nothing_while_a_voter_is_beyond_its_share() {
    start_first_group();
    CPPUNIT_ASSERT_EQUAL(limit / 2, acquire_all(0));
    join(2);
    // Several requests to the voters.
    run_for(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0, acquire_all(2));
  }

  void store_grants_nothing_while_a_voter_is_down() {
    start_first_group();
    stores_[0].reset();
    join(2);
    run_for(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0, acquire_all(2));
  }

  // Guards against gateways that skip the store until the end of the window.
  void refusal_of_a_store_that_may_be_confirmed_is_short() {
    start_first_group();
    stores_[1]->hold_disk();
    join(2);
    const records::PermitReply refusal = acquire(2);
    CPPUNIT_ASSERT(!refusal.given());
    TRAYROCK_CHECK(refusal.next_ms() <= 1000,
                   "expected at most 1000 ms, got " << refusal.next_ms());
  }

 private:
  records::Store voter(int number) const {
    records::Store made;
    made.set_id(id_of(number));
    made.set_address(addresses_[number]);
    return made;
  }

  // Of the first stores; the last of them has joined in this epoch.
  records::Group group_of(int voters, std::uint64_t epoch) const {
    records::Group made;
    made.set_epoch(epoch);
    made.set_tolerated(1);
    for (int i = 0; i < voters; ++i) {
      *made.add_voters() = voter(i);
      if (epoch > 1 && i + 1 < voters) {
        *made.add_previous_voters() = voter(i);
      }
    }
    return made;
  }

  void start_first_group() {
    for (int i = 0; i < 2; ++i) {
      stores_.push_back(std::make_unique<granting_store>(loop_, pool_, i));
      CPPUNIT_ASSERT(stores_[i]->start(group_of(2, 1), addresses_[i]));
    }
  }

  void join(int number) {
    const auto epoch = static_cast<std::uint64_t>(number);
    stores_.push_back(std::make_unique<granting_store>(loop_, pool_, number));
    CPPUNIT_ASSERT(stores_[number]->start(group_of(number, epoch - 1),
                                          addresses_[number]));
    stores_[number]->adopt(group_of(number + 1, epoch));
    CPPUNIT_ASSERT(stores_[number]->is_closed());
  }

  records::PermitReply acquire(int store) {
    records::PermitRequest request;
    request.set_store(id_of(store));
    request.set_epoch(stores_.size() - 1);
    request.set_workspace("growers");
    request.set_configuration(1);
    request.set_per_second(0.2);  // 12 in a window
    records::PermitReply received;
    const rpc_call call = pool_.ask<records::PermitReply>(
        addresses_[store], "Permit", request, max_test_duration,
        [&](const result<records::PermitReply>& reply) {
          CPPUNIT_ASSERT(reply.has_value());
          received = reply.value();
          loop_.stop();
        });
    loop_.run();
    return received;
  }

  int acquire_all(int store) {
    int granted = 0;
    while (acquire(store).given()) {
      ++granted;
    }
    return granted;
  }

  void run_for(milliseconds duration) {
    const timer end = loop_.after(duration, [this] { loop_.stop(); });
    loop_.run();
  }

  bool run_until(const std::function<bool()>& condition) {
    const timer end = loop_.after(max_test_duration, [this] { loop_.stop(); });
    const timer check = loop_.every(milliseconds(5), [&] {
      if (condition()) {
        loop_.stop();
      }
    });
    loop_.run();
    return condition();
  }

  event_loop loop_;
  rpc_pool pool_{loop_, {}};
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<granting_store>> stores_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_joiner_test);

}  // namespace
}  // namespace trayrock::testing
