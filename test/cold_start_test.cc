// Tests the limit on requests of all gateways to a cold endpoint.
#include "trayrock/internal/decide/cold_start.h"

#include <algorithm>
#include <random>

#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr std::uint64_t second_ms = 1000;
constexpr int data_centre_count = 5;

std::vector<relay_peer> gateways(int count) {
  std::vector<relay_peer> made;
  made.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    made.push_back({"gateway-" + std::to_string(i), "",
                    "dc-" + std::to_string(i % data_centre_count)});
  }
  return made;
}

std::vector<relay_peer> without(std::vector<relay_peer> all, std::size_t own) {
  all.erase(all.begin() + static_cast<std::ptrdiff_t>(own));
  return all;
}

// How many requests all gateways together may send in a second.
std::uint32_t sum_of_shares(const cold_limit& limit,
                            const endpoint_identity& of,
                            const std::vector<relay_peer>& all) {
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    sum += cold_share(limit, of, "dc-1", all[i], without(all, i));
  }
  return sum;
}

class cold_start_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(cold_start_test);
  CPPUNIT_TEST(shares_add_up_to_the_limit_with_any_number_of_gateways);
  CPPUNIT_TEST(most_of_the_limit_is_assigned);
  CPPUNIT_TEST(gateways_that_join_add_one_share_each);
  CPPUNIT_TEST(gateways_of_the_endpoints_data_centre_come_first);
  CPPUNIT_TEST(shares_are_spread_over_the_gateways);
  CPPUNIT_TEST(window_counts_the_last_second);
  CPPUNIT_TEST_SUITE_END();

 public:
  void shares_add_up_to_the_limit_with_any_number_of_gateways() {
    for (const int count : {1, 2, 4, 20, 23, 91, 354, 700}) {
      for (const double allowed : {0.5, 1.0, 3.0, 26.0, 100.0}) {
        const cold_limit limit{allowed, {}};
        const std::uint32_t sum =
            sum_of_shares(limit, {"engine"}, gateways(count));
        TRAYROCK_CHECK(sum <= std::max(1.0, allowed),
                       count << " gateways send " << sum << " of " << allowed);
      }
    }
  }

  void most_of_the_limit_is_assigned() {
    for (const int count : {1, 4, 20, 354}) {
      const std::uint32_t sum =
          sum_of_shares({26, {}}, {"engine"}, gateways(count));
      TRAYROCK_CHECK(sum >= 20, count << " gateways send " << sum << " of 26");
    }
  }

  // Five gateways have just joined: each has all others in its list of peers,
  // and the others don't have them yet.
  void gateways_that_join_add_one_share_each() {
    constexpr std::size_t joined = 5;
    const std::vector<relay_peer> all = gateways(25);
    const std::vector<relay_peer> known(all.begin(), all.end() - joined);
    std::uint32_t sum = sum_of_shares({26, {}}, {"engine"}, known);
    for (std::size_t i = known.size(); i < all.size(); ++i) {
      sum += cold_share({26, {}}, {"engine"}, "dc-1", all[i], without(all, i));
    }
    TRAYROCK_CHECK(sum <= 26 + 2 * joined, "sum of shares " << sum);
  }

  void gateways_of_the_endpoints_data_centre_come_first() {
    const std::vector<relay_peer> all = gateways(100);
    for (std::size_t i = 0; i < all.size(); ++i) {
      const bool has_share =
          cold_share({26, {}}, {"engine"}, "dc-1", all[i], without(all, i)) > 0;
      TRAYROCK_CHECK(!has_share || all[i].data_centre == "dc-1",
                     all[i].name << " of " << all[i].data_centre);
    }
  }

  void shares_are_spread_over_the_gateways() {
    constexpr int endpoint_count = 100;
    const std::vector<relay_peer> all = gateways(20);
    for (std::size_t i = 0; i < all.size(); ++i) {
      int share_count = 0;
      for (int j = 0; j < endpoint_count; ++j) {
        const endpoint_identity of{"engine-" + std::to_string(j)};
        share_count += cold_share({26, {}}, of, "dc-" + std::to_string(j % 5),
                                  all[i], without(all, i)) > 0
                           ? 1
                           : 0;
      }
      TRAYROCK_CHECK(share_count > 40, all[i].name << " may send to "
                                                   << share_count << " of "
                                                   << endpoint_count);
    }
  }

  void window_counts_the_last_second() {
    one_second_window window;
    window.add(5000);
    window.add(5400);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, window.count(5400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, window.count(5000 + second_ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, window.count(5400 + second_ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_start_test);

}  // namespace
}  // namespace trayrock::testing
