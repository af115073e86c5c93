// Engine memory: no hold outlives its program, whatever dies.
#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class holds_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(holds_test);
  CPPUNIT_TEST(ended_programs_hold_nothing);
  CPPUNIT_TEST(holds_of_vanished_callers_go_with_the_deadline);
  CPPUNIT_TEST(holds_go_when_owner_and_node_die);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ended_programs_hold_nothing() {
    deployment system;
    system.start_all();
    std::vector<std::string> ids = call_some(system, 10, {});
    wait_holds(system, 10);
    for (const std::string& id : ids) {
      CPPUNIT_ASSERT_EQUAL(200, system.end("entry-1", id).status);
    }
    wait_holds(system, 0);
  }

  void holds_of_vanished_callers_go_with_the_deadline() {
    deployment system;
    system.start_all();
    call_some(system, 6, {{"deadline_ms", 2500}});
    wait_holds(system, 0);
  }

  void holds_go_when_owner_and_node_die() {
    deployment_options options;
    options.engines_check_fencing = true;
    deployment system(options);
    system.start_all();
    std::vector<std::string> ids = call_some(system, 12, {});
    system.kill("box-a");
    for (const std::string& id : ids) {
      wait_until("ended " + id,
                 [&] { return system.end("entry-2", id).status == 200; });
    }
    system.start("box-a");
    system.wait_ready("box-a");
    // Those of the killed node's engine age out (hold_ms).
    wait_holds(system, 0);
  }

 private:
  static std::vector<std::string> call_some(deployment& system, int count,
                                            const json& more) {
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
      json body = more.is_null() ? json::object() : more;
      body["program"] = "balance";
      ids.push_back(system.open("entry-1", body));
      CPPUNIT_ASSERT_EQUAL(
          200, system.call("entry-1", ids.back(), 1, "a", "text").status);
    }
    return ids;
  }

  static void wait_holds(deployment& system, int wanted) {
    int seen = -1;
    wait_until(
        "holds come to " + std::to_string(wanted),
        [&] {
          seen = 0;
          for (int i = 1; i <= 3; ++i) {
            seen +=
                system.counts("engine-" + std::to_string(i)).value("holds", 0);
          }
          return seen == wanted;
        },
        90);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds_test);

}  // namespace
}  // namespace trayrock::testing
