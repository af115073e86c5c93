// Expiry at stores of a group: what a store needs to know of the others, and
// the space that records in use take on its disk.
#include "record_store_fixture.h"
#include "trayrock/internal/gateway/turn_history.h"
#include "trayrock/internal/records/store_reader.h"

namespace trayrock::testing {
namespace {

// Past the retention of turn() in record_store_fixture.h and the margin.
constexpr std::uint64_t expired_ms = 62000;
constexpr milliseconds margin{1000};

class store_expiry_test : public record_store_fixture {
  CPPUNIT_TEST_SUITE(store_expiry_test);
  CPPUNIT_TEST(voter_reads_missed_turns_before_its_records_expire);
  CPPUNIT_TEST(voter_that_reaches_no_quorum_keeps_its_records);
  CPPUNIT_TEST(sparse_files_are_removed_and_their_needed_records_kept);
  CPPUNIT_TEST(rewritten_records_are_read_once_after_a_restart);
  CPPUNIT_TEST(state_of_a_store_does_not_hold_its_file);
  CPPUNIT_TEST(turn_of_an_active_program_becomes_a_settlement);
  CPPUNIT_TEST(turn_is_stored_until_a_successor_may_have_ended);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    reader_.reset();
    record_store_fixture::tearDown();
  }

  // Guards against the loss of a turn with the disk of one store: another store
  // has missed the turn that continues it, and drops it by its own age.
  void voter_reads_missed_turns_before_its_records_expire() {
    start();
    store& away = *stores_[2];
    for (const auto& each : stores_) {
      pull_into(*each, {with_age(turn("old", "", "one"), expired_ms)});
    }
    for (const std::size_t each : {0, 1}) {
      pull_into(*stores_[each], {with_age(turn("new", "old", "two"), 0)});
    }
    CPPUNIT_ASSERT(!away.server.index().has(key("new")));
    expire_by_group(away);

    CPPUNIT_ASSERT(away.server.index().has(key("new")));
    CPPUNIT_ASSERT(away.server.index().has(key("old")));
  }

  void voter_that_reaches_no_quorum_keeps_its_records() {
    start();
    pull_into(*stores_[2], {with_age(turn("old", "", "one"), expired_ms)});
    stores_[0].reset();
    stores_[1].reset();
    reader_ =
        std::make_unique<store_reader>(*loop_, stores_[2]->server, *pool_);
    run_until(
        [&] { return stores_[2]->server.expiry_due_since().has_value(); });
    for (int i = 0; i < 20; ++i) {
      tick(*stores_[2]);
    }
    CPPUNIT_ASSERT(!reader_->complete_as_of().has_value());
    CPPUNIT_ASSERT(stores_[2]->server.index().has(key("old")));
  }

  // Guards against a file that stays for good, for one record that is needed.
  void sparse_files_are_removed_and_their_needed_records_kept() {
    start();
    record_server& server = stores_[0]->server;
    fill(*stores_[0]);
    const std::size_t before = files();
    server.expire(loop_->now_ms());
    run_until([&] { return files() <= 2; });

    CPPUNIT_ASSERT(before >= 3);
    TRAYROCK_CHECK(files() <= 2,
                   "expected two files at most, seen " << files());
    const turn_chain chain = server.index().chain("newest");
    CPPUNIT_ASSERT_EQUAL(std::string(), chain.gap);
    CPPUNIT_ASSERT_EQUAL(std::size_t{21 * large_text}, chain.text.size());
    CPPUNIT_ASSERT(!server.index().has(key("ended-0")));
  }

  void rewritten_records_are_read_once_after_a_restart() {
    start();
    fill(*stores_[0]);
    stores_[0]->server.expire(loop_->now_ms());
    run_until([&] { return files() <= 2; });
    stores_[0].reset();
    stores_[0] = std::make_unique<store>(*loop_, folder_ + "/0", ports_[0]);
    record_server& server = stores_[0]->server;

    CPPUNIT_ASSERT_EQUAL(std::string(), server.index().chain("newest").gap);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(server.index().has(key("old-" + std::to_string(i))));
    }
  }

  // It is written at the start, and changes seldom.
  void state_of_a_store_does_not_hold_its_file() {
    start();
    const std::string id = stores_[0]->server.state().id();
    const std::uint64_t epoch = stores_[0]->server.state().group().epoch();
    fill(*stores_[0]);
    const std::filesystem::path first = oldest_file();
    stores_[0]->server.expire(loop_->now_ms());
    run_until([&] { return !std::filesystem::exists(first); });
    CPPUNIT_ASSERT(!std::filesystem::exists(first));
    stores_[0].reset();
    stores_[0] = std::make_unique<store>(*loop_, folder_ + "/0", ports_[0]);

    CPPUNIT_ASSERT_EQUAL(id, stores_[0]->server.state().id());
    CPPUNIT_ASSERT_EQUAL(epoch, stores_[0]->server.state().group().epoch());
  }

  void turn_of_an_active_program_becomes_a_settlement() {
    start();
    record_server& server = stores_[0]->server;
    records::Record open;
    *open.mutable_reservation() = reservation("open", 10);
    pull_into(*stores_[0], {with_age(turn("ended", "", "text"), expired_ms),
                            with_age(open, 0)});
    server.expire(loop_->now_ms());
    records::Record settled;
    settled.mutable_settlement()->set_program("program");
    settled.mutable_settlement()->set_attempt("ended");
    run_until([&] { return !server.index().is_pending(record_key(settled)); });

    CPPUNIT_ASSERT(server.index().has(record_key(settled)));
    const auto found = server.index().find(record_key(settled));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, found->settlement().tokens());
    CPPUNIT_ASSERT_EQUAL(std::string("program"), found->settlement().program());
  }

  // Guards against a long turn whose chain expires while it runs: it may begin
  // at the end of the retention, and is stored when it ends.
  void turn_is_stored_until_a_successor_may_have_ended() {
    start();
    chain_cache chains(1U << 20);
    request_metadata metadata;
    metadata.attempt = "t";
    route made;
    made.keeps_history = true;
    made.retention = std::chrono::seconds(60);
    turn_history history(*loop_, *client_, chains, metadata);
    history.begin(made, "", milliseconds(300500));
    bool stored = false;
    history.store({"input", "output", 1, "e"}, call_timeout,
                  [&](std::error_code failed) { stored = !failed; });
    run_until(
        [&] { return stored && stores_[0]->server.index().has(key("t")); });

    const auto record = stores_[0]->server.index().find(key("t"));
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(361U, record->turn().retention_s());
  }

 private:
  void start() {
    start_group();
    for (const auto& each : stores_) {
      each->server.set_expiry_margin(margin);
    }
  }

  static constexpr std::size_t large_text = 100000;

  static std::string key(const std::string& attempt) {
    return record_key(turn(attempt, "", ""));
  }

  static records::PulledRecord with_age(const records::Record& record,
                                        std::uint64_t age_ms) {
    records::PulledRecord made;
    *made.mutable_record() = record;
    made.set_age_ms(age_ms);
    return made;
  }

  void pull_into(store& to, const std::vector<records::PulledRecord>& pulled) {
    records::PullReply reply;
    for (const records::PulledRecord& each : pulled) {
      *reply.add_records() = each;
    }
    bool durable = false;
    to.server.store_pulled(reply, [&] { durable = true; });
    run_until([&] { return durable; });
    CPPUNIT_ASSERT(durable);
  }

  // Three files: twenty old turns of a conversation, each among ended ones, and
  // its newest turn.
  void fill(store& to) {
    const std::string text(large_text, 'a');
    std::string previous;
    int ended = 0;
    for (int i = 0; i < 20; ++i) {
      std::vector<records::PulledRecord> pulled;
      pulled.reserve(5);
      for (int j = 0; j < 4; ++j) {
        pulled.push_back(with_age(
            without_program(turn("ended-" + std::to_string(ended++), "", text)),
            expired_ms));
      }
      const std::string name = "old-" + std::to_string(i);
      pulled.push_back(
          with_age(without_program(turn(name, previous, text)), expired_ms));
      previous = name;
      pull_into(to, pulled);
    }
    pull_into(to,
              {with_age(without_program(turn("newest", previous, text)), 0)});
  }

  static records::Record without_program(records::Record record) {
    record.mutable_turn()->clear_program();
    return record;
  }

  std::size_t files() const {
    std::size_t count = 0;
    for (const auto& each :
         std::filesystem::directory_iterator(folder_ + "/0")) {
      count += each.path().extension() == ".log" ? 1 : 0;
    }
    return count;
  }

  std::filesystem::path oldest_file() const {
    std::filesystem::path oldest;
    for (const auto& each :
         std::filesystem::directory_iterator(folder_ + "/0")) {
      if (each.path().extension() == ".log" &&
          (oldest.empty() || each.path() < oldest)) {
        oldest = each.path();
      }
    }
    return oldest;
  }

  // Rounds of the store's membership driver until its records have expired.
  void expire_by_group(store& at) {
    reader_ = std::make_unique<store_reader>(*loop_, at.server, *pool_);
    bool expired = false;
    const timer ticks =
        loop_->every(milliseconds(5), [&] { expired = expired || tick(at); });
    run_until([&] { return expired; });
    CPPUNIT_ASSERT(expired);
  }

  // Returns true if the store has removed expired records.
  bool tick(store& at) {
    const std::optional<std::uint64_t> due = at.server.expiry_due_since();
    reader_->follow_group();
    reader_->pull_due();
    const std::optional<std::uint64_t> as_of = reader_->complete_as_of();
    if (!due || !as_of || *as_of < *due) {
      return false;
    }
    at.server.expire(*as_of);
    return true;
  }

  std::unique_ptr<store_reader> reader_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_expiry_test);

}  // namespace
}  // namespace trayrock::testing
