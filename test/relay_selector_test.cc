// Which gateway passes calls on: order, failures, and the way back.
#include "trayrock/internal/decide/relay_selector.h"

#include <set>

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;
constexpr std::uint64_t past_all_pauses_ms = 60000;

class relay_choice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_choice_test);
  CPPUNIT_TEST(no_peer_gives_an_empty_address);
  CPPUNIT_TEST(own_entry_is_no_peer);
  CPPUNIT_TEST(peer_of_the_same_data_centre_goes_first);
  CPPUNIT_TEST(silent_peer_is_left_alone_for_a_while);
  CPPUNIT_TEST(peer_that_reaches_no_store_is_left_alone);
  CPPUNIT_TEST(peer_that_works_is_kept_when_one_store_is_down);
  CPPUNIT_TEST(peer_that_worked_goes_before_a_nearer_one);
  CPPUNIT_TEST(soonest_free_peer_is_tried_when_all_have_failed);
  CPPUNIT_TEST(gateways_that_are_cut_off_together_spread_over_their_peers);
  CPPUNIT_TEST(peer_that_makes_itself_known_is_added_once);
  CPPUNIT_TEST(new_list_keeps_what_is_known_of_a_peer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void no_peer_gives_an_empty_address() {
    const relay_selector relays("gateway-1", "north");
    CPPUNIT_ASSERT_EQUAL(std::string(), relays.pick(start_ms));
    CPPUNIT_ASSERT(relays.all_in_backoff(start_ms));
  }

  void own_entry_is_no_peer() {
    relay_selector relays("gateway-1", "north");
    relays.replace({{"gateway-1", "own:1", "north"}});
    CPPUNIT_ASSERT_EQUAL(std::string(), relays.pick(start_ms));
  }

  void peer_of_the_same_data_centre_goes_first() {
    const relay_selector relays = with_two_peers();
    CPPUNIT_ASSERT_EQUAL(std::string("near:1"), relays.pick(start_ms));
  }

  void silent_peer_is_left_alone_for_a_while() {
    relay_selector relays = with_two_peers();
    relays.record_failure("near:1", relay_failure::no_reply, start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("far:1"), relays.pick(start_ms));
    CPPUNIT_ASSERT_EQUAL(std::string("near:1"),
                         relays.pick(start_ms + past_all_pauses_ms));
  }

  void peer_that_reaches_no_store_is_left_alone() {
    relay_selector relays = with_two_peers();
    relays.record_failure("near:1", relay_failure::store_unreachable, start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("far:1"), relays.pick(start_ms));
  }

  void peer_that_works_is_kept_when_one_store_is_down() {
    relay_selector relays = with_two_peers();
    relays.record_success("near:1", start_ms);
    relays.record_failure("near:1", relay_failure::store_unreachable,
                          start_ms + 10);
    CPPUNIT_ASSERT_EQUAL(std::string("near:1"), relays.pick(start_ms + 10));
  }

  void peer_that_worked_goes_before_a_nearer_one() {
    relay_selector relays = with_two_peers();
    relays.record_success("far:1", start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("far:1"), relays.pick(start_ms + 10));
  }

  void soonest_free_peer_is_tried_when_all_have_failed() {
    relay_selector relays = with_two_peers();
    relays.record_failure("near:1", relay_failure::no_reply, start_ms);
    relays.record_failure("far:1", relay_failure::no_reply, start_ms + 10);
    CPPUNIT_ASSERT(relays.all_in_backoff(start_ms + 20));
    CPPUNIT_ASSERT_EQUAL(std::string("near:1"), relays.pick(start_ms + 20));
  }

  void gateways_that_are_cut_off_together_spread_over_their_peers() {
    std::vector<relay_peer> peers;
    for (int i = 0; i < 8; ++i) {
      const std::string name = "gateway-" + std::to_string(i);
      peers.push_back({name, name + ":1", "north"});
    }
    std::set<std::string> picked;
    for (const relay_peer& each : peers) {
      relay_selector relays(each.name, "north");
      relays.replace(peers);
      picked.insert(relays.pick(start_ms));
    }
    TRAYROCK_CHECK(picked.size() >= 3, "eight gateways picked "
                                           << picked.size()
                                           << " peers; expected 3 or more");
  }

  void peer_that_makes_itself_known_is_added_once() {
    relay_selector relays = with_two_peers();
    relays.add({"gateway-4", "new:1", "south"});
    relays.add({"gateway-4", "new:2", "south"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, relays.peers().size());
  }

  void new_list_keeps_what_is_known_of_a_peer() {
    relay_selector relays = with_two_peers();
    relays.record_failure("near:1", relay_failure::no_reply, start_ms);
    relays.replace({{"gateway-2", "near:1", "north"},
                    {"gateway-3", "far:1", "south"},
                    {"gateway-4", "new:1", "south"}});
    CPPUNIT_ASSERT(relays.pick(start_ms) != "near:1");
  }

 private:
  static relay_selector with_two_peers() {
    relay_selector made("gateway-1", "north");
    made.replace(
        {{"gateway-3", "far:1", "south"}, {"gateway-2", "near:1", "north"}});
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_choice_test);

}  // namespace
}  // namespace trayrock::testing
