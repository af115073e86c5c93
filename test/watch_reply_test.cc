// Validation of replies from watching gateways.
#include "trayrock/internal/gateway/watch_reply.h"

#include "test_support.h"
#include "trayrock/errors.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t known = 40;

records::EndpointChanges& add_changes(records::WatchReply& reply,
                                      std::uint64_t after,
                                      std::uint64_t revision) {
  records::EndpointChanges& made = *reply.add_endpoints();
  made.set_after(after);
  made.set_revision(revision);
  records::EndpointRecord& record = *made.add_changes()->mutable_record();
  record.set_id("e1");
  record.set_service("chat");
  record.set_address("127.0.0.1:1");
  return made;
}

std::error_code check(const records::WatchReply& reply) {
  return check_watch_reply(reply, known);
}

class watch_reply_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_reply_test);
  CPPUNIT_TEST(consecutive_changes_are_accepted);
  CPPUNIT_TEST(overlapping_changes_are_accepted);
  CPPUNIT_TEST(gap_is_rejected);
  CPPUNIT_TEST(gap_between_two_changes_is_rejected);
  CPPUNIT_TEST(complete_listing_requires_no_predecessor);
  CPPUNIT_TEST(older_revision_is_accepted);
  CPPUNIT_TEST(revision_too_far_ahead_is_rejected);
  CPPUNIT_TEST(record_without_address_is_rejected);
  CPPUNIT_TEST(removal_without_id_is_rejected);
  CPPUNIT_TEST(too_many_changes_are_rejected);
  CPPUNIT_TEST(too_many_reports_are_rejected);
  CPPUNIT_TEST(group_without_voters_is_rejected);
  CPPUNIT_TEST(malformed_configuration_is_rejected);
  CPPUNIT_TEST(message_of_an_older_version_is_accepted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void consecutive_changes_are_accepted() {
    records::WatchReply reply;
    add_changes(reply, 40, 42);
    add_changes(reply, 42, 45);
    CPPUNIT_ASSERT(!check(reply));
  }

  void overlapping_changes_are_accepted() {
    records::WatchReply reply;
    add_changes(reply, 30, 42);
    CPPUNIT_ASSERT(!check(reply));
  }

  void gap_is_rejected() {
    records::WatchReply reply;
    add_changes(reply, 41, 42);
    CPPUNIT_ASSERT(check(reply) == errc::wire_out_of_step);
  }

  void gap_between_two_changes_is_rejected() {
    records::WatchReply reply;
    add_changes(reply, 40, 42);
    add_changes(reply, 43, 45);
    CPPUNIT_ASSERT(check(reply) == errc::wire_out_of_step);
  }

  void complete_listing_requires_no_predecessor() {
    records::WatchReply reply;
    add_changes(reply, 0, 90).set_whole(true);
    CPPUNIT_ASSERT(!check(reply));
  }

  // It is skipped when the reply is applied.
  void older_revision_is_accepted() {
    records::WatchReply reply;
    add_changes(reply, 5, 7);
    CPPUNIT_ASSERT(!check(reply));
  }

  void revision_too_far_ahead_is_rejected() {
    records::WatchReply reply;
    add_changes(reply, 40, ~std::uint64_t{0});
    CPPUNIT_ASSERT(check(reply) == errc::wire_out_of_step);
  }

  void record_without_address_is_rejected() {
    records::WatchReply reply;
    add_changes(reply, 40, 42)
        .mutable_changes(0)
        ->mutable_record()
        ->set_address("");
    CPPUNIT_ASSERT(check(reply) == errc::wire_garbled);
  }

  void removal_without_id_is_rejected() {
    records::WatchReply reply;
    records::EndpointChange& change =
        *add_changes(reply, 40, 42).mutable_changes(0);
    change.set_removed(true);
    change.mutable_record()->set_id("");
    CPPUNIT_ASSERT(check(reply) == errc::wire_garbled);
  }

  void too_many_changes_are_rejected() {
    records::WatchReply reply;
    records::EndpointChanges& changes = add_changes(reply, 40, 42);
    for (int i = 0; i < 10000; ++i) {
      *changes.add_changes() = changes.changes(0);
    }
    CPPUNIT_ASSERT(check(reply) == errc::wire_too_large);
  }

  void too_many_reports_are_rejected() {
    records::WatchReply reply;
    for (int i = 0; i < 2000; ++i) {
      reply.add_endpoint_news()->add_failed()->set_id("e1");
    }
    CPPUNIT_ASSERT(check(reply) == errc::wire_too_large);
  }

  void group_without_voters_is_rejected() {
    records::WatchReply reply;
    reply.set_group_revision(50);
    CPPUNIT_ASSERT(check(reply) == errc::wire_garbled);
  }

  void malformed_configuration_is_rejected() {
    for (const char* text : {"", "{", "[]", R"({"version": "one"})"}) {
      records::WatchReply reply;
      reply.set_configuration(9);
      reply.set_configuration_document(text);
      CPPUNIT_ASSERT_MESSAGE(text, check(reply) == errc::wire_garbled);
    }
  }

  // Fields that its version lacks are empty.
  void message_of_an_older_version_is_accepted() {
    records::WatchReply reply;
    reply.set_watching(true);
    CPPUNIT_ASSERT(!check(reply));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_reply_test);

}  // namespace
}  // namespace trayrock::testing
