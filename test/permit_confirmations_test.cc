// When a store that has joined a group may issue permits before its first
// window has passed.
#include "trayrock/internal/decide/permit_confirmations.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

records::Group group_of(std::uint64_t epoch,
                        const std::vector<std::string>& previous) {
  records::Group made;
  made.set_epoch(epoch);
  for (const std::string& each : previous) {
    made.add_previous_voters()->set_id(each);
  }
  return made;
}

records::ConfirmPermitsReply reply_of(const std::string& store,
                                      std::uint64_t epoch,
                                      std::uint64_t complete_epoch = 0) {
  records::ConfirmPermitsReply made;
  made.set_store(store);
  made.set_epoch(epoch);
  made.set_within_share(true);
  made.set_complete_epoch(complete_epoch);
  return made;
}

class permit_confirmations_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_confirmations_test);
  CPPUNIT_TEST(all_voters_of_the_first_epoch_are_needed);
  CPPUNIT_TEST(voter_beyond_its_share_does_not_confirm);
  CPPUNIT_TEST(reply_of_another_store_does_not_confirm);
  CPPUNIT_TEST(reply_for_another_epoch_does_not_confirm);
  CPPUNIT_TEST(later_epoch_needs_a_complete_previous_one);
  CPPUNIT_TEST(older_complete_epoch_is_not_enough);
  CPPUNIT_TEST(only_voters_without_confirmation_are_missing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void all_voters_of_the_first_epoch_are_needed() {
    permit_confirmations confirmations(group_of(2, {"store-1", "store-2"}),
                                       "store-3");
    confirmations.on_reply("store-1", reply_of("store-1", 2));
    CPPUNIT_ASSERT(!confirmations.all_received());
    confirmations.on_reply("store-2", reply_of("store-2", 2));
    CPPUNIT_ASSERT(confirmations.all_received());
  }

  void voter_beyond_its_share_does_not_confirm() {
    permit_confirmations confirmations(group_of(2, {"store-1"}), "store-3");
    records::ConfirmPermitsReply beyond = reply_of("store-1", 2);
    beyond.set_within_share(false);
    confirmations.on_reply("store-1", beyond);
    CPPUNIT_ASSERT(!confirmations.all_received());
  }

  // Its disk may have been lost, and with it what it issued.
  void reply_of_another_store_does_not_confirm() {
    permit_confirmations confirmations(group_of(2, {"store-1"}), "store-3");
    confirmations.on_reply("store-1", reply_of("store-4", 2));
    CPPUNIT_ASSERT(!confirmations.all_received());
  }

  void reply_for_another_epoch_does_not_confirm() {
    permit_confirmations confirmations(group_of(2, {"store-1"}), "store-3");
    confirmations.on_reply("store-1", reply_of("store-1", 1));
    confirmations.on_reply("store-1", reply_of("store-1", 3));
    CPPUNIT_ASSERT(!confirmations.all_received());
  }

  void later_epoch_needs_a_complete_previous_one() {
    permit_confirmations confirmations(group_of(3, {"store-1", "store-2"}),
                                       "store-3");
    confirmations.on_reply("store-1", reply_of("store-1", 3));
    confirmations.on_reply("store-2", reply_of("store-2", 3));
    CPPUNIT_ASSERT(!confirmations.all_received());
    confirmations.on_reply("store-2", reply_of("store-2", 3, 2));
    CPPUNIT_ASSERT(confirmations.all_received());
  }

  void older_complete_epoch_is_not_enough() {
    permit_confirmations confirmations(group_of(4, {"store-1"}), "store-3");
    confirmations.on_reply("store-1", reply_of("store-1", 4, 2));
    CPPUNIT_ASSERT(!confirmations.all_received());
  }

  void only_voters_without_confirmation_are_missing() {
    permit_confirmations confirmations(
        group_of(2, {"store-1", "store-2", "store-3"}), "store-3");
    confirmations.on_reply("store-1", reply_of("store-1", 2));
    const std::vector<records::Store> missing = confirmations.missing();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, missing.size());
    CPPUNIT_ASSERT_EQUAL(std::string("store-2"), missing[0].id());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_confirmations_test);

}  // namespace
}  // namespace trayrock::testing
