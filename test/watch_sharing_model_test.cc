// Simulates gateways that share their watches of the platform, in virtual time,
// and counts the calls and the delay until every gateway has received a change.
//
// The roles are the product's own (decide/watch_roles.h). The model replaces
// the code around them (gateway/watch_follower.cc,
// platform/collection_watcher.cc), and injects seeded faults of the platform
// and of gateways.
#include <algorithm>
#include <random>
#include <set>

#include "test_support.h"
#include "trayrock/internal/decide/watch_roles.h"

namespace trayrock::testing {
namespace {

// Bound on the time until all gateways have received a change.
constexpr std::uint64_t max_lag_ms = 4000;
constexpr std::uint64_t poll_wait_ms = 600;
constexpr std::uint64_t poll_timeout_ms = 300;
constexpr std::uint64_t watch_wait_ms = 9000;
constexpr std::uint64_t watch_pause_ms = 1000;
constexpr std::uint64_t wait_after_changes_ms = 1000;
constexpr std::uint64_t confirming_ms = 300;
constexpr std::uint64_t lost_call_ms = 1000;
constexpr std::uint64_t max_backoff_ms = 800;
constexpr std::uint64_t response_ms = 4;
// Updates wait for 120 ms, and a watch that has not returned one 250 ms later
// is sent again.
constexpr std::uint64_t update_lag_ms = 370;
// How long a box may take to reconnect after a fault of the platform.
constexpr std::uint64_t reconnect_ms = 5000;
constexpr std::uint64_t step_ms = 10;
constexpr std::uint64_t duration_ms = 50000;
constexpr std::uint64_t change_period_ms = 400;

enum class platform_state { healthy, down, rejects_half, loses_responses };

struct platform_fault {
  std::uint64_t from_ms = 0;
  std::uint64_t to_ms = 0;
  platform_state state = platform_state::healthy;
};

struct model_options {
  int gateways = 4;
  int data_centres = 2;
  watch_sharing sharing = few_watch{};
  std::vector<platform_fault> faults;
  std::uint64_t watchers_die_ms = 0;  // of the first data centre; 0: never
};

struct model_gateway {
  relay_peer self;
  std::vector<relay_peer> peers;
  watch_roles roles;
  bool alive = true;
  bool rejected = false;
  std::uint64_t revision = 0;
  bool following = false;
  bool connected = true;  // the platform responded to its last call
  // Of its own watch of the platform.
  std::uint64_t watch_at_ms = 0;     // time of the next call
  std::uint64_t watch_until_ms = 0;  // end of the pending call; 0: none
  bool watch_lost = false;
  bool confirming = false;
  bool just_changed = true;  // by the last response
  std::uint64_t backoff_ms = 0;
  std::uint64_t behind_since_ms = 0;  // behind other watchers; 0: it is not
  std::uint64_t reconnects_by_ms = 0;
  // Of its polls of other gateways.
  std::uint64_t step_at_ms = 0;
  std::uint64_t poll_until_ms = 0;  // end of the pending poll; 0: none
  int polled = -1;
};

struct change {
  std::uint64_t made_ms = 0;
  std::uint64_t latest_ms = 0;  // when the last connected gateway received it
};

class sharing_model {
 public:
  sharing_model(model_options options, std::uint64_t seed)
      : options_(std::move(options)), random_(seed) {
    std::vector<relay_peer> all;
    for (int i = 0; i < options_.gateways; ++i) {
      const std::string name = "g" + std::to_string(i);
      all.push_back(
          {name, name, "dc" + std::to_string(i % options_.data_centres)});
    }
    for (const relay_peer& each : all) {
      std::vector<relay_peer> peers = all;
      std::erase_if(peers,
                    [&](const auto& other) { return other.name == each.name; });
      gateways_.push_back(
          {each, peers, {each.name, each.data_centre, options_.sharing}});
      gateways_.back().step_at_ms = 500 + random_() % 300;
    }
  }

  void run() {
    for (now_ = 0; now_ < duration_ms; now_ += step_ms) {
      change_platform();
      if (options_.watchers_die_ms == now_ && now_ != 0) {
        kill_watchers();
      }
      update_newest_revision();
      for (model_gateway& each : gateways_) {
        if (each.alive) {
          watch(each);
          poll(each);
        }
      }
      record_receipt();
      record_recovery();
    }
  }

  int calls() const { return calls_; }

  // How long after the end of the fault every gateway had received the changes
  // made until then.
  std::uint64_t recovered_after_ms() const { return recovered_after_ms_; }

  // The maximum time from a change until all gateways that are alive and reach
  // the platform have received it. Changes made between the start of a fault
  // and some time after its end do not count.
  std::uint64_t worst_lag_ms() const {
    std::uint64_t worst = 0;
    for (const change& each : changes_) {
      const bool disturbed =
          std::any_of(options_.faults.begin(), options_.faults.end(),
                      [&](const platform_fault& fault) {
                        return fault.state != platform_state::rejects_half &&
                               each.made_ms + max_lag_ms >= fault.from_ms &&
                               each.made_ms < fault.to_ms + reconnect_ms;
                      });
      if (!disturbed && each.made_ms + max_lag_ms < duration_ms) {
        worst = std::max(worst, each.latest_ms - each.made_ms);
      }
    }
    return worst;
  }

 private:
  platform_state state() const {
    for (const platform_fault& each : options_.faults) {
      if (each.from_ms <= now_ && now_ < each.to_ms) {
        return each.state;
      }
    }
    return platform_state::healthy;
  }

  void change_platform() {
    if (now_ % change_period_ms == 0) {
      changes_.push_back({now_, now_});
    }
    if (state() != state_) {
      state_ = state();
      for (model_gateway& each : gateways_) {
        if (each.rejected) {
          each.reconnects_by_ms = now_ + reconnect_ms;
        }
        each.rejected =
            state_ == platform_state::rejects_half && random_() % 2 == 0;
      }
    }
  }

  void kill_watchers() {
    for (model_gateway& each : gateways_) {
      if (each.self.data_centre == "dc0" &&
          each.roles.is_watcher(each.peers, now_)) {
        each.alive = false;
      }
    }
  }

  // ---- A gateway's watch of the platform ------------------------------------

  bool responds(const model_gateway& to) {
    switch (state_) {
      case platform_state::down:
        return false;
      case platform_state::rejects_half:
        return !to.rejected;
      case platform_state::loses_responses:
        return random_() % 10 >= 3;
      case platform_state::healthy:
        return true;
    }
    return true;
  }

  void watch(model_gateway& at) {
    if (at.following) {
      return;
    }
    if (at.watch_until_ms == 0) {
      if (now_ >= at.watch_at_ms) {
        send_watch(at);
      }
      return;
    }
    const bool changed = changes_.size() > at.revision;
    const bool wait_ended = now_ >= at.watch_until_ms;
    if (at.watch_lost && is_behind_peers(at)) {
      at.confirming = true;
      send_watch(at);
      return;
    }
    if (at.watch_lost || !responds_to_pending(at)) {
      if (wait_ended) {
        on_failure(at);
      }
    } else if (changed || wait_ended) {
      at.watch_until_ms = 0;
      at.connected = true;
      at.confirming = false;
      at.backoff_ms = 0;
      at.revision = changes_.size();
      at.just_changed = changed;
      at.watch_at_ms = now_ + (changed ? watch_pause_ms : response_ms);
    }
  }

  // The latest revision that any watcher has received.
  void update_newest_revision() {
    newest_revision_ = 0;
    for (const model_gateway& each : gateways_) {
      if (each.alive && !each.following) {
        newest_revision_ = std::max(newest_revision_, each.revision);
      }
    }
  }

  // Whether other watchers have had a revision for some time that this
  // gateway's own watch has not returned.
  bool is_behind_peers(model_gateway& at) const {
    if (newest_revision_ <= at.revision) {
      at.behind_since_ms = 0;
    } else if (at.behind_since_ms == 0) {
      at.behind_since_ms = now_;
    }
    return at.behind_since_ms != 0 &&
           now_ - at.behind_since_ms >= update_lag_ms;
  }

  // Whether the platform responds to a pending watch.
  bool responds_to_pending(const model_gateway& at) const {
    return state_ != platform_state::down &&
           !(state_ == platform_state::rejects_half && at.rejected);
  }

  void send_watch(model_gateway& at) {
    ++calls_;
    at.watch_lost = !responds(at);
    const std::uint64_t wait = at.confirming     ? confirming_ms
                               : at.just_changed ? wait_after_changes_ms
                                                 : watch_wait_ms;
    at.watch_until_ms = now_ + wait + (at.watch_lost ? lost_call_ms : 0);
    if (at.rejected && state_ == platform_state::rejects_half) {
      at.watch_until_ms = now_ + response_ms;  // rejected at once
    }
  }

  void on_failure(model_gateway& at) {
    at.connected = false;
    at.confirming = true;
    at.watch_until_ms = 0;
    at.backoff_ms =
        std::clamp<std::uint64_t>(at.backoff_ms * 2, 100, max_backoff_ms);
    at.watch_at_ms = now_ + at.backoff_ms;
  }

  // ---- A gateway's polls of others ------------------------------------------

  void poll(model_gateway& at) {
    if (at.poll_until_ms != 0) {
      await_reply(at);
      return;
    }
    if (now_ < at.step_at_ms || at.revision == 0) {
      return;
    }
    const watch_step step = at.roles.next_step(at.peers, now_);
    if (const auto* poll = std::get_if<poll_watcher>(&step)) {
      at.polled = std::atoi(poll->address.c_str() + 1);
      at.poll_until_ms = now_ + poll_wait_ms;
      return;
    }
    if (at.following) {
      at.following = false;
      at.confirming = true;
      at.watch_until_ms = 0;
      at.watch_at_ms = now_;
    }
    at.step_at_ms = now_ + 500;
  }

  void await_reply(model_gateway& at) {
    const model_gateway& by = gateways_[static_cast<std::size_t>(at.polled)];
    if (!by.alive) {
      if (now_ >= at.poll_until_ms + poll_timeout_ms) {
        end_poll(at, false);
      }
      return;
    }
    if (by.following || !by.connected || by.revision == 0) {
      end_poll(at, false);
      return;
    }
    if (by.revision > at.revision || now_ >= at.poll_until_ms) {
      at.revision = std::max(at.revision, by.revision);
      end_poll(at, true);
    }
  }

  void end_poll(model_gateway& at, bool replied) {
    const std::string& by =
        gateways_[static_cast<std::size_t>(at.polled)].self.address;
    at.poll_until_ms = 0;
    at.step_at_ms = now_ + 40;
    if (replied) {
      at.roles.on_reply(by);
      at.following = true;
    } else {
      at.roles.on_failure(by, now_);
    }
  }

  void record_recovery() {
    if (options_.faults.empty() || recovered_after_ms_ != 0) {
      return;
    }
    const std::uint64_t end = options_.faults.front().to_ms;
    const bool all = std::all_of(
        gateways_.begin(), gateways_.end(), [&](const model_gateway& each) {
          return !each.alive || each.revision * change_period_ms >= end;
        });
    if (now_ > end && all) {
      recovered_after_ms_ = now_ - end;
    }
  }

  void record_receipt() {
    std::uint64_t oldest = changes_.size();
    for (const model_gateway& each : gateways_) {
      if (each.alive && !each.rejected && now_ >= each.reconnects_by_ms) {
        oldest = std::min(oldest, each.revision);
      }
    }
    for (std::uint64_t i = oldest; i < changes_.size(); ++i) {
      changes_[i].latest_ms = now_;
    }
  }

  model_options options_;
  std::mt19937_64 random_;
  std::uint64_t now_ = 0;
  platform_state state_ = platform_state::healthy;
  std::vector<model_gateway> gateways_;
  std::vector<change> changes_;
  std::uint64_t newest_revision_ = 0;
  std::uint64_t recovered_after_ms_ = 0;
  int calls_ = 0;
};

struct outcome {
  int calls = 0;
  std::uint64_t lag_ms = 0;
  std::uint64_t recovered_after_ms = 0;
};

// The worst of several seeds.
outcome run_seeds(const model_options& options) {
  constexpr std::uint64_t seeds = 5;
  outcome worst;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    sharing_model model(options, seed);
    model.run();
    worst.calls = std::max(worst.calls, model.calls());
    worst.lag_ms = std::max(worst.lag_ms, model.worst_lag_ms());
    worst.recovered_after_ms =
        std::max(worst.recovered_after_ms, model.recovered_after_ms());
  }
  return worst;
}

model_options options_of(int gateways, int data_centres,
                         watch_sharing sharing = few_watch{}) {
  model_options made;
  made.gateways = gateways;
  made.data_centres = data_centres;
  made.sharing = sharing;
  return made;
}

model_options large_fleet_with(platform_state state) {
  model_options made = options_of(91, 5);
  made.faults = {{12000, 19000, state}};
  return made;
}

class watch_sharing_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_sharing_model_test);
  CPPUNIT_TEST(calls_grow_with_data_centres_and_not_with_gateways);
  CPPUNIT_TEST(small_fleets_make_no_more_calls_than_without_sharing);
  CPPUNIT_TEST(changes_arrive_in_time_at_every_size);
  CPPUNIT_TEST(changes_arrive_in_time_after_loss_of_a_data_centres_watchers);
  CPPUNIT_TEST(changes_arrive_in_time_at_gateways_that_are_not_rejected);
  CPPUNIT_TEST(changes_arrive_in_time_after_an_outage);
  CPPUNIT_TEST(changes_arrive_in_time_after_lost_responses);
  CPPUNIT_TEST(all_changes_arrive_within_the_reconnect_limit_after_an_outage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void calls_grow_with_data_centres_and_not_with_gateways() {
    const int shared = run_seeds(options_of(91, 5)).calls;
    const int each = run_seeds(options_of(91, 5, all_watch{})).calls;
    CPPUNIT_ASSERT_MESSAGE(
        "shared " + std::to_string(shared) + ", each " + std::to_string(each),
        shared * 5 < each);
  }

  void small_fleets_make_no_more_calls_than_without_sharing() {
    CPPUNIT_ASSERT(run_seeds(options_of(4, 3)).calls <=
                   run_seeds(options_of(4, 3, all_watch{})).calls);
    CPPUNIT_ASSERT(run_seeds(options_of(20, 3)).calls <=
                   run_seeds(options_of(20, 3, all_watch{})).calls);
  }

  void changes_arrive_in_time_at_every_size() {
    for (const int gateways : {4, 20, 91, 300}) {
      check_in_time(options_of(gateways, 5));
    }
  }

  void changes_arrive_in_time_after_loss_of_a_data_centres_watchers() {
    model_options options = options_of(91, 5);
    options.watchers_die_ms = 15000;
    check_in_time(options);
  }

  void changes_arrive_in_time_at_gateways_that_are_not_rejected() {
    check_in_time(large_fleet_with(platform_state::rejects_half));
  }

  void changes_arrive_in_time_after_an_outage() {
    check_in_time(large_fleet_with(platform_state::down));
  }

  void changes_arrive_in_time_after_lost_responses() {
    check_in_time(large_fleet_with(platform_state::loses_responses));
  }

  // 3 s is the shortest limit that an operator sets for reconnecting after an
  // outage of any length.
  void all_changes_arrive_within_the_reconnect_limit_after_an_outage() {
    constexpr std::uint64_t reconnect_limit_ms = 3000;
    for (const int gateways : {4, 20, 91}) {
      model_options options = options_of(gateways, 5);
      options.faults = {{12000, 19000, platform_state::down}};
      const outcome result = run_seeds(options);
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(gateways) + " gateways: all changes received after " +
              std::to_string(result.recovered_after_ms) + " ms",
          result.recovered_after_ms > 0 &&
              result.recovered_after_ms < reconnect_limit_ms);
    }
  }

 private:
  static void check_in_time(const model_options& options) {
    const outcome result = run_seeds(options);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(options.gateways) + " gateways: received after " +
            std::to_string(result.lag_ms) + " ms; expected under " +
            std::to_string(max_lag_ms),
        result.lag_ms < max_lag_ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_sharing_model_test);

}  // namespace
}  // namespace trayrock::testing
