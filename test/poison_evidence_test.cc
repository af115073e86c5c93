// Tests the bound on endpoints that end under one request where no refused
// connection shows that they have ended, and where gateways don't know of each
// other's tries.
#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"
#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

constexpr int runners = 10;
constexpr int max_ended = 3;
constexpr int repeats = 9;

using header_map = std::map<std::string, std::string>;

std::string runner_name(int number) {
  return "runner-" + std::to_string(number);
}

std::string gateway_name(int number) {
  return "gateway-" + std::to_string(number);
}

header_map program_headers() {
  return {{"Trayrock-Program-Id", "program"},
          {"Trayrock-Session-Id", "session"}};
}

// Occupies the queue of connections of a stopped process, so that further
// connections to it get no reply.
class full_backlog {
 public:
  explicit full_backlog(int port) {
    constexpr int more_than_any_backlog = 600;
    const sockaddr_in to = loopback(port);
    for (int i = 0; i < more_than_any_backlog; ++i) {
      const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Those beyond the queue stay in progress.
      static_cast<void>(
          connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
      sockets_.push_back(made);
    }
  }
  full_backlog(const full_backlog&) = delete;
  full_backlog& operator=(const full_backlog&) = delete;
  ~full_backlog() {
    for (const int each : sockets_) {
      close(each);
    }
  }

 private:
  std::vector<int> sockets_;
};

// Processes that ended under fatal requests, counted by their logs.
int ended(const service_deployment& system) {
  std::size_t count = 0;
  for (int i = 1; i <= runners; ++i) {
    count += system.log_lines(runner_name(i), "ends under ");
  }
  return static_cast<int>(count);
}

void check_ended(const service_deployment& system) {
  const int count = ended(system);
  TRAYROCK_CHECK(count > 0, "no endpoint has ended");
  TRAYROCK_CHECK(count <= max_ended,
                 "expected at most "
                     << max_ended << " endpoints to have ended, saw " << count);
}

class poison_evidence_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(poison_evidence_test);
  CPPUNIT_TEST(boxes_that_go_dark_count);
  CPPUNIT_TEST(boxes_that_go_dark_under_a_programs_call_count);
  CPPUNIT_TEST(endpoints_behind_proxies_that_accept_connections_count);
  CPPUNIT_TEST(endpoints_behind_proxies_count_outside_of_programs);
  CPPUNIT_TEST(copies_at_six_gateways_end_three_endpoints);
  CPPUNIT_TEST(copies_outside_of_programs_at_six_gateways_end_three_endpoints);
  CPPUNIT_TEST(copies_outside_of_programs_that_end_midway_end_three_endpoints);
  CPPUNIT_TEST(
      copies_at_six_gateways_without_record_stores_end_three_endpoints);
  CPPUNIT_TEST(copies_outside_of_programs_without_record_stores_end_three);
  CPPUNIT_TEST(turns_copied_to_six_gateways_end_three_endpoints);
  CPPUNIT_TEST(gateways_that_cannot_reach_each_other_share_the_bound);
  CPPUNIT_TEST(cut_off_gateways_share_the_bound_outside_of_programs);
  CPPUNIT_TEST(gateways_that_are_killed_during_their_tries_share_the_bound);
  CPPUNIT_TEST(
      killed_gateways_share_the_bound_for_requests_outside_of_programs);
  CPPUNIT_TEST(ends_of_one_endpoint_under_the_same_id_count);
  CPPUNIT_TEST(ends_under_the_same_id_count_outside_of_programs);
  CPPUNIT_TEST(program_is_served_after_boxes_went_dark);
  CPPUNIT_TEST(program_is_served_without_record_stores);
  CPPUNIT_TEST(alike_requests_outside_of_programs_are_all_served);
  CPPUNIT_TEST(alike_requests_are_served_without_record_stores);
  CPPUNIT_TEST(alike_requests_are_served_after_three_endpoints_crashed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void boxes_that_go_dark_count() { check_dark_boxes({}); }

  void boxes_that_go_dark_under_a_programs_call_count() {
    check_dark_boxes(program_headers());
  }

  void endpoints_behind_proxies_that_accept_connections_count() {
    check_proxies(program_headers());
  }

  void endpoints_behind_proxies_count_outside_of_programs() {
    check_proxies({});
  }

  void copies_at_six_gateways_end_three_endpoints() {
    check_copies([](service_deployment& system, int gateway, int copy) {
      system.request(gateway_name(gateway), "/safe/fatal-late",
                     "c" + std::to_string(gateway) + "-" + std::to_string(copy),
                     program_headers());
    });
  }

  void copies_outside_of_programs_at_six_gateways_end_three_endpoints() {
    check_copies([](service_deployment& system, int gateway, int copy) {
      system.request(
          gateway_name(gateway), "/safe/fatal-late",
          "c" + std::to_string(gateway) + "-" + std::to_string(copy));
    });
  }

  void copies_outside_of_programs_that_end_midway_end_three_endpoints() {
    check_copies([](service_deployment& system, int gateway, int copy) {
      system.request(
          gateway_name(gateway), "/resumable-stream/fatal-midway",
          "c" + std::to_string(gateway) + "-" + std::to_string(copy));
    });
  }

  void copies_at_six_gateways_without_record_stores_end_three_endpoints() {
    check_copies(
        [](service_deployment& system, int gateway, int copy) {
          system.request(
              gateway_name(gateway), "/safe/fatal-late",
              "c" + std::to_string(gateway) + "-" + std::to_string(copy),
              program_headers());
        },
        0);
  }

  void copies_outside_of_programs_without_record_stores_end_three() {
    check_copies(
        [](service_deployment& system, int gateway, int copy) {
          system.request(
              gateway_name(gateway), "/safe/fatal-late",
              "c" + std::to_string(gateway) + "-" + std::to_string(copy));
        },
        0);
  }

  void turns_copied_to_six_gateways_end_three_endpoints() {
    check_copies([](service_deployment& system, int gateway, int copy) {
      system.turn(gateway_name(gateway),
                  "c" + std::to_string(gateway) + "-" + std::to_string(copy),
                  "", "in", 1000, "/stream/fatal-late");
    });
  }

  void gateways_that_cannot_reach_each_other_share_the_bound() {
    check_gateways_that_are_cut_off(program_headers());
  }

  void cut_off_gateways_share_the_bound_outside_of_programs() {
    check_gateways_that_are_cut_off({});
  }

  void gateways_that_are_killed_during_their_tries_share_the_bound() {
    check_killed_gateways(program_headers());
  }

  void killed_gateways_share_the_bound_for_requests_outside_of_programs() {
    check_killed_gateways({});
  }

  void ends_of_one_endpoint_under_the_same_id_count() {
    check_ends_under_the_same_id(program_headers());
  }

  void ends_under_the_same_id_count_outside_of_programs() {
    check_ends_under_the_same_id({});
  }

  void program_is_served_after_boxes_went_dark() {
    service_options options;
    options.runners = runners;
    service_deployment system(options);
    system.start_all();
    for (int repeat = 0; repeat < 2; ++repeat) {
      system.request("gateway-1", "/unsafe/fatal-dark",
                     "dark" + std::to_string(repeat),
                     {{"Trayrock-Deadline-Ms", "400"}}, "body");
    }
    for (int number = 0; number < 20; ++number) {
      const std::string attempt = "a" + std::to_string(number);
      const http_answer answer =
          system.request(gateway_name(1 + number % 2), "/safe/" + attempt,
                         attempt, program_headers());
      TRAYROCK_CHECK(answer.status == 200, "request " << number << " got "
                                                      << answer.status << ": "
                                                      << answer.body);
    }
  }

  void program_is_served_without_record_stores() {
    service_deployment system;
    system.start_all();
    for (int i = 1; i <= 3; ++i) {
      system.kill("store-" + std::to_string(i));
    }
    const http_answer answer =
        system.request("gateway-1", "/safe/a", "a", program_headers());
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
  }

  // Clients that ask for the same at the same moment.
  void alike_requests_outside_of_programs_are_all_served() {
    constexpr int gateways = 4;
    service_options options;
    options.runners = runners;
    options.gateways = gateways;
    options.runner_pause_ms = 40;
    service_deployment system(options);
    system.start_all();
    spread_over_data_centres(system, gateways);
    check_alike_requests(system, gateways, "/stream/alike");
  }

  void alike_requests_are_served_after_three_endpoints_crashed() {
    constexpr int clients = 30;
    constexpr int crashed = 3;
    service_options options;
    options.runners = runners;
    options.runner_pause_ms = 100;
    service_deployment system(options);
    system.start_all();
    std::atomic<bool> settled = false;
    std::atomic<bool> over = false;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    {
      std::vector<std::jthread> running;
      running.reserve(clients);
      for (int i = 0; i < clients; ++i) {
        running.emplace_back([&, i] {
          for (int repeat = 0; !over; ++repeat) {
            const bool counts = settled;
            const http_answer answer = system.request(
                gateway_name(1 + i % options.gateways),
                "/resumable-stream/alike",
                "a" + std::to_string(i) + "-" + std::to_string(repeat));
            sent += counts ? 1 : 0;
            served += counts && answer.status == 200 ? 1 : 0;
          }
        });
      }
      std::this_thread::sleep_for(std::chrono::seconds(1));
      for (int i = 1; i <= crashed; ++i) {
        system.kill(runner_name(i));
      }
      std::this_thread::sleep_for(std::chrono::seconds(2));
      settled = true;
      std::this_thread::sleep_for(std::chrono::seconds(1));
      over = true;
    }
    TRAYROCK_CHECK(system.log_lines("gateway-1", "\"endpoint_ended\"") > 0,
                   "no end was counted");
    TRAYROCK_CHECK(sent > 0 && served == sent,
                   served << " of " << sent << " requests were served");
  }

  void alike_requests_are_served_without_record_stores() {
    service_options options;
    options.runners = runners;
    service_deployment system(options);
    system.start_all();
    for (int i = 1; i <= options.stores; ++i) {
      system.kill("store-" + std::to_string(i));
    }
    check_alike_requests(system, options.gateways, "/safe/alike");
  }

 private:
  using send_copy = std::function<void(service_deployment&, int, int)>;

  static void check_dark_boxes(header_map headers) {
    service_options options;
    options.runners = runners;
    service_deployment system(options);
    system.start_all();
    headers["Trayrock-Deadline-Ms"] = "400";
    std::map<int, full_backlog> dark;
    http_answer answer;
    // An endpoint that is dark already may be chosen again.
    for (int repeat = 0; repeat < 2 * repeats; ++repeat) {
      answer =
          system.request(gateway_name(1 + repeat % 2), "/unsafe/fatal-dark",
                         "a" + std::to_string(repeat), headers, "body");
      for (int i = 1; i <= runners; ++i) {
        const std::string name = runner_name(i);
        if (!dark.contains(i) && system.log_lines(name, "ends under ") > 0) {
          dark.try_emplace(i, system.port(name));
        }
      }
    }
    check_ended(system);
    CPPUNIT_ASSERT(answer.status != 200);
  }

  static void check_proxies(const header_map& headers) {
    service_options options;
    options.runners = runners;
    options.links = true;
    service_deployment system(options);
    system.start_all();
    for (int repeat = 0; repeat < repeats; ++repeat) {
      system.request(gateway_name(1 + repeat % 2), "/safe/fatal",
                     "a" + std::to_string(repeat), headers);
    }
    check_ended(system);
  }

  static void check_gateways_that_are_cut_off(const header_map& headers) {
    constexpr int gateways = 4;
    service_options options;
    options.runners = runners;
    options.gateways = gateways;
    options.peer_links = true;
    service_deployment system(options);
    system.start_all();
    for (int i = 1; i <= gateways; ++i) {
      fault_proxy& peers = system.link("peers of " + gateway_name(i));
      peers.set(link_fault::silence);
    }
    for (int repeat = 0; repeat < repeats; ++repeat) {
      system.request(gateway_name(1 + repeat % gateways), "/unsafe/fatal",
                     "a" + std::to_string(repeat), headers, "body");
    }
    check_ended(system);
  }

  // Operators restart processes under their ids.
  static void check_ends_under_the_same_id(const header_map& headers) {
    service_options options;
    options.runners = 2;
    service_deployment system(options);
    system.start_all();
    for (int repeat = 0; repeat < repeats; ++repeat) {
      system.request(gateway_name(1 + repeat % 2), "/safe/fatal",
                     "a" + std::to_string(repeat), headers);
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      for (int i = 1; i <= options.runners; ++i) {
        if (!system.running(runner_name(i))) {
          system.start(runner_name(i));
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
    }
    std::size_t count = 0;
    for (int i = 1; i <= options.runners; ++i) {
      count += system.log_lines(runner_name(i), "ends under ");
    }
    TRAYROCK_CHECK(count > 0 && count <= max_ended,
                   "expected at most " << max_ended << " ends, saw " << count);
  }

  static void check_killed_gateways(const header_map& headers) {
    constexpr int gateways = 6;
    service_options options;
    options.runners = runners;
    options.gateways = gateways;
    service_deployment system(options);
    system.start_all();
    for (int i = 1; i <= gateways; ++i) {
      std::jthread client([&system, &headers, i] {
        system.request(gateway_name(i), "/unsafe/fatal-late",
                       "a" + std::to_string(i), headers, "body");
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      system.kill(gateway_name(i));
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    check_ended(system);
  }

  static void check_alike_requests(service_deployment& system, int gateways,
                                   const std::string& target) {
    constexpr int clients = 40;
    std::atomic<int> served = 0;
    {
      std::vector<std::jthread> running;
      running.reserve(clients);
      for (int i = 0; i < clients; ++i) {
        running.emplace_back([&system, &served, &target, gateways, i] {
          const http_answer answer = system.request(
              gateway_name(1 + i % gateways), target, "a" + std::to_string(i));
          served += answer.status == 200 && answer.complete ? 1 : 0;
        });
      }
    }
    CPPUNIT_ASSERT_EQUAL(clients, served.load());
  }

  // Each gateway prefers endpoints of its own data centre.
  static void spread_over_data_centres(service_deployment& system, int count) {
    for (int i = 1; i <= runners; ++i) {
      json entry = service_deployment::endpoint_entry(
          "127.0.0.1:" + std::to_string(system.port(runner_name(i))), "ready");
      entry["zone"] = "dc-" + std::to_string(1 + i % count);
      system.put_object("servers", runner_name(i), entry);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }

  static void check_copies(const send_copy& send, int stores_running = 3) {
    constexpr int gateways = 6;
    constexpr int copies = 2;
    constexpr int repeats_of_a_copy = 3;
    service_options options;
    options.runners = runners;
    options.gateways = gateways;
    service_deployment system(options);
    system.start_all();
    spread_over_data_centres(system, gateways);
    for (int i = stores_running + 1; i <= options.stores; ++i) {
      system.kill("store-" + std::to_string(i));
    }
    {
      std::vector<std::jthread> running;
      running.reserve(std::size_t{gateways} * copies);
      for (int i = 0; i < gateways * copies; ++i) {
        running.emplace_back([&system, &send, i] {
          for (int repeat = 0; repeat < repeats_of_a_copy; ++repeat) {
            send(system, 1 + i % gateways, i / gateways + copies * repeat);
          }
        });
      }
    }
    check_ended(system);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_evidence_test);

}  // namespace
}  // namespace trayrock::testing
