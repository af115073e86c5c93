// Tests the decision on what a gateway buffers for slow readers.
#include "trayrock/internal/decide/buffer_budget.h"

#include <algorithm>
#include <deque>

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t mb = 1U << 20;
// Pauses above 22 MB to settle at 27.5 MB, refuses above 33 MB, ends above 44.
constexpr std::uint64_t memory = 88 * mb;
constexpr std::uint64_t read_bytes = 4096;  // libevent's read from a socket

std::vector<std::uint64_t> paused_in(const buffer_actions& actions) {
  std::vector<std::uint64_t> made;
  for (const buffer_action& each : actions) {
    if (const auto* is = std::get_if<pause_reading>(&each)) {
      made.push_back(is->holder);
    }
  }
  return made;
}

std::vector<std::uint64_t> resumed_in(const buffer_actions& actions) {
  std::vector<std::uint64_t> made;
  for (const buffer_action& each : actions) {
    if (const auto* is = std::get_if<resume_reading>(&each)) {
      made.push_back(is->holder);
    }
  }
  std::sort(made.begin(), made.end());
  return made;
}

std::vector<std::uint64_t> ended_in(const buffer_actions& actions) {
  std::vector<std::uint64_t> made;
  for (const buffer_action& each : actions) {
    if (const auto* is = std::get_if<end_holder>(&each)) {
      made.push_back(is->holder);
    }
  }
  return made;
}

using holders = std::vector<std::uint64_t>;

class buffer_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(buffer_budget_test);
  CPPUNIT_TEST(nothing_is_limited_up_to_the_first_threshold);
  CPPUNIT_TEST(largest_holder_pauses_first);
  CPPUNIT_TEST(reading_resumes_when_the_client_has_read);
  CPPUNIT_TEST(all_resume_when_others_release_their_memory);
  CPPUNIT_TEST(client_that_reads_is_never_paused);
  CPPUNIT_TEST(stalled_clients_alone_cause_no_refusal);
  CPPUNIT_TEST(retained_bytes_cause_refusals);
  CPPUNIT_TEST(largest_holder_is_ended_above_the_third_threshold);
  CPPUNIT_TEST(ended_holder_counts_no_more);
  CPPUNIT_TEST(bytes_are_counted_exactly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against endpoints that cut off responses although there is room.
  void nothing_is_limited_up_to_the_first_threshold() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    CPPUNIT_ASSERT(budget.set_unread(1, 21 * mb).empty());
    CPPUNIT_ASSERT(budget.set_retained(2, mb).empty());
    CPPUNIT_ASSERT(!budget.refuses_new_requests());
  }

  // Guards against a pause of small holders while large ones go on.
  void largest_holder_pauses_first() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    CPPUNIT_ASSERT(budget.set_retained(9, 22 * mb).empty());
    CPPUNIT_ASSERT(budget.set_unread(1, mb / 2).empty());
    CPPUNIT_ASSERT(holders{2} == paused_in(budget.set_unread(2, 2 * mb)));
    // Less is left now, and the first one exceeds its share with its next byte.
    CPPUNIT_ASSERT(holders{1} == paused_in(budget.set_unread(1, mb / 2 + 1)));
    CPPUNIT_ASSERT(budget.set_unread(3, mb / 4).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, budget.paused());
  }

  void reading_resumes_when_the_client_has_read() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    budget.set_retained(9, 23 * mb);
    CPPUNIT_ASSERT(holders{1} == paused_in(budget.set_unread(1, 2 * mb)));
    CPPUNIT_ASSERT(budget.set_unread(1, mb / 2).empty());
    CPPUNIT_ASSERT(holders{1} == resumed_in(budget.set_unread(1, mb / 4)));
    CPPUNIT_ASSERT(!budget.is_paused(1));
  }

  // Guards against a pause that outlasts its cause: the client of a paused
  // exchange that never reads doesn't keep its endpoint from being read.
  void all_resume_when_others_release_their_memory() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    budget.set_retained(9, 22 * mb);
    budget.set_unread(1, 2 * mb);
    budget.set_unread(2, 2 * mb);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, budget.paused());
    CPPUNIT_ASSERT(budget.set_retained(9, 16 * mb).empty());
    CPPUNIT_ASSERT((holders{1, 2} == resumed_in(budget.remove(9))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.paused());
  }

  // Guards against a gateway full of stalled clients that slows down those that
  // read.
  void client_that_reads_is_never_paused() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    stall(budget, 300, 1 * mb);
    for (std::uint64_t i = 0; i < 1000; ++i) {
      const std::uint64_t unread = i % 5 * read_bytes;
      CPPUNIT_ASSERT(budget.set_unread(9999, unread).empty());
    }
  }

  // Guards against refusals for as long as stalled clients hold on.
  void stalled_clients_alone_cause_no_refusal() {
    for (const std::uint64_t clients : {1, 10, 100, 400, 800}) {
      buffer_budget budget(buffer_limits::of_memory(memory));
      stall(budget, clients, 64 * mb);
      TRAYROCK_CHECK(!budget.refuses_new_requests(),
                     clients << " clients hold " << budget.held());
      CPPUNIT_ASSERT_EQUAL(std::size_t{clients}, budget.paused());
    }
  }

  void retained_bytes_cause_refusals() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    budget.set_retained(1, 33 * mb);
    CPPUNIT_ASSERT(!budget.refuses_new_requests());
    CPPUNIT_ASSERT(budget.set_retained(2, 1).empty());
    CPPUNIT_ASSERT(budget.refuses_new_requests());
    budget.remove(2);
    CPPUNIT_ASSERT(!budget.refuses_new_requests());
  }

  void largest_holder_is_ended_above_the_third_threshold() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    budget.set_retained(1, 10 * mb);
    budget.set_retained(2, 20 * mb);
    CPPUNIT_ASSERT(ended_in(budget.set_retained(3, 14 * mb)).empty());
    CPPUNIT_ASSERT(holders{2} == ended_in(budget.set_retained(4, 1)));
    CPPUNIT_ASSERT_EQUAL(24 * mb + 1, budget.held());
    // One large step takes as many as needed.
    CPPUNIT_ASSERT((holders{5} == ended_in(budget.set_retained(5, 50 * mb))));
  }

  // Guards against a second count when a connection is closed after it was
  // ended, and against an ended one that is chosen again.
  void ended_holder_counts_no_more() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    CPPUNIT_ASSERT(holders{1} == ended_in(budget.set_unread(1, 45 * mb)));
    CPPUNIT_ASSERT(budget.set_unread(1, 46 * mb).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.held());
    budget.set_retained(2, mb);
    budget.remove(1);
    CPPUNIT_ASSERT_EQUAL(mb, budget.held());
    CPPUNIT_ASSERT(budget.remove(1).empty());
  }

  void bytes_are_counted_exactly() {
    buffer_budget budget(buffer_limits::of_memory(memory));
    budget.set_unread(1, 100);
    budget.set_retained(1, 20);
    budget.set_unread(2, 3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{123}, budget.held());
    budget.set_unread(1, 50);
    budget.set_retained(1, 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{53}, budget.held());
    budget.remove(1);
    budget.remove(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.held());
  }

 private:
  // Clients that read nothing: each one's response grows, by a read from the
  // endpoint at a time, until it is paused or complete.
  static void stall(buffer_budget& budget, std::uint64_t clients,
                    std::uint64_t response) {
    std::deque<std::pair<std::uint64_t, std::uint64_t>> growing;
    for (std::uint64_t i = 1; i <= clients; ++i) {
      growing.emplace_back(i, 0);
    }
    while (!growing.empty()) {
      auto [holder, bytes] = growing.front();
      growing.pop_front();
      bytes += read_bytes;
      CPPUNIT_ASSERT(ended_in(budget.set_unread(holder, bytes)).empty());
      if (bytes < response && !budget.is_paused(holder)) {
        growing.emplace_back(holder, bytes);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(buffer_budget_test);

}  // namespace
}  // namespace trayrock::testing
