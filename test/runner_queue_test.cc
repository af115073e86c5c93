// What starts next at a runner, and what is refused.
#include "trayrock/internal/decide/runner_queue.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

queued_request make_request(const std::string& program,
                            std::uint64_t attained = 0,
                            const std::string& work_class = "normal",
                            std::uint64_t arrived_ms = 0) {
  return {{program, 1, 1}, work_class, attained, 10000, arrived_ms};
}

class runner_queue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(runner_queue_test);
  CPPUNIT_TEST(least_attained_starts_first);
  CPPUNIT_TEST(waiting_outweighs_attained_service);
  CPPUNIT_TEST(urgent_comes_first_and_batch_takes_the_gaps);
  CPPUNIT_TEST(arrival_order_is_kept_by_the_baseline);
  CPPUNIT_TEST(refuses_at_once_with_the_expected_wait);
  CPPUNIT_TEST_SUITE_END();

 public:
  void least_attained_starts_first() {
    runner_queue queue({1, 100}, attained_order{});
    queue.offer(make_request("long", 9000));
    queue.offer(make_request("short", 10));
    CPPUNIT_ASSERT_EQUAL(std::string("short"), start(queue, 0));
  }

  void waiting_outweighs_attained_service() {
    runner_queue queue({1, 100}, attained_order{});
    queue.offer(make_request("long", 9000, "normal", 0));
    queue.offer(make_request("short", 10, "normal", 60000));
    CPPUNIT_ASSERT_EQUAL(std::string("long"), start(queue, 60000));
  }

  void urgent_comes_first_and_batch_takes_the_gaps() {
    runner_queue queue({3, 100}, attained_order{});
    queue.offer(make_request("batch", 0, "batch"));
    queue.offer(make_request("normal", 500, "normal"));
    queue.offer(make_request("urgent", 20000, "urgent"));
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), start(queue, 0));
    CPPUNIT_ASSERT_EQUAL(std::string("normal"), start(queue, 0));
    CPPUNIT_ASSERT_EQUAL(std::string("batch"), start(queue, 0));
  }

  void arrival_order_is_kept_by_the_baseline() {
    runner_queue queue({2, 100}, arrival_order{});
    queue.offer(make_request("first", 9000, "normal", 1));
    queue.offer(make_request("second", 0, "urgent", 2));
    CPPUNIT_ASSERT_EQUAL(std::string("first"), start(queue, 5));
  }

  void refuses_at_once_with_the_expected_wait() {
    runner_queue queue({1, 1}, attained_order{});
    queue.offer(make_request("a"));
    start(queue, 0);
    queue.on_finished(2000);
    queue.offer(make_request("b"));
    start(queue, 0);
    queued_request hasty = make_request("c");
    hasty.wait_limit_ms = 1000;
    const auto too_long = queue.offer(hasty);
    CPPUNIT_ASSERT(too_long.has_value() && !too_long->full);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, too_long->expected_wait_ms);
    queue.offer(make_request("d"));
    const auto full = queue.offer(make_request("e"));
    CPPUNIT_ASSERT(full.has_value() && full->full);
  }

 private:
  static std::string start(runner_queue& queue, std::uint64_t now_ms) {
    const auto next = queue.start_next(now_ms);
    return next ? next->key.program : "";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_queue_test);

}  // namespace
}  // namespace trayrock::testing
