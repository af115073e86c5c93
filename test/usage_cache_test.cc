// Cache of what programs have used.
#include "trayrock/internal/records/usage_cache.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

class usage_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(usage_cache_test);
  CPPUNIT_TEST(usage_is_shared_by_the_operations_of_a_program);
  CPPUNIT_TEST(operation_that_ends_late_sets_no_position_back);
  CPPUNIT_TEST(positions_of_another_usage_are_not_taken_over);
  CPPUNIT_TEST(restarted_store_replaces_its_position);
  CPPUNIT_TEST(least_recently_used_programs_are_evicted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void usage_is_shared_by_the_operations_of_a_program() {
    known_usage first = cache_.find("p");
    first.usage->add({"a", 10, true, 4});
    cache_.put("p", first);
    cache_.find("p").usage->add({"b", 10, true, 5});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, cache_.find("p").usage->used());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cache_.find("q").usage->used());
  }

  void operation_that_ends_late_sets_no_position_back() {
    known_usage early = cache_.find("p");
    early.positions["store"] = {1, 5};
    cache_.put("p", early);
    known_usage late = cache_.find("p");
    late.positions["store"] = {1, 9};
    cache_.put("p", late);
    cache_.put("p", early);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, position());
  }

  // Guards against turns that are left out: they were added to a usage that is
  // no longer the cached one.
  void positions_of_another_usage_are_not_taken_over() {
    known_usage first = cache_.find("p");
    known_usage second = cache_.find("p");
    first.positions["store"] = {1, 9};
    cache_.put("p", first);
    second.positions["store"] = {1, 5};
    cache_.put("p", second);
    CPPUNIT_ASSERT(cache_.find("p").usage == second.usage);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, position());
  }

  void restarted_store_replaces_its_position() {
    known_usage known = cache_.find("p");
    known.positions["store"] = {1, 9};
    cache_.put("p", known);
    known.positions["store"] = {2, 3};
    cache_.put("p", known);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, position());
  }

  void least_recently_used_programs_are_evicted() {
    for (const char* program : {"p", "q", "r"}) {
      known_usage known = cache_.find(program);
      for (int i = 0; i < 40; ++i) {
        known.usage->add({std::to_string(i), 10, true, 1});
      }
      known.positions["store"] = {1, 1};
      cache_.put(program, known);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, cache_.turns());
    CPPUNIT_ASSERT(cache_.find("p").positions.empty());
    CPPUNIT_ASSERT(!cache_.find("r").positions.empty());
  }

 private:
  std::uint64_t position() {
    return cache_.find("p").positions.at("store").position;
  }

  usage_cache cache_{100};
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_cache_test);

}  // namespace
}  // namespace trayrock::testing
