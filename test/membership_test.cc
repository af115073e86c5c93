// Who is up and who watches whom, as decisions with given time.
#include "trayrock/internal/decide/membership.h"

#include <map>
#include <set>

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t suspect_ms = 1000;

wire::Peer make_peer(const std::string& node, std::uint64_t beat,
                     const std::string& start = "1") {
  wire::Peer peer;
  peer.set_node(node);
  peer.set_start(start);
  peer.set_beat(beat);
  peer.set_place("poswa");
  return peer;
}

class membership_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(membership_test);
  CPPUNIT_TEST(silent_node_is_gone_and_a_higher_beat_brings_it_back);
  CPPUNIT_TEST(paused_observer_gives_the_others_a_new_chance);
  CPPUNIT_TEST(earlier_start_is_not_heard_again);
  CPPUNIT_TEST(every_node_has_two_watchers);
  CPPUNIT_TEST(two_nodes_a_place_watch_the_configuration);
  CPPUNIT_TEST(news_come_first_and_everybody_in_turn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void silent_node_is_gone_and_a_higher_beat_brings_it_back() {
    membership view(make_peer("a", 1));
    view.apply_update(make_peer("b", 1), 0);
    for (std::uint64_t now = 0; now <= suspect_ms; now += 100) {
      CPPUNIT_ASSERT(view.detect_failures(now, suspect_ms).empty());
    }
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        view.detect_failures(suspect_ms + 100, suspect_ms).size());
    CPPUNIT_ASSERT(view.live_peers().empty());
    view.apply_update(make_peer("b", 2), suspect_ms + 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.live_peers().size());
  }

  void paused_observer_gives_the_others_a_new_chance() {
    membership view(make_peer("a", 1));
    view.apply_update(make_peer("b", 1), 0);
    view.detect_failures(100, suspect_ms);
    CPPUNIT_ASSERT(
        view.detect_failures(100 + 5 * suspect_ms, suspect_ms).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, view.live_peers().size());
  }

  void earlier_start_is_not_heard_again() {
    membership view(make_peer("a", 1));
    view.apply_update(make_peer("b", 1, "2"), 0);
    view.apply_update(make_peer("b", 900, "1"), 0);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), view.find("b")->peer.start());
  }

  void every_node_has_two_watchers() {
    std::map<std::string, int> watchers;
    constexpr int nodes = 40;
    for (int i = 0; i < nodes; ++i) {
      membership view = view_of(i, nodes);
      for (const std::string& each : view.watched_nodes()) {
        ++watchers[each];
        CPPUNIT_ASSERT(view.watch_rank(each).has_value());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{nodes}, watchers.size());
    for (const auto& [node, count] : watchers) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(node, 2, count);
    }
  }

  void two_nodes_a_place_watch_the_configuration() {
    int watchers = 0;
    for (int i = 0; i < 20; ++i) {
      watchers += view_of(i, 20).is_config_watcher() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, watchers);
  }

  void news_come_first_and_everybody_in_turn() {
    membership view = view_of(0, 30);
    std::set<std::string> told;
    for (int i = 0; i < 12; ++i) {
      for (const wire::Peer& each : view.next_updates(8)) {
        told.insert(each.node());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{29}, told.size());
  }

 private:
  static membership view_of(int self, int nodes) {
    membership view(make_peer("node-" + std::to_string(self), 1));
    for (int i = 0; i < nodes; ++i) {
      view.apply_update(make_peer("node-" + std::to_string(i), 1), 0);
    }
    return view;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

}  // namespace
}  // namespace trayrock::testing
