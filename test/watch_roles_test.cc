// Who watches the platform, and whom the others ask.
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

// Of one data centre, those that take themselves for watchers.
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

std::string asked(const watch_step& step) {
  const auto* ask = std::get_if<poll_watcher>(&step);
  return ask == nullptr ? "the platform" : ask->address;
}

class watch_roles_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_roles_test);
  CPPUNIT_TEST(two_of_each_data_centre_watch);
  CPPUNIT_TEST(two_gateways_or_fewer_all_watch);
  CPPUNIT_TEST(all_watch_when_nothing_is_shared);
  CPPUNIT_TEST(others_ask_both_watchers_by_turns);
  CPPUNIT_TEST(silent_watcher_is_followed_by_the_next_in_order);
  CPPUNIT_TEST(gateway_that_finds_no_watcher_asks_the_platform);
  CPPUNIT_TEST(gateway_that_asked_the_platform_asks_watchers_again);
  CPPUNIT_TEST(watcher_that_was_silent_is_asked_again);
  CPPUNIT_TEST(news_go_to_the_watchers_of_all_data_centres);
  CPPUNIT_TEST(start_of_a_fleet_reads_the_platform_by_its_watchers_only);
  CPPUNIT_TEST(gateway_that_is_not_listed_yet_waits_for_peers);
  CPPUNIT_TEST(gateway_that_nobody_tells_reads_the_platform_after_a_while);
  CPPUNIT_TEST_SUITE_END();

 public:
  void two_of_each_data_centre_watch() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         watchers_among(peers_in("north", 19)).size());
  }

  void start_of_a_fleet_reads_the_platform_by_its_watchers_only() {
    for (const int count : {30, 354, 700}) {
      const auto peers = peers_in("north", count);
      int readers = 0;
      for (const relay_peer& each : peers) {
        const first_watch_step step =
            roles_of(each, few_watch{})
                .initial_step(without(peers, each.name), true, {}, start_ms);
        readers += std::holds_alternative<watch_platform>(step) ? 1 : 0;
      }
      TRAYROCK_CHECK(readers == 2, count << " gateways: expected 2, seen "
                                         << readers << " that read all");
    }
  }

  void gateway_that_is_not_listed_yet_waits_for_peers() {
    watch_roles roles("north-1", "north", few_watch{});
    const first_watch_step step = roles.initial_step({}, false, {}, start_ms);
    CPPUNIT_ASSERT(std::holds_alternative<wait_for_peers>(step));
  }

  void gateway_that_nobody_tells_reads_the_platform_after_a_while() {
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

  void all_watch_when_nothing_is_shared() {
    const auto peers = peers_in("north", 5);
    watch_roles roles("north-9", "north", all_watch{});
    CPPUNIT_ASSERT_EQUAL(std::string("the platform"),
                         asked(roles.next_step(peers, start_ms)));
    CPPUNIT_ASSERT_EQUAL(peers.size(), roles.watchers(peers, start_ms).size());
  }

  void others_ask_both_watchers_by_turns() {
    const auto peers = peers_in("north", 9);
    const std::set<std::string> watchers = watchers_among(peers);
    watch_roles roles = roles_of(other_than(watchers, peers), few_watch{});
    std::set<std::string> seen;
    for (int i = 0; i < 4; ++i) {
      seen.insert(asked(roles.next_step(peers, start_ms)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.size());
    for (const std::string& each : watchers) {
      CPPUNIT_ASSERT_MESSAGE(each + " was not asked",
                             seen.contains(each + ":1"));
    }
  }

  void silent_watcher_is_followed_by_the_next_in_order() {
    const auto peers = peers_in("north", 9);
    const std::set<std::string> watchers = watchers_among(peers);
    const std::string lost = *watchers.begin();
    std::set<std::string> heirs;
    for (const relay_peer& each : peers) {
      watch_roles roles = roles_of(each, few_watch{});
      roles.on_failure(lost + ":1", start_ms);
      const bool watches =
          roles.is_watcher(without(peers, each.name), start_ms + 1);
      if (watches && !watchers.contains(each.name)) {
        heirs.insert(each.name);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heirs.size());
  }

  // Those behind in the order, which are not the next ones to watch for others.
  void gateway_that_finds_no_watcher_asks_the_platform() {
    const auto peers = all_data_centres();
    int behind = 0;
    for (const relay_peer& each : peers_in("north", 9)) {
      const auto others = without(peers, each.name);
      watch_roles roles = roles_of(each, few_watch{});
      for (int i = 0; i < 3; ++i) {
        roles.on_failure(asked(roles.next_step(others, start_ms)), start_ms);
      }
      if (!roles.is_watcher(others, start_ms)) {
        ++behind;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, std::string("the platform"),
                                     asked(roles.next_step(others, start_ms)));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(behind) + " behind", behind >= 3);
  }

  void gateway_that_asked_the_platform_asks_watchers_again() {
    const auto peers = all_data_centres();
    watch_roles roles = follower(peers);
    for (int i = 0; i < 3; ++i) {
      roles.on_failure(asked(roles.next_step(peers, start_ms)), start_ms);
    }
    CPPUNIT_ASSERT(asked(roles.next_step(peers, start_ms + 3500)) !=
                   "the platform");
  }

  void watcher_that_was_silent_is_asked_again() {
    const auto peers = all_data_centres();
    watch_roles roles = follower(peers);
    const std::string silent = asked(roles.next_step(peers, start_ms));
    roles.on_failure(silent, start_ms);
    std::set<std::string> soon;
    std::set<std::string> later;
    for (int i = 0; i < 4; ++i) {
      soon.insert(asked(roles.next_step(peers, start_ms + 500)));
      later.insert(asked(roles.next_step(peers, start_ms + 1500)));
    }
    CPPUNIT_ASSERT(!soon.contains(silent));
    CPPUNIT_ASSERT(later.contains(silent));
  }

  void news_go_to_the_watchers_of_all_data_centres() {
    const auto peers = all_data_centres();
    const auto told = follower(peers).watchers(peers, start_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, told.size());
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

  // A gateway of the north that is no watcher.
  static watch_roles follower(const std::vector<relay_peer>& peers) {
    const auto north = peers_in("north", 9);
    return roles_of(other_than(watchers_among(north), peers), few_watch{});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_roles_test);

}  // namespace
}  // namespace trayrock::testing
