// Tests that records, pulls, documents and messages of any content leave the
// processes running that all get the same ones.
#include <limits>
#include <random>
#include <vector>

#include "records.pb.h"
#include "service_deployment.h"
#include "test_support.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/request_tries.h"

namespace trayrock::testing {
namespace {

constexpr int stores = 3;
constexpr milliseconds call_limit{5000};

std::string store_name(int number) { return "store-" + std::to_string(number); }

// Texts and numbers that readers may not expect.
class drawn_content {
 public:
  explicit drawn_content(unsigned seed) : random_(seed) {}

  std::string text() {
    constexpr std::size_t large = 200000;
    switch (random_() % 8) {
      case 0:
        return {};
      case 1:
        return {"\0\xff\xfe\n\r", 5};
      case 2:
        return std::string(large, 'x');
      case 3:
        return "../../" + std::to_string(random_());
      case 4:
        return "program";
      case 5:
        return "\xc3\x28 not UTF-8";
      default:
        return "t" + std::to_string(random_() % 50);
    }
  }

  std::uint64_t number() {
    switch (random_() % 4) {
      case 0:
        return 0;
      case 1:
        return std::numeric_limits<std::uint64_t>::max();
      case 2:
        return std::uint64_t{1} << (random_() % 64);
      default:
        return random_() % 1000;
    }
  }

  std::uint32_t small_number() { return static_cast<std::uint32_t>(number()); }

  unsigned kind(unsigned count) { return random_() % count; }

 private:
  std::mt19937 random_;
};

records::Record record_of(drawn_content& drawn) {
  records::Record made;
  switch (drawn.kind(4)) {
    case 0: {
      records::Reservation& of = *made.mutable_reservation();
      of.set_program(drawn.text());
      of.set_attempt(drawn.text());
      of.set_tokens(drawn.number());
      of.set_line(drawn.number());
      of.set_time_limit_s(drawn.small_number());
      break;
    }
    case 1: {
      records::Settlement& of = *made.mutable_settlement();
      of.set_program(drawn.text());
      of.set_attempt(drawn.text());
      of.set_tokens(drawn.number());
      of.set_endpoint(drawn.text());
      break;
    }
    case 2: {
      records::Turn& of = *made.mutable_turn();
      of.set_attempt(drawn.text());
      of.set_previous(drawn.text());
      of.set_program(drawn.text());
      of.set_input(drawn.text());
      of.set_output(drawn.text());
      of.set_tokens(drawn.number());
      of.set_retention_s(drawn.small_number());
      break;
    }
    default:
      break;  // a record without content
  }
  return made;
}

class harmful_input_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(harmful_input_test);
  CPPUNIT_TEST(records_of_any_content_leave_stores_running);
  CPPUNIT_TEST(documents_of_any_content_leave_gateways_running);
  CPPUNIT_TEST(tries_of_any_content_leave_stores_and_gateways_running);
  CPPUNIT_TEST(relayed_calls_of_any_content_leave_gateways_running);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A store that joins pulls the same records, and those that run read them
  // again when they start.
  void records_of_any_content_leave_stores_running() {
    service_deployment system;
    system.start_all();
    system.wait_counting();
    drawn_content drawn(1);
    constexpr int records_to_write = 400;
    int accepted = 0;
    for (int i = 0; i < records_to_write; ++i) {
      records::WriteRequest request;
      *request.mutable_record() = record_of(drawn);
      request.set_chain_of(drawn.text());
      request.set_send_chain(drawn.kind(2) == 0);
      request.set_usage_log(drawn.number());
      request.set_usage_position(drawn.number());
      accepted += write_to_all(system, request);
    }
    TRAYROCK_CHECK(accepted > records_to_write,
                   "only " << accepted << " writes were accepted");
    check_stores(system);
    system.replace_disk(store_name(3));
    system.wait_counting();
    system.kill(store_name(1));
    system.start(store_name(1));
    system.wait_counting();
    check_stores(system);
    const std::map<std::string, std::string> headers{
        {"Trayrock-Program-Id", "another"},
        {"Trayrock-Session-Id", "session"},
        {"Trayrock-Token-Budget", "1000"},
        {"Trayrock-Token-Usage", "100,10"}};
    const http_answer turn =
        system.request("gateway-1", "/stream/a", "after", headers, "in");
    CPPUNIT_ASSERT_EQUAL(200, turn.status);
  }

  void documents_of_any_content_leave_gateways_running() {
    service_deployment system;
    system.start_all();
    drawn_content drawn(2);
    const json configuration = system.object("config", "main")["spec"];
    const json group = system.group();
    const json endpoint = service_deployment::endpoint_entry(
        "127.0.0.1:" + std::to_string(system.port("runner-1")), "ready");
    for (int i = 0; i < 150; ++i) {
      const std::string name = "drawn-" + std::to_string(i % 5);
      system.put_object("config", "main", changed(configuration, drawn));
      system.put_object("servers", name, changed(endpoint, drawn));
      system.put_object("trayrock-gateways", name, changed(endpoint, drawn));
      system.put_object("trayrock-record-groups", name, changed(group, drawn));
    }
    json usable = configuration;
    usable["version"] = 1000000;
    system.put_object("config", "main", usable);
    for (int i = 0; i < 5; ++i) {
      for (const char* kind :
           {"servers", "trayrock-gateways", "trayrock-record-groups"}) {
        system.remove_object(kind, "drawn-" + std::to_string(i));
      }
    }
    for (const char* gateway : {"gateway-1", "gateway-2"}) {
      CPPUNIT_ASSERT(system.running(gateway));
      wait_until(std::string(gateway) + " serves", [&] {
        return system.request(gateway, "/safe/a", std::string("a") + gateway)
                   .status == 200;
      });
    }
    check_stores(system);
  }

  void tries_of_any_content_leave_stores_and_gateways_running() {
    service_deployment system;
    system.start_all();
    drawn_content drawn(3);
    const json gateway =
        system.object("trayrock-gateways", "gateway-1")["spec"];
    std::vector<std::string> receivers{gateway["address"]};
    for (const json& each : system.group()["voters"]) {
      receivers.push_back(each["address"]);
    }
    for (int i = 0; i < 200; ++i) {
      records::RequestTries message;
      message.set_wants_tries(drawn.kind(2) == 0);
      message.set_wants_ended(drawn.kind(2) == 0);
      const int count =
          i == 0 ? max_message_tries + 1 : static_cast<int>(drawn.kind(20));
      for (int j = 0; j < count; ++j) {
        records::RequestTry& each = *message.add_tries();
        each.set_request(drawn.number());
        each.mutable_endpoint()->set_id("e" + std::to_string(drawn.kind(50)));
        each.mutable_endpoint()->set_started_ms(drawn.number());
        each.set_stage(static_cast<records::TryStage>(drawn.kind(6)));
        each.set_age_ms(drawn.small_number());
        each.set_owner(drawn.number());
        each.set_ends(drawn.small_number());
        each.set_settle_ms(drawn.small_number());
      }
      for (const std::string& each : receivers) {
        const auto reply =
            ask<records::RequestTriesReply>(each, "RequestTries", message);
        TRAYROCK_CHECK(reply.has_value(), each << " did not reply");
        if (i == 0) {
          CPPUNIT_ASSERT_EQUAL(0, reply->tries_size());
        }
      }
    }
    check_stores(system);
    CPPUNIT_ASSERT(system.running("gateway-1"));
    const std::map<std::string, std::string> headers{
        {"Trayrock-Program-Id", "p"}, {"Trayrock-Session-Id", "s"}};
    CPPUNIT_ASSERT_EQUAL(
        200, system.request("gateway-1", "/safe/a", "a", headers).status);
  }

  void relayed_calls_of_any_content_leave_gateways_running() {
    service_deployment system;
    system.start_all();
    const json gateway =
        system.object("trayrock-gateways", "gateway-1")["spec"];
    drawn_content drawn(4);
    for (int i = 0; i < 200; ++i) {
      records::RelayRequest relayed;
      relayed.set_address(drawn.kind(2) == 0 ? drawn.text() : "127.0.0.1:1");
      relayed.set_accepts_pending(drawn.kind(2) == 0);
      if (drawn.kind(2) == 0) {
        *relayed.mutable_write()->mutable_record() = record_of(drawn);
      }
      ask<records::WriteReply>(gateway["address"], "Relay", relayed);
    }
    CPPUNIT_ASSERT(system.running("gateway-1"));
    CPPUNIT_ASSERT_EQUAL(200,
                         system.request("gateway-1", "/safe/a", "a").status);
  }

 private:
  template <typename reply_type>
  static std::optional<reply_type> ask(
      const std::string& peer, std::string_view method,
      const google::protobuf::MessageLite& message) {
    event_loop loop;
    rpc_pool pool(loop, {});
    std::optional<reply_type> made;
    const rpc_call call = pool.ask<reply_type>(
        peer, method, message, call_limit, [&](result<reply_type> reply) {
          if (reply) {
            made = std::move(reply.value());
          }
          loop.stop();
        });
    loop.run();
    return made;
  }

  // Returns the number of stores that accepted the record.
  static int write_to_all(service_deployment& system,
                          records::WriteRequest request) {
    int accepted = 0;
    const json group = system.group();
    for (const json& each : group["voters"]) {
      request.set_store(each["id"]);
      request.set_epoch(group["epoch"]);
      const auto reply =
          ask<records::WriteReply>(each["address"], "Write", request);
      accepted += reply && (reply->outcome() == records::OUTCOME_OK) ? 1 : 0;
    }
    return accepted;
  }

  static void check_stores(service_deployment& system) {
    for (int i = 1; i <= stores; ++i) {
      CPPUNIT_ASSERT(system.running(store_name(i)));
    }
  }

  // The document with one of its values replaced.
  static json changed(json document, drawn_content& drawn) {
    const json flat = document.flatten();
    const auto at = std::next(
        flat.begin(),
        static_cast<long>(drawn.kind(static_cast<unsigned>(flat.size()))));
    const std::array<json, 8> values{
        json(nullptr), json(-1),
        json(1e300),   json(""),
        json::array(), json::object(),
        json(true),    json(std::string(100000, 'x'))};
    document[json::json_pointer(at.key())] = values[drawn.kind(8)];
    return document;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(harmful_input_test);

}  // namespace
}  // namespace trayrock::testing
