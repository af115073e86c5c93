// Which gateways watch the platform, and which watchers the others poll.
#include "trayrock/internal/decide/watch_roles.h"

#include <algorithm>
#include <set>

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;

std::vector<relay_peer> peers_in(const std::string& data_centre, int count) {
  std::vector<relay_peer> made;
  for (int i = 1; i <= count; ++i) {
    const std::string name = data_centre + "-" + std::to_string(i);
    made.push_back({name, name + ":1", data_centre});
  }
  return made;
}

std::vector<relay_peer> without(const std::vector<relay_peer>& peers,
                                const std::string& name) {
  std::vector<relay_peer> made;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(made),
               [&](const relay_peer& each) { return each.name != name; });
  return made;
}

watch_roles roles_of(const relay_peer& peer, watch_sharing sharing) {
  return {peer.name, peer.data_centre, sharing};
}

// The gateways of one data centre that count themselves as watchers.
std::set<std::string> watchers_among(const std::vector<relay_peer>& peers) {
  std::set<std::string> found;
  for (const relay_peer& each : peers) {
    if (roles_of(each, few_watch{})
            .is_watcher(without(peers, each.name), start_ms)) {
      found.insert(each.name);
    }
  }
  return found;
}

std::string polled(const watch_step& step) {
  const auto* poll = std::get_if<poll_watcher>(&step);
  return poll == nullptr ? "the platform" : poll->address;
}

class watch_roles_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_roles_test);
  CPPUNIT_TEST(two_of_each_data_centre_watch);
  CPPUNIT_TEST(two_gateways_or_fewer_all_watch);
  CPPUNIT_TEST(all_gateways_watch_without_sharing);
  CPPUNIT_TEST(followers_poll_both_watchers_in_rotation);
  CPPUNIT_TEST(unresponsive_watcher_is_replaced_by_the_next_in_order);
  CPPUNIT_TEST(gateway_without_a_watcher_watches_the_platform);
  CPPUNIT_TEST(watchers_are_polled_again_after_the_platform);
  CPPUNIT_TEST(unresponsive_watcher_is_polled_again_after_its_backoff);
  CPPUNIT_TEST(updates_go_to_the_watchers_of_all_data_centres);
  CPPUNIT_TEST(only_watchers_read_the_platform_when_a_fleet_starts);
  CPPUNIT_TEST(unlisted_gateway_waits_for_peers);
  CPPUNIT_TEST(gateway_without_peers_watches_the_platform_after_its_wait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_of_each_data_centre_watch() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         watchers_among(peers_in("north", 19)).size());
  }

  void only_watchers_read_the_platform_when_a_fleet_starts() {
    for (const int count : {30, 354, 700}) {
      const auto peers = peers_in("north", count);
      int readers = 0;
      for (const relay_peer& each : peers) {
        const first_watch_step step =
            roles_of(each, few_watch{})
                .initial_step(without(peers, each.name), true, {}, start_ms);
        readers += std::holds_alternative<watch_platform>(step) ? 1 : 0;
      }
      TRAYROCK_CHECK(readers == 2, count << " gateways: expected 2, got "
                                         << readers << " that read from it");
    }
  }

  void unlisted_gateway_waits_for_peers() {
    watch_roles roles("north-1", "north", few_watch{});
    const first_watch_step step = roles.initial_step({}, false, {}, start_ms);
    CPPUNIT_ASSERT(std::holds_alternative<wait_for_peers>(step));
  }

  void gateway_without_peers_watches_the_platform_after_its_wait() {
    watch_roles roles("north-1", "north", few_watch{});
    const first_watch_step step = roles.initial_step(
        {}, false, std::chrono::milliseconds(2500), start_ms);
    CPPUNIT_ASSERT(std::holds_alternative<watch_platform>(step));
  }

  void two_gateways_or_fewer_all_watch() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         watchers_among(peers_in("north", 1)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         watchers_among(peers_in("north", 2)).size());
  }

  void all_gateways_watch_without_sharing() {
    const auto peers = peers_in("north", 5);
    watch_roles roles("north-9", "north", all_watch{});
    CPPUNIT_ASSERT_EQUAL(std::string("the platform"),
                         polled(roles.next_step(peers, start_ms)));
    CPPUNIT_ASSERT_EQUAL(peers.size(), roles.watchers(peers, start_ms).size());
  }

  void followers_poll_both_watchers_in_rotation() {
    const auto peers = peers_in("north", 9);
    const std::set<std::string> watchers = watchers_among(peers);
    watch_roles roles = roles_of(other_than(watchers, peers), few_watch{});
    std::set<std::string> polled_watchers;
    for (int i = 0; i < 4; ++i) {
      polled_watchers.insert(polled(roles.next_step(peers, start_ms)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, polled_watchers.size());
    for (const std::string& each : watchers) {
      CPPUNIT_ASSERT_MESSAGE(each + " was not polled",
                             polled_watchers.contains(each + ":1"));
    }
  }

  void unresponsive_watcher_is_replaced_by_the_next_in_order() {
    const auto peers = peers_in("north", 9);
    const std::set<std::string> watchers = watchers_among(peers);
    const std::string lost = *watchers.begin();
    std::set<std::string> successors;
    for (const relay_peer& each : peers) {
      watch_roles roles = roles_of(each, few_watch{});
      roles.on_failure(lost + ":1", start_ms);
      const bool watches =
          roles.is_watcher(without(peers, each.name), start_ms + 1);
      if (watches && !watchers.contains(each.name)) {
        successors.insert(each.name);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, successors.size());
  }

  // For gateways late in the order, which do not become watchers themselves.
  void gateway_without_a_watcher_watches_the_platform() {
    const auto peers = all_data_centres();
    int non_watchers = 0;
    for (const relay_peer& each : peers_in("north", 9)) {
      const auto others = without(peers, each.name);
      watch_roles roles = roles_of(each, few_watch{});
      for (int i = 0; i < 3; ++i) {
        roles.on_failure(polled(roles.next_step(others, start_ms)), start_ms);
      }
      if (!roles.is_watcher(others, start_ms)) {
        ++non_watchers;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string("the platform"),
                                     polled(roles.next_step(others, start_ms)));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(non_watchers) + " non-watchers",
                           non_watchers >= 3);
  }

  void watchers_are_polled_again_after_the_platform() {
    const auto peers = all_data_centres();
    watch_roles roles = follower(peers);
    for (int i = 0; i < 3; ++i) {
      roles.on_failure(polled(roles.next_step(peers, start_ms)), start_ms);
    }
    CPPUNIT_ASSERT(polled(roles.next_step(peers, start_ms + 3500)) !=
                   "the platform");
  }

  void unresponsive_watcher_is_polled_again_after_its_backoff() {
    const auto peers = all_data_centres();
    watch_roles roles = follower(peers);
    const std::string unresponsive = polled(roles.next_step(peers, start_ms));
    roles.on_failure(unresponsive, start_ms);
    std::set<std::string> during_backoff;
    std::set<std::string> after_backoff;
    for (int i = 0; i < 4; ++i) {
      during_backoff.insert(polled(roles.next_step(peers, start_ms + 500)));
      after_backoff.insert(polled(roles.next_step(peers, start_ms + 1500)));
    }
    CPPUNIT_ASSERT(!during_backoff.contains(unresponsive));
    CPPUNIT_ASSERT(after_backoff.contains(unresponsive));
  }

  void updates_go_to_the_watchers_of_all_data_centres() {
    const auto peers = all_data_centres();
    const auto receivers = follower(peers).watchers(peers, start_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, receivers.size());
  }

 private:
  static const relay_peer& other_than(const std::set<std::string>& names,
                                      const std::vector<relay_peer>& peers) {
    return *std::find_if(peers.begin(), peers.end(), [&](const auto& each) {
      return !names.contains(each.name);
    });
  }

  static std::vector<relay_peer> all_data_centres() {
    std::vector<relay_peer> peers = peers_in("north", 9);
    const auto south = peers_in("south", 9);
    peers.insert(peers.end(), south.begin(), south.end());
    return peers;
  }

  // A gateway of the north that is not a watcher.
  static watch_roles follower(const std::vector<relay_peer>& peers) {
    const auto north = peers_in("north", 9);
    return roles_of(other_than(watchers_among(north), peers), few_watch{});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_roles_test);

}  // namespace
}  // namespace trayrock::testing
