// Checks the order of calls, the budgets and the replay of journal records.
#include "trayrock/internal/decide/program_table.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

wire::ProgramSpec make_spec(const std::string& id, std::uint64_t calls = 100,
                            std::uint64_t tokens = 100000) {
  wire::ProgramSpec spec;
  spec.set_id(id);
  spec.set_member("caroni");
  spec.set_service("assistant");
  spec.mutable_budget()->set_calls(calls);
  spec.mutable_budget()->set_tokens(tokens);
  spec.mutable_budget()->set_wall_ms(1000000);
  return spec;
}

wire::CallRequest make_request(const std::string& program,
                               std::uint64_t sequence,
                               const std::string& text) {
  wire::CallRequest request;
  request.set_program(program);
  request.set_member("caroni");
  request.set_sequence(sequence);
  request.set_idempotency_key("key-" + std::to_string(sequence));
  wire::Message& message = *request.add_messages();
  message.set_role("user");
  message.set_content(text);
  return request;
}

class program_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(program_table_test);
  CPPUNIT_TEST(calls_run_in_sequence);
  CPPUNIT_TEST(applying_a_record_twice_has_no_effect);
  CPPUNIT_TEST(running_call_reserves_its_budget);
  CPPUNIT_TEST(call_with_unknown_outcome_is_charged_its_reservation);
  CPPUNIT_TEST(sub_programs_share_the_root_budget);
  CPPUNIT_TEST(dropped_call_frees_its_sequence_number_but_not_its_attempts);
  CPPUNIT_TEST(call_that_ended_three_processes_is_refused);
  CPPUNIT_TEST(another_content_or_a_success_is_not_refused);
  CPPUNIT_TEST(snapshot_restores_the_state);
  CPPUNIT_TEST(calls_after_the_deadline_are_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void calls_run_in_sequence() {
    open("p");
    CPPUNIT_ASSERT_EQUAL(1104, refusal(make_request("p", 2, "x")));
    begin(make_request("p", 1, "x"));
    CPPUNIT_ASSERT_EQUAL(1106, refusal(other_key(make_request("p", 1, "x"))));
    CPPUNIT_ASSERT_EQUAL(1104, refusal(make_request("p", 3, "x")));
    settle("p", 1, wire::RAN_YES);
    CPPUNIT_ASSERT_EQUAL(1103, refusal(other_key(make_request("p", 1, "x"))));
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p", 2, "x")));
  }

  void applying_a_record_twice_has_no_effect() {
    open("p");
    open("p");
    const wire::CallIntent intent = begin(make_request("p", 1, "x"));
    apply_intent(intent);
    settle("p", 1, wire::RAN_YES);
    settle("p", 1, wire::RAN_YES);
    apply_intent(intent);

    const program_state& program = *programs_.find("p");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, program.turns.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, program.used_calls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, program.reserved_tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, program.used_tokens);
  }

  void running_call_reserves_its_budget() {
    open("p", 100, 200);
    // 8 tokens of overhead, 100 bytes and 50 new tokens: 158 of 200 reserved.
    begin(make_request("p", 1, std::string(100, 'x')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{158},
                         programs_.find("p")->reserved_tokens);
    settle("p", 1, wire::RAN_YES);
    CPPUNIT_ASSERT_EQUAL(1301,
                         refusal(make_request("p", 2, std::string(100, 'x'))));
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p", 2, "x")));
  }

  void call_with_unknown_outcome_is_charged_its_reservation() {
    open("p");
    begin(make_request("p", 1, std::string(100, 'x')));
    settle("p", 1, wire::RAN_UNKNOWN);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{158}, programs_.find("p")->used_tokens);
    CPPUNIT_ASSERT(programs_.find("p")->conversation().empty());
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p", 2, "x")));
  }

  void sub_programs_share_the_root_budget() {
    open("p", 2);
    open("p.a");
    open("p.b");
    begin(make_request("p.a", 1, "x"));
    begin(make_request("p.b", 1, "x"));
    CPPUNIT_ASSERT_EQUAL(1301, refusal(make_request("p", 1, "x")));
    settle("p.a", 1, wire::RAN_YES);
    CPPUNIT_ASSERT_EQUAL(1301, refusal(make_request("p.a", 2, "x")));
    settle("p.b", 1, wire::RAN_NO);
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p.a", 2, "x")));
  }

  void dropped_call_frees_its_sequence_number_but_not_its_attempts() {
    open("p");
    wire::CallIntent intent = begin(make_request("p", 1, "x"));
    intent.set_attempt(3);
    apply_intent(intent);
    settle("p", 1, wire::RAN_NO);
    const call_decision again =
        programs_.admit(make_request("p", 1, "x"), settings(), 0);
    CPPUNIT_ASSERT(std::holds_alternative<start_call>(again));
    // The keys of used attempts may be tombstones at the endpoints' nodes.
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3},
                         std::get<start_call>(again).intent.attempt());
  }

  void snapshot_restores_the_state() {
    open("p", 3);
    open("p.a");
    begin(make_request("p", 1, "one"));
    settle("p", 1, wire::RAN_YES);
    begin(make_request("p.a", 1, "two"));
    program_table copy;
    for (const char* id : {"p", "p.a"}) {
      copy.apply(program_table::snapshot(*programs_.find(id), 0));
    }
    for (const char* id : {"p", "p.a"}) {
      const program_state& original = *programs_.find(id);
      const program_state& restored = *copy.find(id);
      CPPUNIT_ASSERT_EQUAL(original.used_tokens, restored.used_tokens);
      CPPUNIT_ASSERT_EQUAL(original.used_calls, restored.used_calls);
      CPPUNIT_ASSERT_EQUAL(original.reserved_tokens, restored.reserved_tokens);
      CPPUNIT_ASSERT_EQUAL(original.reserved_calls, restored.reserved_calls);
      CPPUNIT_ASSERT_EQUAL(original.context_tokens, restored.context_tokens);
      CPPUNIT_ASSERT_EQUAL(original.turns.size(), restored.turns.size());
    }
  }

  void calls_after_the_deadline_are_refused() {
    wire::ProgramSpec spec = make_spec("p");
    spec.set_opened_at_ms(1000);
    spec.set_deadline_ms(500);
    open(spec);
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p", 1, "x"), 1400));
    CPPUNIT_ASSERT_EQUAL(1306, refusal(make_request("p", 1, "x"), 1600));
  }

  void call_that_ended_three_processes_is_refused() {
    open("p");
    begin(make_request("p", 1, "x"));
    settle("p", 1, wire::RAN_NO, 2);
    const wire::CallIntent again = begin(make_request("p", 1, "x"));
    CPPUNIT_ASSERT_EQUAL(2U, again.ended_processes());
    settle("p", 1, wire::RAN_UNKNOWN, 3);
    CPPUNIT_ASSERT_EQUAL(1409, refusal(make_request("p", 2, "x")));
    wire::Record taken_over = program_table::snapshot(*programs_.find("p"), 1);
    programs_.apply(taken_over);
    CPPUNIT_ASSERT_EQUAL(1409, refusal(make_request("p", 2, "x")));
  }

  void another_content_or_a_success_is_not_refused() {
    open("p");
    begin(make_request("p", 1, "x"));
    settle("p", 1, wire::RAN_NO, 3);
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p", 1, "y")));
    begin(make_request("p", 1, "y"));
    settle("p", 1, wire::RAN_YES);
    CPPUNIT_ASSERT_EQUAL(0, refusal(make_request("p", 2, "x")));
  }

 private:
  static call_settings settings() {
    call_settings made;
    made.service = "assistant";
    made.max_tokens = 50;
    return made;
  }

  static wire::CallRequest other_key(wire::CallRequest request) {
    request.set_idempotency_key("other");
    return request;
  }

  void open(const wire::ProgramSpec& spec) {
    wire::Record record;
    *record.mutable_opened() = spec;
    programs_.apply(record);
  }
  void open(const std::string& id, std::uint64_t calls = 100,
            std::uint64_t tokens = 100000) {
    open(make_spec(id, calls, tokens));
  }

  wire::CallIntent begin(const wire::CallRequest& request) {
    const call_decision decision = programs_.admit(request, settings(), 0);
    CPPUNIT_ASSERT(std::holds_alternative<start_call>(decision));
    wire::CallIntent intent = std::get<start_call>(decision).intent;
    intent.set_attempt(1);
    apply_intent(intent);
    return intent;
  }

  void apply_intent(const wire::CallIntent& intent) {
    wire::Record record;
    *record.mutable_intent() = intent;
    programs_.apply(record);
  }

  void settle(const std::string& program, std::uint64_t sequence, wire::Ran ran,
              std::uint32_t ended_processes = 0) {
    wire::Record record;
    wire::CallOutcome& outcome = *record.mutable_outcome();
    outcome.set_program(program);
    outcome.set_sequence(sequence);
    outcome.set_ran(ran);
    outcome.set_ended_processes(ended_processes);
    outcome.set_answer("answer");
    outcome.mutable_usage()->set_prompt_tokens(20);
    outcome.mutable_usage()->set_completion_tokens(10);
    programs_.apply(record);
  }

  int refusal(const wire::CallRequest& request, std::uint64_t now = 0) {
    const call_decision decision = programs_.admit(request, settings(), now);
    const auto* refused = std::get_if<refuse_call>(&decision);
    return refused == nullptr ? 0 : static_cast<int>(refused->failure.code());
  }

  program_table programs_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_table_test);

}  // namespace
}  // namespace trayrock::testing
