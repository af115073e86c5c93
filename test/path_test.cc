// The whole path through real processes, without faults.
#include "deployment.h"
#include "test_support.h"
#include "trayrock/internal/replay/synthetic_answer.h"

namespace trayrock::testing {
namespace {

std::string expected_answer(const std::vector<std::string>& texts,
                            std::uint64_t tokens) {
  std::uint64_t digest = 0;
  std::string answer;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    if (i > 0) {
      digest = synthetic::fold_message(digest, "assistant", answer);
    }
    digest = synthetic::fold_message(digest, "user", texts[i]);
    answer = synthetic::whole_answer(digest, tokens);
  }
  return answer;
}

class path_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(path_test);
  CPPUNIT_TEST(requests_are_served_end_to_end);
  CPPUNIT_TEST_SUITE_END();

 public:
  void requests_are_served_end_to_end() {
    deployment system;
    system.start_all();
    calls_build_on_the_history(system);
    a_repeated_key_gets_the_same_answer(system);
    plain_services_are_called_once(system);
    chat_completions_extend_a_program(system);
    sub_programs_share_the_budget(system);
  }

 private:
  static void calls_build_on_the_history(deployment& system) {
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    const http_answer first = system.call("entry-1", id, 1, "a", "one");
    const http_answer second = system.call("entry-2", id, 2, "b", "two");

    TRAYROCK_CHECK(first.status == 200, first.status << " " << first.body);
    CPPUNIT_ASSERT_EQUAL(expected_answer({"one"}, 8),
                         first.parsed().value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(expected_answer({"one", "two"}, 8),
                         second.parsed().value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(200, system.end("entry-1", id).status);
    const http_answer late = system.call("entry-1", id, 3, "c", "three");
    CPPUNIT_ASSERT_EQUAL(1108, late.error_code());
  }

  static void a_repeated_key_gets_the_same_answer(deployment& system) {
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    const http_answer first = system.call("entry-1", id, 1, "k", "one");
    const http_answer again = system.call("entry-2", id, 1, "k", "one");
    const http_answer other = system.call("entry-2", id, 1, "k", "else");

    CPPUNIT_ASSERT_EQUAL(first.parsed().value("answer", ""),
                         again.parsed().value("answer", ""));
    CPPUNIT_ASSERT(again.parsed().value("replayed", false));
    CPPUNIT_ASSERT_EQUAL(1107, other.error_code());
  }

  static void plain_services_are_called_once(deployment& system) {
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    const http_answer posted =
        system.call("entry-1", id, 1, "t", "transfer", "core-banking");
    const http_answer again =
        system.call("entry-2", id, 1, "t", "transfer", "core-banking");

    CPPUNIT_ASSERT_EQUAL(synthetic::service_answer("transfer"),
                         posted.parsed().value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(posted.parsed().value("answer", ""),
                         again.parsed().value("answer", ""));
    CPPUNIT_ASSERT_EQUAL(1, system.counts("core").value("most", 0));
  }

  static void chat_completions_extend_a_program(deployment& system) {
    const std::map<std::string, std::string> member{
        {"X-Trayrock-Member", "batangas"}};
    json body{{"model", "assistant"},
              {"max_tokens", 8},
              {"messages", {{{"role", "user"}, {"content", "one"}}}}};
    const http_answer first = system.request(
        "entry-1", "POST", "/v1/chat/completions", body.dump(), member);
    CPPUNIT_ASSERT_EQUAL(200, first.status);
    const std::string program = first.headers.at("x-trayrock-program");
    const std::string answer =
        first.parsed()["choices"][0]["message"].value("content", "");
    CPPUNIT_ASSERT_EQUAL(expected_answer({"one"}, 8), answer);

    auto with_program = member;
    with_program["X-Trayrock-Program"] = program;
    body["messages"].push_back({{"role", "assistant"}, {"content", answer}});
    body["messages"].push_back({{"role", "user"}, {"content", "two"}});
    const http_answer second = system.request(
        "entry-2", "POST", "/v1/chat/completions", body.dump(), with_program);
    CPPUNIT_ASSERT_EQUAL(
        expected_answer({"one", "two"}, 8),
        second.parsed()["choices"][0]["message"].value("content", ""));

    body["messages"][1]["content"] = "not what was said";
    const http_answer conflict = system.request(
        "entry-2", "POST", "/v1/chat/completions", body.dump(), with_program);
    CPPUNIT_ASSERT_EQUAL(1105, conflict.error_code());
    CPPUNIT_ASSERT_EQUAL(std::string("no"), conflict.ran());
  }

  static void sub_programs_share_the_budget(deployment& system) {
    const std::string parent = system.open(
        "entry-1", {{"program", "balance"}, {"budget", {{"calls", 2}}}});
    const std::string child =
        system.open("entry-2", {{"program", "balance"}, {"parent", parent}});
    CPPUNIT_ASSERT_EQUAL(200,
                         system.call("entry-1", parent, 1, "a", "x").status);
    CPPUNIT_ASSERT_EQUAL(200,
                         system.call("entry-2", child, 1, "a", "x").status);
    const http_answer over = system.call("entry-1", parent, 2, "b", "y");
    CPPUNIT_ASSERT_EQUAL(1301, over.error_code());
    CPPUNIT_ASSERT_EQUAL(429, over.status);
    CPPUNIT_ASSERT_EQUAL(
        1301, system.call("entry-1", child, 2, "b", "y").error_code());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(path_test);

}  // namespace
}  // namespace trayrock::testing
