// Record stores whose disks are slow: guards against requests that are rejected
// although no store is down, and against replies ahead of the disk.
#include <algorithm>

#include "record_store_fixture.h"
#include "trayrock/internal/gateway/peer_relays.h"

namespace trayrock::testing {
namespace {

class slow_disk_test : public record_store_fixture {
  CPPUNIT_TEST_SUITE(slow_disk_test);
  CPPUNIT_TEST(retry_of_a_write_needs_no_further_sync);
  CPPUNIT_TEST(fence_is_confirmed_once_its_group_is_on_disk);
  CPPUNIT_TEST(write_outlasts_its_limit_while_the_disks_are_slow);
  CPPUNIT_TEST(missing_turn_is_reported_while_the_disks_are_slow);
  CPPUNIT_TEST(relay_sends_no_reports_to_a_gateway_of_an_earlier_version);
  CPPUNIT_TEST(record_pulled_again_is_stored_once_it_is_on_disk);
  CPPUNIT_TEST(pulled_record_that_is_being_written_is_stored_once_on_disk);
  CPPUNIT_TEST(pulled_records_that_are_on_disk_need_no_further_sync);
  CPPUNIT_TEST(pulled_record_is_never_stored_if_the_disk_failed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against rejected turns while each sync takes longer than a call: a
  // retry that waits for the next sync never ends in time.
  void retry_of_a_write_needs_no_further_sync() {
    start_group();
    stores_[2].reset();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    close_gates();
    std::vector<std::error_code> stored;
    const auto on_stored = [&](std::error_code failed) {
      stored.push_back(failed);
      loop_->stop();
    };
    for (int request = 1; request <= 2; ++request) {
      client_->keep(turn("t2", "t1", "two"), call_timeout, on_stored);
      wait_for_writes(1 + request);
    }
    admit_syncs(1);
    while (stored.size() < 2) {
      run();
    }

    CPPUNIT_ASSERT_EQUAL(std::error_code(), stored[0]);
    CPPUNIT_ASSERT_EQUAL(std::error_code(), stored[1]);
  }

  // Guards against a voter that forgets a confirmed fence in a loss of power,
  // and acknowledges a write that the new group does not know.
  void fence_is_confirmed_once_its_group_is_on_disk() {
    constexpr milliseconds stall{300};
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    records::FenceRequest fence;
    *fence.mutable_group() = client_->group();
    fence.mutable_group()->set_epoch(2);
    close_gates();
    stores_[0]->server.adopt(fence.group(), nullptr);
    bool on_disk = false;
    const timer stall_end = loop_->after(stall, [&] {
      on_disk = true;
      open_gates();
    });
    std::optional<bool> confirmed_on_disk;
    const rpc_call call = pool_->ask<records::FenceReply>(
        local(ports_[0]), "Fence", fence, call_timeout,
        [&](const result<records::FenceReply>& reply) {
          confirmed_on_disk = reply && on_disk;
          loop_->stop();
        });
    run();
    CPPUNIT_ASSERT(confirmed_on_disk.has_value());
    CPPUNIT_ASSERT(*confirmed_on_disk);
  }

  // Guards against rejected turns while the disks of all stores are slow.
  void write_outlasts_its_limit_while_the_disks_are_slow() {
    constexpr milliseconds limit{200};
    constexpr milliseconds stall{1500};
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    close_gates();
    const timer stall_end = loop_->after(stall, [this] { open_gates(); });
    CPPUNIT_ASSERT_EQUAL(std::error_code(),
                         keep(turn("t2", "t1", "two"), limit));
  }

  // Guards against 503 in place of 404: a turn that cannot run needs no durable
  // reservation.
  void missing_turn_is_reported_while_the_disks_are_slow() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    close_gates();
    const result<reserved_turn> reply = reserve(reservation("t3", 10), "t2");
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT(!reply.value().chain_found);
  }

  // Guards against a report that counts as an acknowledgement: earlier versions
  // take the last message of a call as its reply.
  void relay_sends_no_reports_to_a_gateway_of_an_earlier_version() {
    start_group();
    rpc_server relay(*loop_, {});
    serve_relays(relay, *pool_, *client_);
    CPPUNIT_ASSERT(relay.listen(address::parse(local(ports_[4])).value()));
    records::RelayRequest request;
    request.set_address(local(ports_[0]));
    request.mutable_write()->set_store(stores_[0]->server.state().id());
    request.mutable_write()->set_epoch(1);
    *request.mutable_write()->mutable_record() = turn("t1", "", "one");
    stores_[0]->syncs.close();
    const timer poll = loop_->every(milliseconds(1), [this] {
      if (stores_[0] != nullptr && reports_sent(*stores_[0]) > 0) {
        stores_[0].reset();
      }
    });
    std::optional<std::error_code> failed;
    const rpc_call call = pool_->ask<records::WriteReply>(
        local(ports_[4]), "Relay", request, call_timeout,
        [&](const result<records::WriteReply>& reply) {
          failed = reply ? std::error_code() : reply.error();
          loop_->stop();
        });
    run();

    CPPUNIT_ASSERT(failed.has_value());
    CPPUNIT_ASSERT(stores_[0] == nullptr);  // it has sent a report
    TRAYROCK_CHECK(bool(*failed),
                   "expected an error, seen a reply although the "
                   "record is not on disk");
  }

  // Guards against a store that counts as a voter ahead of its disk: a pull is
  // repeated while the records of the first one are being written.
  void record_pulled_again_is_stored_once_it_is_on_disk() {
    start_group();
    wait_for_earlier_writes();
    close_gates();
    int stored = 0;
    for (int pull = 1; pull <= 2; ++pull) {
      stores_[0]->server.store_pulled(pulled_turn(), [&] { ++stored; });
    }
    CPPUNIT_ASSERT_EQUAL(0, stored);

    admit_syncs(1);
    run_until([&] { return stored == 2; });
    CPPUNIT_ASSERT_EQUAL(2, stored);
  }

  // Guards against a store that counts as a voter ahead of its disk: a gateway
  // writes the record directly while the store catches up.
  void pulled_record_that_is_being_written_is_stored_once_on_disk() {
    start_group();
    wait_for_earlier_writes();
    close_gates();
    client_->keep(turn("t1", "", "one"), call_timeout, [](std::error_code) {});
    wait_for_writes(1);
    int stored = 0;
    stores_[0]->server.store_pulled(pulled_turn(), [&] { ++stored; });
    CPPUNIT_ASSERT_EQUAL(0, stored);

    admit_syncs(1);
    run_until([&] { return stored == 1; });
    CPPUNIT_ASSERT_EQUAL(1, stored);
  }

  void pulled_records_that_are_on_disk_need_no_further_sync() {
    start_group();
    int stored = 0;
    stores_[0]->server.store_pulled(pulled_turn(), [&] { ++stored; });
    run_until([&] { return stored == 1; });
    close_gates();
    stores_[0]->server.store_pulled(pulled_turn(), [&] { ++stored; });
    CPPUNIT_ASSERT_EQUAL(2, stored);
  }

  // Guards against a store that counts as a voter without its disk.
  void pulled_record_is_never_stored_if_the_disk_failed() {
    start_group();
    stores_[0]->syncs.fail();
    int stored = 0;
    for (int pull = 1; pull <= 2; ++pull) {
      stores_[0]->server.store_pulled(pulled_turn(), [&] { ++stored; });
      wait_for_earlier_writes();
      CPPUNIT_ASSERT_EQUAL(0, stored);
    }
  }

 private:
  static int reports_sent(const store& from) {
    return static_cast<int>(
        from.metrics.value("progress_reports_total", {{"call", "write"}}));
  }

  static records::PullReply pulled_turn() {
    records::PullReply made;
    *made.add_records()->mutable_record() = turn("t1", "", "one");
    return made;
  }

  // Runs until the first store's disk has written all that it was given before,
  // or failed to.
  void wait_for_earlier_writes() {
    bool written = false;
    stores_[0]->server.write_permits({},
                                     [&](std::error_code) { written = true; });
    run_until([&] { return written; });
    CPPUNIT_ASSERT(written);
  }

  // The syncs of all running stores wait from now on.
  void close_gates() {
    for (const auto& each : stores_) {
      if (each != nullptr) {
        each->syncs.close();
      }
    }
  }

  void open_gates() {
    for (const auto& each : stores_) {
      if (each != nullptr) {
        each->syncs.open();
      }
    }
  }

  void admit_syncs(int syncs) {
    for (const auto& each : stores_) {
      if (each != nullptr) {
        each->syncs.admit(syncs);
      }
    }
  }

  // Runs until each running store has received so many writes.
  void wait_for_writes(int count) {
    const auto received = [&] {
      return std::all_of(stores_.begin(), stores_.end(), [&](const auto& each) {
        return each == nullptr || each->writes_received() >= count;
      });
    };
    run_until(received);
    TRAYROCK_CHECK(received(), "expected " << count << " writes at each store");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_disk_test);

}  // namespace
}  // namespace trayrock::testing
