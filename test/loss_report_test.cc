// What the loss report makes of the logs of gateways and stores.
#include "../src/ctl/loss_report.h"

#include <sstream>

#include "test_support.h"

namespace trayrock::testing {
namespace {

std::string done(const std::string& time, const std::string& outcome,
                 const std::string& more) {
  return R"({"time":"2026-01-02T)" + time +
         R"(","event":"request_done","route":"chat","outcome":")" + outcome +
         R"(",)" + more + "}\n";
}

class loss_report_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(loss_report_test);
  CPPUNIT_TEST(requests_are_grouped_by_window_and_outcome);
  CPPUNIT_TEST(time_is_told_by_stage);
  CPPUNIT_TEST(windows_go_on_over_midnight);
  CPPUNIT_TEST(unreadable_lines_are_counted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void requests_are_grouped_by_window_and_outcome() {
    const loss_report report = report_of(
        done("10:00:00.1", "answered", R"("status":"200","total_ms":"5")") +
        done("10:00:01.9", "answered", R"("status":"200","total_ms":"9")") +
        done("10:00:02.0", "runner failed", R"("status":"502")") +
        R"(3.1 box-1 {"time":"2026-01-02T10:00:03","event":"store_started"})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, report.groups().size());
    const auto& served = report.groups().at({0, "chat", "answered (200)"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, served.requests);
    CPPUNIT_ASSERT_EQUAL(9.0, served.longest_ms);
    CPPUNIT_ASSERT(
        report.groups().contains({1, "chat", "runner failed (502)"}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         report.events().at({1, "store_started"}));
  }

  void time_is_told_by_stage() {
    const loss_report report =
        report_of(done("10:00:00", "answered",
                       R"("status":"200","reserve_ms":"5","head_ms":"35",)"
                       R"("keep_ms":"10","total_ms":"145")"));
    const auto& stages = report.groups().begin()->second.stage_ms;
    CPPUNIT_ASSERT_EQUAL(5.0, stages[loss_report::stores]);
    CPPUNIT_ASSERT_EQUAL(30.0, stages[loss_report::endpoint]);
    CPPUNIT_ASSERT_EQUAL(100.0, stages[loss_report::answer]);
    CPPUNIT_ASSERT_EQUAL(10.0, stages[loss_report::keeping]);
  }

  void windows_go_on_over_midnight() {
    const loss_report report =
        report_of(done("23:59:59", "answered", R"("status":"200")") +
                  done("00:00:03", "answered", R"("status":"200")"));
    CPPUNIT_ASSERT(report.groups().contains({2, "chat", "answered (200)"}));
  }

  void unreadable_lines_are_counted() {
    const loss_report report = report_of(
        "no json\n{\"event\": 3}\n{\"event\":\"request_done\",\"time\":\"x\","
        "\"route\":7}\n{\n");
    CPPUNIT_ASSERT(report.unreadable() >= 4);
    CPPUNIT_ASSERT(report.groups().empty());
    std::ostringstream out;
    report.print(out);
    CPPUNIT_ASSERT(out.str().find("could not be read") != std::string::npos);
  }

 private:
  static loss_report report_of(const std::string& text) {
    std::istringstream log(text);
    loss_report made(std::chrono::seconds(2));
    made.read(log);
    return made;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(loss_report_test);

}  // namespace
}  // namespace trayrock::testing
