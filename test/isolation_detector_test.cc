// Tests the detection of isolation in virtual time. Guards against an isolated
// gateway that reports that it is ready and so keeps getting requests.
#include "trayrock/internal/decide/isolation_detector.h"

#include "test_support.h"
#include "trayrock/internal/decide/retry_after.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t step_ms = 10;
constexpr std::uint64_t reply_delay_ms = 10;
// Each turn sends a request to the stores, and to peers if these don't reply.
constexpr std::uint64_t turn_period_ms = 100;

struct partition {
  std::uint64_t cut_at_ms = 0;
  std::uint64_t healed_at_ms = 0;
  bool peers_reply = false;  // while the stores don't
};

class isolation_simulation {
 public:
  explicit isolation_simulation(partition simulated) : partition_(simulated) {}

  void run(std::uint64_t until_ms) {
    for (; now_ < until_ms; now_ += step_ms) {
      if (now_ % turn_period_ms == 0) {
        detector_.on_request_sent(now_);
        sent_at_ = now_;
      }
      const bool replied = sent_at_ + reply_delay_ms == now_;
      const bool is_cut =
          now_ >= partition_.cut_at_ms && now_ < partition_.healed_at_ms;
      if (replied && (!is_cut || partition_.peers_reply)) {
        detector_.on_reply();
      }
      if (now_ % isolation_detector::tick_period_ms == 0) {
        detector_.tick(now_);
      }
      record_change();
    }
  }

  int changes() const { return changes_; }
  std::uint64_t first_isolated_ms() const { return first_isolated_; }
  std::uint64_t last_isolated_ms() const { return last_isolated_; }

 private:
  void record_change() {
    const bool isolated = detector_.is_isolated();
    changes_ += isolated != was_isolated_ ? 1 : 0;
    if (isolated && first_isolated_ == 0) {
      first_isolated_ = now_;
    }
    if (isolated) {
      last_isolated_ = now_;
    }
    was_isolated_ = isolated;
  }

  partition partition_;
  isolation_detector detector_;
  std::uint64_t now_ = step_ms;
  std::uint64_t sent_at_ = 0;
  bool was_isolated_ = false;
  int changes_ = 0;
  std::uint64_t first_isolated_ = 0;
  std::uint64_t last_isolated_ = 0;
};

class isolation_detector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(isolation_detector_test);
  CPPUNIT_TEST(isolation_is_detected_within_a_second);
  CPPUNIT_TEST(gateway_with_replying_peers_is_not_isolated);
  CPPUNIT_TEST(short_partition_is_ignored);
  CPPUNIT_TEST(idle_process_is_not_isolated);
  CPPUNIT_TEST(stalled_process_is_not_isolated);
  CPPUNIT_TEST(process_that_is_behind_is_not_isolated);
  CPPUNIT_TEST(isolation_of_a_process_that_is_behind_is_detected);
  CPPUNIT_TEST(first_reply_ends_the_isolation);
  CPPUNIT_TEST(clients_retry_once_the_balancer_has_noticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void isolation_is_detected_within_a_second() {
    isolation_simulation model({5000, 12000, false});
    model.run(20000);
    TRAYROCK_CHECK(
        model.first_isolated_ms() > 5000 && model.first_isolated_ms() <= 6000,
        "detected at " << model.first_isolated_ms() << " ms");
    TRAYROCK_CHECK(model.last_isolated_ms() <= 12200,
                   "ended at " << model.last_isolated_ms() << " ms");
    CPPUNIT_ASSERT_EQUAL(2, model.changes());
  }

  void gateway_with_replying_peers_is_not_isolated() {
    isolation_simulation model({5000, 12000, true});
    model.run(20000);
    CPPUNIT_ASSERT_EQUAL(0, model.changes());
  }

  void short_partition_is_ignored() {
    isolation_simulation model({5000, 5600, false});
    model.run(20000);
    CPPUNIT_ASSERT_EQUAL(0, model.changes());
  }

  void idle_process_is_not_isolated() {
    isolation_detector detector;
    for (std::uint64_t now = 100; now < 60000; now += 100) {
      detector.tick(now);
    }
    CPPUNIT_ASSERT(!detector.is_isolated());
  }

  void stalled_process_is_not_isolated() {
    isolation_detector detector;
    detector.tick(1000);
    detector.on_request_sent(1010);
    detector.tick(7000);
    CPPUNIT_ASSERT(!detector.is_isolated());
    detector.tick(7100);
    CPPUNIT_ASSERT(!detector.is_isolated());
  }

  // Guards against an overloaded gateway that rejects all turns because it
  // reads replies late.
  void process_that_is_behind_is_not_isolated() {
    isolation_detector detector;
    detector.tick(1000);
    detector.on_request_sent(1010);
    for (std::uint64_t now = 1350; now <= 2400; now += 350) {
      detector.tick(now);
    }
    CPPUNIT_ASSERT(!detector.is_isolated());
  }

  void isolation_of_a_process_that_is_behind_is_detected() {
    isolation_detector detector;
    detector.tick(1000);
    detector.on_request_sent(1010);
    for (std::uint64_t now = 1350; now <= 6000; now += 350) {
      detector.tick(now);
    }
    CPPUNIT_ASSERT(detector.is_isolated());
  }

  void first_reply_ends_the_isolation() {
    isolation_detector detector;
    detector.on_request_sent(1000);
    for (std::uint64_t now = 1000; now <= 2000; now += 100) {
      detector.tick(now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, detector.isolated_since_ms());
    detector.on_reply();
    CPPUNIT_ASSERT(!detector.is_isolated());
  }

  // The balancer needs two health checks, a second apart, to notice that the
  // gateway is not ready.
  void clients_retry_once_the_balancer_has_noticed() {
    CPPUNIT_ASSERT(retry_after_when_isolated(milliseconds(0)) ==
                   milliseconds(3000));
    CPPUNIT_ASSERT(retry_after_when_isolated(milliseconds(2200)) ==
                   milliseconds(800));
    CPPUNIT_ASSERT(retry_after_when_isolated(milliseconds(9000)) ==
                   milliseconds(50));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(isolation_detector_test);

}  // namespace
}  // namespace trayrock::testing
