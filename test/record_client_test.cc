// Client of the record stores, against stores in the same process.
#include "trayrock/internal/records/record_client.h"

#include <algorithm>
#include <filesystem>
#include <optional>

#include "deployment.h"
#include "slow_files.h"
#include "test_support.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds call_timeout{5000};
constexpr milliseconds max_test_duration{10000};

std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

// A store with its own disk and port.
struct store {
  store(event_loop& loop, const std::string& folder_in, int port_in)
      : folder(folder_in),
        port(port_in),
        rpc(loop, {}),
        server(loop, rpc, metrics) {
    CPPUNIT_ASSERT(
        !server.open_disk(std::make_unique<slow_files>(folder, syncs)));
    CPPUNIT_ASSERT(rpc.listen(address::parse(local(port)).value()));
    server.start([] {});
  }

  ~store() { syncs.open(); }
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  // Write requests that were received, whatever their outcome.
  int writes_received() const {
    return static_cast<int>(
        metrics.value("record_writes_total", {{"outcome", "OUTCOME_OK"}}));
  }

  std::string folder;
  int port;
  sync_gate syncs;
  metrics_registry metrics;
  rpc_server rpc;
  record_server server;
};

records::Record turn(const std::string& attempt, const std::string& previous,
                     const std::string& text) {
  records::Record made;
  made.mutable_turn()->set_attempt(attempt);
  made.mutable_turn()->set_previous(previous);
  made.mutable_turn()->set_program("program");
  made.mutable_turn()->set_input(text);
  made.mutable_turn()->set_tokens(5);
  made.mutable_turn()->set_retention_s(60);
  return made;
}

records::Reservation reservation(const std::string& attempt,
                                 std::uint64_t tokens) {
  records::Reservation made;
  made.set_program("program");
  made.set_attempt(attempt);
  made.set_tokens(tokens);
  return made;
}

class record_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_client_test);
  CPPUNIT_TEST(two_of_three_stores_make_a_record_durable);
  CPPUNIT_TEST(one_of_three_stores_does_not_make_a_record_durable);
  CPPUNIT_TEST(reservations_see_each_other);
  CPPUNIT_TEST(missing_turn_requires_replies_of_a_read_quorum);
  CPPUNIT_TEST(chain_is_read_although_the_nearest_voter_lost_its_disk);
  CPPUNIT_TEST(operation_continues_in_the_next_epoch);
  CPPUNIT_TEST(unreachable_stores_are_called_through_a_relay);
  CPPUNIT_TEST(relay_that_cannot_reach_the_store_is_replaced);
  CPPUNIT_TEST(replaced_store_is_retried_at_a_low_rate);
  CPPUNIT_TEST(slow_stores_are_not_called_through_relays);
  CPPUNIT_TEST(records_survive_a_restart_of_the_stores);
  CPPUNIT_TEST(retry_of_a_write_needs_no_further_sync);
  CPPUNIT_TEST(fence_is_confirmed_once_its_group_is_on_disk);
  CPPUNIT_TEST(write_outlasts_its_limit_while_the_disks_are_slow);
  CPPUNIT_TEST(missing_turn_is_reported_while_the_disks_are_slow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "trayrock-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    loop_ = std::make_unique<event_loop>();
    ports_ = free_ports(6);
    pool_ = std::make_unique<rpc_pool>(*loop_, rpc_limits{});
    client_ = std::make_unique<record_client>(*loop_, *pool_, "dc-0", metrics_);
  }

  void tearDown() override {
    client_.reset();
    pool_.reset();
    stores_.clear();
    loop_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void two_of_three_stores_make_a_record_durable() {
    start_group();
    stores_[2].reset();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), read("t1").text);
  }

  void one_of_three_stores_does_not_make_a_record_durable() {
    start_group();
    stores_[1].reset();
    stores_[2].reset();
    const std::error_code failed =
        keep(turn("t1", "", "one"), milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(make_error_code(errc::not_durable), failed);
  }

  void reservations_see_each_other() {
    start_group();
    std::optional<result<reserved_turn>> first;
    std::optional<result<reserved_turn>> second;
    client_->reserve(reservation("a1", 60), "", call_timeout,
                     [&](const result<reserved_turn>& made) { first = made; });
    client_->reserve(reservation("a2", 60), "", call_timeout,
                     [&](const result<reserved_turn>& made) {
                       second = made;
                       loop_->stop();
                     });
    run();
    CPPUNIT_ASSERT(first && first->has_value());
    CPPUNIT_ASSERT(second && second->has_value());
    const auto fits = [](const result<reserved_turn>& made,
                         const std::string& attempt) {
      return made.value().usage.decide(bytes_of(id_of(attempt)), 60, 100) ==
             budget_verdict::fits;
    };
    TRAYROCK_CHECK(!(fits(*first, "a1") && fits(*second, "a2")),
                   "expected at most one of two to fit");
  }

  void missing_turn_requires_replies_of_a_read_quorum() {
    start_group();
    CPPUNIT_ASSERT(!read("t1").chain_found);
    stores_[1].reset();
    stores_[2].reset();
    std::optional<result<reserved_turn>> reply;
    client_->reserve({}, "t1", milliseconds(300),
                     [&](const result<reserved_turn>& made) {
                       reply = made;
                       loop_->stop();
                     });
    run();
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT_EQUAL(make_error_code(errc::history_unavailable),
                         reply->error());
  }

  // Guards against failed reads in the data centre of a voter that lost its
  // disk, until that voter is replaced.
  void chain_is_read_although_the_nearest_voter_lost_its_disk() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    stores_[0].reset();
    stores_[0] = std::make_unique<store>(*loop_, folder_ + "/empty", ports_[0]);
    // Reconnects to the box before the chain is read.
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t2", "t1", "two")));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), read("t1").text);
  }

  void operation_continues_in_the_next_epoch() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one ")));
    records::Group next = client_->group();
    next.set_epoch(2);
    for (const auto& each : stores_) {
      each->server.adopt(next, nullptr);
    }
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t2", "t1", "two")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, client_->group().epoch());
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), read("t2").text);
  }

  // Guards against rejected turns at a gateway that is partitioned from the
  // stores, but not from other gateways.
  void unreachable_stores_are_called_through_a_relay() {
    start_group();
    records::Group unreachable_group = client_->group();
    std::map<std::string, std::string> real;
    for (records::Store& each : *unreachable_group.mutable_voters()) {
      const std::string nowhere = local(ports_[3]);
      real[nowhere + each.id()] = each.address();
      each.set_address(nowhere);
    }
    rpc_server relay(*loop_, {});
    relay.handle_typed<records::RelayRequest>(
        "Relay",
        [&](records::RelayRequest& request, const rpc_reply_ptr& reply) {
          auto call = std::make_shared<rpc_call>();
          *call = pool_->ask<records::WriteReply>(
              real.at(request.address() + request.write().store()), "Write",
              request.write(), call_timeout,
              [reply, call](const result<records::WriteReply>& received) {
                reply->send(received.value());
                reply->finish();
              });
        });
    CPPUNIT_ASSERT(relay.listen(address::parse(local(ports_[4])).value()));
    record_client isolated(*loop_, *pool_, "dc-0", metrics_);
    isolated.use_relays(
        {[&] { return local(ports_[4]); }, [](const auto&...) {}, {}});
    isolated.adopt(unreachable_group);
    std::optional<std::error_code> stored;
    isolated.keep(turn("t1", "", "one"), call_timeout,
                  [&](std::error_code failed) {
                    stored = failed;
                    loop_->stop();
                  });
    run();
    CPPUNIT_ASSERT(stored.has_value());
    CPPUNIT_ASSERT_EQUAL(std::error_code(), *stored);
  }

  // Guards against a partitioned gateway that keeps using a relay that is
  // partitioned from the stores as well.
  void relay_that_cannot_reach_the_store_is_replaced() {
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(0);
    records::Store& voter = *group.add_voters();
    voter.set_id("far");
    voter.set_address(local(ports_[3]));  // no process listens there
    const std::string unreachable_address = local(ports_[4]);
    const std::string reachable_address = local(ports_[5]);
    rpc_server isolated_relay(*loop_, {});
    isolated_relay.handle_typed<records::RelayRequest>(
        "Relay", [](records::RelayRequest&, const rpc_reply_ptr& reply) {
          reply->finish();
        });
    rpc_server reachable_relay(*loop_, {});
    reachable_relay.handle_typed<records::RelayRequest>(
        "Relay", [](records::RelayRequest&, const rpc_reply_ptr& reply) {
          reply->send(records::WriteReply());
          reply->finish();
        });
    CPPUNIT_ASSERT(
        isolated_relay.listen(address::parse(unreachable_address).value()));
    CPPUNIT_ASSERT(
        reachable_relay.listen(address::parse(reachable_address).value()));
    std::string picked = unreachable_address;
    relay_source relays;
    relays.pick = [&] { return picked; };
    relays.on_failure = [&](const auto&...) { picked = reachable_address; };
    client_->use_relays(relays);
    client_->adopt(group);
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
  }

  // Guards against a high rate of retries to a voter that lost its disk.
  void replaced_store_is_retried_at_a_low_rate() {
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(0);
    records::Store& voter = *group.add_voters();
    voter.set_id("lost");
    voter.set_address(local(ports_[3]));
    rpc_server server(*loop_, {});
    int requests = 0;
    server.handle_typed<records::WriteRequest>(
        "Write", [&](records::WriteRequest&, const rpc_reply_ptr& reply) {
          ++requests;
          records::WriteReply message;
          message.set_outcome(records::OUTCOME_WRONG_STORE);
          reply->send(message);
          reply->finish();
        });
    CPPUNIT_ASSERT(server.listen(address::parse(local(ports_[3])).value()));
    client_->adopt(group);
    const std::error_code failed =
        keep(turn("t1", "", "one"), milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(make_error_code(errc::not_durable), failed);
    TRAYROCK_CHECK(requests >= 1 && requests <= 3,
                   "expected one to three requests, seen " << requests);
  }

  // Guards against overload of slow stores by relayed copies of each call.
  void slow_stores_are_not_called_through_relays() {
    constexpr milliseconds slow{200};
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(0);
    records::Store& voter = *group.add_voters();
    voter.set_id("slow");
    voter.set_address(local(ports_[3]));
    rpc_server server(*loop_, {});
    std::vector<timer> replies;
    server.handle_typed<records::WriteRequest>(
        "Write", [&](records::WriteRequest&, const rpc_reply_ptr& reply) {
          replies.push_back(loop_->after(slow, [reply] {
            reply->send(records::WriteReply());
            reply->finish();
          }));
        });
    CPPUNIT_ASSERT(server.listen(address::parse(local(ports_[3])).value()));
    int relays_picked = 0;
    client_->use_relays({[&] {
                           ++relays_picked;
                           return local(ports_[4]);
                         },
                         [](const auto&...) {},
                         {},
                         max_test_duration});
    client_->adopt(group);
    for (const char* attempt : {"t1", "t2", "t3"}) {
      CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn(attempt, "", "one")));
    }
    CPPUNIT_ASSERT_EQUAL(0, relays_picked);
  }

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
    std::optional<result<reserved_turn>> reply;
    client_->reserve(reservation("t3", 10), "t2", call_timeout,
                     [&](const result<reserved_turn>& made) {
                       reply = made;
                       loop_->stop();
                     });
    run();
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT(reply->has_value());
    CPPUNIT_ASSERT(!reply->value().chain_found);
  }

  void records_survive_a_restart_of_the_stores() {
    start_group();
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    for (auto& each : stores_) {
      const std::string folder = each->folder;
      const int port = each->port;
      each.reset();
      each = std::make_unique<store>(*loop_, folder, port);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("one"), read("t1").text);
  }

 private:
  void start_group() {
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(1);
    for (int i = 0; i < 3; ++i) {
      stores_.push_back(std::make_unique<store>(
          *loop_, folder_ + "/" + std::to_string(i), ports_[i]));
      records::Store& voter = *group.add_voters();
      voter.set_id(stores_.back()->server.state().id());
      voter.set_address(local(ports_[i]));
      voter.set_data_centre("dc-" + std::to_string(i));
    }
    for (const auto& each : stores_) {
      each->server.adopt(group, nullptr);
      each->server.set_counts(true);
    }
    client_->adopt(group);
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
      each->syncs.open();
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
    const timer poll = loop_->every(milliseconds(1), [&] {
      if (received()) {
        loop_->stop();
      }
    });
    run();
    TRAYROCK_CHECK(received(), "expected " << count << " writes at each store");
  }

  void run() {
    const timer limit =
        loop_->after(max_test_duration, [this] { loop_->stop(); });
    loop_->run();
  }

  std::error_code keep(const records::Record& record,
                       milliseconds limit = call_timeout) {
    std::optional<std::error_code> stored;
    client_->keep(record, limit, [&](std::error_code failed) {
      stored = failed;
      loop_->stop();
    });
    run();
    CPPUNIT_ASSERT(stored.has_value());
    return *stored;
  }

  reserved_turn read(const std::string& attempt) {
    std::optional<result<reserved_turn>> reply;
    client_->reserve({}, attempt, call_timeout,
                     [&](const result<reserved_turn>& made) {
                       reply = made;
                       loop_->stop();
                     });
    run();
    CPPUNIT_ASSERT(reply.has_value());
    CPPUNIT_ASSERT(reply->has_value());
    return reply->value();
  }

  std::string folder_;
  std::vector<int> ports_;
  std::unique_ptr<event_loop> loop_;
  metrics_registry metrics_;
  std::unique_ptr<rpc_pool> pool_;
  std::unique_ptr<record_client> client_;
  std::vector<std::unique_ptr<store>> stores_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_client_test);

}  // namespace
}  // namespace trayrock::testing
