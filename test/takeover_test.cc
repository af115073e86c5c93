// Takeover of an owner that was killed, frozen or partitioned.
#include <csignal>
#include <thread>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class takeover_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(takeover_test);
  CPPUNIT_TEST(killed_owner_loses_nothing);
  CPPUNIT_TEST(stream_goes_on_when_its_owner_is_killed);
  CPPUNIT_TEST(paused_owner_that_wakes_owns_nothing);
  CPPUNIT_TEST(owner_killed_during_an_outage_loses_nothing);
  CPPUNIT_TEST(owner_and_platform_answers_lost_together);
  CPPUNIT_TEST_SUITE_END();

 public:
  void killed_owner_loses_nothing() {
    deployment system;
    system.start_all();
    std::vector<std::string> ids = open_some(system, 12);
    call_each(system, ids, 1);
    const std::string owner = system.owner_of(ids[0]);

    system.kill(owner);
    call_each(system, ids, 2);

    check_histories(system, ids, 2);
    // The same node comes back under another start and takes its part again.
    system.start(owner);
    system.wait_ready(owner);
    call_each(system, ids, 3);
    check_histories(system, ids, 3);
  }

  void stream_goes_on_when_its_owner_is_killed() {
    deployment_options options;
    options.engine_step_ms = 10;
    deployment system(options);
    system.start_all();
    // A program whose owner is not the node that runs the call.
    std::string id;
    std::string owner;
    http_answer answer;
    wait_until("a call runs on another node than its owner's", [&] {
      id = system.open("entry-1", {{"program", "loan-talk"}});
      owner = system.owner_of(id);
      answer = http_answer();
      std::thread caller([&] {
        answer = system.call("entry-1", id, 1, "long", "talk", "", 300);
      });
      bool elsewhere = false;
      wait_until("the call runs",
                 [&] { return executions(system) > 0 || answer.status != 0; });
      for (const std::string& node : system.nodes()) {
        elsewhere = elsewhere || (node != owner && running_on(system, node));
      }
      if (elsewhere) {
        system.kill(owner);
      }
      caller.join();
      return elsewhere;
    });

    TRAYROCK_CHECK(answer.status == 200, "expected the whole answer, seen "
                                             << answer.status << " "
                                             << answer.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1200},
                         answer.parsed().value("answer", "").size());
    CPPUNIT_ASSERT_EQUAL(1, answer.parsed().value("attempts", 0));
  }

  void paused_owner_that_wakes_owns_nothing() {
    deployment system;
    system.start_all();
    std::vector<std::string> ids = open_some(system, 12);
    call_each(system, ids, 1);
    const std::string owner = system.owner_of(ids[0]);

    system.signal(owner, SIGSTOP);
    call_each(system, ids, 2);
    system.signal(owner, SIGCONT);
    call_each(system, ids, 3);

    check_histories(system, ids, 3);
    wait_until("the paused owner has read the seal", [&] {
      return system.metric(owner, "journals_sealed_total") >= 1;
    });
    call_each(system, ids, 4);
    check_histories(system, ids, 4);
  }

  void owner_killed_during_an_outage_loses_nothing() {
    deployment system;
    system.start_all();
    std::vector<std::string> ids = open_some(system, 9);
    call_each(system, ids, 1);

    system.fault({{"outage", true}});
    call_each(system, ids, 2);
    const std::string owner = system.owner_of(ids[0]);
    system.kill(owner);
    system.fault({{"outage", false}});

    call_each(system, ids, 3);
    check_histories(system, ids, 3);
  }

  void owner_and_platform_answers_lost_together() {
    deployment system;
    system.start_all();
    std::vector<std::string> ids = open_some(system, 9);

    system.fault({{"lose_put_answers", 20}});
    call_each(system, ids, 1);
    const std::string owner = system.owner_of(ids[0]);
    system.kill(owner);
    system.fault({{"lose_put_answers", 10}});

    call_each(system, ids, 2);
    check_histories(system, ids, 2);
  }

 private:
  static std::vector<std::string> open_some(deployment& system, int count) {
    std::vector<std::string> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      ids.push_back(system.open("entry-1", {{"program", "balance"}}));
    }
    return ids;
  }

  // Calls as a patient caller does: what says "come back" is sent again.
  static void call_each(deployment& system, const std::vector<std::string>& ids,
                        std::uint64_t sequence) {
    for (const std::string& id : ids) {
      http_answer answer;
      wait_until("call " + std::to_string(sequence) + " of " + id, [&] {
        answer =
            system.call("entry-2", id, sequence, "k" + std::to_string(sequence),
                        "text " + std::to_string(sequence));
        return answer.status != 503 && answer.status != 0 &&
               answer.status != 502;
      });
      TRAYROCK_CHECK(answer.status == 200, "call " << sequence << " of " << id
                                                   << ": " << answer.body);
    }
  }

  static void check_histories(deployment& system,
                              const std::vector<std::string>& ids,
                              std::size_t calls) {
    for (const std::string& id : ids) {
      const json held = system
                            .request("entry-1", "GET", "/v1/programs/" + id, "",
                                     {{"X-Trayrock-Member", "caroni"}})
                            .parsed()
                            .value("history", json::array());
      CPPUNIT_ASSERT_EQUAL(2 * calls, held.size());
      for (std::size_t i = 0; i < calls; ++i) {
        CPPUNIT_ASSERT_EQUAL("text " + std::to_string(i + 1),
                             held[2 * i].value("content", ""));
      }
    }
  }

  static bool running_on(deployment& system, const std::string& node) {
    const char number = static_cast<char>('1' + (node.back() - 'a'));
    const json counts = system.counts(std::string("engine-") + number);
    return counts.value("running", 0) > 0;
  }

  static int executions(deployment& system) {
    int running = 0;
    for (const std::string& node : system.nodes()) {
      running += running_on(system, node) ? 1 : 0;
    }
    return running;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_test);

}  // namespace
}  // namespace trayrock::testing
