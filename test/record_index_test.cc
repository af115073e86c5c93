// Index of a record store: adding and reading of records.
#include "trayrock/internal/records/record_index.h"

#include <map>

#include "index_records.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

class record_index_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_index_test);
  CPPUNIT_TEST(record_is_added_once);
  CPPUNIT_TEST(chain_is_joined_from_the_oldest_turn);
  CPPUNIT_TEST(chain_with_a_gap_names_the_missing_turn);
  CPPUNIT_TEST(chain_over_the_limit_of_turns_is_not_complete);
  CPPUNIT_TEST(texts_are_read_from_the_disk_once_durable);
  CPPUNIT_TEST(record_from_the_disk_keeps_no_text_in_memory);
  CPPUNIT_TEST(turn_settles_its_reservation);
  CPPUNIT_TEST(reading_resumes_from_a_position);
  CPPUNIT_TEST(no_key_is_made_after_the_visitor_has_ended);
  CPPUNIT_TEST(usage_after_a_position_is_what_changed_since);
  CPPUNIT_TEST(whether_a_turn_is_stored_takes_one_read);
  CPPUNIT_TEST(last_endpoint_is_that_of_the_line);
  CPPUNIT_TEST(last_endpoint_of_an_unknown_line_is_that_of_the_program);
  CPPUNIT_TEST(settlement_without_an_endpoint_changes_no_last_endpoint);
  CPPUNIT_TEST(least_recently_used_line_of_many_is_forgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void last_endpoint_is_that_of_the_line() {
    index_.add(settlement("a", 0, 1, "e1"), 0);
    index_.add(settlement("b", 0, 2, "e2"), 0);
    index_.add(settlement("c", 0, 1, "e3"), 0);
    CPPUNIT_ASSERT_EQUAL(std::string_view("e3"),
                         index_.last_endpoint("p", 1).endpoint);
    CPPUNIT_ASSERT_EQUAL(std::string_view("e2"),
                         index_.last_endpoint("p", 2).endpoint);
    CPPUNIT_ASSERT_EQUAL(3U, index_.last_endpoint("p", 2).turns);
  }

  void last_endpoint_of_an_unknown_line_is_that_of_the_program() {
    index_.add(settlement("a", 0, 1, "e1"), 0);
    CPPUNIT_ASSERT_EQUAL(std::string_view("e1"),
                         index_.last_endpoint("p", 9).endpoint);
    CPPUNIT_ASSERT(!index_.last_endpoint("p", 9).of_line);
    CPPUNIT_ASSERT(index_.last_endpoint("p", 1).of_line);
    CPPUNIT_ASSERT(index_.last_endpoint("q", 1).endpoint.empty());
  }

  void settlement_without_an_endpoint_changes_no_last_endpoint() {
    index_.add(settlement("a", 0, 1, "e1"), 0);
    index_.add(settlement("b", 0, 1, ""), 0);
    CPPUNIT_ASSERT_EQUAL(std::string_view("e1"),
                         index_.last_endpoint("p", 1).endpoint);
    CPPUNIT_ASSERT_EQUAL(1U, index_.last_endpoint("p", 1).turns);
  }

  // Guards against a program that opens sessions for ever.
  void least_recently_used_line_of_many_is_forgotten() {
    constexpr std::uint64_t lines = 100;
    for (std::uint64_t line = 1; line <= lines; ++line) {
      index_.add(settlement("a" + std::to_string(line), 0, line, "e1"), 0);
    }
    CPPUNIT_ASSERT(index_.last_endpoint("p", lines).of_line);
    CPPUNIT_ASSERT(!index_.last_endpoint("p", 1).of_line);
  }

  void record_is_added_once() {
    CPPUNIT_ASSERT(index_.add(reservation("a", 10), 0));
    CPPUNIT_ASSERT(!index_.add(reservation("a", 99), 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, index_.usage("p")[0].reserved);
    CPPUNIT_ASSERT(!index_.add(records::Record(), 0));
  }

  void chain_is_joined_from_the_oldest_turn() {
    index_.add(turn("a", "", "one ", "1\n"), 0);
    index_.add(turn("b", "a", "two ", "2\n"), 0);
    const turn_chain chain = index_.chain("b");

    CPPUNIT_ASSERT(chain.found);
    CPPUNIT_ASSERT_EQUAL(std::string("one 1\ntwo 2\n"), chain.text);
    CPPUNIT_ASSERT_EQUAL(std::string(), chain.gap);
    CPPUNIT_ASSERT_EQUAL(std::string("endpoint of b"), chain.endpoint);
  }

  void chain_with_a_gap_names_the_missing_turn() {
    index_.add(turn("b", "a", "two ", "2\n"), 0);
    const turn_chain partial = index_.chain("b");
    const turn_chain missing = index_.chain("z");

    CPPUNIT_ASSERT(partial.found);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), partial.gap);
    CPPUNIT_ASSERT_EQUAL(std::string("two 2\n"), partial.text);
    CPPUNIT_ASSERT(!missing.found);
  }

  // Guards against prompts that lack their oldest turns.
  void chain_over_the_limit_of_turns_is_not_complete() {
    constexpr int turns = 5000;
    std::string previous;
    std::string text;
    for (int i = 0; i < turns; ++i) {
      const std::string attempt = "t" + std::to_string(i);
      index_.add(turn(attempt, previous, attempt + " ", "\n"), 0);
      text += attempt + " \n";
      previous = attempt;
    }
    const turn_chain newest = index_.chain(previous);
    TRAYROCK_CHECK(!newest.gap.empty(),
                   "expected the turn from which on the chain is missing, seen "
                   "a complete chain of "
                       << newest.text.size() << " bytes of " << text.size());
    const turn_chain oldest = index_.chain(newest.gap);
    CPPUNIT_ASSERT_EQUAL(std::string(), oldest.gap);
    CPPUNIT_ASSERT_EQUAL(text, oldest.text + newest.text);
  }

  void texts_are_read_from_the_disk_once_durable() {
    const records::Record record = turn("a", "", "one ", "1\n");
    index_.add(record, 0);
    CPPUNIT_ASSERT_EQUAL(std::string("one 1\n"), index_.chain("a").text);
    CPPUNIT_ASSERT_EQUAL(0, reads_);

    disk_[record_key(record)] = record;
    index_.durable(record_key(record));
    CPPUNIT_ASSERT_EQUAL(std::string("one 1\n"), index_.chain("a").text);
    CPPUNIT_ASSERT_EQUAL(1, reads_);
  }

  // Guards against copying the text of each record when a store starts.
  void record_from_the_disk_keeps_no_text_in_memory() {
    const records::Record record = turn("a", "", "one ", "1\n");
    disk_[record_key(record)] = record;
    CPPUNIT_ASSERT(index_.add_durable(record, 0));
    CPPUNIT_ASSERT(!index_.add_durable(record, 0));

    CPPUNIT_ASSERT_EQUAL(std::string("one 1\n"), index_.chain("a").text);
    CPPUNIT_ASSERT_EQUAL(1, reads_);
  }

  void turn_settles_its_reservation() {
    index_.add(reservation("a", 10), 0);
    index_.add(turn("a", "", "one ", "1\n"), 0);
    const turn_usage usage = index_.usage("p")[0];

    CPPUNIT_ASSERT(usage.settled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, usage.used);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, usage.reserved);
  }

  void reading_resumes_from_a_position() {
    index_.add(reservation("a", 10), 5);
    index_.add(reservation("b", 10), 6);
    const auto first = keys_after(index_, 0, 1);
    const auto rest = keys_after(index_, first[0].position, 10);

    CPPUNIT_ASSERT_EQUAL(record_key(reservation("a", 0)), first[0].key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rest.size());
    CPPUNIT_ASSERT_EQUAL(record_key(reservation("b", 0)), rest[0].key);
    CPPUNIT_ASSERT_EQUAL(index_.position(), rest[0].position);
    CPPUNIT_ASSERT(keys_after(index_, index_.position(), 10).empty());
  }

  // Guards against pulls that name all records for each few that they send.
  void no_key_is_made_after_the_visitor_has_ended() {
    index_.add(reservation("a", 10), 0);
    index_.add(reservation("b", 10), 0);
    index_.add(reservation("c", 10), 0);
    int visits = 0;
    index_.visit_after(
        0, [&](const record_index::numbered_key&) { return ++visits < 2; });

    CPPUNIT_ASSERT_EQUAL(2, visits);
  }

  void usage_after_a_position_is_what_changed_since() {
    index_.add(reservation("a", 10), 0);
    index_.add(reservation("b", 10), 0);
    const std::uint64_t known = index_.usage_position();
    CPPUNIT_ASSERT(index_.usage("p", known).empty());

    index_.add(settlement("a", 4, 0, ""), 0);
    index_.add(of_program("q", reservation("other", 10)), 0);
    const auto changed = index_.usage("p", known);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.size());
    CPPUNIT_ASSERT_EQUAL(bytes_of(id_of("a")), changed[0].attempt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, changed[0].used);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, index_.usage("p").size());
  }

  void whether_a_turn_is_stored_takes_one_read() {
    std::string previous;
    for (int i = 0; i < 100; ++i) {
      const std::string name = "t" + std::to_string(i);
      const records::Record record = turn(name, previous, "", "");
      disk_[record_key(record)] = record;
      index_.add_durable(record, 0);
      previous = name;
    }
    CPPUNIT_ASSERT(index_.chain(previous, 1).found);
    CPPUNIT_ASSERT_EQUAL(1, reads_);
  }

 private:
  std::map<std::string, records::Record> disk_;
  int reads_ = 0;
  record_index index_{[this](const std::string& key) {
    ++reads_;
    return std::optional<records::Record>(disk_.at(key));
  }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_index_test);

}  // namespace
}  // namespace trayrock::testing
