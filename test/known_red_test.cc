// Which failing tests the run passes over.
#include "known_red.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

class known_red_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(known_red_test);
  CPPUNIT_TEST(only_the_named_test_is_known);
  CPPUNIT_TEST(empty_file_names_nothing);
  CPPUNIT_TEST(namespaces_are_no_part_of_a_name);
  CPPUNIT_TEST_SUITE_END();

 public:
  void only_the_named_test_is_known() {
    const known_red known = known_red::parse(
        "path_test::all_is_served | command | seen | issue 1\n");
    CPPUNIT_ASSERT(known.names("path_test::all_is_served"));
    CPPUNIT_ASSERT(!known.names("path_test::all"));
    CPPUNIT_ASSERT(!known.names("path_test"));
  }

  void empty_file_names_nothing() {
    const known_red known = known_red::parse("\n  \n");
    CPPUNIT_ASSERT(!known.names(""));
  }

  void namespaces_are_no_part_of_a_name() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("path_test::served"),
        short_name_of("trayrock::testing::(anonymous namespace)::path_test"
                      "::served"));
    CPPUNIT_ASSERT_EQUAL(std::string("served"), short_name_of("served"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(known_red_test);

}  // namespace
}  // namespace trayrock::testing
