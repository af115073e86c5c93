// How a record store joins, leaves or stays out of its group's voters.
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

// The view of a spare store d of three voters a, b, c that reply and count.
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
bool is(const membership_action& chosen) {
  return std::holds_alternative<action>(chosen);
}

class store_membership_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_membership_test);
  CPPUNIT_TEST(spare_store_does_nothing_while_all_voters_reply);
  CPPUNIT_TEST(voter_is_replaced_at_once_without_its_disk_and_later_if_silent);
  CPPUNIT_TEST(learner_that_has_not_read_enough_does_not_become_a_voter);
  CPPUNIT_TEST(learners_are_bounded_by_vacancies);
  CPPUNIT_TEST(learners_stay_ready_after_a_change_of_voters);
  CPPUNIT_TEST(one_change_at_a_time);
  CPPUNIT_TEST(retiring_voter_leaves_only_if_enough_remain);
  CPPUNIT_TEST(silent_learner_does_not_block_a_spare);
  CPPUNIT_TEST(learner_without_its_disk_does_not_block_a_spare);
  CPPUNIT_TEST(former_learner_at_the_own_address_does_not_block_a_spare);
  CPPUNIT_TEST(lost_learners_are_removed_from_the_group);
  CPPUNIT_TEST(retiring_voter_waits_longer_while_a_successor_learns);
  CPPUNIT_TEST(reads_in_an_older_epoch_do_not_count);
  CPPUNIT_TEST(pull_that_began_before_the_fence_does_not_count);
  CPPUNIT_TEST(pull_that_began_in_an_older_epoch_does_not_count);
  CPPUNIT_TEST(earlier_pull_that_is_stored_later_is_ignored);
  CPPUNIT_TEST(voter_is_complete_as_of_the_reads_of_a_quorum);
  CPPUNIT_TEST(joining_store_is_complete_by_the_reads_of_others_alone);
  CPPUNIT_TEST(reads_of_a_voter_before_it_counted_complete_nothing);
  CPPUNIT_TEST(reads_in_an_older_epoch_complete_nothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void spare_store_does_nothing_while_all_voters_reply() {
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(spare_view())));
  }

  void voter_is_replaced_at_once_without_its_disk_and_later_if_silent() {
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

  void learner_that_has_not_read_enough_does_not_become_a_voter() {
    membership_view view = spare_view();
    *view.group.add_learners() = view.self;
    view.peers["a"].silent_ms = 5000;
    view.peers["b"].read_to_end = false;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.peers["b"].read_to_end = true;
    view.peers["b"].counts = false;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
  }

  // Too many concurrent learners slow each other down.
  void learners_are_bounded_by_vacancies() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));

    *view.group.add_learners() = store_of("e", "5");
    view.vacancy_ms = 4999;
    CPPUNIT_ASSERT(is<do_nothing>(next_membership_action(view)));
    view.vacancy_ms = 5000;
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  // Reading all records takes seconds; a store that has done so can fill the
  // next vacancy at once.
  void learners_stay_ready_after_a_change_of_voters() {
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

  // The group may still list learners that were lost or retired.
  void silent_learner_does_not_block_a_spare() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", "5");
    view.peers["e"].silent_ms = 1000;
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  void learner_without_its_disk_does_not_block_a_spare() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", "5");
    view.peers["e"].id_at_address = "f";
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  void former_learner_at_the_own_address_does_not_block_a_spare() {
    membership_view view = spare_view();
    view.peers["a"].id_at_address = "another";
    *view.group.add_learners() = store_of("e", view.self.address());
    CPPUNIT_ASSERT(is<become_learner>(next_membership_action(view)));
  }

  void lost_learners_are_removed_from_the_group() {
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

  // A smaller group tolerates no loss until it has grown again.
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

  // The group may change between two rounds of a store.
  void reads_in_an_older_epoch_do_not_count() {
    records::StoreState own = joining_state();
    store_peers peers;
    peers.follow(own, 1000);
    for (const char* id : {"b", "c"}) {
      fence(peers, own, id);
      peers.on_records_stored(id, peers.on_pull_started(id, 0), true);
    }
    CPPUNIT_ASSERT(peers.has_joined(own));

    adopt_group(own, without_voter(own.group(), "b"));
    CPPUNIT_ASSERT(!peers.has_joined(own));
  }

  // Guards against a voter without the records that were acknowledged between
  // the pull and the fence: a slow disk stores the pull behind the next one.
  void pull_that_began_before_the_fence_does_not_count() {
    const records::StoreState own = joining_state();
    store_peers peers;
    peers.follow(own, 1000);
    const pull_start before = peers.on_pull_started("b", 0);
    fence(peers, own, "b");
    const pull_start after = peers.on_pull_started("b", 0);

    peers.on_records_stored("b", before, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peers.read_since_fence(own));
    peers.on_records_stored("b", after, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers.read_since_fence(own));
  }

  // Guards against the same where the peer was fenced for an older epoch.
  void pull_that_began_in_an_older_epoch_does_not_count() {
    records::StoreState own = joining_state();
    store_peers peers;
    peers.follow(own, 1000);
    fence(peers, own, "b");
    const pull_start before = peers.on_pull_started("b", 0);
    adopt_group(own, without_voter(own.group(), "c"));
    peers.follow(own, 1000);
    fence(peers, own, "b");
    peers.on_pull_started("b", 0);

    peers.on_records_stored("b", before, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peers.read_since_fence(own));
  }

  // Guards against a position that is set back.
  void earlier_pull_that_is_stored_later_is_ignored() {
    const records::StoreState own = joining_state();
    store_peers peers;
    peers.follow(own, 1000);
    const pull_start earlier = peers.on_pull_started("b", 0);
    const pull_start later = peers.on_pull_started("b", 0);

    CPPUNIT_ASSERT(peers.on_records_stored("b", later, true));
    CPPUNIT_ASSERT(!peers.on_records_stored("b", earlier, false));
    CPPUNIT_ASSERT(peers.find("b")->read_to_end);
  }

  void voter_is_complete_as_of_the_reads_of_a_quorum() {
    const records::StoreState own = voting_state();
    store_peers peers;
    peers.follow(own, 1000);
    CPPUNIT_ASSERT(!peers.complete_as_of(own, 1100).has_value());

    read_to_end(peers, own, "b", 1200);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1200},
                         peers.complete_as_of(own, 2000).value());
    read_to_end(peers, own, "c", 1500);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1500},
                         peers.complete_as_of(own, 2000).value());
  }

  void joining_store_is_complete_by_the_reads_of_others_alone() {
    const records::StoreState own = joining_state();
    store_peers peers;
    peers.follow(own, 1000);
    read_to_end(peers, own, "b", 1200);
    CPPUNIT_ASSERT(!peers.complete_as_of(own, 2000).has_value());
    read_to_end(peers, own, "c", 1500);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1200},
                         peers.complete_as_of(own, 2000).value());
  }

  // A voter that joins has not read all that was acknowledged before.
  void reads_of_a_voter_before_it_counted_complete_nothing() {
    const records::StoreState own = voting_state();
    store_peers peers;
    peers.follow(own, 1000);
    const pull_start early = peers.on_pull_started("b", 1100);
    reply_of(peers, own, "b", false, 1110);
    peers.on_records_stored("b", early, true);
    reply_of(peers, own, "b", true, 1200);
    CPPUNIT_ASSERT(!peers.complete_as_of(own, 1300).has_value());

    read_to_end(peers, own, "b", 1400);
    CPPUNIT_ASSERT(peers.complete_as_of(own, 1500).has_value());
  }

  void reads_in_an_older_epoch_complete_nothing() {
    records::StoreState own = voting_state();
    store_peers peers;
    peers.follow(own, 1000);
    read_to_end(peers, own, "b", 1200);
    adopt_group(own, with_voter(own.group(), store_of("d", "4"), "c"));
    CPPUNIT_ASSERT(!peers.complete_as_of(own, 1300).has_value());
    peers.follow(own, 1300);
    CPPUNIT_ASSERT(!peers.complete_as_of(own, 1300).has_value());
  }

 private:
  // The state of the voter a, which counts.
  static records::StoreState voting_state() {
    records::StoreState made;
    made.set_id("a");
    made.set_counts(true);
    *made.mutable_group() = spare_view().group;
    return made;
  }

  static void reply_of(store_peers& peers, const records::StoreState& own,
                       const std::string& id, bool counts,
                       std::uint64_t now_ms) {
    records::PullReply reply;
    reply.set_store(id);
    reply.set_counts(counts);
    reply.set_epoch(own.group().epoch());
    peers.on_pull_reply(id, reply, now_ms);
  }

  // A pull that begins at this time, of a voter that counts.
  static void read_to_end(store_peers& peers, const records::StoreState& own,
                          const std::string& id, std::uint64_t began_ms) {
    reply_of(peers, own, id, true, began_ms - 100);
    const pull_start start = peers.on_pull_started(id, began_ms);
    reply_of(peers, own, id, true, began_ms + 10);
    peers.on_records_stored(id, start, true);
  }

  // The state of store d, which replaces the voter a.
  static records::StoreState joining_state() {
    records::StoreState made;
    made.set_id("d");
    adopt_group(made, with_voter(spare_view().group, store_of("d", "4"), "a"));
    return made;
  }

  // The voter confirms the epoch of the joining store.
  static void fence(store_peers& peers, const records::StoreState& joining,
                    const std::string& id) {
    const std::uint64_t epoch = joining.group().epoch();
    records::FenceReply reply;
    reply.set_store(id);
    reply.set_counts(true);
    reply.set_epoch(epoch);
    CPPUNIT_ASSERT(peers.on_fence_reply(id, reply, epoch));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_membership_test);

}  // namespace
}  // namespace trayrock::testing
