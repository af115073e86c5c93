// Client of the record stores, against stores in the same process.
#include "trayrock/internal/records/record_client.h"

#include <map>
#include <optional>
#include <thread>

#include "record_store_fixture.h"

namespace trayrock::testing {
namespace {

class record_client_test : public record_store_fixture {
  CPPUNIT_TEST_SUITE(record_client_test);
  CPPUNIT_TEST(usage_of_a_large_program_is_complete_at_each_gateway);
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
  CPPUNIT_TEST(process_that_is_behind_calls_stores_once);
  CPPUNIT_TEST(records_survive_a_restart_of_the_stores);
  CPPUNIT_TEST_SUITE_END();

 public:
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
      return made.value().usage->decide(bytes_of(id_of(attempt)), 60, 100) ==
             budget_verdict::fits;
    };
    TRAYROCK_CHECK(!(fits(*first, "a1") && fits(*second, "a2")),
                   "expected at most one of two to fit");
  }

  // Guards against a budget that misses turns: stores send a large program's
  // usage in parts, to several gateways, and forget what they sent in a
  // restart.
  void usage_of_a_large_program_is_complete_at_each_gateway() {
    start_group();
    record_client other(*loop_, *pool_, "dc-1", metrics_);
    other.adopt(client_->group());
    constexpr int turns = 120;
    for (int i = 0; i < turns; ++i) {
      if (i == 60) {
        stores_[0].reset();
        stores_[0] = std::make_unique<store>(*loop_, folder_ + "/0", ports_[0]);
      }
      const std::string attempt = "t" + std::to_string(i);
      record_client& at = i % 7 < 4 ? *client_ : other;
      std::optional<result<reserved_turn>> reply;
      at.reserve(reservation(attempt, 10), "", call_timeout,
                 [&](const result<reserved_turn>& made) {
                   reply = made;
                   loop_->stop();
                 });
      run();
      CPPUNIT_ASSERT(reply && reply->has_value());
      const program_usage& usage = *reply->value().usage;
      const std::uint64_t used = 3 * static_cast<std::uint64_t>(i);
      TRAYROCK_CHECK(
          usage.used() + usage.open() >= used + 10 && usage.used() <= used,
          "turn " << i << ": expected " << used << " tokens used, seen "
                  << usage.used() << " and " << usage.open() << " open");
      CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(settlement(attempt, 3)));
    }
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

  // Guards against a gateway without enough processor time that takes stores
  // for silent, and repeats its calls directly and through relays.
  void process_that_is_behind_calls_stores_once() {
    records::Group group;
    group.set_epoch(1);
    group.set_tolerated(0);
    records::Store& voter = *group.add_voters();
    voter.set_id("prompt");
    voter.set_address(local(ports_[3]));
    rpc_server server(*loop_, {});
    int requests = 0;
    server.handle_typed<records::WriteRequest>(
        "Write", [&](records::WriteRequest&, const rpc_reply_ptr& reply) {
          ++requests;
          reply->send(records::WriteReply());
          reply->finish();
        });
    CPPUNIT_ASSERT(server.listen(address::parse(local(ports_[3])).value()));
    int relays_picked = 0;
    client_->use_relays({[&] {
                           ++relays_picked;
                           return local(ports_[4]);
                         },
                         [](const auto&...) {}, [](const auto&...) {}});
    client_->adopt(group);
    CPPUNIT_ASSERT_EQUAL(std::error_code(), keep(turn("t1", "", "one")));
    requests = 0;
    constexpr milliseconds round_duration{250};
    const timer work = loop_->every(milliseconds(1), [round_duration] {
      std::this_thread::sleep_for(round_duration);
    });
    // The work is due when the call begins, and in each round from then on.
    std::this_thread::sleep_for(round_duration);
    CPPUNIT_ASSERT_EQUAL(std::error_code(),
                         keep(turn("t2", "t1", "two"), max_test_duration));
    CPPUNIT_ASSERT_EQUAL(1, requests);
    CPPUNIT_ASSERT_EQUAL(0, relays_picked);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_client_test);

}  // namespace
}  // namespace trayrock::testing
