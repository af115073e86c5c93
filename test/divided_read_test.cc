// Parts of the records that an empty store reads from the voters.
#include "trayrock/internal/decide/divided_read.h"

#include <vector>

#include "test_support.h"
#include "trayrock/internal/records/record_index.h"

namespace trayrock::testing {
namespace {

const std::vector<std::string> voters{"voter-1", "voter-2", "voter-3"};

std::string key_of_turn(int number) {
  records::Record made;
  made.mutable_turn()->set_attempt("t" + std::to_string(number));
  return record_key(made);
}

class divided_read_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(divided_read_test);
  CPPUNIT_TEST(every_record_is_in_one_part);
  CPPUNIT_TEST(records_of_an_attempt_are_in_the_same_part);
  CPPUNIT_TEST(each_voter_sends_a_part_of_its_own);
  CPPUNIT_TEST(read_is_finished_once_every_part_has_ended);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_record_is_in_one_part() {
    constexpr int records = 1000;
    constexpr std::uint32_t parts = 3;
    for (int i = 0; i < records; ++i) {
      int found = 0;
      for (std::uint32_t part = 0; part < parts; ++part) {
        found += is_in_part(key_of_turn(i), {part, parts}) ? 1 : 0;
      }
      TRAYROCK_CHECK(found == 1, "turn " << i << " is in " << found
                                         << " parts, expected 1");
    }
  }

  void records_of_an_attempt_are_in_the_same_part() {
    records::Record reservation;
    reservation.mutable_reservation()->set_attempt("t1");
    for (std::uint32_t part = 0; part < 3; ++part) {
      CPPUNIT_ASSERT_EQUAL(is_in_part(key_of_turn(1), {part, 3}),
                           is_in_part(record_key(reservation), {part, 3}));
    }
  }

  void each_voter_sends_a_part_of_its_own() {
    divided_read read;
    read.begin(voters);
    CPPUNIT_ASSERT(read.part_of("voter-1") == read_part({0, 3}));
    CPPUNIT_ASSERT(read.part_of("voter-2") == read_part({1, 3}));
    CPPUNIT_ASSERT(read.part_of("voter-3") == read_part({2, 3}));
    CPPUNIT_ASSERT(!read.part_of("voter-4"));
  }

  void read_is_finished_once_every_part_has_ended() {
    divided_read read;
    read.begin(voters);
    for (const std::string& each : voters) {
      CPPUNIT_ASSERT(!read.is_finished());
      read.end_part(each);
    }
    CPPUNIT_ASSERT(read.is_finished());
    CPPUNIT_ASSERT(read.has_begun());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(divided_read_test);

}  // namespace
}  // namespace trayrock::testing
