// Choice of an engine for a turn whose client sends the whole conversation.
#include "trayrock/internal/decide/turn_placement.h"

#include <algorithm>
#include <map>
#include <vector>

#include "test_support.h"
#include "trayrock/internal/decide/endpoint_choice.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t now_ms = 100000;
constexpr int per_data_centre = 6;

endpoint_state_ptr engine(const std::string& id,
                          const std::string& data_centre) {
  auto made = std::make_shared<endpoint_state>();
  made->record.identity.id = id;
  made->record.capacity = 64;
  made->record.data_centre = data_centre;
  return made;
}

class turn_placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(turn_placement_test);
  CPPUNIT_TEST(turn_goes_to_the_engine_that_holds_its_prompt);
  CPPUNIT_TEST(turn_leaves_an_engine_that_is_slow);
  CPPUNIT_TEST(turn_stays_at_an_engine_that_is_a_little_slow);
  CPPUNIT_TEST(first_turn_goes_to_a_fast_engine);
  CPPUNIT_TEST(pace_expires);
  CPPUNIT_TEST(idle_engines_elsewhere_do_not_draw_turns_away);
  CPPUNIT_TEST(turn_leaves_an_engine_that_drains);
  CPPUNIT_TEST(gateways_agree_on_an_unknown_line);
  CPPUNIT_TEST(unknown_line_stays_in_the_data_centre);
  CPPUNIT_TEST(unknown_line_skips_an_engine_with_many_lines);
  CPPUNIT_TEST(first_turn_goes_to_an_engine_with_few_lines);
  CPPUNIT_TEST(removed_engine_moves_only_its_own_programs);
  CPPUNIT_TEST(record_of_the_previous_turn_comes_first);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (int i = 0; i < per_data_centre; ++i) {
      engines_.push_back(engine("n" + std::to_string(i), "north"));
      engines_.push_back(engine("s" + std::to_string(i), "south"));
    }
    criteria_.data_centre = "north";
    criteria_.turn.emplace();
    criteria_.turn->active_lines = [this](const endpoint_identity& at) {
      return lines_[at.id];
    };
  }

  void turn_goes_to_the_engine_that_holds_its_prompt() {
    criteria_.turn->held_by = {"s3"};
    by_id("s3")->in_flight = 2;
    CPPUNIT_ASSERT_EQUAL(std::string("s3 cached"), choose());
  }

  void turn_leaves_an_engine_that_is_slow() {
    for (const endpoint_state_ptr& each : engines_) {
      each->pace.record(each == by_id("n3") ? 100 : 20, now_ms);
    }
    criteria_.turn->held_by = {"n3"};
    CPPUNIT_ASSERT(!choose().starts_with("n3"));
  }

  // Guards against turns that leave their engine, whose cache holds the prompt,
  // for a difference of speed that costs less than the reading.
  void turn_stays_at_an_engine_that_is_a_little_slow() {
    for (const endpoint_state_ptr& each : engines_) {
      each->pace.record(each == by_id("n3") ? 35 : 20, now_ms);
    }
    criteria_.turn->held_by = {"n3"};
    CPPUNIT_ASSERT_EQUAL(std::string("n3 cached"), choose());
  }

  void first_turn_goes_to_a_fast_engine() {
    for (const endpoint_state_ptr& each : engines_) {
      each->pace.record(each == by_id("n2") ? 15 : 20, now_ms);
    }
    criteria_.turn->is_first = true;
    CPPUNIT_ASSERT_EQUAL(std::string("n2 load"), choose());
  }

  void pace_expires() {
    engine_pace pace;
    pace.record(100, now_ms);
    CPPUNIT_ASSERT_EQUAL(100.0, pace.event_gap_ms(now_ms + 5000));
    CPPUNIT_ASSERT_EQUAL(0.0, pace.event_gap_ms(now_ms + 5001));
    pace.record(20, now_ms + 5001);
    CPPUNIT_ASSERT_EQUAL(20.0, pace.event_gap_ms(now_ms + 5001));
  }

  // Guards against turns that leave an engine since engines of other data
  // centres have nothing to do.
  void idle_engines_elsewhere_do_not_draw_turns_away() {
    for (int i = 0; i < per_data_centre; ++i) {
      lines_["n" + std::to_string(i)] = 8;
    }
    criteria_.turn->held_by = {"n3"};
    lines_["n3"] = 12;
    CPPUNIT_ASSERT_EQUAL(std::string("n3 cached"), choose());
  }

  void turn_leaves_an_engine_that_drains() {
    criteria_.turn->held_by = {"n3"};
    by_id("n3")->record.draining = true;
    const std::string elsewhere = choose();
    CPPUNIT_ASSERT(!elsewhere.starts_with("n3"));
    CPPUNIT_ASSERT(elsewhere.ends_with(" hash"));
  }

  void gateways_agree_on_an_unknown_line() {
    for (std::uint64_t program = 0; program < 50; ++program) {
      criteria_.turn->program_hash =
          hash_of_program({std::to_string(program), ""});
      criteria_.draw = 1;
      by_id("n2")->in_flight = 0;
      const std::string one = choose();
      criteria_.draw = 77;
      by_id("n2")->in_flight = 3;
      CPPUNIT_ASSERT_EQUAL(one, choose());
    }
  }

  void unknown_line_stays_in_the_data_centre() {
    for (std::uint64_t program = 0; program < 50; ++program) {
      criteria_.turn->program_hash =
          hash_of_program({std::to_string(program), ""});
      CPPUNIT_ASSERT(choose().starts_with("n"));
    }
  }

  void unknown_line_skips_an_engine_with_many_lines() {
    const std::string usual = choose();
    lines_[usual.substr(0, 2)] = 20;
    CPPUNIT_ASSERT(choose() != usual);
    CPPUNIT_ASSERT(choose().ends_with(" hash"));
  }

  void first_turn_goes_to_an_engine_with_few_lines() {
    criteria_.turn->is_first = true;
    for (int i = 0; i < per_data_centre; ++i) {
      lines_["n" + std::to_string(i)] = i == 4 ? 1 : 2;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("n4 load"), choose());
  }

  void removed_engine_moves_only_its_own_programs() {
    constexpr std::uint64_t programs = 200;
    std::vector<std::string> before;
    for (std::uint64_t program = 0; program < programs; ++program) {
      criteria_.turn->program_hash =
          hash_of_program({std::to_string(program), ""});
      before.push_back(choose());
    }
    std::erase(engines_, by_id("n1"));
    for (std::uint64_t program = 0; program < programs; ++program) {
      criteria_.turn->program_hash =
          hash_of_program({std::to_string(program), ""});
      const std::string after = choose();
      CPPUNIT_ASSERT(before[program] == "n1 hash" || before[program] == after);
    }
  }

  void record_of_the_previous_turn_comes_first() {
    criteria_.preferred = {"n5"};
    criteria_.turn->held_by = {"n3"};
    CPPUNIT_ASSERT_EQUAL(std::string("n5 previous_turn"), choose());
  }

 private:
  std::string choose() {
    const endpoint_choice made =
        choose_endpoint(engines_, criteria_, choice_policy(), now_ms);
    CPPUNIT_ASSERT(made.endpoint != nullptr);
    return made.endpoint->record.identity.id + " " +
           std::string(text_of(made.reason));
  }

  endpoint_state_ptr by_id(std::string_view id) {
    const auto found = std::find_if(
        engines_.begin(), engines_.end(),
        [&](const auto& each) { return each->record.identity.id == id; });
    CPPUNIT_ASSERT(found != engines_.end());
    return *found;
  }

  std::vector<endpoint_state_ptr> engines_;
  std::map<std::string, std::uint32_t> lines_;
  endpoint_criteria criteria_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(turn_placement_test);

}  // namespace
}  // namespace trayrock::testing
