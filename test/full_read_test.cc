// Reading of all records of a voter by an empty store.
#include "record_store_fixture.h"
#include "trayrock/internal/records/store_reader.h"

namespace trayrock::testing {
namespace {

// Together more than two replies to a pull can hold.
constexpr int turns = 60;
constexpr std::size_t text_bytes = 10000;

class full_read_test : public record_store_fixture {
  CPPUNIT_TEST_SUITE(full_read_test);
  CPPUNIT_TEST(next_records_are_requested_while_the_last_are_written);
  CPPUNIT_TEST(no_record_is_requested_again_while_it_is_written);
  CPPUNIT_TEST(records_that_are_not_on_disk_are_not_counted_as_read);
  CPPUNIT_TEST(store_that_gateways_write_to_reads_all_records_in_bulk);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a full read that waits for its own disk between any two
  // pulls.
  void next_records_are_requested_while_the_last_are_written() {
    start_learner();
    learner_->syncs.close();

    read_until([this] { return record_pulls() >= 1; });
    wait_until([this] { return record_pulls() >= 2; });

    TRAYROCK_CHECK(record_pulls() >= 2,
                   "expected a second pull during the first write, seen "
                       << record_pulls());
  }

  // Guards against a voter that reads and sends the same records at each tick
  // of a store whose disk is slow.
  void no_record_is_requested_again_while_it_is_written() {
    constexpr int ticks = 30;
    start_learner();
    learner_->syncs.close();
    read_until([this] { return record_pulls() >= 1; });

    int tick = 0;
    read_until([&tick] { return ++tick > ticks; });

    CPPUNIT_ASSERT_EQUAL(2, record_pulls());
  }

  void records_that_are_not_on_disk_are_not_counted_as_read() {
    start_learner();
    learner_->syncs.close();
    read_until([this] { return record_pulls() >= 2; });
    const bool early = is_read();
    learner_->syncs.open();

    read_until([this] { return is_read(); });

    CPPUNIT_ASSERT(!early);
    CPPUNIT_ASSERT(is_read());
    CPPUNIT_ASSERT_EQUAL(stores_[0]->server.index().size(),
                         learner_->server.index().size());
  }

  // Guards against an empty store that reads record by record, because a
  // gateway's write reached it before its first pull.
  void store_that_gateways_write_to_reads_all_records_in_bulk() {
    start_learner();
    records::PullReply written;
    *written.add_records()->mutable_record() = turn("new", "", "one");
    learner_->server.store_pulled(written, [this] { loop_->stop(); });
    run();

    read_until([this] { return is_read(); });

    CPPUNIT_ASSERT(is_read());
    CPPUNIT_ASSERT_EQUAL(0, pulls("PULL_NAMED"));
    CPPUNIT_ASSERT(record_pulls() > 0);
  }

  void tearDown() override {
    ticks_ = timer();
    reader_.reset();
    learner_.reset();
    record_store_fixture::tearDown();
  }

 private:
  // A voter with all turns, and an empty learner.
  void start_learner() {
    stores_.push_back(
        std::make_unique<store>(*loop_, folder_ + "/0", ports_[0]));
    fill(stores_[0]->server);
    learner_ = std::make_unique<store>(*loop_, folder_ + "/learner", ports_[1]);
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(1);
    records::Store& voter = *group.add_voters();
    voter.set_id(stores_[0]->server.state().id());
    voter.set_address(local(ports_[0]));
    records::Store& self = *group.add_learners();
    self.set_id(learner_->server.state().id());
    self.set_address(local(ports_[1]));
    stores_[0]->server.adopt(group, nullptr);
    stores_[0]->server.set_counts(true);
    learner_->server.adopt(group, [this] { loop_->stop(); });
    run();
    reader_ = std::make_unique<store_reader>(*loop_, learner_->server, *pool_);
  }

  void fill(record_server& filled) {
    records::PullReply all;
    for (int i = 0; i < turns; ++i) {
      *all.add_records()->mutable_record() =
          turn("t" + std::to_string(i), "", std::string(text_bytes, 'x'));
    }
    filled.store_pulled(all, [this] { loop_->stop(); });
    run();
  }

  // Runs the reader until the condition holds or the time of a test is over.
  void read_until(const std::function<bool()>& reached) {
    ticks_ = loop_->every(milliseconds(10), [this, reached] {
      if (reached()) {
        loop_->stop();
        return;
      }
      reader_->follow_group();
      reader_->pull_due();
    });
    run();
    ticks_ = timer();
  }

  // As above, without ticks of the reader.
  void wait_until(const std::function<bool()>& reached) {
    ticks_ = loop_->every(milliseconds(10), [this, reached] {
      if (reached()) {
        loop_->stop();
      }
    });
    run();
    ticks_ = timer();
  }

  // Pulls of records by the learner that the voter has replied to.
  int record_pulls() const { return pulls("PULL_RECORDS"); }

  int pulls(const std::string& kind) const {
    return static_cast<int>(
        stores_[0]->metrics.value("pulls_total", {{"kind", kind}}));
  }

  bool is_read() const {
    const store_peer* const voter =
        reader_->peers().find(stores_[0]->server.state().id());
    return voter != nullptr && voter->read_to_end;
  }

  std::unique_ptr<store> learner_;
  std::unique_ptr<store_reader> reader_;
  timer ticks_;
};

}  // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(full_read_test);

}  // namespace trayrock::testing
