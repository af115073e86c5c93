// Decisions of gateways and record stores, without I/O.
#include "platform/configuration_entry.h"
#include "platform/documents.h"
#include "platform/messages.h"
#include "test_support.h"
#include "trayrock/internal/decide/event_stream.h"
#include "trayrock/internal/decide/token_budget.h"
#include "trayrock/internal/gateway/endpoint_directory.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t now = 1000;

route route_of(const std::string& prefix) {
  route made;
  made.host = "host";
  made.path_prefix = prefix;
  made.services = {{prefix, 1}};
  return made;
}

endpoint endpoint_of(const std::string& id, const std::string& data_centre) {
  endpoint made;
  made.identity.id = id;
  made.service = "s";
  made.address = "127.0.0.1:1";
  made.data_centre = data_centre;
  made.capacity = 4;
  return made;
}

class gateway_unit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_unit_test);
  CPPUNIT_TEST(longest_prefix_of_the_host_wins);
  CPPUNIT_TEST(service_weights_split_requests_by_key);
  CPPUNIT_TEST(events_are_parsed_across_any_chunk_boundary);
  CPPUNIT_TEST(events_are_counted_without_their_data);
  CPPUNIT_TEST(budget_fits_waits_or_is_spent);
  CPPUNIT_TEST(turn_prefers_the_previous_endpoint);
  CPPUNIT_TEST(failing_endpoint_is_in_backoff_unless_it_is_the_last_one);
  CPPUNIT_TEST(local_data_centre_is_preferred);
  CPPUNIT_TEST(local_data_centre_is_preferred_until_loaded);
  CPPUNIT_TEST(missing_endpoints_expire_with_a_delay_after_an_outage);
  CPPUNIT_TEST(read_and_write_quorums_intersect);
  CPPUNIT_TEST(headers_are_decoded_and_internal_ones_replaced);
  CPPUNIT_TEST(malformed_documents_are_rejected);
  CPPUNIT_TEST(resumable_routes_are_decoded);
  CPPUNIT_TEST(out_of_range_durations_of_a_route_are_bounded);
  CPPUNIT_TEST(refused_attempts_are_no_turns_of_a_program);
  CPPUNIT_TEST_SUITE_END();

 public:
  void longest_prefix_of_the_host_wins() {
    configuration config;
    config.routes = {route_of("/a/"), route_of("/a/b/"), route_of("/c/")};
    CPPUNIT_ASSERT_EQUAL(
        std::string("/a/b/"),
        find_route(config, "host:80", "/a/b/c?q=/c/")->path_prefix);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"),
                         find_route(config, "host", "/a/bc")->path_prefix);
    CPPUNIT_ASSERT(find_route(config, "other", "/a/") == nullptr);
    CPPUNIT_ASSERT(find_route(config, "host", "/d/") == nullptr);
  }

  void service_weights_split_requests_by_key() {
    route split = route_of("/a/");
    split.services = {{"most", 90}, {"few", 10}};
    int few = 0;
    for (int i = 0; i < 1000; ++i) {
      few += pick_service(split, std::to_string(i)) == "few" ? 1 : 0;
    }
    TRAYROCK_CHECK(few > 50 && few < 150, "expected about 100, seen " << few);
    CPPUNIT_ASSERT(pick_service(split, "x") == pick_service(split, "x"));
  }

  void events_are_parsed_across_any_chunk_boundary() {
    const std::string bytes =
        "id: 1\ndata: one\n\nid: 2\r\ndata:two\r\ndata: more\r\n\r\nid: 3\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      event_stream events;
      events.add(bytes.substr(0, cut));
      events.add(bytes.substr(cut));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, events.complete_events());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, events.started_events());
      CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\nmore\n"), events.data());
    }
  }

  // Guards against streams of routes without history that are kept in memory.
  void events_are_counted_without_their_data() {
    event_stream events;
    events.discard_data();
    events.add("data: one\n\ndata: two\n\ndata: th");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, events.complete_events());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, events.started_events());
    CPPUNIT_ASSERT(events.data().empty());
  }

  void budget_fits_waits_or_is_spent() {
    program_usage usage;
    usage.add({"a", 30, true, 20});
    usage.add({"a", 30, false, 0});  // another store still has it as open
    usage.add({"b", 30, false, 0});
    usage.add({"own", 30, false, 0});
    CPPUNIT_ASSERT(usage.decide("own", 30, 80) == budget_verdict::fits);
    CPPUNIT_ASSERT(usage.decide("own", 30, 79) == budget_verdict::wait);
    CPPUNIT_ASSERT(usage.decide("own", 30, 49) == budget_verdict::spent);
  }

  // Guards against first requests that count as part of a program under way
  // once they were refused and are tried again.
  void refused_attempts_are_no_turns_of_a_program() {
    program_usage usage;
    usage.add({"refused", 30, true, 0});
    usage.add({"own", 30, false, 0});
    CPPUNIT_ASSERT(!usage.has_other_turns("own"));
    usage.add({"open", 30, false, 0});
    CPPUNIT_ASSERT(usage.has_other_turns("own"));
  }

  void turn_prefers_the_previous_endpoint() {
    endpoint_directory directory;
    directory.replace({endpoint_of("a", "x"), endpoint_of("b", "x")}, false,
                      {now});
    endpoint_criteria criteria{"s", {"b"}, "x", nullptr, nullptr};
    const auto chosen = directory.choose(criteria, now).endpoint;
    CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen->record.identity.id);

    chosen->in_flight = 100;
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        directory.choose(criteria, now).endpoint->record.identity.id);
  }

  void failing_endpoint_is_in_backoff_unless_it_is_the_last_one() {
    endpoint_directory directory;
    directory.replace({endpoint_of("a", "x"), endpoint_of("b", "x")}, false,
                      {now});
    endpoint_criteria criteria{"s", {"a"}, "x", nullptr, nullptr};
    endpoint_directory::end_attempt(*directory.choose(criteria, now).endpoint,
                                    attempt_outcome::unreachable, 1, now);
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        directory.choose(criteria, now).endpoint->record.identity.id);
    directory.remove({"b"}, 0);
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        directory.choose(criteria, now).endpoint->record.identity.id);
  }

  void local_data_centre_is_preferred() {
    endpoint_directory directory;
    directory.replace({endpoint_of("a", "far"), endpoint_of("b", "near")},
                      false, {now});
    endpoint_criteria criteria{"s", {""}, "near", nullptr, nullptr};
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        directory.choose(criteria, now).endpoint->record.identity.id);
  }

  void local_data_centre_is_preferred_until_loaded() {
    endpoint_directory directory;
    directory.replace({endpoint_of("a", "far"), endpoint_of("b", "near")},
                      false, {now});
    endpoint_criteria criteria{"s", {""}, "near", nullptr, nullptr};
    std::string chosen;
    for (int i = 0; i < 4; ++i) {
      const endpoint_state_ptr to = directory.choose(criteria, now).endpoint;
      endpoint_directory::begin_attempt(*to, now);
      chosen += to->record.identity.id;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("bbab"), chosen);
  }

  void missing_endpoints_expire_with_a_delay_after_an_outage() {
    endpoint_directory directory;
    directory.replace({endpoint_of("a", "x"), endpoint_of("b", "x")}, false,
                      {now});
    directory.replace({endpoint_of("a", "x")}, true, {now});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
    directory.sweep(now + 1500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
    directory.sweep(now + 2500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.size());
    directory.replace({}, false, {now});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  void read_and_write_quorums_intersect() {
    for (std::size_t tolerated = 0; tolerated <= 3; ++tolerated) {
      for (std::size_t voters = tolerated + 1; voters <= 9; ++voters) {
        const std::size_t writes = write_quorum(voters, tolerated);
        const std::size_t reads = read_quorum(voters, tolerated);
        TRAYROCK_CHECK(writes > tolerated && 2 * writes > voters &&
                           reads + writes > voters,
                       voters << " voters, " << tolerated
                              << " losses: " << writes << " and " << reads);
      }
    }
  }

  void headers_are_decoded_and_internal_ones_replaced() {
    http1_request request;
    request.method = "POST";
    request.headers.add("trayrock-attempt-id", "a1");
    request.headers.add("Trayrock-Token-Usage", "1840,136");
    request.headers.add("Trayrock-Prefix-Hash", "5c:800,91:410");
    request.headers.add("Trayrock-Hold", "stolen");
    request.headers.add("Trayrock-Pin-Ms", "9");
    request.headers.add("Connection", "close, X-Private");
    request.headers.add("X-Private", "1");
    request.headers.add("X-Kept", "yes");
    const request_metadata metadata = platform::decode_request(request);
    const http1_request sent = platform::endpoint_request(
        request, {std::chrono::milliseconds(700), "i-1", std::nullopt});

    CPPUNIT_ASSERT_EQUAL(std::string("a1"), metadata.attempt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{136}, metadata.max_output_tokens);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, metadata.prompt.size());
    CPPUNIT_ASSERT(!sent.headers.has("Trayrock-Hold"));
    CPPUNIT_ASSERT(!sent.headers.has("Trayrock-Pin-Ms"));
    CPPUNIT_ASSERT(!sent.headers.has("X-Private"));
    CPPUNIT_ASSERT(sent.headers.has("X-Kept"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("700"),
        std::string(sent.headers.find("Trayrock-Deadline-Ms")));
  }

  void malformed_documents_are_rejected() {
    platform::stored_object object;
    object.name = "main";
    for (const char* spec :
         {"{}", R"({"version": "x", "routes": [], "services": []})",
          R"({"version": 1, "routes": [{}], "services": []})", "3"}) {
      object.spec = nlohmann::json::parse(spec);
      CPPUNIT_ASSERT(!platform::decode_configuration(object));
      CPPUNIT_ASSERT(!platform::decode_endpoint(object));
    }
  }

  void resumable_routes_are_decoded() {
    const route found =
        decoded_route({{"resumable", true}, {"gapTargetMs", 200}});
    CPPUNIT_ASSERT(found.resumable);
    CPPUNIT_ASSERT(found.max_event_gap == std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(!decoded_route(nlohmann::json::object()).resumable);
    CPPUNIT_ASSERT(!platform::decode_configuration(
        configured_with({{"resumable", "yes"}})));
  }

  void out_of_range_durations_of_a_route_are_bounded() {
    using std::chrono::milliseconds;
    const route odd = decoded_route(
        {{"sloMs", -5}, {"gapTargetMs", "long"}, {"timeoutMs", 1e300}});
    CPPUNIT_ASSERT(odd.latency_objective == milliseconds(0));
    CPPUNIT_ASSERT(odd.max_event_gap == milliseconds(0));
    CPPUNIT_ASSERT(odd.timeout > milliseconds(0));
  }

 private:
  // A configuration of one route with additional fields.
  static platform::stored_object configured_with(const nlohmann::json& more) {
    nlohmann::json from = {{"host", "h"},
                           {"pathPrefix", "/a/"},
                           {"type", "streaming"},
                           {"service", "s"}};
    from.update(more);
    platform::stored_object made;
    made.name = "main";
    made.spec = {{"version", 1},
                 {"routes", nlohmann::json::array({from})},
                 {"services", nlohmann::json::array()}};
    return made;
  }

  static route decoded_route(const nlohmann::json& more) {
    const result<configuration> made =
        platform::decode_configuration(configured_with(more));
    CPPUNIT_ASSERT(made);
    return made.value().routes.front();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_unit_test);

}  // namespace
}  // namespace trayrock::testing
