// Tests that no request that a stopping gateway has passed on ends without a
// response: requests arrive until the process is gone, on new connections, on
// connections that are used again and again, and on connections that had
// rested, at once or in pieces, and some last longer than the process does.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "broken_responses.h"
#include "persistent_connection.h"
#include "received_response.h"
#include "scripted_endpoint.h"
#include "service_deployment.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::array run_times{milliseconds(300), milliseconds(900),
                               milliseconds(2700)};
constexpr std::array routes{"/unsafe", "/safe", "/resumable-stream"};
// Longer than any stop.
constexpr milliseconds long_run_time{20000};
constexpr int active_clients = 24;
constexpr int resting_clients = 72;
constexpr milliseconds piece_pause{120};
constexpr milliseconds retry_pause{5};
constexpr int answer_seconds = 12;
constexpr int not_found = 404;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

// An endpoint that responds after a time, and records the attempts it ran.
class slow_endpoint {
 public:
  explicit slow_endpoint(milliseconds run_time) : run_time_(run_time) {}
  slow_endpoint(const slow_endpoint&) = delete;
  slow_endpoint& operator=(const slow_endpoint&) = delete;
  ~slow_endpoint() { over_ = true; }

  std::string address() const { return endpoint_.address(); }

  bool has_run(const std::string& attempt) {
    const std::scoped_lock lock(guard_);
    return attempts_.contains(attempt);
  }

 private:
  scripted_response respond(const std::string& request) {
    const std::string attempt = header_of(request, "Trayrock-Attempt-Id");
    {
      const std::scoped_lock lock(guard_);
      attempts_.insert(attempt);
    }
    run(request.find("/long") == std::string::npos ? run_time_ : long_run_time);
    return {sound_response("Trayrock-Attempt-Id: " + attempt +
                               "\r\nTrayrock-Response-Seal: s\r\n",
                           "id: 1\ndata: 1\n\n"),
            connection_end::keep_open};
  }

  void run(milliseconds time) const {
    constexpr milliseconds step{20};
    for (milliseconds spent{0}; spent < time && !over_; spent += step) {
      std::this_thread::sleep_for(step);
    }
  }

  milliseconds run_time_;
  std::atomic<bool> over_ = false;
  std::mutex guard_;
  std::set<std::string> attempts_;
  scripted_endpoint endpoint_{
      [this](const std::string& request) { return respond(request); }};
};

// A request in four pieces: two of its head, two of its body.
std::vector<std::string> pieces_of(const std::string& path,
                                   const std::string& attempt) {
  return {"POST " + path + " HTTP/1.1\r\nHost: local\r\nTrayrock-Att",
          "empt-Id: " + attempt + "\r\nContent-Length: 8\r\n\r\n", "body",
          "body"};
}

std::string joined(const std::vector<std::string>& pieces) {
  std::string made;
  for (const std::string& each : pieces) {
    made += each;
  }
  return made;
}

// How a client asks, by its number: each combination has two active clients,
// and resting ones over the whole stop.
std::string route_of(int client) {
  return routes[static_cast<std::size_t>(client) % routes.size()];
}
bool sends_pieces(int client) { return client / 3 % 2 == 1; }
bool opens_connections(int client) { return client / 6 % 2 == 1; }
bool asks_before_signal(int client) { return client < 6; }

// What the clients together have seen.
struct seen_responses {
  std::mutex guard;
  std::vector<std::string> unanswered;
  std::set<int> statuses;  // of responses since the signal
  int answered = 0;        // since the signal, with 200
  int timed_out = 0;       // since the signal, with 504
};

class planned_stop_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(planned_stop_test);
  CPPUNIT_TEST(requests_of_a_short_stop_are_answered);
  CPPUNIT_TEST(requests_of_a_long_stop_are_answered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void requests_of_a_short_stop_are_answered() { check(3); }
  void requests_of_a_long_stop_are_answered() { check(8); }

 private:
  void check(int stop_limit_s) {
    service_options options;
    options.stop_limit_s = stop_limit_s;
    options.idle_timeout_ms = 60000;
    service_deployment system(options);
    std::list<slow_endpoint> endpoints;
    start(system, endpoints);
    seen_responses seen;
    std::atomic<int> resting = 0;
    std::atomic<bool> signalled = false;
    int code = 0;
    {
      std::list<std::jthread> clients;
      for (int i = 0; i < active_clients; ++i) {
        clients.emplace_back([&, i](const std::stop_token& over) {
          keep_asking(system.port("gateway-1"), i, over, signalled, seen);
        });
      }
      for (int i = 0; i < resting_clients; ++i) {
        const milliseconds moment =
            std::chrono::seconds(stop_limit_s) * i / resting_clients;
        clients.emplace_back([&, i, moment] {
          ask_after_rest(system.port("gateway-1"), i, moment, resting,
                         signalled, seen);
        });
      }
      wait_until("the resting clients are connected",
                 [&] { return resting == resting_clients; });
      system.signal("gateway-1", SIGTERM);
      signalled = true;
      code = system.wait_end("gateway-1");
    }
    check_unanswered(seen, endpoints);
    CPPUNIT_ASSERT_EQUAL(0, code);
    // The stop had requests of each kind.
    CPPUNIT_ASSERT(seen.answered > 0);
    CPPUNIT_ASSERT(seen.timed_out > 0);
    CPPUNIT_ASSERT(seen.statuses.contains(unavailable));
    CPPUNIT_ASSERT(!seen.unanswered.empty());
  }

  static void start(service_deployment& system,
                    std::list<slow_endpoint>& endpoints) {
    system.start_all();
    for (const milliseconds each : run_times) {
      const std::string address = endpoints.emplace_back(each).address();
      system.put_object("servers", "slow-" + std::to_string(each.count()),
                        service_deployment::endpoint_entry(address, "ready"));
    }
    for (const char* runner : {"runner-1", "runner-2"}) {
      system.remove_object("servers", runner);
      wait_until("the gateway uses slow endpoints alone", [&] {
        return system.log_lines("gateway-1", std::string("\"removed\":\"") +
                                                 runner + "\"") == 1;
      });
    }
    wait_until("the gateway has the endpoints", [&] {
      return system.metric("gateway-1", "endpoints_known") ==
             static_cast<double>(run_times.size());
    });
  }

  // A request without a response was passed on to no endpoint.
  static void check_unanswered(const seen_responses& seen,
                               std::list<slow_endpoint>& endpoints) {
    int lost = 0;
    std::string listed;
    for (const std::string& attempt : seen.unanswered) {
      const bool ran =
          std::any_of(endpoints.begin(), endpoints.end(),
                      [&](slow_endpoint& at) { return at.has_run(attempt); });
      lost += ran ? 1 : 0;
      listed += ran ? " " + attempt : "";
    }
    TRAYROCK_CHECK(lost == 0,
                   lost << " of " << seen.unanswered.size()
                        << " requests without a response ran:" << listed);
  }

  static void keep_asking(int port, int client, const std::stop_token& over,
                          const std::atomic<bool>& signalled,
                          seen_responses& seen) {
    auto connection = std::make_unique<persistent_connection>(port);
    for (int i = 0; !over.stop_requested(); ++i) {
      if (opens_connections(client)) {
        connection = std::make_unique<persistent_connection>(port);
      }
      ask(*connection, client,
          "/short/c" + std::to_string(client) + "-" + std::to_string(i),
          signalled, seen);
    }
  }

  // Asks once, before the signal or so long after it, on a connection that has
  // rested. Its request lasts longer than the process.
  static void ask_after_rest(int port, int client, milliseconds moment,
                             std::atomic<int>& resting,
                             const std::atomic<bool>& signalled,
                             seen_responses& seen) {
    persistent_connection connection(port);
    const std::string first = connection.exchange(
        joined(pieces_of("/unknown", "r" + std::to_string(client) + "-0")),
        answer_seconds);
    if (parse_response(first, false).status == not_found) {
      ++resting;
    }
    if (!asks_before_signal(client)) {
      wait_until("the gateway is signalled", [&] { return signalled.load(); });
      std::this_thread::sleep_for(moment);
    }
    ask(connection, client, "/long/r" + std::to_string(client), signalled,
        seen);
  }

  // The path behind the route is also the attempt.
  static void ask(persistent_connection& connection, int client,
                  const std::string& attempt,
                  const std::atomic<bool>& signalled, seen_responses& seen) {
    const std::string path = route_of(client) + attempt;
    const std::vector<std::string> pieces = pieces_of(path, attempt);
    const std::string bytes =
        sends_pieces(client)
            ? connection.exchange_in_pieces(pieces, piece_pause, answer_seconds)
            : connection.exchange(joined(pieces), answer_seconds);
    const received_response response =
        parse_response(bytes, connection.closed());
    if (bytes.empty()) {
      std::this_thread::sleep_for(retry_pause);
    }
    const std::scoped_lock lock(seen.guard);
    if (!response.complete) {
      seen.unanswered.push_back(attempt);
    } else if (signalled) {
      seen.statuses.insert(response.status);
      seen.answered += response.status == 200 ? 1 : 0;
      seen.timed_out += response.status == gateway_timeout ? 1 : 0;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

}  // namespace
}  // namespace trayrock::testing
