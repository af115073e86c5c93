// Calls that may not be repeated: executed at most once, whatever fails, and
// exactly once whenever the answer says done.
#include <csignal>
#include <set>
#include <thread>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int code_unknown = 1402;

struct tally {
  int done = 0;
  int unknown = 0;
  int not_run = 0;
};

class at_most_once_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(at_most_once_test);
  CPPUNIT_TEST(cut_answer_is_unknown_and_never_run_again);
  CPPUNIT_TEST(service_that_dies_after_executing_is_not_asked_again);
  CPPUNIT_TEST(hung_tool_times_out_with_its_outcome_said);
  CPPUNIT_TEST(refused_call_never_runs_later);
  CPPUNIT_TEST(owner_killed_while_the_call_runs);
  CPPUNIT_TEST(runners_node_restarted_twice_during_one_call);
  CPPUNIT_TEST(entry_killed_and_the_call_repeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void cut_answer_is_unknown_and_never_run_again() {
    deployment system;
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    set_fault(system, {{"cut_answers", 1}});
    const http_answer first = post(system, "entry-1", id, 1);
    const http_answer again = post(system, "entry-2", id, 1);
    const http_answer next = post(system, "entry-2", id, 2);

    CPPUNIT_ASSERT_EQUAL(code_unknown, first.error_code());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), first.ran());
    CPPUNIT_ASSERT_EQUAL(code_unknown, again.error_code());
    CPPUNIT_ASSERT_EQUAL(200, next.status);
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 1));
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 2));
  }

  void service_that_dies_after_executing_is_not_asked_again() {
    deployment system;
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    set_fault(system, {{"die_after_execute", 1}});
    const http_answer first = post(system, "entry-1", id, 1);
    system.wait_end("core");
    const http_answer down = post(system, "entry-1", id, 2);
    system.start("core");
    wait_until("the service answers",
               [&] { return system.counts("core").is_object(); });
    const http_answer up = post(system, "entry-1", id, 2);

    CPPUNIT_ASSERT_EQUAL(code_unknown, first.error_code());
    CPPUNIT_ASSERT_EQUAL(std::string("no"), down.ran());
    TRAYROCK_CHECK(!down.headers.at("retry-after").empty(),
                   "expected Retry-After, seen none: " << down.body);
    CPPUNIT_ASSERT_EQUAL(200, up.status);
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 1));
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 2));
  }

  void hung_tool_times_out_with_its_outcome_said() {
    deployment_options options;
    options.call_timeout_ms = 700;
    deployment system(options);
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    set_fault(system, {{"hang_next", 1}});
    const http_answer answer = post(system, "entry-1", id, 1);

    CPPUNIT_ASSERT_EQUAL(1403, answer.error_code());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer.ran());
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 1));
  }

  void refused_call_never_runs_later() {
    deployment system;
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    system.kill("core");
    const http_answer refused = post(system, "entry-1", id, 1);
    system.start("core");
    wait_until("the service answers",
               [&] { return system.counts("core").is_object(); });
    std::this_thread::sleep_for(std::chrono::seconds(1));

    CPPUNIT_ASSERT_EQUAL(std::string("no"), refused.ran());
    CPPUNIT_ASSERT_EQUAL(0, executions(system, id, 1));
  }

  void owner_killed_while_the_call_runs() {
    deployment_options options;
    options.plain_nodes = {"box-c"};
    deployment system(options);
    system.start_all();
    const std::string id = open_owned_elsewhere(system, "box-c");
    set_fault(system, {{"late_ms", 1500}});
    http_answer answer;
    std::thread caller([&] { answer = post(system, "entry-1", id, 1); });
    wait_until("the call executes",
               [&] { return executions(system, id, 1) == 1; });
    system.kill(system.owner_of(id));
    caller.join();

    TRAYROCK_CHECK(answer.status == 200,
                   "expected done, seen " << answer.status << answer.body);
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 1));
  }

  void runners_node_restarted_twice_during_one_call() {
    deployment_options options;
    options.plain_nodes = {"box-c"};
    deployment system(options);
    system.start_all();
    const std::string id = open_owned_elsewhere(system, "box-c");
    set_fault(system, {{"late_ms", 20000}});
    http_answer answer;
    std::thread caller([&] { answer = post(system, "entry-1", id, 1); });
    wait_until("the call executes",
               [&] { return executions(system, id, 1) == 1; });
    system.kill("box-c");
    system.start("box-c");
    system.wait_ready("box-c");
    system.kill("box-c");
    system.start("box-c");
    caller.join();

    CPPUNIT_ASSERT_EQUAL(code_unknown, answer.error_code());
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 1));
  }

  void entry_killed_and_the_call_repeated() {
    deployment system;
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    set_fault(system, {{"late_ms", 1000}});
    http_answer lost;
    std::thread caller([&] { lost = post(system, "entry-1", id, 1); });
    wait_until("the call executes",
               [&] { return executions(system, id, 1) == 1; });
    system.kill("entry-1");
    caller.join();
    const http_answer again = post(system, "entry-2", id, 1);

    CPPUNIT_ASSERT_EQUAL(0, lost.status);
    CPPUNIT_ASSERT_EQUAL(200, again.status);
    CPPUNIT_ASSERT_EQUAL(1, executions(system, id, 1));
  }

 private:
  static http_answer post(deployment& system, const std::string& entry,
                          const std::string& id, std::uint64_t sequence) {
    return system.call(entry, id, sequence, "t" + std::to_string(sequence),
                       "transfer " + std::to_string(sequence), "core-banking");
  }

  static void set_fault(deployment& system, const json& switches) {
    CPPUNIT_ASSERT_EQUAL(
        200, system.request("core", "POST", "/fault", switches.dump()).status);
  }

  static int executions(deployment& system, const std::string& id,
                        int sequence) {
    const json counts = system.counts("core");
    return counts.is_object() ? counts["executions"].value(
                                    id + "/" + std::to_string(sequence), 0)
                              : 0;
  }

  static std::string open_owned_elsewhere(deployment& system,
                                          const std::string& node) {
    std::string id;
    wait_until("a program of another owner", [&] {
      id = system.open("entry-1", {{"program", "balance"}});
      return system.owner_of(id) != node;
    });
    return id;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(at_most_once_test);

}  // namespace
}  // namespace trayrock::testing
