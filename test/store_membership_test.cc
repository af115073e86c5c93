// What a record store does next about its place in the group.
#include "trayrock/internal/decide/store_membership.h"

#include "test_support.h"
#include "trayrock/internal/decide/store_peers.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock::testing {
namespace {

records::Store store_of(const std::string& id, const std::string& address) {
  records::Store made;
  made.set_id(id);
  made.set_address(address);
  made.set_box("box-" + id);
  return made;
}

// Three voters a, b, c that all answer and count, seen by a spare store d.
membership_view spare_view() {
  membership_view view;
  view.self = store_of("d", "4");
  view.group.set_epoch(1);
  view.group.set_tolerated(1);
  for (const char* id : {"a", "b", "c"}) {
    *view.group.add_voters() = store_of(id, id);
    view.peers[id] = {0, true, true, id};
  }
  return view;
}

template <typename action>
bool is(const membership_action& seen) {
  return std::holds_alternative<action>(seen);
}

class store_membership_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_membership_test);
  CPPUNIT_TEST(spare_store_waits_while_all_voters_live);
  CPPUNIT_TEST(lost_disk_is_replaced_at_once_and_silence_after_a_while);
  CPPUNIT_TEST(store_that_has_not_read_enough_does_not_vote);
  CPPUNIT_TEST(as_many_stores_learn_as_places_are_open);
  CPPUNIT_TEST(learners_stay_ready_behind_a_change_of_voters);
  CPPUNIT_TEST(one_change_at_a_time);
  CPPUNIT_TEST(retiring_voter_leaves_only_if_enough_remain);
  CPPUNIT_TEST(learner_that_is_gone_keeps_no_spare_waiting);
  CPPUNIT_TEST(learner_whose_disk_was_lost_keeps_no_spare_waiting);
  CPPUNIT_TEST(former_learner_at_the_own_address_keeps_no_spare_waiting);
  CPPUNIT_TEST(learners_that_are_gone_leave_the_list);
  CPPUNIT_TEST(retiring_voter_waits_longer_while_a_successor_learns);
  CPPUNIT_TEST(what_was_read_in_an_older_epoch_does_not_make_a_voter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void spare_store_waits_while_all_voters_live() {
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(spare_view())));
  }

  void lost_disk_is_replaced_at_once_and_silence_after_a_while() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
    *view.group.add_learners() = view.self;
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        std::get<become_voter>(next_membership_action(view)).replaced);

    view.peers["a"].id_at_address = "a";
    view.peers["c"].silent_ms = 1000;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.peers["c"].silent_ms = 2000;
    CPPUNIT_ASSERT_EQUAL(
        std::string("c"),
        std::get<become_voter>(next_membership_action(view)).replaced);
  }

  void store_that_has_not_read_enough_does_not_vote() {
    membership_view view = spare_view();
    *view.group.add_learners() = view.self;
    view.peers["a"].silent_ms = 5000;
    view.peers["b"].read_to_end = false;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.peers["b"].read_to_end = true;
    view.peers["b"].counts = false;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
  }

  // Four spare stores read the same
  // voters at once, and none was done for thirteen seconds.
  void as_many_stores_learn_as_places_are_open() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));

    *view.group.add_learners() = store_of("e", "5");
    view.vacancy_ms = 4999;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.vacancy_ms = 5000;
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  // Reading all records takes seconds; a store that has done so takes the next
  // place at once.
  void learners_stay_ready_behind_a_change_of_voters() {
    records::Group group = spare_view().group;
    *group.add_learners() = store_of("d", "4");
    *group.add_learners() = store_of("e", "5");
    const records::Group next = with_voter(group, store_of("d", "4"), "a");
    CPPUNIT_ASSERT(!is_learner(next, "d"));
    CPPUNIT_ASSERT(is_learner(next, "e"));
  }

  void one_change_at_a_time() {
    membership_view view = spare_view();
    *view.group.add_learners() = view.self;
    view.peers["a"].silent_ms = 5000;
    view.change_pending = true;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
  }

  void retiring_voter_leaves_only_if_enough_remain() {
    membership_view view = spare_view();
    view.self = store_of("a", "a");
    view.peers.erase("a");
    view.retiring_boxes = {"box-a"};
    view.retiring_ms = 100;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.retiring_ms = 60000;
    CPPUNIT_ASSERT(is<leave_group>(next_membership_action(view)));
    view.group.mutable_voters()->RemoveLast();
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
  }

  // A store whose disk was lost and one
  // that had retired were still listed as learners, so that the only spare
  // waited ten seconds while no turn could be served.
  void learner_that_is_gone_keeps_no_spare_waiting() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", "5");
    view.peers["e"].silent_ms = 1000;
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  void learner_whose_disk_was_lost_keeps_no_spare_waiting() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", "5");
    view.peers["e"].id_at_address = "f";
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  void former_learner_at_the_own_address_keeps_no_spare_waiting() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", view.self.address());
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  void learners_that_are_gone_leave_the_list() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", "5");
    view.peers["e"].silent_ms = 1000;
    const auto action = next_membership_action(view);
    const auto& learns = std::get<become_learner>(action);
    const records::Group next =
        with_learner(view.group, view.self, learns.lost_learners);
    CPPUNIT_ASSERT(!is_learner(next, "e"));
    CPPUNIT_ASSERT(is_learner(next, "d"));
  }

  // A group that shrinks bears no loss until it has grown again.
  void retiring_voter_waits_longer_while_a_successor_learns() {
    membership_view view = spare_view();
    view.self = store_of("a", "a");
    view.peers.erase("a");
    view.retiring_boxes = {"box-a"};
    *view.group.add_learners() = store_of("d", "4");
    view.peers["d"] = {0, false, false, "d"};
    view.retiring_ms = 4900;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.retiring_ms = 5000;
    CPPUNIT_ASSERT(is<leave_group>(next_membership_action(view)));
    view.peers["d"].silent_ms = 1000;
    view.retiring_ms = 2500;
    CPPUNIT_ASSERT(is<leave_group>(next_membership_action(view)));
  }

  // Found by the model of the group's rules, seed 1444: a group that changes
  // between two rounds of a store.
  void what_was_read_in_an_older_epoch_does_not_make_a_voter() {
    records::StoreState own;
    own.set_id("d");
    records::Group group =
        with_voter(spare_view().group, store_of("d", "4"), "a");
    adopt_group(own, group);
    store_peers peers;
    peers.follow(own, 1000);
    for (const char* id : {"b", "c"}) {
      records::FenceReply fenced;
      fenced.set_store(id);
      fenced.set_counts(true);
      fenced.set_epoch(group.epoch());
      peers.on_fence_reply(id, fenced, group.epoch());
      peers.on_pull_started(id);
      peers.on_records_stored(id, true);
    }
    CPPUNIT_ASSERT(peers.has_joined(own));

    group = without_voter(group, "b");
    adopt_group(own, group);
    CPPUNIT_ASSERT(!peers.has_joined(own));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_membership_test);

}  // namespace
}  // namespace trayrock::testing
