// Proofs of a configuration: single cases, and seeded random orders of calls,
// responses, polls, pauses and restarts of several gateways.
#include "trayrock/internal/decide/configuration_proof.h"

#include <map>
#include <random>
#include <vector>

#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds limit{5000};

// A platform and gateways in virtual time. One change revokes the only key; a
// gateway has the configuration before or after it.
class simulation {
 public:
  explicit simulation(unsigned seed) : random_(seed) {
    for (int i = 0; i < gateway_count; ++i) {
      gateways_.emplace_back();
    }
    revoked_ms_ = 8000 + random_() % 12000;
  }

  // Requests served though they were sent too late after the revocation, and
  // requests refused in spite of a recent proof.
  int served_late = 0;
  int refused_with_proof = 0;
  int served = 0;

  void run() {
    for (now_ms_ = 1000; now_ms_ < 30000; now_ms_ += 1 + random_() % 40) {
      step(random_() % gateway_count);
    }
  }

 private:
  static constexpr int gateway_count = 4;

  struct gateway {
    configuration_proof proof{limit};
    bool has_change = false;
    bool has_configuration = false;
    std::uint64_t paused_until_ms = 0;
    struct response {
      std::uint64_t arrives_ms = 0;
      std::uint64_t sent_ms = 0;
      milliseconds age{0};
      bool has_change = false;
      bool from_peer = false;
    };
    std::vector<response> responses;
    std::vector<std::uint64_t> requests;  // when they were sent
    std::uint64_t best_proof_ms = 0;      // as this test computes it
  };

  bool is_revoked_at(std::uint64_t ms) const { return ms >= revoked_ms_; }

  void step(std::size_t which) {
    gateway& at = gateways_[which];
    if (random_() % 12 == 0) {
      at.requests.push_back(now_ms_);
    }
    if (at.paused_until_ms > now_ms_) {
      return;
    }
    receive_responses(at);
    read_requests(at);
    switch (random_() % 40) {
      case 0:
        at = gateway();
        return;
      case 1:
        at.paused_until_ms = now_ms_ + random_() % 8000;
        return;
      case 2:
      case 3:
        watch_platform(at);
        return;
      case 4:
        poll_peer(at, gateways_[random_() % gateway_count]);
        return;
      default:
        return;
    }
  }

  // Responses may be delayed or lost.
  void watch_platform(gateway& at) {
    if (random_() % 4 == 0) {
      return;
    }
    const std::uint64_t made_ms = now_ms_ + random_() % 1500;
    at.responses.push_back({made_ms + random_() % 3000, now_ms_,
                            milliseconds(0), is_revoked_at(made_ms), false});
  }

  void poll_peer(gateway& at, const gateway& peer) {
    const std::uint64_t made_ms = now_ms_ + random_() % 300;
    const auto age = peer.proof.age(now_ms_);
    if (&at == &peer || !age || !peer.has_configuration) {
      return;
    }
    at.responses.push_back(
        {made_ms + random_() % 3000, now_ms_, *age, peer.has_change, true});
  }

  void receive_responses(gateway& at) {
    std::erase_if(at.responses, [&](const gateway::response& each) {
      if (each.arrives_ms > now_ms_) {
        return false;
      }
      at.has_configuration = true;
      at.has_change = at.has_change || each.has_change;
      if (each.from_peer) {
        at.proof.on_peer_reply(each.sent_ms, each.age);
      } else {
        at.proof.on_platform_response(each.sent_ms);
      }
      at.best_proof_ms =
          std::max(at.best_proof_ms,
                   each.sent_ms - static_cast<std::uint64_t>(each.age.count()));
      return true;
    });
  }

  void read_requests(gateway& at) {
    for (const std::uint64_t sent : at.requests) {
      const bool serves =
          at.has_configuration && at.proof.is_valid(now_ms_) && !at.has_change;
      const auto bound = static_cast<std::uint64_t>(limit.count());
      if (serves) {
        ++served;
        served_late += sent > revoked_ms_ + bound ? 1 : 0;
      }
      constexpr std::uint64_t tolerance_ms = 200;
      const bool in_time = at.best_proof_ms != 0 &&
                           now_ms_ - at.best_proof_ms + tolerance_ms <= bound;
      refused_with_proof += in_time && !at.proof.is_valid(now_ms_) ? 1 : 0;
    }
    at.requests.clear();
  }

  std::mt19937 random_;
  std::uint64_t now_ms_ = 0;
  std::uint64_t revoked_ms_ = 0;
  std::vector<gateway> gateways_;
};

class configuration_proof_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_proof_test);
  CPPUNIT_TEST(nothing_is_proven_before_the_first_response);
  CPPUNIT_TEST(age_counts_from_the_sending_of_the_call);
  CPPUNIT_TEST(age_of_a_peers_proof_counts_from_the_poll);
  CPPUNIT_TEST(older_proof_never_replaces_a_later_one);
  CPPUNIT_TEST(peers_are_polled_before_the_proof_expires);
  CPPUNIT_TEST(without_a_limit_no_proof_is_required);
  CPPUNIT_TEST(watch_wait_is_shorter_than_the_limit);
  CPPUNIT_TEST(no_order_of_events_serves_a_revoked_key_too_late);
  CPPUNIT_TEST_SUITE_END();

 public:
  void nothing_is_proven_before_the_first_response() {
    const configuration_proof proof(limit);
    CPPUNIT_ASSERT(!proof.is_valid(100));
    CPPUNIT_ASSERT(proof.needs_refresh(100));
    CPPUNIT_ASSERT(!proof.age(100).has_value());
  }

  void age_counts_from_the_sending_of_the_call() {
    configuration_proof proof(limit);
    proof.on_platform_response(10000);
    CPPUNIT_ASSERT(proof.is_valid(14800));
    CPPUNIT_ASSERT(!proof.is_valid(15000));
  }

  void age_of_a_peers_proof_counts_from_the_poll() {
    configuration_proof proof(limit);
    proof.on_peer_reply(10000, milliseconds(2000));
    CPPUNIT_ASSERT(proof.is_valid(12800));
    CPPUNIT_ASSERT(!proof.is_valid(13000));
  }

  void older_proof_never_replaces_a_later_one() {
    configuration_proof proof(limit);
    proof.on_platform_response(10000);
    proof.on_peer_reply(10500, milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(1000L, static_cast<long>(proof.age(11000)->count()));
  }

  void peers_are_polled_before_the_proof_expires() {
    configuration_proof proof(limit);
    proof.on_platform_response(10000);
    CPPUNIT_ASSERT(!proof.needs_refresh(12500));
    CPPUNIT_ASSERT(proof.needs_refresh(12501));
  }

  void without_a_limit_no_proof_is_required() {
    const configuration_proof proof(std::nullopt);
    CPPUNIT_ASSERT(proof.is_valid(1000000));
    CPPUNIT_ASSERT(!proof.needs_refresh(1000000));
  }

  void watch_wait_is_shorter_than_the_limit() {
    constexpr milliseconds usual{5000};
    CPPUNIT_ASSERT_EQUAL(
        1000L, static_cast<long>(max_watch_wait(limit, usual).count()));
    CPPUNIT_ASSERT(max_watch_wait(std::nullopt, usual) == usual);
    CPPUNIT_ASSERT(max_watch_wait(milliseconds(60000), usual) == usual);
  }

  void no_order_of_events_serves_a_revoked_key_too_late() {
    constexpr unsigned seeds = 2000;
    int served = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      simulation simulated(seed);
      simulated.run();
      served += simulated.served;
      TRAYROCK_CHECK(
          simulated.served_late == 0 && simulated.refused_with_proof == 0,
          "expected none served late or refused with a proof, got "
              << simulated.served_late << " and "
              << simulated.refused_with_proof << " with seed " << seed);
    }
    TRAYROCK_CHECK(served > 10000,
                   "expected more than 10000 served requests, got " << served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_proof_test);

}  // namespace
}  // namespace trayrock::testing
