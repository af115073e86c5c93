// Which records of a store's index expire, and which are kept since others
// depend on them.
#include <array>
#include <map>
#include <random>
#include <set>
#include <span>

#include "index_records.h"
#include "test_support.h"
#include "trayrock/internal/records/record_index.h"

namespace trayrock::testing {
namespace {

// A store that reads the keys of others from a position and copies what it
// lacks.
struct copying_store {
  record_index index{[](const std::string&) { return std::nullopt; }};
  std::map<const copying_store*, std::uint64_t> positions;

  void read(const copying_store& from, std::uint64_t now_ms) {
    std::uint64_t& position = positions[&from];
    from.index.visit_after(
        position, [&](const record_index::numbered_key& each) {
          const auto record = from.index.find(each.key);
          const auto active = from.index.program_active_ms(each.key);
          if (!index.has(each.key)) {
            index.add_copy(*record, now_ms, active.value_or(now_ms));
          }
          position = each.position;
          return true;
        });
  }

  void expire(std::uint64_t now_ms) {
    for (const std::string& key : index.expire(now_ms).to_settle) {
      const records::Turn made = index.find(key)->turn();
      index.add_copy(settlement(made.attempt(), made.tokens(), 0, ""), now_ms,
                     0);
    }
  }
};

void run_stores(std::span<copying_store> stores, std::uint64_t now_ms) {
  for (copying_store& each : stores) {
    for (const copying_store& other : stores) {
      if (&each != &other) {
        each.read(other, now_ms);
      }
    }
    each.expire(now_ms);
  }
}

class record_index_expiry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_index_expiry_test);
  CPPUNIT_TEST(old_records_and_their_programs_expire);
  CPPUNIT_TEST(chain_lasts_as_long_as_its_newest_turn);
  CPPUNIT_TEST(chain_expires_with_its_newest_turn);
  CPPUNIT_TEST(turn_with_two_successors_lasts_as_long_as_either);
  CPPUNIT_TEST(ended_branch_expires_beside_an_active_one);
  CPPUNIT_TEST(order_of_arrival_does_not_change_what_is_kept);
  CPPUNIT_TEST(late_successor_of_a_released_turn_keeps_its_chain);
  CPPUNIT_TEST(turn_that_was_read_is_kept_for_its_successor);
  CPPUNIT_TEST(released_turn_that_is_read_keeps_its_chain);
  CPPUNIT_TEST(random_trees_keep_what_a_walk_finds_needed);
  CPPUNIT_TEST(long_chain_is_visited_once_a_retention);
  CPPUNIT_TEST(tokens_used_are_counted_as_long_as_the_program_is_active);
  CPPUNIT_TEST(tokens_used_expire_with_the_program);
  CPPUNIT_TEST(turn_of_an_active_program_is_replaced_by_its_settlement);
  CPPUNIT_TEST(replacement_is_no_activity_of_its_program);
  CPPUNIT_TEST(ended_program_expires_at_stores_that_copy_from_each_other);
  CPPUNIT_TEST(copies_of_records_keep_an_active_program);
  CPPUNIT_TEST(open_reservation_lasts_as_long_as_its_program);
  CPPUNIT_TEST(program_is_active_while_a_long_turn_may_run);
  CPPUNIT_TEST(lowered_retention_applies_once_older_turns_are_gone);
  CPPUNIT_TEST(programs_without_stored_turns_expire);
  CPPUNIT_TEST(kept_record_gets_a_new_position);
  CPPUNIT_TEST(size_is_bounded_beside_a_long_conversation);
  CPPUNIT_TEST(last_endpoints_expire_with_their_program);
  CPPUNIT_TEST_SUITE_END();

 public:
  void old_records_and_their_programs_expire() {
    index_.add(reservation("a", 10), 0);
    index_.add(turn("a", "", "one ", "1\n"), 0);
    index_.add(of_program("q", reservation("b", 10)), 100 * second);
    CPPUNIT_ASSERT(index_.expire(119 * second).removed.empty());
    const auto expired = index_.expire(121 * second);

    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, expired.removed.size());
    CPPUNIT_ASSERT(expired.kept.empty() && expired.to_settle.empty());
    CPPUNIT_ASSERT(!index_.chain("a").found);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.usage("p").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, index_.usage("q").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys_after(index_, 0, 10).size());
  }

  // Guards against 404 for a turn of a conversation that is older than the
  // retention of its turns.
  void chain_lasts_as_long_as_its_newest_turn() {
    const std::uint64_t end = converse("t", 0, 1200, 40);
    const turn_chain chain = index_.chain("t30");

    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1200 * second}, end);
    CPPUNIT_ASSERT(chain.found);
    CPPUNIT_ASSERT_EQUAL(std::string(), chain.gap);
  }

  void chain_expires_with_its_newest_turn() {
    const std::uint64_t end = converse("t", 0, 1200, 40);
    index_.expire(end + 121 * second);
    CPPUNIT_ASSERT(!index_.chain("t30").found);
    // A turn that was kept is removed at its next visit.
    index_.expire(end + 242 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
    CPPUNIT_ASSERT(index_.usage("p").empty());
  }

  void turn_with_two_successors_lasts_as_long_as_either() {
    index_.add(turn("root", "", "", ""), 0);
    index_.add(of_program("q", turn("left", "root", "", "")), 10 * second);
    index_.add(turn("right", "root", "", ""), 100 * second);
    index_.expire(200 * second);

    CPPUNIT_ASSERT(!index_.chain("left").found);
    CPPUNIT_ASSERT(index_.chain("right").found);
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain("right").gap);
  }

  // Guards against a store that keeps all that ever went on from a common turn.
  void ended_branch_expires_beside_an_active_one() {
    index_.add(turn("root", "", "", ""), 0);
    std::uint64_t now = 0;
    std::string active = "root";
    for (int i = 0; i < 100; ++i) {
      now += 10 * second;
      const std::string number = std::to_string(i);
      const std::string next = "active" + number;
      index_.add(of_program("p" + number, turn("a" + number, "root", "", "")),
                 now);
      index_.add(
          of_program("p" + number, turn("b" + number, "a" + number, "", "")),
          now);
      index_.add(turn(next, active, "", ""), now);
      active = next;
      index_.expire(now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain(active).gap);
    // Of the ended ones, those of two retentions at most.
    CPPUNIT_ASSERT(!index_.chain("b70").found);
    TRAYROCK_CHECK(index_.size() < 101 + 2 * 25,
                   "expected 101 turns of the active conversation and those of "
                   "25 others, seen "
                       << index_.size());
  }

  void order_of_arrival_does_not_change_what_is_kept() {
    index_.add(turn("c", "b", "", ""), 100 * second);
    index_.add(turn("b", "a", "", ""), 50 * second);
    index_.add(turn("a", "", "", ""), 0);
    index_.expire(150 * second);
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain("c").gap);
    index_.expire(221 * second);
    CPPUNIT_ASSERT(!index_.chain("c").found);
    index_.expire(500 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // A store may receive a turn after those before it were released.
  void late_successor_of_a_released_turn_keeps_its_chain() {
    index_.add(turn("a", "", "", ""), 0);
    index_.add(turn("b", "a", "", ""), 0);
    index_.add(turn("c", "b", "", ""), 100 * second);
    index_.expire(130 * second);  // a and b are kept until 250 s
    index_.expire(222 * second);  // c is removed, a and b are released
    CPPUNIT_ASSERT(!index_.chain("c").found);
    index_.add(turn("d", "b", "", ""), 223 * second);
    index_.expire(300 * second);
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain("d").gap);
    index_.expire(800 * second);
    index_.expire(1600 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // Guards against a turn that is accepted at the very end of the retention of
  // the one before it, and whose chain expires while it runs.
  void turn_that_was_read_is_kept_for_its_successor() {
    index_.add(turn("a", "", "", ""), 0);
    index_.add(turn("b", "a", "", ""), 0);
    index_.touch("b", 119 * second);
    index_.expire(130 * second);
    index_.add(turn("c", "b", "", ""), 180 * second);
    index_.expire(290 * second);
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain("c").gap);
    index_.expire(301 * second);
    index_.expire(430 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  void released_turn_that_is_read_keeps_its_chain() {
    index_.add(turn("a", "", "", ""), 0);
    index_.add(turn("b", "a", "", ""), 0);
    index_.add(turn("c", "b", "", ""), 100 * second);
    index_.expire(130 * second);
    index_.expire(222 * second);  // releases a and b, which stay until 250 s
    index_.touch("b", 240 * second);
    index_.expire(300 * second);
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain("b").gap);
    index_.expire(700 * second);
    index_.expire(900 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // Compares with a walk over all turns, in trees that grow at random.
  void random_trees_keep_what_a_walk_finds_needed() {
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      record_index index([](const std::string&) { return std::nullopt; });
      std::mt19937_64 random(seed);
      std::vector<std::pair<std::string, std::uint64_t>> turns;  // by arrival
      std::map<std::string, std::string> previous;
      std::uint64_t now = 0;
      for (int i = 0; i < 400; ++i) {
        now += random() % (5 * second);
        const std::string name = "t" + std::to_string(i);
        std::string from;
        if (!turns.empty() && random() % 8 != 0) {
          const auto& chosen =
              turns[turns.size() - 1 -
                    random() % std::min<std::size_t>(turns.size(), 12)];
          from = chosen.second + 60 * second > now ? chosen.first : "";
        }
        index.add(of_program("", turn(name, from, "", "")), now);
        turns.emplace_back(name, now);
        previous[name] = from;
        index.expire(now);
        check_needed_turns(index, turns, previous, now, seed);
      }
      index.expire(now + 121 * second);
      index.expire(now + 300 * second);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index.size());
    }
  }

  // Guards against a walk of the chain with each turn.
  void long_chain_is_visited_once_a_retention() {
    std::size_t visits = 0;
    std::string previous;
    constexpr std::size_t turns = 3000;
    for (std::size_t i = 0; i < turns; ++i) {
      const std::string name = "t" + std::to_string(i);
      index_.add(of_program("", turn(name, previous, "", "")), i * second);
      previous = name;
      const expired_records expired = index_.expire(i * second);
      visits += expired.kept.size();
    }
    // A turn of age t has been kept t / 120 s times.
    constexpr std::size_t most = turns / 2 * (turns / 120 + 1);
    TRAYROCK_CHECK(visits <= most,
                   "expected at most " << most << " visits, seen " << visits);
    CPPUNIT_ASSERT_EQUAL(0, reads_);
  }

  // Guards against a program whose budget is reset while it lasts.
  void tokens_used_are_counted_as_long_as_the_program_is_active() {
    for (int i = 0; i < 40; ++i) {
      const std::string name = "t" + std::to_string(i);
      const std::uint64_t now = 30 * second * i;
      index_.add(reservation(name, 10), now);
      index_.add(settlement(name, 4, 1, "e"), now + second);
      index_.expire(now + second);
    }
    std::uint64_t used = 0;
    for (const turn_usage& each : index_.usage("p")) {
      CPPUNIT_ASSERT(each.settled);
      used += each.used;
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{160}, used);
    CPPUNIT_ASSERT_EQUAL(std::string_view("e"),
                         index_.last_endpoint("p", 1).endpoint);
  }

  void tokens_used_expire_with_the_program() {
    index_.add(turn("other", "", "", ""), 0);  // sets the retention
    for (int i = 0; i < 40; ++i) {
      index_.add(of_program("q", reservation("r" + std::to_string(i), 10)),
                 30 * second * i);
      index_.expire(30 * second * i);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, index_.usage("q").size());
    index_.expire(39 * (30 * second) + 121 * second);
    index_.expire(39 * (30 * second) + 242 * second);
    CPPUNIT_ASSERT(index_.usage("q").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // Guards against texts of ended conversations that last as long as their
  // program.
  void turn_of_an_active_program_is_replaced_by_its_settlement() {
    index_.add(turn("t", "", "text", ""), 0);
    index_.add(reservation("open", 10), 100 * second);
    const expired_records first = index_.expire(121 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.to_settle.size());
    CPPUNIT_ASSERT(first.kept.empty() && first.removed.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("text"),
                         index_.find(first.to_settle[0])->turn().input());

    index_.add_copy(settlement("t", 7, 0, ""), 121 * second, 0);
    index_.add(reservation("next", 10), 200 * second);
    const expired_records second_visit = index_.expire(242 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second_visit.removed.size());
    CPPUNIT_ASSERT_EQUAL(first.to_settle[0], second_visit.removed[0]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, used_by("p", "t"));
  }

  // Guards against programs that never expire, since their turns are replaced.
  void replacement_is_no_activity_of_its_program() {
    index_.add(turn("t", "", "text", ""), 0);
    index_.add(reservation("open", 10), 100 * second);
    index_.expire(121 * second);
    index_.add_copy(settlement("t", 7, 0, ""), 121 * second, 0);
    index_.expire(222 * second);  // the program's last activity was at 100 s
    index_.expire(243 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // Guards against stores that keep the records of an ended program for ever,
  // since each copies what another one still has.
  void ended_program_expires_at_stores_that_copy_from_each_other() {
    std::array<copying_store, 3> stores;
    std::mt19937_64 random(1);
    std::uint64_t now = 1000 * second;
    for (int i = 0; i < 60; ++i) {
      const std::string name = "t" + std::to_string(i);
      const std::string previous =
          i % 5 == 0 ? "" : "t" + std::to_string(i - 1);
      now += 3 * second;
      for (copying_store& each : stores) {
        if (random() % 8 != 0) {  // else the store is away
          each.index.add(reservation(name, 10), now);
          each.index.add(turn(name, previous, "", ""), now + second);
        }
      }
      run_stores(stores, now);
    }
    const std::uint64_t end = now;
    while (now < end + 3 * (121 * second)) {
      now += 5 * second;
      run_stores(stores, now);
    }
    for (const copying_store& each : stores) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, each.index.size());
    }
  }

  void copies_of_records_keep_an_active_program() {
    index_.add(of_program("q", turn("other", "", "", "")), 0);
    index_.add(settlement("old", 4, 0, ""), 0);
    index_.add_copy(reservation("missed", 10), 125 * second, 100 * second);
    index_.expire(126 * second);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, used_by("p", "old"));
    index_.expire(221 * second);
    index_.expire(247 * second);
    CPPUNIT_ASSERT(index_.usage("p").empty());
  }

  void open_reservation_lasts_as_long_as_its_program() {
    index_.add(reservation("lost", 10), 0);
    index_.add(turn("t", "", "", ""), 100 * second);
    index_.expire(200 * second);
    const auto usage = index_.usage("p");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usage.size());
    CPPUNIT_ASSERT(!usage[0].settled);
  }

  // Guards against turns that run beside a long one and do not see what it has
  // reserved.
  void program_is_active_while_a_long_turn_may_run() {
    index_.add(of_program("q", turn("other", "", "", "")), 0);
    records::Record open = reservation("long", 10);
    open.mutable_reservation()->set_time_limit_s(600);
    index_.add(open, 0);
    index_.expire(130 * second);
    index_.expire(700 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, index_.usage("p").size());
    index_.expire(721 * second);
    index_.expire(850 * second);
    CPPUNIT_ASSERT(index_.usage("p").empty());
  }

  void lowered_retention_applies_once_older_turns_are_gone() {
    records::Record before = of_program("", turn("before", "", "", ""));
    before.mutable_turn()->set_retention_s(600);
    index_.add(before, 0);
    index_.add(of_program("", turn("after", "", "", "")), 10 * second);
    index_.expire(500 * second);
    CPPUNIT_ASSERT(index_.chain("before").found);
    index_.add(of_program("", turn("next", "", "", "")), 600 * second);
    index_.expire(661 * second);
    CPPUNIT_ASSERT(!index_.chain("before").found);
    index_.expire(721 * second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // Guards against a store that keeps what programs have used for ever, where
  // no route keeps turns.
  void programs_without_stored_turns_expire() {
    index_.add(reservation("a", 10), 0);
    index_.add(settlement("a", 4, 0, ""), 0);
    constexpr std::uint64_t hour = 3600 * second;
    index_.expire(hour);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, index_.size());
  }

  // Another store that reads from a position must receive a kept record.
  void kept_record_gets_a_new_position() {
    index_.add(turn("a", "", "", ""), 0);
    index_.add(turn("b", "a", "", ""), 100 * second);
    const std::uint64_t read = index_.position();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         index_.expire(130 * second).kept.size());
    const auto rest = keys_after(index_, read, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rest.size());
    CPPUNIT_ASSERT_EQUAL(record_key(turn("a", "", "", "")), rest[0].key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, keys_after(index_, 0, 10).size());
  }

  void size_is_bounded_beside_a_long_conversation() {
    std::string previous;
    std::size_t most = 0;
    for (int i = 0; i < 3600; ++i) {
      const std::string number = std::to_string(i);
      const std::uint64_t now = i * second;
      if (i % 60 == 0) {
        index_.add(turn("long" + number, previous, "", ""), now);
        previous = "long" + number;
      }
      const std::string program = "short" + number;
      index_.add(of_program(program, reservation(program, 10)), now);
      index_.add(of_program(program, turn(program, "", "", "")), now);
      index_.expire(now);
      most = std::max(most, index_.size() - static_cast<std::size_t>(i / 60));
    }
    // Two records a second for a retention and a margin of 60 s each.
    TRAYROCK_CHECK(most <= 2 * 122 + 1, "expected 245 at most, seen " << most);
    CPPUNIT_ASSERT_EQUAL(std::string(), index_.chain(previous).gap);
  }

  void last_endpoints_expire_with_their_program() {
    index_.add(turn("t", "", "in", "out"), 0);  // sets the retention
    index_.add(settlement("a", 0, 1, "e1"), 0);
    index_.expire(200 * second);
    CPPUNIT_ASSERT(index_.last_endpoint("p", 1).endpoint.empty());
  }

 private:
  // Turns NAME0, NAME1, ... of one line; returns the time of the last one.
  std::uint64_t converse(const std::string& name, std::uint64_t begin_s,
                         std::uint64_t end_s, std::uint64_t pause_s) {
    std::string previous;
    std::uint64_t now = 0;
    int number = 0;
    for (std::uint64_t at = begin_s; at <= end_s; at += pause_s) {
      now = at * second;
      const std::string next = name + std::to_string(number++);
      index_.add(turn(next, previous, next + " ", "\n"), now);
      index_.expire(now);
      previous = next;
    }
    return now;
  }

  std::uint64_t used_by(const std::string& program,
                        const std::string& attempt) const {
    for (const turn_usage& each : index_.usage(program)) {
      if (each.attempt == bytes_of(id_of(attempt)) && each.settled) {
        return each.used;
      }
    }
    return 0;
  }

  // Every turn within its retention is stored with all turns before it.
  static void check_needed_turns(
      const record_index& index,
      const std::vector<std::pair<std::string, std::uint64_t>>& turns,
      const std::map<std::string, std::string>& previous, std::uint64_t now,
      std::uint64_t seed) {
    std::set<std::string> needed;
    for (const auto& [name, added] : turns) {
      std::string next = added + 60 * second >= now ? name : "";
      while (!next.empty() && needed.insert(next).second) {
        next = previous.at(next);
      }
    }
    for (const std::string& each : needed) {
      TRAYROCK_CHECK(index.has(record_key(turn(each, "", "", ""))),
                     "seed " << seed << ": " << each << " is missing at "
                             << now / second << " s");
    }
  }

  std::map<std::string, records::Record> disk_;
  int reads_ = 0;
  record_index index_{[this](const std::string& key) {
    ++reads_;
    return std::optional<records::Record>(disk_.at(key));
  }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_index_expiry_test);

}  // namespace
}  // namespace trayrock::testing
