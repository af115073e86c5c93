// Which voter an empty store reads in full.
#include "trayrock/internal/decide/read_source.h"

#include <set>
#include <vector>

#include "test_support.h"

namespace trayrock::testing {
namespace {

const std::vector<std::string> voters{"voter-1", "voter-2", "voter-3"};

records::Group group_with_learners(int count) {
  records::Group made;
  for (int i = 0; i < count; ++i) {
    made.add_learners()->set_id("learner-" + std::to_string(i));
  }
  return made;
}

class read_source_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(read_source_test);
  CPPUNIT_TEST(learners_read_different_voters);
  CPPUNIT_TEST(order_of_the_voters_does_not_matter);
  CPPUNIT_TEST(store_that_is_no_learner_reads_a_voter);
  CPPUNIT_TEST(no_voter_is_picked_if_none_can_be_read);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one voter that sends everything to all learners.
  void learners_read_different_voters() {
    const records::Group group = group_with_learners(3);
    std::set<std::string> picked;
    for (const records::Store& each : group.learners()) {
      picked.insert(pick_read_source(group, each.id(), voters));
    }

    CPPUNIT_ASSERT_EQUAL(voters.size(), picked.size());
  }

  void order_of_the_voters_does_not_matter() {
    const records::Group group = group_with_learners(1);
    const std::vector<std::string> reversed(voters.rbegin(), voters.rend());

    CPPUNIT_ASSERT_EQUAL(pick_read_source(group, "learner-0", voters),
                         pick_read_source(group, "learner-0", reversed));
  }

  void store_that_is_no_learner_reads_a_voter() {
    const std::string picked =
        pick_read_source(group_with_learners(1), "new-voter", voters);

    CPPUNIT_ASSERT(
        std::set<std::string>(voters.begin(), voters.end()).contains(picked));
  }

  void no_voter_is_picked_if_none_can_be_read() {
    CPPUNIT_ASSERT_EQUAL(std::string(), pick_read_source(group_with_learners(1),
                                                         "learner-0", {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(read_source_test);

}  // namespace
}  // namespace trayrock::testing
