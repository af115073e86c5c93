// What a store that becomes a voter has read from the others, while its disk is
// slow.
#include "trayrock/internal/records/store_reader.h"

#include <algorithm>

#include "record_store_fixture.h"
#include "trayrock/internal/decide/divided_read.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock::testing {
namespace {

class store_reader_test : public record_store_fixture {
  CPPUNIT_TEST_SUITE(store_reader_test);
  CPPUNIT_TEST(voter_counts_once_its_listed_records_are_on_disk);
  CPPUNIT_TEST(records_of_a_pull_before_the_fence_make_no_voter);
  CPPUNIT_TEST(voter_that_cannot_send_a_listed_record_is_not_read);
  CPPUNIT_TEST(unreadable_record_of_a_voter_keeps_no_store_from_joining);
  CPPUNIT_TEST(store_reports_that_it_counts_once_that_is_on_disk);
  CPPUNIT_TEST(voter_that_cannot_read_a_turn_does_not_deny_it);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    reader_.reset();
    record_store_fixture::tearDown();
  }

  // Guards against a voter that counts ahead of its disk: a gateway wrote the
  // listed record directly, and its sync is pending.
  void voter_counts_once_its_listed_records_are_on_disk() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    add_joining_store();
    joining().syncs.close();
    write_directly(joining(), turn("t1", "", "one"));
    CPPUNIT_ASSERT(is_pending(joining(), turn("t1", "", "one")));
    const timer ticks = loop_->every(milliseconds(5), [this] { tick(); });
    constexpr int replies_each = 3;
    run_until([&] { return replies_since_fence() >= replies_each; });
    TRAYROCK_CHECK(replies_since_fence() >= replies_each,
                   "expected " << replies_each << " replies of each voter");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, read_since_fence());

    joining().syncs.open();
    run_until([&] { return has_joined(); });
    CPPUNIT_ASSERT(has_joined());
  }

  // Guards against a voter that counts without the records that were
  // acknowledged between a pull and the fence: the records of that pull reach
  // the disk when the next pull has begun.
  void records_of_a_pull_before_the_fence_make_no_voter() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    add_joining_store();
    joining().syncs.close();
    pull_until([&] {
      return is_pending(joining(), turn("t1", "", "one")) &&
             joining().syncs.holds_sync();
    });
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t2", "t1", "two")));
    reader_->fence_previous_voters();
    run_until([&] { return fenced() == 3; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, fenced());

    joining().syncs.admit(1);
    run_until([&] { return !is_pending(joining(), turn("t1", "", "one")); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, read_since_fence());

    joining().syncs.open();
    const timer ticks = loop_->every(milliseconds(5), [this] { tick(); });
    run_until([&] { return has_joined(); });
    CPPUNIT_ASSERT(has_joined());
    CPPUNIT_ASSERT(
        joining().server.index().has(record_key(turn("t2", "t1", "two"))));
    CPPUNIT_ASSERT(!is_pending(joining(), turn("t2", "t1", "two")));
  }

  // Guards against a voter that counts without a record that another one
  // acknowledged and can't read any more.
  void voter_that_cannot_send_a_listed_record_is_not_read() {
    start_group();
    store& damaged = *stores_.front();
    write_directly(damaged, turn("t1", "", "one"));
    run_until([&] { return !is_pending(damaged, turn("t1", "", "one")); });
    lose_content(damaged);
    add_joining_store();
    write_directly(joining(), turn("t2", "", "two"));
    const timer ticks = loop_->every(milliseconds(5), [this] { tick(); });
    constexpr int replies_each = 3;
    run_until(
        [&] { return has_joined() && replies_since_fence() >= replies_each; });
    CPPUNIT_ASSERT(has_joined());
    const store_peer* const peer =
        reader_->peers().find(damaged.server.state().id());
    CPPUNIT_ASSERT(peer != nullptr && peer->fenced);
    CPPUNIT_ASSERT(!peer->read_since_fence);
  }

  // Guards against a successor that never counts: a voter can't read one record
  // of its part, and the others are waiting for that part.
  void unreadable_record_of_a_voter_keeps_no_store_from_joining() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    for (const auto& each : stores_) {
      run_until([&] {
        return each->server.index().has(record_key(turn("t1", "", "one"))) &&
               !is_pending(*each, turn("t1", "", "one"));
      });
    }
    add_joining_store();
    reader_->pull_due();
    run_until([&] {
      const auto& peers = reader_->peers().all();
      return std::all_of(peers.begin(), peers.end(), [](const auto& each) {
        return each.second.id_at_address == each.first;
      });
    });
    lose_content(source_of_turn());
    const timer ticks = loop_->every(milliseconds(5), [this] { tick(); });
    run_until([&] { return has_joined(); });

    TRAYROCK_CHECK(has_joined(),
                   "expected a voter that counts, seen one that "
                   "has read "
                       << read_since_fence() << " of 2 voters");
  }

  // Guards against a retiring voter that leaves for a successor which forgets
  // in a loss of power that it counts.
  void store_reports_that_it_counts_once_that_is_on_disk() {
    start_group();
    add_joining_store();
    joining().syncs.close();
    joining().server.set_counts(true);
    std::optional<bool> counts;
    records::PullRequest request;
    request.set_kind(records::PULL_STATE);
    const rpc_call call = pool_->ask<records::PullReply>(
        local(joining().port), "Pull", request, call_timeout,
        [&](const result<records::PullReply>& reply) {
          counts = reply && reply.value().counts();
        });
    run_until([&] { return counts.has_value(); });

    CPPUNIT_ASSERT(counts.has_value());
    TRAYROCK_CHECK(!*counts, "expected no, seen yes ahead of the disk");
  }

  // Guards against 404 for a turn that a quorum acknowledged: one voter can't
  // read it any more, one never had it, and one does not reply.
  void voter_that_cannot_read_a_turn_does_not_deny_it() {
    start_group();
    for (const int each : {0, 1}) {
      write_directly(*stores_[each], turn("t1", "", "one"));
      run_until(
          [&] { return !is_pending(*stores_[each], turn("t1", "", "one")); });
    }
    lose_content(*stores_[0]);
    stores_[1].reset();
    constexpr milliseconds limit{1000};
    const result<reserved_turn> reply = reserve({}, "t1", limit);

    TRAYROCK_CHECK(!reply || reply.value().chain_found,
                   "expected an error, seen the turn denied");
  }

 private:
  // The voter that sends the joining store the part of the turn t1.
  store& source_of_turn() {
    const std::string key = record_key(turn("t1", "", "one"));
    std::map<std::string, store*> voters;
    for (std::size_t i = 0; i < 3; ++i) {
      voters[stores_[i]->server.state().id()] = stores_[i].get();
    }
    std::uint32_t part = 0;
    for (const auto& [id, each] : voters) {
      if (is_in_part(key, {part, 3})) {
        return *each;
      }
      ++part;
    }
    return *stores_.front();
  }

  // The store can't read its records from disk any more.
  static void lose_content(const store& damaged) {
    for (const auto& each :
         std::filesystem::directory_iterator(damaged.folder)) {
      std::filesystem::resize_file(each.path(), 0);
    }
  }

  // Adds a store that replaces the third voter in epoch 2, and does not count
  // yet. Only this store has the new group.
  void add_joining_store() {
    stores_.push_back(std::make_unique<store>(*loop_, folder_ + "/joining",
                                              ports_[stores_.size()]));
    records::Store self;
    self.set_id(joining().server.state().id());
    self.set_address(local(joining().port));
    self.set_data_centre("dc-2");
    const records::Group group =
        with_voter(client_->group(), self, client_->group().voters(2).id());
    bool on_disk = false;
    joining().server.adopt(group, [&] { on_disk = true; });
    run_until([&] { return on_disk; });
    CPPUNIT_ASSERT(on_disk);
    reader_ = std::make_unique<store_reader>(*loop_, joining().server, *pool_);
    reader_->follow_group();
  }

  store& joining() { return *stores_.back(); }

  // A round of the store's membership driver.
  void tick() {
    reader_->follow_group();
    reader_->pull_due();
    reader_->fence_previous_voters();
    for (const auto& [id, each] : reader_->peers().all()) {
      if (each.fenced && each.last_reply_ms != last_reply_ms_[id]) {
        last_reply_ms_[id] = each.last_reply_ms;
        ++replies_[id];
      }
    }
  }

  // Pulls, without a fence.
  void pull_until(const std::function<bool()>& condition) {
    const timer ticks =
        loop_->every(milliseconds(5), [this] { reader_->pull_due(); });
    run_until(condition);
    CPPUNIT_ASSERT(condition());
  }

  // Replies of each voter that were seen since it was fenced, at least.
  int replies_since_fence() {
    int least = replies_.empty() ? 0 : replies_.begin()->second;
    for (const auto& [id, each] : reader_->peers().all()) {
      least = std::min(least, replies_[id]);
    }
    return least;
  }

  // Sends a store a record as a gateway does, and waits until it is in the
  // index.
  void write_directly(store& to, const records::Record& record) {
    records::WriteRequest request;
    request.set_store(to.server.state().id());
    request.set_epoch(to.server.state().group().epoch());
    *request.mutable_record() = record;
    writing_ = pool_->ask<records::WriteReply>(
        local(to.port), "Write", request, call_timeout,
        [](const result<records::WriteReply>&) {});
    const auto has = [&] { return to.server.index().has(record_key(record)); };
    run_until(has);
    CPPUNIT_ASSERT(has());
  }

  static bool is_pending(store& at, const records::Record& record) {
    return at.server.index().is_pending(record_key(record));
  }

  std::ptrdiff_t fenced() {
    const auto& peers = reader_->peers().all();
    return std::count_if(peers.begin(), peers.end(),
                         [](const auto& each) { return each.second.fenced; });
  }

  std::size_t read_since_fence() {
    return reader_->peers().read_since_fence(joining().server.state());
  }

  bool has_joined() {
    return reader_->peers().has_joined(joining().server.state());
  }

  std::unique_ptr<store_reader> reader_;
  rpc_call writing_;
  std::map<std::string, std::uint64_t> last_reply_ms_;  // by the store's id
  std::map<std::string, int> replies_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_reader_test);

}  // namespace
}  // namespace trayrock::testing
