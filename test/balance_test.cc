// Checks that plans balance the number of shards per node.
#include "trayrock/internal/decide/balance.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

std::set<std::uint32_t> shards(std::uint32_t count) {
  std::set<std::uint32_t> made;
  for (std::uint32_t i = 0; i < count; ++i) {
    made.insert(i);
  }
  return made;
}

class balance_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(balance_test);
  CPPUNIT_TEST(one_plan_covers_all_receivers);
  CPPUNIT_TEST(leaving_node_hands_over_all_shards);
  CPPUNIT_TEST(balanced_nodes_keep_their_shards);
  CPPUNIT_TEST_SUITE_END();

 public:
  void one_plan_covers_all_receivers() {
    owned_counts owned{{"self", 64}};
    for (int i = 1; i < 64; ++i) {
      owned["n" + std::to_string(i)] = 0;
    }
    const auto plan = plan_balance("self", shards(64), owned, 64);
    std::set<std::string> receivers;
    for (const auto& [shard, node] : plan) {
      receivers.insert(node);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{63}, plan.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{63}, receivers.size());
  }

  void leaving_node_hands_over_all_shards() {
    const auto plan =
        plan_balance("self", shards(10), {{"a", 3}, {"b", 9}}, 22);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, plan.size());
  }

  void balanced_nodes_keep_their_shards() {
    CPPUNIT_ASSERT(
        plan_balance("self", shards(11), {{"self", 11}, {"a", 10}}, 21)
            .empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(balance_test);

}  // namespace
}  // namespace trayrock::testing
