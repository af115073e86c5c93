// One journal's writer: what is durable, what is sent, when it ends.
#include "trayrock/internal/decide/journal_writer.h"

#include "test_support.h"

namespace trayrock::testing {
namespace {

wire::CopyHolderNamed make_holder(const std::string& address) {
  wire::CopyHolderNamed holder;
  holder.set_node("holder");
  holder.set_start("s");
  holder.set_address(address);
  return holder;
}

class journal_writer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(journal_writer_test);
  CPPUNIT_TEST(waiting_records_share_one_segment);
  CPPUNIT_TEST(lost_answer_is_read_back_not_written_blindly);
  CPPUNIT_TEST(absent_segment_is_sent_again_with_the_same_bytes);
  CPPUNIT_TEST(holder_is_used_only_once_it_is_stored);
  CPPUNIT_TEST(former_holder_is_released_once_all_is_stored);
  CPPUNIT_TEST(sealed_journal_acknowledges_nothing_more);
  CPPUNIT_TEST_SUITE_END();

 public:
  void waiting_records_share_one_segment() {
    writer_.append(wire::Record(), 0);
    const auto first = only<put_segment>(writer_.poll(0));
    writer_.append(wire::Record(), 0);
    writer_.append(wire::Record(), 0);
    CPPUNIT_ASSERT(writer_.poll(0).empty());
    writer_.on_put_result(first.number, put_outcome::stored, 0);
    const auto second = only<put_segment>(writer_.poll(0));
    wire::Segment segment;
    segment.ParseFromString(second.bytes);
    CPPUNIT_ASSERT_EQUAL(2, segment.records_size());
  }

  void lost_answer_is_read_back_not_written_blindly() {
    writer_.append(wire::Record(), 0);
    const auto put = only<put_segment>(writer_.poll(0));
    writer_.on_put_result(put.number, put_outcome::uncertain, 0);
    CPPUNIT_ASSERT_EQUAL(put.number,
                         only<read_segment>(writer_.poll(1000)).number);
    wire::Segment own;
    own.ParseFromString(put.bytes);
    const auto ack =
        only<acknowledge>(writer_.on_read_result(put.number, own, 1000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ack.up_to);
  }

  void absent_segment_is_sent_again_with_the_same_bytes() {
    writer_.append(wire::Record(), 0);
    const auto put = only<put_segment>(writer_.poll(0));
    writer_.append(wire::Record(), 0);
    writer_.on_put_result(put.number, put_outcome::uncertain, 0);
    writer_.poll(1000);
    const auto again = only<put_segment>(
        writer_.on_read_result(put.number, std::nullopt, 1000));
    CPPUNIT_ASSERT(put.bytes == again.bytes);
  }

  void holder_is_used_only_once_it_is_stored() {
    writer_.set_holder(make_holder("h1"), 0);
    const auto put = only<put_segment>(writer_.poll(0));
    writer_.append(wire::Record(), 0);
    CPPUNIT_ASSERT(writer_.poll(50).empty());
    writer_.on_put_result(put.number, put_outcome::stored, 50);
    bool copied = false;
    for (const journal_action& each : writer_.poll(50)) {
      copied = copied || std::holds_alternative<send_copy>(each);
    }
    CPPUNIT_ASSERT(copied);
  }

  void former_holder_is_released_once_all_is_stored() {
    writer_.set_holder(make_holder("h1"), 0);
    store_all();
    writer_.append(wire::Record(), 0);
    writer_.set_holder(make_holder("h2"), 0);
    CPPUNIT_ASSERT_EQUAL(0, releases(writer_.poll(0)));
    CPPUNIT_ASSERT(writer_.has_former_holders());
    CPPUNIT_ASSERT_EQUAL(1, store_all());
    CPPUNIT_ASSERT(!writer_.has_former_holders());
  }

  void sealed_journal_acknowledges_nothing_more() {
    writer_.append(wire::Record(), 0);
    const auto put = only<put_segment>(writer_.poll(0));
    writer_.on_put_result(put.number, put_outcome::exists, 0);
    writer_.poll(0);
    wire::Segment seal;
    seal.set_writer("other");
    seal.mutable_seal()->set_by("other");
    only<step_down>(writer_.on_read_result(put.number, seal, 0));
    CPPUNIT_ASSERT(writer_.sealed());
    writer_.append(wire::Record(), 0);
    CPPUNIT_ASSERT(writer_.poll(1000).empty());
    CPPUNIT_ASSERT(writer_.on_copy_ack(2).empty());
  }

 private:
  template <typename action_type>
  static action_type only(const journal_actions& actions) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    const auto* held = std::get_if<action_type>(&actions.front());
    CPPUNIT_ASSERT(held != nullptr);
    return *held;
  }

  static int releases(const journal_actions& actions) {
    int count = 0;
    for (const journal_action& each : actions) {
      count += std::holds_alternative<release_copies>(each) ? 1 : 0;
    }
    return count;
  }

  // Answers every write until nothing waits; gives the releases seen.
  int store_all() {
    int seen = 0;
    for (int i = 0; i < 5; ++i) {
      const journal_actions actions = writer_.poll(0);
      seen += releases(actions);
      for (std::uint64_t number = 0; number < 10; ++number) {
        writer_.on_put_result(number, put_outcome::stored, 0);
      }
    }
    return seen;
  }

  journal_writer writer_{"n~s~0", journal_options{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(journal_writer_test);

}  // namespace
}  // namespace trayrock::testing
