// Checks that no request runs twice, or after it was reported as not run.
#include "trayrock/internal/decide/request_table.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

wire::ExecuteRequest make_request(std::uint64_t sequence, std::uint32_t attempt,
                                  std::uint64_t term = 1,
                                  const std::string& start = "s1") {
  wire::ExecuteRequest request;
  request.set_program("p");
  request.set_sequence(sequence);
  request.set_attempt(attempt);
  request.set_target_start(start);
  request.set_term(term);
  request.set_shard(7);
  request.set_repeatable(false);
  return request;
}

class request_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_table_test);
  CPPUNIT_TEST(duplicate_request_attaches);
  CPPUNIT_TEST(refused_request_never_runs_later);
  CPPUNIT_TEST(attach_to_an_unknown_request_leaves_a_tombstone);
  CPPUNIT_TEST(request_for_another_start_is_refused);
  CPPUNIT_TEST(request_of_an_older_owner_is_refused);
  CPPUNIT_TEST(duplicate_of_an_earlier_call_is_refused);
  CPPUNIT_TEST(requests_of_an_ended_program_are_refused);
  CPPUNIT_TEST(outcome_of_an_unrepeatable_call_is_kept_longer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void duplicate_request_attaches() {
    check(request_decision::run, make_request(1, 1));
    check(request_decision::attach, make_request(1, 1));
    check(request_decision::run, make_request(1, 2));
  }

  void refused_request_never_runs_later() {
    check(request_decision::run, make_request(1, 1));
    table_.refuse({"p", 1, 1}, wire::Failure(), 0);
    check(request_decision::attach, make_request(1, 1));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1})->state == request_state::tombstone);
  }

  void attach_to_an_unknown_request_leaves_a_tombstone() {
    wire::ExecuteRequest attach = make_request(1, 1);
    attach.set_attach_only(true);
    check(request_decision::attach, attach);
    // The delayed original request arrives.
    check(request_decision::attach, make_request(1, 1));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1})->state == request_state::tombstone);
  }

  void request_for_another_start_is_refused() {
    check(request_decision::refuse_start, make_request(1, 1, 1, "s0"));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1}) == nullptr);
  }

  void request_of_an_older_owner_is_refused() {
    check(request_decision::run, make_request(1, 1, 5));
    check(request_decision::refuse_term, make_request(2, 1, 4));
  }

  void duplicate_of_an_earlier_call_is_refused() {
    check(request_decision::run, make_request(1, 1));
    table_.refuse({"p", 1, 1}, wire::Failure(), 0);
    check(request_decision::run, make_request(2, 1));
    // The tombstone was removed, but the sequence number of the program's last
    // call was kept.
    check(request_decision::refuse_stale, make_request(1, 1));
  }

  void requests_of_an_ended_program_are_refused() {
    check(request_decision::run, make_request(1, 1));
    table_.close_program("p", 0);
    check(request_decision::refuse_stale, make_request(2, 1));
  }

  void outcome_of_an_unrepeatable_call_is_kept_longer() {
    check(request_decision::run, make_request(1, 1));
    table_.finish({"p", 1, 1}, wire::ExecuteDone(), 100);
    table_.expire(1000, 50);
    // Without its entry it would be reported as not run.
    check(request_decision::attach, make_request(1, 1));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1})->state == request_state::done);
  }

 private:
  void check(request_decision expected, const wire::ExecuteRequest& request) {
    const request_decision actual = table_.register_request(request, 0);
    TRAYROCK_CHECK(expected == actual,
                   "expected " << static_cast<int>(expected) << ", actual "
                               << static_cast<int>(actual) << " for call "
                               << request.sequence() << " attempt "
                               << request.attempt());
  }

  request_table table_{"s1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_table_test);

}  // namespace
}  // namespace trayrock::testing
