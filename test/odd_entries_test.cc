// Tests that entries of another writer among those that gateways and stores
// read, sent as raw text, neither end a process nor keep it from following what
// the platform lists: in lists and watches, at watching gateways, at their
// followers and at stores.
#include <algorithm>
#include <string>
#include <vector>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

using raw_part = service_deployment::raw_part;

constexpr int gateways = 4;
constexpr int stores = 3;
constexpr std::size_t very_deep = 50000;

std::string nested(std::size_t levels, char open, char close) {
  return std::string(levels, open) + std::string(levels, close);
}

// An object within an object, so many times.
std::string nested_objects(std::size_t levels) {
  std::string made;
  for (std::size_t i = 0; i < levels; ++i) {
    made += R"({"a":)";
  }
  return made + "1" + std::string(levels, '}');
}

// Some are no JSON, but each leaves it clear where the entry ends.
std::vector<std::string> odd_values() {
  std::vector<std::string> made{"-1",
                                "0.5",
                                "1e400",
                                "-1e400",
                                "1e308",
                                "2147483648",
                                "-1e-400",
                                "4294967296",
                                "true",
                                "null",
                                "[]",
                                "{}",
                                R"("")",
                                "NaN",
                                "0x10",
                                "9223372036854775808",
                                "01",
                                "18446744073709551616",
                                "99999999999999999999999999",
                                R"("\ud800")",
                                "\"\xff\"",
                                "\"\x01\""};
  for (const char* port :
       {"0", "65536", "65537", "99999", "4294967376", "18446744073709551696",
        "-80", "+80", "080", "8e1", "80 ", " 80", "x", ""}) {
    made.push_back(std::string(R"("127.0.0.1:)") + port + "\"");
  }
  for (const char* host :
       {"256.0.0.1", "127.0.0.1.1", "localhost", "[::1]", "", "127.0.0.1:80"}) {
    made.push_back("\"" + std::string(host) + ":80\"");
  }
  for (const std::size_t levels : {31U, 32U, 33U, 1000U}) {
    made.push_back(nested(levels, '[', ']'));
    made.push_back(nested_objects(levels));
  }
  made.push_back(std::string(400, '9'));
  return made;
}

// A sound entry of an endpoint with one field replaced, or one more field, or
// something else in its place. Nothing listens at its address.
std::vector<std::string> odd_specs(const std::string& address) {
  const json sound = service_deployment::endpoint_entry(address, "draining");
  std::vector<std::string> made;
  // The platform's lists have about a megabyte.
  made.push_back(nested(very_deep, '[', ']'));
  made.push_back(R"({"capacity":)" + nested(very_deep, '[', ']') + "}");
  made.push_back(nested_objects(very_deep));
  for (const std::string& value : odd_values()) {
    made.push_back(value);
    for (const char* field :
         {"address", "capacity", "coldLeftMs", "callSeq", "born", "other"}) {
      json entry = sound;
      entry[field] = "here";
      std::string text = entry.dump();
      text.replace(text.find("\"here\""), 6, value);
      made.push_back(text);
    }
  }
  return made;
}

std::string gateway(int number) { return "gateway-" + std::to_string(number); }
std::string store(int number) { return "store-" + std::to_string(number); }

class odd_entries_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(odd_entries_test);
  CPPUNIT_TEST(entries_among_endpoints_leave_all_processes_following);
  CPPUNIT_TEST(entries_among_gateways_and_groups_leave_all_processes_following);
  CPPUNIT_TEST(objects_that_are_no_objects_leave_all_processes_following);
  CPPUNIT_TEST_SUITE_END();

 public:
  void entries_among_endpoints_leave_all_processes_following() {
    service_deployment system(options());
    start(system);
    const std::vector<std::string> specs = odd_specs(dead_address());
    for (std::size_t i = 0; i < specs.size(); ++i) {
      system.put_raw("servers", "odd-" + std::to_string(i), specs[i]);
    }
    check(system, "changes");
    std::size_t refused = 0;
    for (int i = 1; i <= gateways; ++i) {
      refused += system.log_lines(gateway(i), R"("event":"endpoint_unusable")");
    }
    CPPUNIT_ASSERT(refused > 0);
    // A whole list with all of them, at processes that start.
    for (const char* each : {"gateway-1", "gateway-2", "store-1"}) {
      system.kill(each);
      system.start(each);
    }
    system.wait_ready("gateway-1");
    system.wait_ready("gateway-2");
    system.wait_counting();
    check(system, "lists");
    for (std::size_t i = 0; i < specs.size(); ++i) {
      system.remove_object("servers", "odd-" + std::to_string(i));
    }
    check(system, "removals");
  }

  void entries_among_gateways_and_groups_leave_all_processes_following() {
    service_deployment system(options());
    start(system);
    const std::vector<std::string> values = odd_values();
    for (const char* kind :
         {"trayrock-gateways", "trayrock-record-groups", "retirements"}) {
      for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string name = "odd-" + std::to_string(i);
        system.put_raw(kind, name, values[i]);
        system.put_raw(kind, name + "-address",
                       R"({"address":)" + values[i] + R"(,"voters":)" +
                           values[i] + R"(,"epoch":)" + values[i] +
                           R"(,"durationS":)" + values[i] + "}");
      }
    }
    check(system, "changes");
    for (const char* each : {"gateway-1", "store-1"}) {
      system.kill(each);
      system.start(each);
    }
    system.wait_ready("gateway-1");
    system.wait_counting();
    check(system, "lists");
  }

  void objects_that_are_no_objects_leave_all_processes_following() {
    service_deployment system(options());
    start(system);
    int number = 0;
    for (const std::string& value : whole_objects()) {
      system.put_raw("servers", "odd-" + std::to_string(++number), value,
                     raw_part::object);
    }
    check(system, "changes");
    system.kill("gateway-1");
    system.start("gateway-1");
    system.wait_ready("gateway-1");
    check(system, "lists");
  }

 private:
  static service_options options() {
    service_options made;
    made.gateways = gateways;
    made.gateways_together = true;
    made.stores = stores;
    return made;
  }

  static void start(service_deployment& system) {
    system.start_all();
    system.wait_counting();
    wait_until("two gateways watch, the others follow them", [&] {
      int watching = 0;
      for (int i = 1; i <= gateways; ++i) {
        watching += system.metric(gateway(i), "watches_platform") == 1 ? 1 : 0;
      }
      return watching == 2;
    });
  }

  // Values of JSON: others would leave no list at all.
  static std::vector<std::string> whole_objects() {
    std::vector<std::string> made{
        "7",
        "1e400",
        "null",
        "[]",
        "{}",
        R"("x")",
        R"({"metadata":1e400})",
        R"({"metadata":{"name":1e400,"revision":1}})",
        R"({"metadata":{"name":"x","revision":1e400}})",
        R"({"metadata":{"name":"x","revision":18446744073709551616}})"};
    for (const std::size_t levels :
         {std::size_t{33}, std::size_t{1000}, very_deep}) {
      made.push_back(nested(levels, '[', ']'));
      made.push_back(nested_objects(levels));
      made.push_back(R"({"metadata":)" + nested_objects(levels) + "}");
      made.push_back(R"({"metadata":{"name":"x","revision":1,"a":)" +
                     nested(levels, '[', ']') + R"(},"spec":null})");
    }
    return made;
  }

  static std::string dead_address() {
    return "127.0.0.1:" + std::to_string(free_ports(1).front());
  }

  // Every process runs, and follows changes of endpoints and configurations
  // that are made now.
  void check(service_deployment& system, const std::string& after) {
    ++checked_;
    const std::string prefix = "/new-" + std::to_string(checked_) + "/";
    const json route = {
        {"name", prefix}, {"host", "local"},        {"pathPrefix", prefix},
        {"type", "safe"}, {"timeoutMs", 3000},      {"sloMs", 1000},
        {"priority", 1},  {"service", "assistant"}, {"attempts", 2}};
    system.configure(static_cast<std::uint64_t>(checked_) * 2,
                     json::array({route}));
    for (int i = 1; i <= gateways; ++i) {
      wait_until(gateway(i) + " follows the configuration after " + after,
                 [&] { return ask(system, i, prefix).status == 200; });
    }
    check_drained(system, "runner-1", after);
    check_drained(system, "runner-2", after);
    for (int i = 1; i <= gateways; ++i) {
      CPPUNIT_ASSERT_MESSAGE(gateway(i), system.running(gateway(i)));
    }
    for (int i = 1; i <= stores; ++i) {
      CPPUNIT_ASSERT_MESSAGE(store(i), system.running(store(i)));
    }
    system.wait_counting();
    CPPUNIT_ASSERT_EQUAL(
        200, system.turn("gateway-1", "t" + std::to_string(checked_), "", "one")
                 .status);
  }

  http_answer ask(service_deployment& system, int number,
                  const std::string& prefix) {
    const std::string attempt = "a" + std::to_string(++asked_);
    return system.request(gateway(number), prefix + attempt, attempt);
  }

  // Every gateway stops using a runner that drains.
  void check_drained(service_deployment& system, const std::string& runner,
                     const std::string& after) {
    for (const std::string each : {"runner-1", "runner-2"}) {
      system.register_runner(each, each == runner ? "draining" : "ready");
    }
    for (int i = 1; i <= gateways; ++i) {
      std::string context = gateway(i);
      context.append(" stops using ").append(runner);
      context.append(" after ").append(after);
      wait_until(context, [&] { return avoids(system, i, runner); });
    }
  }

  // Whether ten requests are served, none of them by the runner.
  bool avoids(service_deployment& system, int number,
              const std::string& runner) {
    constexpr int tries = 10;
    const std::size_t before = system.counts(runner)["runs"].size();
    for (int i = 0; i < tries; ++i) {
      if (ask(system, number, "/safe/").status != 200) {
        return false;
      }
    }
    return system.counts(runner)["runs"].size() == before;
  }

  int checked_ = 0;
  int asked_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

}  // namespace
}  // namespace trayrock::testing
