// Guards that each mechanism can be disabled alone, and none is by default.
#include "trayrock/internal/gateway/gateway_policy.h"

#include "test_support.h"
#include "trayrock/internal/settings/service_settings.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t start_ms = 10000;

std::vector<endpoint_state_ptr> two_endpoints(health_policy policy = {}) {
  std::vector<endpoint_state_ptr> made;
  for (const char* id : {"a", "b"}) {
    made.push_back(std::make_shared<endpoint_state>());
    made.back()->record.identity.id = id;
    made.back()->health = endpoint_health(policy);
  }
  return made;
}

std::string settings_text(const std::string& trial) {
  return R"({"name": "g", "box": "b", "data_centre": "d",
             "http_listen": "127.0.0.1:1", "ready_listen": "127.0.0.1:2",
             "rpc_listen": "127.0.0.1:3", "metrics_listen": "127.0.0.1:4",
             "platform": "127.0.0.1:5", "trial": )" +
         trial + "}";
}

class gateway_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(gateway_policy_test);
  CPPUNIT_TEST(mechanism_names_are_unique);
  CPPUNIT_TEST(disabling_a_mechanism_changes_the_policy);
  CPPUNIT_TEST(default_settings_disable_nothing);
  CPPUNIT_TEST(settings_list_disabled_mechanisms);
  CPPUNIT_TEST(unknown_mechanism_is_rejected);
  CPPUNIT_TEST(refusal_causes_no_backoff_when_disabled);
  CPPUNIT_TEST(no_probation_after_backoff_when_disabled);
  CPPUNIT_TEST(turn_is_placed_by_load_when_affinity_is_disabled);
  CPPUNIT_TEST(slow_threshold_is_the_objective_without_comparison);
  CPPUNIT_TEST(slow_endpoint_is_not_abandoned_when_disabled);
  CPPUNIT_TEST(stopping_gateway_assumes_a_fixed_duration_when_disabled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void mechanism_names_are_unique() {
    std::set<mechanism> distinct;
    for (const std::string_view name : mechanism_names()) {
      const std::optional<mechanism> known = parse_mechanism(name);
      CPPUNIT_ASSERT_MESSAGE(std::string(name), known.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(name), names_of({*known}));
      distinct.insert(*known);
    }
    CPPUNIT_ASSERT_EQUAL(mechanism_names().size(), distinct.size());
  }

  void disabling_a_mechanism_changes_the_policy() {
    const std::set<mechanism> of_stores{mechanism::ready_learners};
    for (const std::string_view name : mechanism_names()) {
      const mechanism each = *parse_mechanism(name);
      const bool same = policy_without({each}) == gateway_policy();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name), of_stores.contains(each),
                                   same);
    }
  }

  void default_settings_disable_nothing() {
    fault_list faults;
    const gateway_settings read =
        read_gateway_settings(settings_text("{}"), faults);
    CPPUNIT_ASSERT(faults.empty());
    CPPUNIT_ASSERT(policy_without(read.service.trial_without) ==
                   gateway_policy());
  }

  void settings_list_disabled_mechanisms() {
    fault_list faults;
    const gateway_settings read = read_gateway_settings(
        settings_text(R"({"without": ["relays", "lapses"]})"), faults);
    CPPUNIT_ASSERT(faults.empty());
    const mechanism_set expected{mechanism::relays, mechanism::lapses};
    CPPUNIT_ASSERT_EQUAL(names_of(expected),
                         names_of(read.service.trial_without));
  }

  void unknown_mechanism_is_rejected() {
    fault_list faults;
    read_gateway_settings(settings_text(R"({"without": ["gravity"]})"), faults);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(errc::settings_out_of_range),
                         static_cast<int>(faults[0].code));
    CPPUNIT_ASSERT_EQUAL(std::string("trial/without"), faults[0].path);
  }

  void refusal_causes_no_backoff_when_disabled() {
    health_policy policy;
    policy.backs_off_after_refusals = false;
    endpoint_health health(policy);
    CPPUNIT_ASSERT(!health.record_refusal(start_ms));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 1));
  }

  void no_probation_after_backoff_when_disabled() {
    health_policy policy;
    policy.has_probation_after_backoff = false;
    endpoint_health health(policy);
    health.record_unreachable(start_ms);
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 10));
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 1000));
  }

  void turn_is_placed_by_load_when_affinity_is_disabled() {
    const auto endpoints = two_endpoints();
    endpoint_criteria criteria;
    criteria.preferred = {"b"};
    endpoints[1]->in_flight = 1;
    choice_policy policy;
    const auto kept =
        choose_endpoint(endpoints, criteria, policy, start_ms).endpoint;
    CPPUNIT_ASSERT_EQUAL(std::string("b"), kept->record.identity.id);
    policy.keeps_previous = false;
    const auto free =
        choose_endpoint(endpoints, criteria, policy, start_ms).endpoint;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), free->record.identity.id);
  }

  void slow_threshold_is_the_objective_without_comparison() {
    const std::chrono::milliseconds objective(200);
    slow_endpoint_policy policy;
    policy.criterion = objective_only{};
    slow_endpoint_detector detector(policy);
    for (int i = 0; i < 50; ++i) {
      detector.record_first_byte(std::chrono::milliseconds(900));
    }
    CPPUNIT_ASSERT(detector.first_byte_timeout(objective) == objective);
  }

  void slow_endpoint_is_not_abandoned_when_disabled() {
    slow_endpoint_policy policy;
    policy.allows_resend = false;
    CPPUNIT_ASSERT(!slow_endpoint_detector(policy).acquire_resend());
    CPPUNIT_ASSERT(slow_endpoint_detector().acquire_resend());
  }

  void stopping_gateway_assumes_a_fixed_duration_when_disabled() {
    duration_estimator durations{by_fixed_time{}};
    for (int i = 0; i < 50; ++i) {
      durations.add("chat", std::chrono::milliseconds(20));
    }
    CPPUNIT_ASSERT(durations.needed("chat", partial_delivery::no) ==
                   duration_estimator::unknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_policy_test);

}  // namespace
}  // namespace trayrock::testing
