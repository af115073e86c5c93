// When a gateway knows that it is cut off, in virtual time.
//
// Clients of a gateway that was cut off from all other boxes for 7 s got
// refusals after 1.1 s each, again and again, and programs died of them. It
// could reserve no turn, and said that it was ready.
#include "trayrock/internal/decide/isolation_detector.h"

#include "test_support.h"
#include "trayrock/internal/decide/retry_after.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t step_ms = 10;
constexpr std::uint64_t answer_ms = 10;
// A turn comes each 100 ms and asks the stores, and peers once they are silent.
constexpr std::uint64_t turn_period_ms = 100;

// Who answers a gateway from a time on.
struct surroundings {
  std::uint64_t cut_at_ms = 0;
  std::uint64_t healed_at_ms = 0;
  bool peers_answer = false;  // during the cut; stores do not
};

class contact_model {
 public:
  explicit contact_model(surroundings around) : around_(around) {}

  void run(std::uint64_t until_ms) {
    for (; now_ < until_ms; now_ += step_ms) {
      if (now_ % turn_period_ms == 0) {
        contact_.on_request_sent(now_);
        asked_at_ = now_;
      }
      const bool answered = asked_at_ + answer_ms == now_;
      const bool cut = now_ >= around_.cut_at_ms && now_ < around_.healed_at_ms;
      if (answered && (!cut || around_.peers_answer)) {
        contact_.on_reply();
      }
      if (now_ % isolation_detector::tick_period_ms == 0) {
        contact_.tick(now_);
      }
      note();
    }
  }

  int changes() const { return changes_; }
  std::uint64_t first_cut_off_ms() const { return first_cut_off_; }
  std::uint64_t last_cut_off_ms() const { return last_cut_off_; }

 private:
  void note() {
    const bool cut_off = contact_.is_isolated();
    changes_ += cut_off != was_cut_off_ ? 1 : 0;
    if (cut_off && first_cut_off_ == 0) {
      first_cut_off_ = now_;
    }
    if (cut_off) {
      last_cut_off_ = now_;
    }
    was_cut_off_ = cut_off;
  }

  surroundings around_;
  isolation_detector contact_;
  std::uint64_t now_ = step_ms;
  std::uint64_t asked_at_ = 0;
  bool was_cut_off_ = false;
  int changes_ = 0;
  std::uint64_t first_cut_off_ = 0;
  std::uint64_t last_cut_off_ = 0;
};

class contact_rule_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(contact_rule_test);
  CPPUNIT_TEST(cut_from_all_is_known_within_a_second);
  CPPUNIT_TEST(peers_that_answer_keep_a_gateway_in_contact);
  CPPUNIT_TEST(short_cuts_change_nothing);
  CPPUNIT_TEST(quiet_is_no_cut);
  CPPUNIT_TEST(process_that_stood_still_is_not_cut_off);
  CPPUNIT_TEST(first_answer_ends_it);
  CPPUNIT_TEST(clients_are_sent_away_for_as_long_as_the_balancer_needs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void cut_from_all_is_known_within_a_second() {
    contact_model model({5000, 12000, false});
    model.run(20000);
    TRAYROCK_CHECK(
        model.first_cut_off_ms() > 5000 && model.first_cut_off_ms() <= 6000,
        "known at " << model.first_cut_off_ms() << " ms");
    TRAYROCK_CHECK(model.last_cut_off_ms() <= 12200,
                   "over at " << model.last_cut_off_ms() << " ms");
    CPPUNIT_ASSERT_EQUAL(2, model.changes());
  }

  void peers_that_answer_keep_a_gateway_in_contact() {
    contact_model model({5000, 12000, true});
    model.run(20000);
    CPPUNIT_ASSERT_EQUAL(0, model.changes());
  }

  void short_cuts_change_nothing() {
    contact_model model({5000, 5600, false});
    model.run(20000);
    CPPUNIT_ASSERT_EQUAL(0, model.changes());
  }

  void quiet_is_no_cut() {
    isolation_detector contact;
    for (std::uint64_t now = 100; now < 60000; now += 100) {
      contact.tick(now);
    }
    CPPUNIT_ASSERT(!contact.is_isolated());
  }

  void process_that_stood_still_is_not_cut_off() {
    isolation_detector contact;
    contact.tick(1000);
    contact.on_request_sent(1010);
    contact.tick(7000);
    CPPUNIT_ASSERT(!contact.is_isolated());
    contact.tick(7100);
    CPPUNIT_ASSERT(!contact.is_isolated());
  }

  void first_answer_ends_it() {
    isolation_detector contact;
    contact.on_request_sent(1000);
    for (std::uint64_t now = 1000; now <= 2000; now += 100) {
      contact.tick(now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, contact.isolated_since_ms());
    contact.on_reply();
    CPPUNIT_ASSERT(!contact.is_isolated());
  }

  // Two of its questions, a second apart, after the gateway has begun to say
  // that it is not ready; then another gateway gets the next connection.
  void clients_are_sent_away_for_as_long_as_the_balancer_needs() {
    CPPUNIT_ASSERT(retry_after_when_isolated(milliseconds(0)) ==
                   milliseconds(3000));
    CPPUNIT_ASSERT(retry_after_when_isolated(milliseconds(2200)) ==
                   milliseconds(800));
    CPPUNIT_ASSERT(retry_after_when_isolated(milliseconds(9000)) ==
                   milliseconds(50));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(contact_rule_test);

}  // namespace
}  // namespace trayrock::testing
