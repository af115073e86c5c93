// Replies of a watching gateway to gateways that poll it.
#include "trayrock/internal/gateway/watch_log.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t log_id = 77;
constexpr std::uint64_t start_ms = 10000;

records::EndpointChanges listing(std::uint64_t revision, int count) {
  records::EndpointChanges made;
  made.set_whole(true);
  made.set_revision(revision);
  for (int i = 0; i < count; ++i) {
    made.add_changes()->mutable_record()->set_id("e" + std::to_string(i));
  }
  return made;
}

records::EndpointChanges change(std::uint64_t after, std::uint64_t revision,
                                const std::string& id, bool removed = false) {
  records::EndpointChanges made;
  made.set_after(after);
  made.set_revision(revision);
  made.add_changes()->mutable_record()->set_id(id);
  made.mutable_changes(0)->set_removed(removed);
  return made;
}

records::WatchReply reply_of(const watch_log& log, std::uint64_t revision,
                             std::uint64_t now_ms = start_ms) {
  records::WatchRequest request;
  request.set_endpoints_revision(revision);
  records::WatchReply reply;
  log.fill_reply(request, now_ms, reply);
  return reply;
}

class watch_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_log_test);
  CPPUNIT_TEST(no_reply_without_updates);
  CPPUNIT_TEST(changes_after_a_revision_are_sent_in_order);
  CPPUNIT_TEST(outdated_caller_gets_all_records);
  CPPUNIT_TEST(complete_listing_omits_removed_records);
  CPPUNIT_TEST(empty_changes_leave_no_gap);
  CPPUNIT_TEST(gap_empties_the_log);
  CPPUNIT_TEST(changes_that_overlap_count_once);
  CPPUNIT_TEST(newer_configuration_and_group_are_sent);
  CPPUNIT_TEST(outdated_caller_gets_all_evacuations);
  CPPUNIT_TEST(report_is_sent_once_and_not_to_the_reporter);
  CPPUNIT_TEST(old_report_is_not_sent);
  CPPUNIT_TEST(rest_of_the_grace_period_is_sent);
  CPPUNIT_TEST(old_listing_has_no_grace_period);
  CPPUNIT_TEST_SUITE_END();

 public:
  void no_reply_without_updates() {
    const watch_log log = log_at(10);
    records::WatchRequest request;
    request.set_endpoints_revision(10);
    records::WatchReply reply;
    CPPUNIT_ASSERT(!log.fill_reply(request, start_ms, reply));
  }

  void changes_after_a_revision_are_sent_in_order() {
    watch_log log = log_at(10);
    log.add_endpoints(change(10, 12, "a"));
    log.add_endpoints(change(12, 15, "b"));
    const records::WatchReply reply = reply_of(log, 12);
    CPPUNIT_ASSERT_EQUAL(1, reply.endpoints_size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         reply.endpoints(0).changes(0).record().id());
    CPPUNIT_ASSERT_EQUAL(2, reply_of(log, 10).endpoints_size());
  }

  void outdated_caller_gets_all_records() {
    watch_log log = log_at(10);
    log.add_endpoints(change(10, 12, "a"));
    const records::WatchReply reply = reply_of(log, 3);
    CPPUNIT_ASSERT_EQUAL(1, reply.endpoints_size());
    CPPUNIT_ASSERT(reply.endpoints(0).whole());
    CPPUNIT_ASSERT_EQUAL(4, reply.endpoints(0).changes_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, reply.endpoints(0).revision());
  }

  void complete_listing_omits_removed_records() {
    watch_log log = log_at(10);
    log.add_endpoints(change(10, 12, "e0", true));
    CPPUNIT_ASSERT_EQUAL(2, reply_of(log, 0).endpoints(0).changes_size());
  }

  void empty_changes_leave_no_gap() {
    watch_log log = log_at(10);
    records::EndpointChanges empty;
    empty.set_after(10);
    empty.set_revision(40);
    log.add_endpoints(empty);
    log.add_endpoints(change(40, 41, "a"));
    const records::WatchReply reply = reply_of(log, 10);
    CPPUNIT_ASSERT(!reply.endpoints(0).whole());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, log.revision());
  }

  void gap_empties_the_log() {
    watch_log log = log_at(10);
    log.add_endpoints(change(20, 21, "a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, log.revision());
    log.add_endpoints(listing(30, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, log.revision());
  }

  void changes_that_overlap_count_once() {
    watch_log log = log_at(10);
    log.add_endpoints(change(10, 14, "a"));
    log.add_endpoints(change(10, 12, "old", true));
    log.add_endpoints(change(12, 16, "b"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16}, log.revision());
    CPPUNIT_ASSERT_EQUAL(2, reply_of(log, 10).endpoints_size());
  }

  void newer_configuration_and_group_are_sent() {
    watch_log log = log_at(10);
    log.set_configuration({7, "text"});
    records::Group group;
    group.set_epoch(3);
    log.set_group(group, 9);
    const records::WatchReply reply = reply_of(log, 10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, reply.configuration());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, reply.group().epoch());
  }

  void outdated_caller_gets_all_evacuations() {
    watch_log log = log_at(10);
    log.set_evacuations({12, {"north", "south"}});
    const records::WatchReply reply = reply_of(log, 10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, reply.evacuations_revision());
    CPPUNIT_ASSERT_EQUAL(2, reply.evacuated_size());

    records::WatchRequest request;
    request.set_endpoints_revision(10);
    request.set_evacuations_revision(12);
    records::WatchReply known;
    CPPUNIT_ASSERT(!log.fill_reply(request, start_ms, known));
  }

  void report_is_sent_once_and_not_to_the_reporter() {
    watch_log log = log_at(10);
    records::EndpointNews report;
    report.set_gateway("one");
    report.add_failed()->set_id("e0");
    log.add_report(report, start_ms);
    records::WatchRequest request;
    request.set_endpoints_revision(10);
    request.set_gateway("two");
    records::WatchReply first;
    CPPUNIT_ASSERT(log.fill_reply(request, start_ms + 10, first));
    request.set_news_log(first.news_log());
    request.set_news(first.news());
    records::WatchReply second;
    CPPUNIT_ASSERT(!log.fill_reply(request, start_ms + 20, second));
    request.set_news(0);
    request.set_gateway("one");
    records::WatchReply own;
    CPPUNIT_ASSERT(!log.fill_reply(request, start_ms + 20, own));
  }

  void old_report_is_not_sent() {
    watch_log log = log_at(10);
    records::EndpointNews report;
    report.add_failed()->set_id("e0");
    log.add_report(report, start_ms);
    CPPUNIT_ASSERT_EQUAL(
        0, reply_of(log, 10, start_ms + 2000).endpoint_news_size());
  }

  void rest_of_the_grace_period_is_sent() {
    watch_log log = log_at(10);
    log.add_endpoints(change(10, 12, "e0", true), start_ms + 2000);
    CPPUNIT_ASSERT_EQUAL(
        1500U, reply_of(log, 10, start_ms + 500).endpoints(0).lapse_left_ms());
    CPPUNIT_ASSERT_EQUAL(
        0U, reply_of(log, 10, start_ms + 5000).endpoints(0).lapse_left_ms());
  }

  // An outdated caller gets a listing that followed an outage a minute ago.
  void old_listing_has_no_grace_period() {
    watch_log log(log_id);
    records::EndpointChanges whole = listing(10, 3);
    whole.set_after_loss(true);
    log.add_endpoints(whole, start_ms + 2000);
    const records::WatchReply reply = reply_of(log, 3, start_ms + 60000);
    CPPUNIT_ASSERT(reply.endpoints(0).after_loss());
    CPPUNIT_ASSERT_EQUAL(0U, reply.endpoints(0).lapse_left_ms());
  }

 private:
  static watch_log log_at(std::uint64_t revision) {
    watch_log log(log_id);
    log.add_endpoints(listing(revision, 3));
    return log;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_log_test);

}  // namespace
}  // namespace trayrock::testing
