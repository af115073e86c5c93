// Durability of history while stores crash, lose their disks, are replaced or
// retire.
#include <csignal>

#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class record_stores_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_stores_test);
  CPPUNIT_TEST(history_survives_a_crash_of_all_processes);
  CPPUNIT_TEST(chain_is_read_from_stores_that_each_lack_a_turn);
  CPPUNIT_TEST(disks_are_lost_one_after_another);
  CPPUNIT_TEST(spare_replaces_a_stopped_store);
  CPPUNIT_TEST(spare_replaces_a_retired_store);
  CPPUNIT_TEST(group_shrinks_when_a_store_retires_without_a_spare);
  CPPUNIT_TEST(group_survives_lost_responses_of_the_platform);
  CPPUNIT_TEST(turn_without_a_quorum_is_rejected_and_does_not_run);
  CPPUNIT_TEST_SUITE_END();

 public:
  void history_survives_a_crash_of_all_processes() {
    service_deployment system;
    system.start_all();
    system.turn("gateway-1", "t1", "", "one ");
    for (const char* each : {"store-1", "store-2", "store-3", "gateway-1"}) {
      system.kill(each);
    }
    for (const char* each : {"store-1", "store-2", "store-3", "gateway-1"}) {
      system.start(each);
    }
    system.wait_ready("gateway-1");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t2", "t1").status);
    check_body(system, "t2", "one t1-1\nt1-2\nt1-3\n");
  }

  // Guards against a chain reported as missing when two voters each lack one of
  // its turns.
  void chain_is_read_from_stores_that_each_lack_a_turn() {
    service_options options;
    options.gateways = 3;
    service_deployment system(options);
    system.start_all();
    system.kill("store-1");
    CPPUNIT_ASSERT_EQUAL(200,
                         system.turn("gateway-1", "t1", "", "one ").status);
    system.start("store-1");
    wait_for_voters(system, 3);
    system.kill("store-2");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t2", "t1").status);
    system.start("store-2");
    // A gateway that has neither turn in its cache reads the chain.
    wait_until("the chain is read", [&] {
      return system.turn("gateway-3", next_attempt(), "t2", "three").status ==
             200;
    });
    const std::string body = system.body_of(last_attempt());
    TRAYROCK_CHECK(body.starts_with("one t1-1\nt1-2\nt1-3\n"),
                   "expected the whole chain, seen " << body);
  }

  void disks_are_lost_one_after_another() {
    service_deployment system;
    system.start_all();
    std::string before;
    for (int round = 1; round <= 3; ++round) {
      const std::string attempt = "t" + std::to_string(round);
      CPPUNIT_ASSERT_EQUAL(200,
                           turn_with_retries(system, attempt, before).status);
      before = attempt;
      const json group = system.group();
      const std::string lost = "store-" + std::to_string(round);
      system.replace_disk(lost);
      wait_until("a new voter in place of " + lost,
                 [&] { return system.group()["epoch"] > group["epoch"]; });
      system.wait_counting();
    }
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t4", "t3").status);
    const std::string body = system.body_of("t4");
    for (const char* part : {"t1-1", "t2-1", "t3-3"}) {
      TRAYROCK_CHECK(body.find(part) != std::string::npos,
                     "expected " << part << ", seen " << body);
    }
  }

  void spare_replaces_a_stopped_store() {
    service_deployment system;
    system.start_all();
    system.turn("gateway-1", "t1", "", "one ");
    system.kill("store-2");
    system.add_store("store-4");
    system.start("store-4");
    wait_until("store-4 votes", [&] { return is_voter(system, "store-4"); });
    CPPUNIT_ASSERT(!is_voter(system, "store-2"));
    system.wait_counting();
    system.kill("store-1");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t2", "t1").status);
  }

  void spare_replaces_a_retired_store() {
    service_deployment system;
    system.start_all();
    system.add_store("store-4");
    system.start("store-4");
    system.turn("gateway-1", "t1", "", "one ");
    system.put_object("retirements", "store-1", {{"durationS", 8}});
    wait_retired(system, "store-1");
    CPPUNIT_ASSERT(!is_voter(system, "store-1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, system.group()["voters"].size());
    system.kill("store-1");
    system.kill("store-2");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t2", "t1").status);
  }

  void group_shrinks_when_a_store_retires_without_a_spare() {
    service_deployment system;
    system.start_all();
    system.kill("store-3");
    system.turn("gateway-1", "t1", "", "one ");
    system.start("store-3");
    system.put_object("retirements", "store-1", {{"durationS", 8}});
    wait_retired(system, "store-1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, system.group()["voters"].size());
    system.kill("store-1");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t2", "t1").status);
    // store-3 missed the turn while it was down and must have read it since.
    system.kill("store-2");
    system.replace_disk("store-2");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t3", "t1").status);
  }

  void group_survives_lost_responses_of_the_platform() {
    service_deployment system;
    system.start_all();
    system.turn("gateway-1", "t1", "", "one ");
    system.platform_fault({{"lose_write_answers", 2}});
    const json group = system.group();
    system.replace_disk("store-1");
    wait_until("a new voter",
               [&] { return system.group()["epoch"] > group["epoch"]; });
    system.wait_counting();
    system.kill("store-2");
    CPPUNIT_ASSERT_EQUAL(200, turn_with_retries(system, "t2", "t1").status);
  }

  void turn_without_a_quorum_is_rejected_and_does_not_run() {
    service_deployment system;
    system.start_all();
    system.kill("store-1");
    system.kill("store-2");
    const http_answer response = system.turn("gateway-1", "t1", "", "one");

    CPPUNIT_ASSERT_EQUAL(503, response.status);
    TRAYROCK_CHECK(response.headers.contains("retry-after"),
                   "expected Retry-After, seen none");
    CPPUNIT_ASSERT_EQUAL(0, system.runs("t1"));
  }

 private:
  std::string next_attempt() { return "n" + std::to_string(++attempts_); }
  std::string last_attempt() const { return "n" + std::to_string(attempts_); }

  // Sends a turn and retries it while the response is 503: it has not run then.
  static http_answer turn_with_retries(service_deployment& system,
                                       const std::string& attempt,
                                       const std::string& previous) {
    http_answer response;
    wait_until("turn " + attempt + " is served or ends", [&] {
      response = system.turn("gateway-1", attempt, previous, "on ");
      return response.status != 503;
    });
    return response;
  }

  static void check_body(service_deployment& system, const std::string& attempt,
                         const std::string& begins) {
    const std::string body = system.body_of(attempt);
    TRAYROCK_CHECK(body.starts_with(begins),
                   "expected " << begins << ", seen " << body);
  }

  static bool is_voter(service_deployment& system, const std::string& box) {
    const json group = system.group();
    for (const json& each : group["voters"]) {
      if (each["box"] == box) {
        return true;
      }
    }
    return false;
  }

  static void wait_for_voters(service_deployment& system, std::size_t count) {
    wait_until("voters",
               [&] { return system.group()["voters"].size() == count; });
  }

  // Waits until every voter of the current group has read all required records.
  static void wait_retired(service_deployment& system, const std::string& box) {
    wait_until(box + " is retired", [&] {
      const json held = system.object("retirements", box);
      return held["status"].is_object() &&
             held["status"].value("phase", "") == "succeeded";
    });
  }

  int attempts_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_stores_test);

}  // namespace
}  // namespace trayrock::testing
