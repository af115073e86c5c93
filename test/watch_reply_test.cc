// Answers of gateways that watch the platform, as they should not be.
#include "trayrock/internal/gateway/watch_reply.h"

#include "test_support.h"
#include "trayrock/errors.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t known = 40;

records::EndpointChanges& add_changes(records::WatchReply& told,
                                      std::uint64_t after,
                                      std::uint64_t revision) {
  records::EndpointChanges& made = *told.add_endpoints();
  made.set_after(after);
  made.set_revision(revision);
  records::EndpointRecord& record = *made.add_changes()->mutable_record();
  record.set_id("e1");
  record.set_service("chat");
  record.set_address("127.0.0.1:1");
  return made;
}

std::error_code check(const records::WatchReply& told) {
  return check_watch_reply(told, known);
}

class watch_reply_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_reply_test);
  CPPUNIT_TEST(changes_in_a_row_are_taken);
  CPPUNIT_TEST(changes_that_overlap_are_taken);
  CPPUNIT_TEST(gap_is_refused);
  CPPUNIT_TEST(gap_between_two_changes_is_refused);
  CPPUNIT_TEST(all_records_need_no_predecessor);
  CPPUNIT_TEST(revision_that_goes_back_is_no_fault);
  CPPUNIT_TEST(absurd_revision_is_refused);
  CPPUNIT_TEST(record_without_address_is_refused);
  CPPUNIT_TEST(removal_without_id_is_refused);
  CPPUNIT_TEST(absurdly_many_changes_are_refused);
  CPPUNIT_TEST(absurdly_many_news_are_refused);
  CPPUNIT_TEST(group_without_voters_is_refused);
  CPPUNIT_TEST(garbled_configuration_is_refused);
  CPPUNIT_TEST(message_of_an_older_version_is_taken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void changes_in_a_row_are_taken() {
    records::WatchReply told;
    add_changes(told, 40, 42);
    add_changes(told, 42, 45);
    CPPUNIT_ASSERT(!check(told));
  }

  void changes_that_overlap_are_taken() {
    records::WatchReply told;
    add_changes(told, 30, 42);
    CPPUNIT_ASSERT(!check(told));
  }

  void gap_is_refused() {
    records::WatchReply told;
    add_changes(told, 41, 42);
    CPPUNIT_ASSERT(check(told) == errc::wire_out_of_step);
  }

  void gap_between_two_changes_is_refused() {
    records::WatchReply told;
    add_changes(told, 40, 42);
    add_changes(told, 43, 45);
    CPPUNIT_ASSERT(check(told) == errc::wire_out_of_step);
  }

  void all_records_need_no_predecessor() {
    records::WatchReply told;
    add_changes(told, 0, 90).set_whole(true);
    CPPUNIT_ASSERT(!check(told));
  }

  // What is older than what is known is passed over where it is applied.
  void revision_that_goes_back_is_no_fault() {
    records::WatchReply told;
    add_changes(told, 5, 7);
    CPPUNIT_ASSERT(!check(told));
  }

  void absurd_revision_is_refused() {
    records::WatchReply told;
    add_changes(told, 40, ~std::uint64_t{0});
    CPPUNIT_ASSERT(check(told) == errc::wire_out_of_step);
  }

  void record_without_address_is_refused() {
    records::WatchReply told;
    add_changes(told, 40, 42)
        .mutable_changes(0)
        ->mutable_record()
        ->set_address("");
    CPPUNIT_ASSERT(check(told) == errc::wire_garbled);
  }

  void removal_without_id_is_refused() {
    records::WatchReply told;
    records::EndpointChange& change =
        *add_changes(told, 40, 42).mutable_changes(0);
    change.set_removed(true);
    change.mutable_record()->set_id("");
    CPPUNIT_ASSERT(check(told) == errc::wire_garbled);
  }

  void absurdly_many_changes_are_refused() {
    records::WatchReply told;
    records::EndpointChanges& changes = add_changes(told, 40, 42);
    for (int i = 0; i < 10000; ++i) {
      *changes.add_changes() = changes.changes(0);
    }
    CPPUNIT_ASSERT(check(told) == errc::wire_too_large);
  }

  void absurdly_many_news_are_refused() {
    records::WatchReply told;
    for (int i = 0; i < 2000; ++i) {
      told.add_endpoint_news()->add_failed()->set_id("e1");
    }
    CPPUNIT_ASSERT(check(told) == errc::wire_too_large);
  }

  void group_without_voters_is_refused() {
    records::WatchReply told;
    told.set_group_revision(50);
    CPPUNIT_ASSERT(check(told) == errc::wire_garbled);
  }

  void garbled_configuration_is_refused() {
    for (const char* text : {"", "{", "[]", R"({"version": "one"})"}) {
      records::WatchReply told;
      told.set_configuration(9);
      told.set_configuration_document(text);
      CPPUNIT_ASSERT_MESSAGE(text, check(told) == errc::wire_garbled);
    }
  }

  // Fields that a version does not know are empty.
  void message_of_an_older_version_is_taken() {
    records::WatchReply told;
    told.set_watching(true);
    CPPUNIT_ASSERT(!check(told));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_reply_test);

}  // namespace
}  // namespace trayrock::testing
