// Tests how many processes end under a call of the own interface that ends
// each engine, or each node, that runs it.
#include <csignal>
#include <thread>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int code_poison_request = 1409;
constexpr int boxes = 6;
constexpr int max_ended = 3;

deployment_options many_boxes() {
  deployment_options options;
  options.nodes = boxes;
  return options;
}

class poison_call_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poison_call_test);
  CPPUNIT_TEST(repeats_of_a_call_end_three_engines);
  CPPUNIT_TEST(call_that_ends_its_nodes_ends_three);
  CPPUNIT_TEST_SUITE_END();

 public:
  void repeats_of_a_call_end_three_engines() {
    deployment system(many_boxes());
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    http_answer answer;
    for (int repeat = 0; repeat < 4; ++repeat) {
      answer = system.call(repeat % 2 == 0 ? "entry-1" : "entry-2", id, 1,
                           "k" + std::to_string(repeat), "fatal");
    }
    const std::string other = system.open("entry-2", {{"program", "balance"}});
    const http_answer innocent =
        system.call("entry-2", other, 1, "k", "balance?");

    int ended = 0;
    for (int i = 1; i <= boxes; ++i) {
      ended += system.running("engine-" + std::to_string(i)) ? 0 : 1;
    }
    TRAYROCK_CHECK(ended <= max_ended,
                   "expected at most "
                       << max_ended << " engines to have ended, saw " << ended);
    CPPUNIT_ASSERT_EQUAL(code_poison_request, answer.error_code());
    CPPUNIT_ASSERT_EQUAL(200, innocent.status);
  }

  void call_that_ends_its_nodes_ends_three() {
    deployment system(many_boxes());
    system.start_all();
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    for (int i = 1; i <= boxes; ++i) {
      system.request("engine-" + std::to_string(i), "POST", "/fault",
                     json{{"slow_factor", 1000}}.dump());
    }
    std::atomic<bool> answered = false;
    http_answer answer;
    std::thread caller([&] {
      answer = system.call("entry-1", id, 1, "k", "balance?");
      answered = true;
    });
    int ended = 0;
    while (!answered) {
      const int at = running_engine(system);
      if (at > 0) {
        const std::string node = node_of(at);
        const int cancelled = cancelled_calls(system, at);
        system.kill(node);
        system.start(node);
        ++ended;
        // The next attempt may run at the same engine.
        wait_until("the engine has dropped the call", [&] {
          return answered || cancelled_calls(system, at) > cancelled;
        });
      }
    }
    caller.join();

    TRAYROCK_CHECK(ended <= max_ended,
                   "expected at most "
                       << max_ended << " nodes to have ended, saw " << ended);
    TRAYROCK_CHECK(answer.error_code() == code_poison_request,
                   "expected error " << code_poison_request << " after "
                                     << ended << " nodes had ended, got "
                                     << answer.status << ": " << answer.body);
  }

 private:
  static std::string node_of(int engine) {
    return std::string("box-") + static_cast<char>('a' + engine - 1);
  }

  static int cancelled_calls(deployment& system, int engine) {
    const json counts = system.counts("engine-" + std::to_string(engine));
    return counts.is_object() ? counts["cancelled"].get<int>() : 0;
  }

  // The number of the engine that runs a call; 0: none does.
  static int running_engine(deployment& system) {
    for (int i = 1; i <= boxes; ++i) {
      const json counts = system.counts("engine-" + std::to_string(i));
      if (counts.is_object() &&
          counts["running"].get<int>() + counts["queued"].get<int>() > 0) {
        return i;
      }
    }
    return 0;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_call_test);

}  // namespace
}  // namespace trayrock::testing
