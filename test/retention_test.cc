// Conversations and programs that last several times as long as the retention
// of their turns, over gateways, restarts and lost disks.
#include <chrono>
#include <thread>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::steady_clock;

// A turn is kept for 5 s, and its record for 8 s by its own age: with the
// time limit of a turn that continues it, and the stores' margin.
constexpr int retention_s = 5;
// Longer than the record of the first turn lasts by its own age, with the time
// between two checks.
constexpr std::chrono::seconds conversation_time{18};
constexpr std::chrono::milliseconds pause{800};

service_options short_retention() {
  service_options options;
  options.retention_s = retention_s;
  options.expiry_margin_s = 1;
  options.timeout_ms = 2000;
  return options;
}

// One line of turns, each going on from the one before it.
class conversation {
 public:
  conversation(service_deployment& system, std::string name)
      : system_(system), name_(std::move(name)) {}

  // Takes one turn, with further attempts while it is refused.
  int take_turn(const std::string& gateway) {
    const std::string attempt = name_ + "-" + std::to_string(++turns_);
    const std::string input = "input of " + attempt + " ";
    int status = 0;
    wait_until(attempt + " is served or ends", [&] {
      status = request(gateway, attempt, previous_, input).status;
      return status != 503;
    });
    if (status == 200) {
      expected_ +=
          input + attempt + "-1\n" + attempt + "-2\n" + attempt + "-3\n";
      previous_ = attempt;
    }
    return status;
  }

  // Takes turns for so long.
  void converse(const std::string& gateway, steady_clock::duration time) {
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      const int status = take_turn(gateway);
      TRAYROCK_CHECK(status == 200, "turn " << turns_ << " of " << name_
                                            << ": expected 200, seen "
                                            << status);
      std::this_thread::sleep_for(pause);
    }
  }

  http_answer request(const std::string& gateway, const std::string& attempt,
                      const std::string& previous, const std::string& input,
                      std::uint64_t budget = 1000000) {
    std::map<std::string, std::string> headers{
        {"Trayrock-Program-Id", "program of " + name_},
        {"Trayrock-Session-Id", "session of " + name_},
        {"Trayrock-Token-Budget", std::to_string(budget)},
        {"Trayrock-Token-Usage", "100,10"}};
    if (!previous.empty()) {
      headers["Trayrock-Previous-Turn"] = previous;
    }
    return system_.request(gateway, "/stream/a", attempt, headers, input);
  }

  const std::string& newest_turn() const { return previous_; }
  int turns() const { return turns_; }

  // The inputs and outputs of all turns so far.
  const std::string& text() const { return expected_; }

 private:
  service_deployment& system_;
  std::string name_;
  int turns_ = 0;
  std::string previous_;
  std::string expected_;
};

class retention_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retention_test);
  CPPUNIT_TEST(conversation_continues_at_another_gateway);
  CPPUNIT_TEST(conversation_continues_after_restarts_of_all_processes);
  CPPUNIT_TEST(conversation_continues_at_a_store_that_lost_its_disk);
  CPPUNIT_TEST(budget_lasts_as_long_as_its_program);
  CPPUNIT_TEST(ended_conversations_expire_beside_an_active_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against 404 for a turn of a conversation that is older than the
  // retention of its turns, at a gateway that has not served it.
  void conversation_continues_at_another_gateway() {
    service_deployment system(short_retention());
    system.start_all();
    conversation talk(system, "talk");
    talk.converse("gateway-1", conversation_time);
    // Two turns continue the same one.
    const http_answer branch = talk.request(
        "gateway-2", "branch", talk.newest_turn(), "input of the branch");
    const std::string before = talk.text();
    const int status = talk.take_turn("gateway-2");

    CPPUNIT_ASSERT_EQUAL(200, branch.status);
    CPPUNIT_ASSERT_EQUAL(200, status);
    CPPUNIT_ASSERT_EQUAL(before + "input of the branch",
                         system.body_of("branch"));
    check_body(system, before, talk);
  }

  void conversation_continues_after_restarts_of_all_processes() {
    service_deployment system(short_retention());
    system.start_all();
    conversation talk(system, "talk");
    for (const char* store : {"store-1", "store-2", "store-3"}) {
      talk.converse("gateway-1", conversation_time / 3);
      system.kill(store);
      talk.take_turn("gateway-1");
      system.start(store);
      system.wait_counting();
    }
    const std::string before = talk.text();
    for (const char* each : {"gateway-1", "store-1", "store-2", "store-3"}) {
      system.kill(each);
      system.start(each);
    }
    system.wait_ready("gateway-1");
    CPPUNIT_ASSERT_EQUAL(200, talk.take_turn("gateway-1"));
    check_body(system, before, talk);
  }

  // Guards against a store that joins without the old turns of a conversation.
  void conversation_continues_at_a_store_that_lost_its_disk() {
    service_deployment system(short_retention());
    system.start_all();
    conversation talk(system, "talk");
    talk.converse("gateway-1", conversation_time);
    const std::uint64_t epoch = system.group()["epoch"];
    system.replace_disk("store-1");
    wait_until("a new voter in place of store-1",
               [&] { return system.group()["epoch"] > epoch; });
    system.wait_counting();
    wait_until("store-1 has the turns", [&] {
      return system.metric("store-1", "records_held") >= talk.turns();
    });
    system.kill("store-2");
    const std::string before = talk.text();
    CPPUNIT_ASSERT_EQUAL(200, talk.take_turn("gateway-2"));
    check_body(system, before, talk);
  }

  // Guards against a program that may use its budget again while it lasts.
  void budget_lasts_as_long_as_its_program() {
    service_deployment system(short_retention());
    system.start_all();
    conversation talk(system, "talk");
    // Each turn uses 6 tokens, and 10 at most.
    constexpr int turns = 16;
    constexpr std::uint64_t budget = 6 * turns + 9;
    std::string previous;
    for (int i = 1; i <= turns + 1; ++i) {
      const std::string attempt = "a" + std::to_string(i);
      const std::string gateway = i % 2 == 0 ? "gateway-1" : "gateway-2";
      http_answer answer;
      wait_until(attempt + " is served or ends", [&] {
        answer = talk.request(gateway, attempt, previous, "on ", budget);
        return answer.status != 503;
      });
      const int expected = i <= turns ? 200 : 402;
      TRAYROCK_CHECK(answer.status == expected, "turn " << i << ": expected "
                                                        << expected << ", seen "
                                                        << answer.status);
      previous = attempt;
      std::this_thread::sleep_for(conversation_time / turns);
    }
  }

  // Guards against stores that grow with all conversations that ever were.
  void ended_conversations_expire_beside_an_active_one() {
    service_deployment system(short_retention());
    system.start_all();
    constexpr int ended = 60;
    for (int i = 0; i < ended; ++i) {
      conversation each(system, "ended-" + std::to_string(i));
      each.take_turn("gateway-1");
    }
    conversation talk(system, "talk");
    wait_until("the ended conversations are removed", [&] {
      talk.converse("gateway-1", std::chrono::seconds(1));
      for (const char* store : {"store-1", "store-2", "store-3"}) {
        // A turn of the active one has a turn's record and a reservation.
        if (system.metric(store, "records_held") > 2 * talk.turns()) {
          return false;
        }
      }
      return true;
    });
    const std::string before = talk.text();
    CPPUNIT_ASSERT_EQUAL(200, talk.take_turn("gateway-2"));
    check_body(system, before, talk);
  }

 private:
  // The newest turn ran with all turns before it.
  static void check_body(service_deployment& system, const std::string& before,
                         const conversation& talk) {
    const std::string body = system.body_of(talk.newest_turn());
    TRAYROCK_CHECK(body == before + "input of " + talk.newest_turn() + " ",
                   "expected " << before.size()
                               << " bytes of turns before it, seen: " << body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retention_test);

}  // namespace
}  // namespace trayrock::testing
