// At most once, as a table's decisions.
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
  CPPUNIT_TEST(second_copy_attaches);
  CPPUNIT_TEST(refused_call_never_runs_later);
  CPPUNIT_TEST(attach_to_an_unseen_call_leaves_a_tombstone);
  CPPUNIT_TEST(other_start_is_refused);
  CPPUNIT_TEST(older_owner_is_refused);
  CPPUNIT_TEST(late_copy_of_a_past_call_is_refused);
  CPPUNIT_TEST(ended_program_runs_nothing_more);
  CPPUNIT_TEST(unrepeatable_outcome_outlives_the_ordinary_expiry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void second_copy_attaches() {
    check(request_decision::run, make_request(1, 1));
    check(request_decision::attach, make_request(1, 1));
    check(request_decision::run, make_request(1, 2));
  }

  void refused_call_never_runs_later() {
    check(request_decision::run, make_request(1, 1));
    table_.refuse({"p", 1, 1}, wire::Failure(), 0);
    check(request_decision::attach, make_request(1, 1));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1})->state == request_state::tombstone);
  }

  void attach_to_an_unseen_call_leaves_a_tombstone() {
    wire::ExecuteRequest attach = make_request(1, 1);
    attach.set_attach_only(true);
    check(request_decision::attach, attach);
    // The copy that was delayed on its way comes now.
    check(request_decision::attach, make_request(1, 1));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1})->state == request_state::tombstone);
  }

  void other_start_is_refused() {
    check(request_decision::refuse_start, make_request(1, 1, 1, "s0"));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1}) == nullptr);
  }

  void older_owner_is_refused() {
    check(request_decision::run, make_request(1, 1, 5));
    check(request_decision::refuse_term, make_request(2, 1, 4));
  }

  void late_copy_of_a_past_call_is_refused() {
    check(request_decision::run, make_request(1, 1));
    table_.refuse({"p", 1, 1}, wire::Failure(), 0);
    check(request_decision::run, make_request(2, 1));
    // The tombstone is gone; the program's place in its order is not.
    check(request_decision::refuse_stale, make_request(1, 1));
  }

  void ended_program_runs_nothing_more() {
    check(request_decision::run, make_request(1, 1));
    table_.close_program("p", 0);
    check(request_decision::refuse_stale, make_request(2, 1));
  }

  void unrepeatable_outcome_outlives_the_ordinary_expiry() {
    check(request_decision::run, make_request(1, 1));
    table_.finish({"p", 1, 1}, wire::ExecuteDone(), 100);
    table_.expire(1000, 50);
    // Forgotten, it would be told as "not run".
    check(request_decision::attach, make_request(1, 1));
    CPPUNIT_ASSERT(table_.find({"p", 1, 1})->state == request_state::done);
  }

 private:
  void check(request_decision expected, const wire::ExecuteRequest& request) {
    const request_decision seen = table_.register_request(request, 0);
    TRAYROCK_CHECK(expected == seen, "expected "
                                         << static_cast<int>(expected)
                                         << ", seen " << static_cast<int>(seen)
                                         << " for call " << request.sequence()
                                         << " attempt " << request.attempt());
  }

  request_table table_{"s1"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_table_test);

}  // namespace
}  // namespace trayrock::testing
