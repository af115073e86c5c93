// A randomized soak: clients run programs through real processes while
// gateways and stores are killed, paused, stopped and replaced, the platform
// is out, endpoints misbehave, break their responses off or add to them, and
// the ways between all of them are slowed, reset, cut one way or silenced.
// Three series of faults run at once and overlap.
//
// Checked from what clients and endpoints see: a whole turn is known ever
// after and its text comes back exactly; one that was cut is unknown or comes
// back exactly; nothing runs twice, nor a request or body that no client sent;
// what was refused as not run has not run; a program's tokens stay within its
// budget; endpoints learn the workspace and never the key; a response that
// looks whole is the endpoint's, byte for byte, also to clients that read late;
// a key that is taken away is served nowhere behind its bound; a workspace's
// limit holds in every window.
//
// One seed is run in CI. By hand: TRAYROCK_SOAK_SEEDS="7 8 9" and
// TRAYROCK_SOAK_SECONDS=30. A seed that has ever failed is kept in
// `regression_seeds`, with a line on the cause.
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "key_probes.h"
#include "persistent_connection.h"
#include "received_response.h"
#include "service_deployment.h"
#include "soak_seeds.h"
#include "stalled_reader.h"
#include "test_support.h"

namespace trayrock::testing {
namespace {

// Seeds of failures that were found and mended. 43: a replaced store moved the
// places by which the others share out what a limit leaves over.
const std::vector<unsigned> regression_seeds{43};
constexpr unsigned ci_seed = 1;
constexpr int default_seconds = 12;
constexpr int clients = 4;
constexpr int turns_of_a_program = 6;
constexpr int tries_of_a_turn = 40;
constexpr std::uint64_t tokens_of_an_event = 2;
constexpr std::uint64_t most_of_a_turn = 10;
constexpr std::uint64_t budget = 100;
constexpr int answer_seconds = 10;
// Stalled clients fill the gateways' buffers of 4 MB, so that reading from
// endpoints pauses.
constexpr std::size_t stalled_at_once = 40;
constexpr int padding_bytes = 100000;
constexpr int memory_limit_mb = 16;
constexpr int events_of_a_stream = 3;
constexpr std::size_t shown_bytes = 60;  // of a wrong response
// Endpoints answer some requests that are this long before they read the body.
constexpr std::size_t long_body_bytes = 60000;
constexpr std::array response_faults{
    "closed_whole",         "closed_in_event",
    "closed_before_event",  "reset",
    "chunks_cut_in_event",  "chunks_cut_between_events",
    "length_short",         "surplus_bytes",
    "surplus_response",     "early_refusal",
    "early_refusal_closed", "early_response",
    "early_response_closed"};

// One request as its client saw it.
struct seen_request {
  std::string attempt;
  received_response response;

  bool succeeded() const { return response.status == 200; }
  // Told that it has not run and never will.
  bool refused() const {
    constexpr std::array promises{401, 402, 404, 429, 503};
    return std::find(promises.begin(), promises.end(), response.status) !=
           promises.end();
  }
  bool whole() const { return succeeded() && response.complete; }
};

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// The events that endpoints make for an attempt.
std::string events_of(const std::string& attempt,
                      const std::string& padding = "") {
  std::string made;
  for (int i = 1; i <= events_of_a_stream; ++i) {
    const std::string number = std::to_string(i);
    made.append("id: ").append(number).append("\ndata: ").append(attempt);
    made.append("-").append(number).append(padding).append("\n\n");
  }
  return made;
}

// Their data, as the next turn's body has it.
std::string text_of(const std::string& attempt) {
  std::string made;
  for (int i = 1; i <= events_of_a_stream; ++i) {
    made += attempt + "-" + std::to_string(i) + "\n";
  }
  return made;
}

// An incomplete text has to be the beginning of the expected one.
bool matches(const std::string& text, const std::string& expected,
             bool complete) {
  return complete ? text == expected : expected.starts_with(text);
}

std::string difference(const std::string& text, const std::string& expected) {
  const auto [at, in_expected] =
      std::mismatch(text.begin(), text.end(), expected.begin(), expected.end());
  const auto same = static_cast<std::size_t>(at - text.begin());
  return std::to_string(text.size()) + " bytes in place of " +
         std::to_string(expected.size()) + ", behind byte " +
         std::to_string(same) + ": " +
         json(text.substr(same, shown_bytes)).dump() + " in place of " +
         json(expected.substr(same, shown_bytes)).dump();
}

// A body that shows bytes of other places and of other requests.
std::string long_body(const std::string& attempt) {
  std::string made;
  while (made.size() < long_body_bytes) {
    made += attempt + ":" + std::to_string(made.size()) + " ";
  }
  return made;
}

// The responses that one client's program has received.
struct program {
  std::string name;
  std::string last_turn;  // the newest turn that ended whole
  std::string text;       // of the chain up to it
  std::uint64_t tokens = 0;
};

class soak {
 public:
  soak(unsigned seed, int seconds)
      : seed_(seed), seconds_(seconds), system_(with_links()) {}

  void run() {
    system_.start_all();
    std::vector<std::jthread> running;
    running.reserve(clients);
    for (int i = 0; i < clients; ++i) {
      running.emplace_back([this, i] { run_client(i); });
    }
    running.emplace_back([this] { run_prober(); });
    running.emplace_back([this] { run_stalled_clients(); });
    inject_series();
    heal();
    const std::size_t pauses =
        system_.log_lines("gateway-1", "\"responses_paused\"") +
        system_.log_lines("gateway-2", "\"responses_paused\"");
    over_ = true;
    running.clear();  // joins: each ends the turn that it is at
    check_runs();
    std::cout << "soak: seed " << seed_ << ": " << whole_turns_
              << " whole turns, " << cut_turns_ << " cut; " << read_late_
              << " responses read late, " << cut_late_
              << " of them cut, pauses in " << pauses << " log lines; "
              << injected_.str() << std::endl;
    TRAYROCK_CHECK(whole_turns_ > 0, "seed " << seed_ << ": no turn served");
    const std::scoped_lock lock(guard_);
    for (const std::string& fault : faults_) {
      std::cout << "soak: seed " << seed_ << ": " << fault << std::endl;
    }
    TRAYROCK_CHECK(faults_.empty(),
                   "seed " << seed_ << ": " << faults_.front() << " ("
                           << faults_.size()
                           << " in all; injected: " << injected_.str() << ")");
  }

 private:
  // ---- Clients --------------------------------------------------------------

  void run_client(int index) {
    std::mt19937 random(seed_ * 1000 + static_cast<unsigned>(index));
    for (int number = 0; !over_; ++number) {
      program mine;
      mine.name = "p" + std::to_string(index) + "-" + std::to_string(number);
      for (int turn = 0; turn < turns_of_a_program && !over_; ++turn) {
        if (!take_turn(mine, turn, random)) {
          break;
        }
        call_tool(mine, turn, random);
      }
    }
  }

  // A turn as a client sends it: anew, under a new name, after every failure.
  bool take_turn(program& mine, int turn, std::mt19937& random) {
    const std::string input = mine.name + "/" + std::to_string(turn) + " ";
    for (int attempt = 0; attempt < tries_of_a_turn; ++attempt) {
      const std::string name = mine.name + "t" + std::to_string(turn) + "a" +
                               std::to_string(attempt);
      const seen_request seen = send_turn(mine, name, input, random);
      if (seen.whole()) {
        mine.text += input + text_of(name);
        mine.last_turn = name;
        ++whole_turns_;
        return true;
      }
      if (!seen.refused()) {
        continue_cut_turn(mine, name, input, random);
      }
      if (seen.response.status == 402) {
        return false;
      }
      if (seen.response.status == 404) {
        report(name + " is told that " + mine.last_turn + " is not known");
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  // Goes on from a turn without a complete response: if that runs, the turn
  // was stored whole.
  void continue_cut_turn(program& mine, const std::string& cut,
                         const std::string& input, std::mt19937& random) {
    ++cut_turns_;
    program branch = mine;
    branch.last_turn = cut;
    branch.text += input + text_of(cut);
    send_turn(branch, cut + "c", "more ", random);
    mine.tokens = branch.tokens;
  }

  seen_request send_turn(program& mine, const std::string& name,
                         const std::string& input, std::mt19937& random) {
    std::string bytes = "POST /stream/a HTTP/1.1\r\nHost: local\r\n";
    bytes += "Trayrock-Attempt-Id: " + name + "\r\n";
    bytes += "Trayrock-Program-Id: " + mine.name + "\r\n";
    bytes += "Authorization: Bearer " + key_of(mine) + "\r\n";
    bytes += "Trayrock-Token-Budget: " + std::to_string(budget) + "\r\n";
    bytes += "Trayrock-Token-Usage: 100," + std::to_string(most_of_a_turn);
    if (!mine.last_turn.empty()) {
      bytes += "\r\nTrayrock-Previous-Turn: " + mine.last_turn;
    }
    bytes += "\r\nContent-Length: " + std::to_string(input.size());
    bytes += "\r\n\r\n" + input;
    expect_body(name, mine.text + input);
    seen_request seen = send(name, bytes, events_of(name), random);
    mine.tokens += count_of(seen.response.body, "data: ") * tokens_of_an_event;
    if (mine.tokens > budget + most_of_a_turn) {
      report(name + " goes over the budget: " + std::to_string(mine.tokens));
    }
    return seen;
  }

  // Checks and keeps what came for a request; `expected` is the body that its
  // endpoint makes.
  seen_request send(const std::string& name, const std::string& bytes,
                    const std::string& expected, std::mt19937& random) {
    persistent_connection& to = any_gateway(random);
    const std::string received = to.exchange(bytes, answer_seconds);
    seen_request seen{name, parse_response(received, to.closed())};
    if (!to.unexpected().empty()) {
      report(name + " met bytes that no request is due: " + to.unexpected());
    }
    check_response(seen, expected);
    note(seen);
    return seen;
  }

  void call_tool(const program& mine, int turn, std::mt19937& random) {
    const std::string name = mine.name + "u" + std::to_string(turn);
    const std::string body = turn % 2 == 0 ? std::string() : long_body(name);
    std::string bytes = body.empty() ? "GET" : "POST";
    bytes += " /unsafe/a HTTP/1.1\r\nHost: local\r\nAuthorization: Bearer ";
    bytes += key_of(mine) + "\r\nTrayrock-Attempt-Id: " + name;
    bytes += "\r\nContent-Length: " + std::to_string(body.size());
    bytes += "\r\n\r\n" + body;
    expect_body(name, body);
    send(name, bytes, "answer to " + name, random);
  }

  // Programs belong to two workspaces, by turns of the clients.
  static bool is_grower(const std::string& program) {
    return (program[1] - '0') % 2 == 0;
  }
  static std::string key_of(const program& mine) {
    return is_grower(mine.name) ? "grower-key" : "buyer-key";
  }

  void run_prober() {
    std::mt19937 random(seed_ + 900000);
    while (!over_) {
      key_probe probe = probes_.next(random);
      const std::string bytes =
          "GET /unsafe/a HTTP/1.1\r\nHost: local\r\nAuthorization: Bearer " +
          key_probes::key_text(probe.key) +
          "\r\nTrayrock-Attempt-Id: " + probe.attempt + "\r\n\r\n";
      expect_body(probe.attempt, "");
      send(probe.attempt, bytes, "answer to " + probe.attempt, random);
      probe.response_at = std::chrono::steady_clock::now();
      probes_.add(probe);
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 80));
    }
  }

  // Clients that read after some seconds, or never. They belong to the growers.
  void run_stalled_clients() {
    std::mt19937 random(seed_ + 700000);
    std::deque<std::pair<std::string, std::unique_ptr<stalled_reader>>> open;
    for (int number = 0; !over_; ++number) {
      const std::string name = "s0r" + std::to_string(number);
      const std::string gateway = "gateway-" + std::to_string(1 + random() % 2);
      expect_body(name, "");
      open.emplace_back(name, std::make_unique<stalled_reader>(
                                  system_.port(gateway),
                                  "GET /padded-stream/a HTTP/1.1\r\n"
                                  "Host: local\r\nAuthorization: Bearer "
                                  "grower-key\r\nTrayrock-Attempt-Id: " +
                                      name + "\r\n\r\n"));
      if (open.size() > stalled_at_once) {
        const auto [oldest, client] = std::move(open.front());
        open.pop_front();
        if (random() % 2 == 0) {
          check_late_response(oldest, *client);
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 80));
    }
  }

  void check_late_response(const std::string& name, stalled_reader& client) {
    const std::string received = client.read_to_end(1);
    const seen_request seen{name, parse_response(received, client.closed())};
    check_response(seen, events_of(name, std::string(padding_bytes, 'x')));
    note(seen);
    if (seen.succeeded()) {
      ++read_late_;
      cut_late_ += seen.whole() ? 0 : 1;
    }
  }

  static json workspaces_with(std::size_t newest_key) {
    return {{{"name", "growers"}, {"apiKeys", {"grower-key"}}},
            {{"name", "buyers"}, {"apiKeys", {"buyer-key"}}},
            {{"name", "probers"},
             {"apiKeys", {key_probes::key_text(newest_key)}},
             {"ratePerS", key_probes::per_second},
             {"burst", key_probes::burst}}};
  }

  // The platform has to answer: other faults of this series are over.
  void take_key_away() {
    const std::size_t gone = probes_.newest_key();
    record("take key " + std::to_string(gone) + " away");
    system_.set_workspaces(workspaces_with(gone + 1));
    system_.configure(gone + 2, padded_route());
    probes_.record_revocation();
  }

  static json padded_route() {
    return {{{"name", "padded-stream"},
             {"host", "local"},
             {"pathPrefix", "/padded-stream/"},
             {"type", "streaming"},
             {"timeoutMs", 8000},
             {"service", "assistant"},
             {"attempts", 1}}};
  }

  // A connection of this client, kept for as long as the gateway keeps it.
  persistent_connection& any_gateway(std::mt19937& random) {
    thread_local std::map<std::string, persistent_connection> connections;
    const std::string name = random() % 2 == 0 ? "gateway-1" : "gateway-2";
    return connections.try_emplace(name, system_.port(name)).first->second;
  }

  // ---- Faults ---------------------------------------------------------------

  static service_options with_links() {
    service_options options;
    options.links = true;
    options.stop_limit_s = 3;
    options.more_routes = padded_route();
    options.runner_padding = padding_bytes;
    options.memory_limit_mb = memory_limit_mb;
    options.workspaces = workspaces_with(0);
    options.revocation_limit_ms =
        static_cast<int>(key_probes::revocation_limit.count());
    return options;
  }

  // Faults of processes, links and responses, in series that overlap.
  void inject_series() {
    std::jthread responses([this] {
      inject(seed_ + 300000,
             [this](std::mt19937& random) { break_responses(random); });
    });
    std::jthread links([this] {
      inject(seed_ + 500000,
             [this](std::mt19937& random) { harm_link(random); });
    });
    inject(seed_, [this](std::mt19937& random) { inject_one(random); });
  }

  template <typename injector>
  void inject(unsigned seed, injector inject_next) {
    std::mt19937 random(seed);
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds_);
    while (std::chrono::steady_clock::now() < end) {
      inject_next(random);
      std::this_thread::sleep_for(
          std::chrono::milliseconds(100 + random() % 600));
    }
  }

  void inject_one(std::mt19937& random) {
    const std::string gateway = "gateway-" + std::to_string(1 + random() % 2);
    const std::string store = "store-" + std::to_string(1 + random() % 3);
    const std::string runner = "runner-" + std::to_string(1 + random() % 2);
    const auto pause = std::chrono::milliseconds(200 + random() % 1500);
    switch (random() % 10) {
      case 0:
        record("kill " + gateway);
        system_.kill(gateway);
        system_.start(gateway);
        break;
      case 1:
        record("term " + gateway);
        system_.signal(gateway, SIGTERM);
        system_.wait_end(gateway);
        system_.start(gateway);
        break;
      case 2:
        freeze(gateway, pause);
        break;
      case 3:
        freeze(store, pause);
        break;
      case 4:
        record("kill " + store);
        system_.kill(store);
        std::this_thread::sleep_for(pause);
        system_.start(store);
        wait_counting();
        break;
      case 5:
        record("wipe " + store);
        wait_counting();
        system_.replace_disk(store);
        wait_counting();
        break;
      case 6:
        platform_fault(random() % 2 == 0 ? "outage" : "silent", pause);
        break;
      case 7:
        take_key_away();
        break;
      case 8:
        record("lose answers");
        system_.platform_fault({{"lose_write_answers", 1 + random() % 2}});
        break;
      default:
        record("runner");
        system_.runner_fault(runner, {{"refuse", random() % 2},
                                      {"cut_unanswered", random() % 2},
                                      {"cut_midway", random() % 2},
                                      {"without_seal", random() % 2}});
        break;
    }
  }

  void break_responses(std::mt19937& random) {
    const std::string runner = "runner-" + std::to_string(1 + random() % 2);
    const std::string fault =
        response_faults[random() % response_faults.size()];
    const unsigned count = 1 + random() % 4;
    record(runner + " " + fault + " " + std::to_string(count));
    system_.runner_fault(runner, {{fault, count}});
  }

  void harm_link(std::mt19937& random) {
    const std::vector<std::string> names = system_.link_names();
    const std::string& name = names[random() % names.size()];
    fault_proxy& link = system_.link(name);
    constexpr std::array faults{link_fault::slow, link_fault::cut_requests,
                                link_fault::cut_answers, link_fault::silence};
    const std::size_t picked = random() % (faults.size() + 1);
    const auto pause = std::chrono::milliseconds(200 + random() % 1800);
    record("link " + name + " " + std::to_string(picked));
    if (picked == faults.size()) {
      link.reset_all();
      return;
    }
    link.set(faults[picked]);
    std::this_thread::sleep_for(pause);
    link.set(link_fault::none);
  }

  void record(const std::string& fault) {
    const std::scoped_lock lock(guard_);
    injected_ << fault << "; ";
  }

  void freeze(const std::string& name, std::chrono::milliseconds pause) {
    record("freeze " + name);
    system_.signal(name, SIGSTOP);
    std::this_thread::sleep_for(pause);
    system_.signal(name, SIGCONT);
  }

  void platform_fault(const std::string& kind,
                      std::chrono::milliseconds pause) {
    record("platform " + kind);
    system_.platform_fault({{kind, true}});
    std::this_thread::sleep_for(pause);
    system_.platform_fault({{kind, false}});
  }

  // No store is lost before the last loss has been made good.
  void wait_counting() {
    wait_until("every voter counts", [this] {
      const json group = system_.group();
      if (!group.is_object()) {
        return false;
      }
      for (const json& each : group["voters"]) {
        const std::string box = each["box"];
        if (system_.metric(box, "store_counts") != 1 ||
            system_.metric(box, "store_epoch") != group["epoch"]) {
          return false;
        }
      }
      return true;
    });
  }

  void heal() {
    system_.platform_fault({{"outage", false}, {"silent", false}});
    wait_counting();
    system_.wait_ready("gateway-1");
    system_.wait_ready("gateway-2");
  }

  // ---- Checks ---------------------------------------------------------------

  void report(std::string fault) {
    const std::scoped_lock lock(guard_);
    faults_.push_back(std::move(fault));
  }

  void note(const seen_request& seen) {
    const std::scoped_lock lock(guard_);
    seen_.push_back(seen);
  }

  // To be called before a request is sent.
  void expect_body(const std::string& attempt, const std::string& body) {
    const std::scoped_lock lock(guard_);
    expected_bodies_[attempt] = body;
  }

  // A response that looks whole is exactly its endpoint's, one that was cut is
  // the beginning of it.
  void check_response(const seen_request& seen, const std::string& expected) {
    const received_response& response = seen.response;
    if (response.malformed || !response.surplus.empty()) {
      report(seen.attempt +
             " got bytes that are no response: " + response.surplus);
    }
    if (!seen.succeeded()) {
      return;
    }
    const bool sealed =
        response.header("trayrock-response-seal").ends_with("." + seen.attempt);
    if (!sealed || response.header("trayrock-attempt-id") != seen.attempt) {
      report(seen.attempt + " got a success with the seal '" +
             response.header("trayrock-response-seal") + "'");
    }
    if (!matches(response.body, expected, response.complete)) {
      report(seen.attempt +
             (response.complete ? " looks whole with " : " was cut behind ") +
             difference(response.body, expected));
    }
  }

  void check_runs() {
    std::map<std::string, int> runs;
    for (const char* name : {"runner-1", "runner-2"}) {
      const json made = system_.counts(name);
      for (const auto& [attempt, run] : made["runs"].items()) {
        runs[attempt] += run["runs"].get<int>();
        check_body(attempt, run["body"].get<std::string>(),
                   run["body_complete"].get<bool>());
      }
      for (const auto& [attempt, bodies] : made["refused_early"].items()) {
        for (const json& body : bodies) {
          check_body(attempt, body.get<std::string>(), false);
        }
      }
    }
    check_workspaces();
    for (std::string& fault : probes_.faults(runs)) {
      report(std::move(fault));
    }
    for (const auto& [attempt, count] : runs) {
      if (count > 1) {
        report(attempt + " ran " + std::to_string(count) + " times");
      }
    }
    for (const seen_request& each : seen_) {
      if (each.refused() && runs.contains(each.attempt)) {
        report(each.attempt + " was refused with " +
               std::to_string(each.response.status) + " and ran");
      }
      if (each.whole() && !runs.contains(each.attempt)) {
        report(each.attempt + " got a success and has not run");
      }
    }
  }

  // Of a request that an endpoint received; a part of the body: it was answered
  // before that.
  void check_body(const std::string& attempt, const std::string& body,
                  bool complete) {
    const auto sent = expected_bodies_.find(attempt);
    if (sent == expected_bodies_.end()) {
      report(attempt + " reached an endpoint, but no client sent it");
      return;
    }
    if (!matches(body, sent->second, complete)) {
      report(attempt + " came with " + difference(body, sent->second));
    }
  }

  // Endpoints saw the right workspace and no key.
  void check_workspaces() {
    for (const char* name : {"runner-1", "runner-2"}) {
      const json made = system_.counts(name);
      for (const auto& [attempt, run] : made["runs"].items()) {
        const std::string owner = attempt[0] == 'q'    ? "probers"
                                  : is_grower(attempt) ? "growers"
                                                       : "buyers";
        if (run["workspaces"] != json::array({owner}) || run["saw_key"]) {
          report(attempt + " came with " + run["workspaces"].dump());
        }
      }
    }
  }

  unsigned seed_;
  int seconds_;
  service_deployment system_;
  std::atomic<bool> over_ = false;
  std::atomic<int> whole_turns_ = 0;
  std::atomic<int> cut_turns_ = 0;
  std::atomic<int> read_late_ = 0;
  std::atomic<int> cut_late_ = 0;
  std::mutex guard_;
  std::vector<std::string> faults_;
  std::vector<seen_request> seen_;
  std::map<std::string, std::string> expected_bodies_;
  key_probes probes_;
  std::ostringstream injected_;
};

class fault_soak_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fault_soak_test);
  CPPUNIT_TEST(promises_hold_under_random_faults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void promises_hold_under_random_faults() {
    std::vector<unsigned> seeds = regression_seeds;
    for (const unsigned seed : soak_seeds(ci_seed)) {
      seeds.push_back(seed);
    }
    for (const unsigned seed : seeds) {
      soak(seed, soak_seconds(default_seconds)).run();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_soak_test);

}  // namespace
}  // namespace trayrock::testing
