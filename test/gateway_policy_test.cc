// What a trial may leave out, and that nothing else changes with it.
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
  CPPUNIT_TEST(every_mechanism_has_a_name_of_its_own);
  CPPUNIT_TEST(each_mechanism_changes_the_policy);
  CPPUNIT_TEST(nothing_is_left_out_by_itself);
  CPPUNIT_TEST(settings_name_what_is_left_out);
  CPPUNIT_TEST(unknown_mechanism_is_a_fault);
  CPPUNIT_TEST(refusal_costs_no_pause_without_refusal_pauses);
  CPPUNIT_TEST(endpoint_is_not_on_trial_without_trials);
  CPPUNIT_TEST(turn_goes_by_load_without_previous_endpoint);
  CPPUNIT_TEST(late_is_the_objective_without_comparison);
  CPPUNIT_TEST(late_endpoint_is_kept_when_none_is_left);
  CPPUNIT_TEST(stopping_gateway_reckons_with_a_fixed_time_without_durations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_mechanism_has_a_name_of_its_own() {
    std::set<mechanism> seen;
    for (const std::string_view name : mechanism_names()) {
      const std::optional<mechanism> known = parse_mechanism(name);
      CPPUNIT_ASSERT_MESSAGE(std::string(name), known.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(name), names_of({*known}));
      seen.insert(*known);
    }
    CPPUNIT_ASSERT_EQUAL(mechanism_names().size(), seen.size());
  }

  void each_mechanism_changes_the_policy() {
    const std::set<mechanism> of_stores{mechanism::ready_learners};
    for (const std::string_view name : mechanism_names()) {
      const mechanism each = *parse_mechanism(name);
      const bool same = policy_without({each}) == gateway_policy();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name), of_stores.contains(each),
                                   same);
    }
  }

  void nothing_is_left_out_by_itself() {
    fault_list faults;
    const gateway_settings read =
        read_gateway_settings(settings_text("{}"), faults);
    CPPUNIT_ASSERT(faults.empty());
    CPPUNIT_ASSERT(policy_without(read.service.trial_without) ==
                   gateway_policy());
  }

  void settings_name_what_is_left_out() {
    fault_list faults;
    const gateway_settings read = read_gateway_settings(
        settings_text(R"({"without": ["relays", "lapses"]})"), faults);
    CPPUNIT_ASSERT(faults.empty());
    const mechanism_set expected{mechanism::relays, mechanism::lapses};
    CPPUNIT_ASSERT_EQUAL(names_of(expected),
                         names_of(read.service.trial_without));
  }

  void unknown_mechanism_is_a_fault() {
    fault_list faults;
    read_gateway_settings(settings_text(R"({"without": ["gravity"]})"), faults);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(errc::settings_out_of_range),
                         static_cast<int>(faults[0].code));
    CPPUNIT_ASSERT_EQUAL(std::string("trial/without"), faults[0].path);
  }

  void refusal_costs_no_pause_without_refusal_pauses() {
    health_policy policy;
    policy.backs_off_after_refusals = false;
    endpoint_health health(policy);
    CPPUNIT_ASSERT(!health.record_refusal(start_ms));
    CPPUNIT_ASSERT(!health.is_in_backoff(start_ms + 1));
  }

  void endpoint_is_not_on_trial_without_trials() {
    health_policy policy;
    policy.has_probation_after_backoff = false;
    endpoint_health health(policy);
    health.record_unreachable(start_ms);
    CPPUNIT_ASSERT(health.is_in_backoff(start_ms + 10));
    CPPUNIT_ASSERT(!health.is_on_probation(start_ms + 1000));
  }

  void turn_goes_by_load_without_previous_endpoint() {
    const auto endpoints = two_endpoints();
    endpoint_criteria wanted;
    wanted.preferred = {"b"};
    endpoints[1]->in_flight = 1;
    choice_policy policy;
    const auto kept = choose_endpoint(endpoints, wanted, policy, start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), kept->record.identity.id);
    policy.keeps_previous = false;
    const auto free = choose_endpoint(endpoints, wanted, policy, start_ms);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), free->record.identity.id);
  }

  void late_is_the_objective_without_comparison() {
    const std::chrono::milliseconds objective(200);
    slow_endpoint_policy policy;
    policy.criterion = objective_only{};
    slow_endpoint_detector rule(policy);
    for (int i = 0; i < 50; ++i) {
      rule.record_first_byte(std::chrono::milliseconds(900));
    }
    CPPUNIT_ASSERT(rule.first_byte_timeout(objective) == objective);
  }

  void late_endpoint_is_kept_when_none_is_left() {
    slow_endpoint_policy policy;
    policy.allows_resend = false;
    CPPUNIT_ASSERT(!slow_endpoint_detector(policy).acquire_resend());
    CPPUNIT_ASSERT(slow_endpoint_detector().acquire_resend());
  }

  void stopping_gateway_reckons_with_a_fixed_time_without_durations() {
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
