// Guards against an endpoint that left during a partition and is still used
// after boxes have had the time to reconnect, because the gateway took its
// record for an expired one.
#include "test_support.h"
#include "trayrock/internal/decide/probe_schedule.h"
#include "trayrock/internal/gateway/endpoint_directory.h"

namespace trayrock::testing {
namespace {

constexpr const char* service = "labels";
constexpr std::uint64_t reconnect_ms = 3000;
constexpr std::uint64_t response_ms = 4;

endpoint named(const std::string& id) {
  endpoint made;
  made.identity.id = id;
  made.service = service;
  made.address = "10.0.0.1:80";
  made.data_centre = "x";
  made.capacity = 4;
  return made;
}

// The endpoint that is chosen for a request that prefers the leaving one.
std::string chosen(const endpoint_directory& endpoints, std::uint64_t now_ms) {
  endpoint_criteria criteria;
  criteria.service = service;
  criteria.preferred = {"leaving"};
  criteria.data_centre = "x";
  const endpoint_state_ptr found = endpoints.choose(criteria, now_ms).endpoint;
  return found == nullptr ? "none" : found->record.identity.id;
}

endpoint_directory directory_of_four() {
  endpoint_directory endpoints;
  endpoints.replace({named("leaving"), named("a"), named("b"), named("c")},
                    false, {1});
  return endpoints;
}

const std::vector<endpoint> without_the_leaving_one{named("a"), named("b"),
                                                    named("c")};

// How calls to the platform fail during the partition.
enum class call_failure { silent, refused };

// A gateway that can't reach the platform until `back_ms`.
class partitioned_gateway {
 public:
  partitioned_gateway(call_failure how, std::uint64_t back_ms)
      : how_(how), back_ms_(back_ms), endpoints_(directory_of_four()) {}

  // Applies the listing that follows the first successful call.
  void list_again() {
    std::uint64_t backoff_ms = 0;
    while (now_ms_ < back_ms_) {
      last_failed_call_ms_ = now_ms_;
      now_ms_ += how_ == call_failure::silent
                     ? schedule_.wait_ms + schedule_.margin_ms
                     : response_ms;
      backoff_ms = next_backoff_ms(schedule_, backoff_ms);
      now_ms_ += backoff_ms;
    }
    now_ms_ += 2 * response_ms;
    endpoints_.replace(without_the_leaving_one, true,
                       {now_ms_, last_failed_call_ms_});
  }

  // The last time at which the leaving endpoint is chosen.
  std::uint64_t last_used_ms() {
    std::uint64_t last = 0;
    constexpr std::uint64_t long_after_ms = 8000;
    constexpr std::uint64_t sweep_ms = 250;
    for (; now_ms_ < back_ms_ + long_after_ms; ++now_ms_) {
      if (now_ms_ % sweep_ms == 0) {
        endpoints_.sweep(now_ms_);
      }
      if (chosen(endpoints_, now_ms_) == "leaving") {
        last = now_ms_;
      }
    }
    return last;
  }

 private:
  call_failure how_;
  std::uint64_t back_ms_;
  probe_schedule schedule_;
  std::uint64_t now_ms_ = 1;
  std::uint64_t last_failed_call_ms_ = 0;
  endpoint_directory endpoints_;
};

class leaving_endpoint_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leaving_endpoint_test);
  CPPUNIT_TEST(endpoint_that_left_in_a_partition_is_dropped_in_time);
  CPPUNIT_TEST(removal_that_looks_like_an_expiry_is_applied_in_time);
  CPPUNIT_TEST(endpoint_is_dropped_in_time_whenever_the_partition_ends);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The call at 19,105 fails and the listing arrives at 20,640. The partition
  // may have ended right after that call, so the endpoint must not be used from
  // 22,105 on.
  void endpoint_that_left_in_a_partition_is_dropped_in_time() {
    endpoint_directory endpoints = directory_of_four();
    endpoints.replace(without_the_leaving_one, true, {20640, 19105});
    CPPUNIT_ASSERT(chosen(endpoints, 19105 + reconnect_ms) != "leaving");
  }

  // The same if one reply removes nearly all records.
  void removal_that_looks_like_an_expiry_is_applied_in_time() {
    endpoint_directory endpoints = directory_of_four();
    for (const char* id : {"leaving", "a", "b"}) {
      endpoints.expire({id}, 0, {20640, 19105});
    }
    CPPUNIT_ASSERT(chosen(endpoints, 19105 + reconnect_ms) != "leaving");
  }

  void endpoint_is_dropped_in_time_whenever_the_partition_ends() {
    constexpr std::uint64_t first_ms = 4000;
    constexpr std::uint64_t last_ms = 16000;
    constexpr std::uint64_t step_ms = 7;
    for (const call_failure how :
         {call_failure::silent, call_failure::refused}) {
      for (std::uint64_t back = first_ms; back < last_ms; back += step_ms) {
        partitioned_gateway gateway(how, back);
        gateway.list_again();
        const std::uint64_t last = gateway.last_used_ms();
        TRAYROCK_CHECK(last < back + reconnect_ms,
                       "partition ends at "
                           << back << ", silent "
                           << (how == call_failure::silent)
                           << "; the endpoint was last chosen " << last - back
                           << " ms later, allowed " << reconnect_ms);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_endpoint_test);

}  // namespace
}  // namespace trayrock::testing
