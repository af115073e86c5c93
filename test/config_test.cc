// Checks that configuration reaches every process and never reverts, through
// outages, lost messages and concurrent changes.
#include <csignal>
#include <fstream>
#include <thread>

#include "deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class config_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_test);
  CPPUNIT_TEST(invalid_declaration_never_replaces_a_valid_one);
  CPPUNIT_TEST(concurrent_changes_of_operators_conflict);
  CPPUNIT_TEST(restart_during_an_outage_gets_configuration_from_peers);
  CPPUNIT_TEST(lost_write_responses_and_watch_events_do_not_stop_changes);
  CPPUNIT_TEST(generations_never_decrease_under_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void invalid_declaration_never_replaces_a_valid_one() {
    deployment system;
    system.start_all();
    const int before = generation(system, "entry-1");
    write_member(system, "caroni", R"({"max_programs": "many"})");
    std::string output;
    CPPUNIT_ASSERT_EQUAL(2, apply(system, {}, &output));
    TRAYROCK_CHECK(output.find("1604") != std::string::npos, output);

    // Stored without the tool, it is rejected and its status has the reason.
    put_raw(system, "c/config/Member/caroni",
            R"({"kind": "Member", "name": "caroni", "spec": {"max": 1}})");
    wait_until("the rejection is in the status", [&] {
      std::string status;
      get(system, "Member", &status);
      return status.find("REFUSED") != std::string::npos &&
             status.find("1603") != std::string::npos;
    });
    CPPUNIT_ASSERT_EQUAL(before, generation(system, "entry-1"));
    const std::string id = system.open("entry-1", {{"program", "balance"}});
    CPPUNIT_ASSERT_EQUAL(200, system.call("entry-1", id, 1, "a", "x").status);
  }

  void concurrent_changes_of_operators_conflict() {
    deployment system;
    system.start_all();
    write_member(system, "new", R"({"max_programs": 10})");
    std::string output;
    CPPUNIT_ASSERT_EQUAL(0, apply(system, {}, &output));
    write_member(system, "new", R"({"max_programs": 20})");
    CPPUNIT_ASSERT_EQUAL(
        0, apply(system, {"--state", "/dev/null", "--overwrite"}, &output));
    // This operator's state file predates the other's change.
    write_member(system, "new", R"({"max_programs": 30})");
    CPPUNIT_ASSERT_EQUAL(1, apply(system, {}, &output));
    TRAYROCK_CHECK(output.find("1608") != std::string::npos &&
                       output.find("yours:") != std::string::npos &&
                       output.find(":20") != std::string::npos,
                   output);
  }

  void restart_during_an_outage_gets_configuration_from_peers() {
    deployment system;
    system.start_all();
    const int before = generation(system, "entry-1");
    system.fault({{"outage", true}});
    system.kill("entry-1");
    system.kill("box-b");
    system.start("entry-1");
    system.start("box-b");
    system.wait_ready("entry-1");
    system.wait_ready("box-b");
    CPPUNIT_ASSERT(generation(system, "entry-1") >= before);
    CPPUNIT_ASSERT(generation(system, "box-b") >= before);
  }

  void lost_write_responses_and_watch_events_do_not_stop_changes() {
    deployment system;
    system.start_all();
    const int before = generation(system, "entry-1");
    system.fault({{"lose_put_answers", 6}, {"lose_watch_events", 6}});
    write_member(system, "late", R"({"max_programs": 10})");
    std::string output;
    CPPUNIT_ASSERT_EQUAL(0, apply(system, {}, &output));
    wait_for_generation(system, before + 1);
  }

  void generations_never_decrease_under_faults() {
    deployment system;
    system.start_all();
    std::map<std::string, int> last;
    const auto check_generations = [&] {
      for (const std::string& name : processes(system)) {
        const json status = system.status(name);
        const int now = status.value("generation", 0);
        if (now == 0) {
          continue;  // just started
        }
        TRAYROCK_CHECK(now >= last[name], name << " decreased from "
                                               << last[name] << " to " << now);
        last[name] = now;
      }
    };
    for (int round = 0; round < 6; ++round) {
      write_member(system, "m" + std::to_string(round),
                   R"({"max_programs": 10})");
      if (round == 2) {
        system.signal("box-a", SIGSTOP);
      }
      if (round == 3) {
        system.fault({{"lose_put_answers", 3}, {"stale_gets", 6}});
      }
      if (round == 4) {
        system.signal("box-a", SIGCONT);
      }
      std::string output;
      wait_until("applied", [&] { return apply(system, {}, &output) == 0; });
      if (round != 2 && round != 3) {
        wait_until("in effect everywhere", [&] {
          check_generations();
          return is_in_effect_everywhere(system);
        });
      }
    }
    check_generations();
  }

 private:
  static std::vector<std::string> processes(deployment& system) {
    std::vector<std::string> all = system.nodes();
    for (const std::string& entry : system.entries()) {
      all.push_back(entry);
    }
    return all;
  }

  static int generation(deployment& system, const std::string& process) {
    return system.status(process).value("generation", 0);
  }

  static void wait_for_generation(deployment& system, int expected) {
    wait_until("generation " + std::to_string(expected) + " everywhere", [&] {
      for (const std::string& name : processes(system)) {
        if (generation(system, name) < expected) {
          return false;
        }
      }
      return true;
    });
  }

  // True if all processes have the same generation and no declaration is
  // pending.
  static bool is_in_effect_everywhere(deployment& system) {
    std::string status;
    get(system, "Member", &status);
    if (status.find("pending") != std::string::npos) {
      return false;
    }
    const int first = generation(system, "entry-1");
    for (const std::string& name : processes(system)) {
      if (generation(system, name) != first) {
        return false;
      }
    }
    return true;
  }

  static void write_member(deployment& system, const std::string& name,
                           const std::string& spec) {
    std::ofstream(system.folder() + "/member.json")
        << R"({"kind": "Member", "name": ")" << name << R"(", "spec": )" << spec
        << "}";
  }

  static int apply(deployment& system, std::vector<std::string> more,
                   std::string* output) {
    std::vector<std::string> args{
        "apply", "--platform",
        "127.0.0.1:" + std::to_string(system.port("platform"))};
    if (more.empty()) {
      more = {"--state", system.folder() + "/state.json"};
    }
    args.insert(args.end(), more.begin(), more.end());
    args.push_back(system.folder() + "/member.json");
    return system.run_tool("trayrockctl", args, output);
  }

  static void get(deployment& system, const std::string& kind,
                  std::string* output) {
    system.run_tool(
        "trayrockctl",
        {"get", "--platform",
         "127.0.0.1:" + std::to_string(system.port("platform")), kind},
        output);
  }

  static void put_raw(deployment& system, const std::string& key,
                      const std::string& bytes) {
    const http_answer current =
        system.request("platform", "GET", "/v1/objects/" + key);
    CPPUNIT_ASSERT_EQUAL(
        200, system
                 .request("platform", "PUT",
                          "/v1/objects/" + key +
                              "?if_version=" + current.headers.at("x-version"),
                          bytes)
                 .status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_test);

}  // namespace
}  // namespace trayrock::testing
