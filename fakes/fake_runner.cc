// Stand-in for the users' runners: streams of events and plain answers, with
// their headers.
//
// A request on a path that holds "stream" is answered with events, others
// with one body. On one that holds "padded", events are long (--padding). Every
// run is counted by its attempt id, with the body that came; GET /counts tells
// them. Faults come by POST /fault (see switches).
#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "trayrock/internal/net/http1_server.h"

namespace {

using nlohmann::json;
using trayrock::event_loop;
using trayrock::header_list;
using trayrock::http1_exchange_ptr;
using trayrock::http1_request;
using trayrock::milliseconds;

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

// What can be made to go wrong: so many of the next requests.
struct switches {
  int refuse = 0;          // 503, not executed
  int cut_unanswered = 0;  // run, then the connection is closed
  int cut_midway = 0;      // the stream breaks off after its first event
  int hang_midway = 0;     // the stream falls silent after its first event
  // The next stream breaks off so many bytes behind its first event; -1: none.
  int cut_at_byte = -1;
  int ignore_last_event = 0;  // streams start at their first event all the same
  int without_seal = 0;
  int hang = 0;  // run, and never answered
};

class fake_runner {
 public:
  fake_runner(event_loop& loop, std::string id, int events, milliseconds pause,
              std::size_t padding)
      : loop_(loop),
        id_(std::move(id)),
        events_(events),
        pause_(pause),
        padding_(padding, 'x') {}

  void serve(const http1_request& request, const http1_exchange_ptr& out) {
    if (request.target == "/fault") {
      set(json::parse(request.body, nullptr, false));
      out->respond(status_ok, {}, "{}");
    } else if (request.target == "/counts") {
      out->respond(status_ok, {}, counts().dump());
    } else {
      answer(request, out);
    }
  }

 private:
  void set(const json& body) {
    faults_.refuse = body.value("refuse", faults_.refuse);
    faults_.cut_unanswered =
        body.value("cut_unanswered", faults_.cut_unanswered);
    faults_.cut_midway = body.value("cut_midway", faults_.cut_midway);
    faults_.without_seal = body.value("without_seal", faults_.without_seal);
    faults_.hang = body.value("hang", faults_.hang);
    faults_.hang_midway = body.value("hang_midway", faults_.hang_midway);
    faults_.cut_at_byte = body.value("cut_at_byte", faults_.cut_at_byte);
    faults_.ignore_last_event =
        body.value("ignore_last_event", faults_.ignore_last_event);
  }

  json counts() const {
    json runs = json::object();
    for (const auto& [attempt, body] : bodies_) {
      runs[attempt] = {{"runs", runs_.at(attempt)},
                       {"body", body},
                       {"workspaces", workspaces_.at(attempt)},
                       {"saw_key", saw_key_.contains(attempt)}};
    }
    return {{"runs", runs}, {"cancelled", cancelled_}};
  }

  static bool take(int& left) {
    if (left <= 0) {
      return false;
    }
    --left;
    return true;
  }

  void answer(const http1_request& request, const http1_exchange_ptr& out) {
    const std::string attempt(request.headers.find("Trayrock-Attempt-Id"));
    const std::string_view meant =
        request.headers.find("Trayrock-Expect-Instance");
    if (!meant.empty() && meant != id_) {
      out->respond(status_misdirected, {}, "");
      return;
    }
    if (take(faults_.refuse)) {
      header_list headers;
      headers.add("Trayrock-Not-Executed", "1");
      out->respond(status_unavailable, headers, "");
      return;
    }
    ++runs_[attempt];
    bodies_[attempt] = request.body;
    workspaces_[attempt] = json::array();
    for (const trayrock::header_field& each : request.headers.fields()) {
      if (trayrock::same_name(each.name, "Trayrock-Tenant")) {
        workspaces_[attempt].push_back(each.value);
      }
    }
    if (request.headers.has("Authorization")) {
      saw_key_.insert(attempt);
    }
    if (take(faults_.hang)) {
      hung_.push_back(out);
      out->on_gone([this] { ++cancelled_; });
      return;
    }
    if (take(faults_.cut_unanswered)) {
      out->abort();
      return;
    }
    header_list headers;
    headers.add("Trayrock-Attempt-Id", attempt);
    if (!take(faults_.without_seal)) {
      headers.add("Trayrock-Response-Seal", "seal." + id_ + "." + attempt);
    }
    if (request.target.find("stream") == std::string::npos) {
      out->respond(status_ok, headers, "answer to " + attempt);
      return;
    }
    if (request.target.find("padded") != std::string::npos) {
      padded_.insert(attempt);
    }
    headers.add("Content-Type", "text/event-stream");
    out->begin(status_ok, headers);
    const int first = first_event(request);
    if (first > events_) {
      out->finish();
      return;
    }
    stream(out, attempt, first, midway_fault(attempt, first));
  }

  // The number of the event that the stream starts with.
  int first_event(const http1_request& request) {
    const std::string last(request.headers.find("Last-Event-Id"));
    if (last.empty() || take(faults_.ignore_last_event)) {
      return 1;
    }
    return std::stoi(last) + 1;
  }

  std::string event_of(const std::string& attempt, int number) const {
    const std::string text = std::to_string(number);
    const auto padded = padded_.find(attempt);
    return "id: " + text + "\ndata: " + attempt + "-" + text +
           (padded == padded_.end() ? std::string() : padding_) + "\n\n";
  }

  // What comes behind the first event in place of the others.
  struct midway {
    bool cut = false;
    bool hang = false;
    std::string half;  // of the next event, before the cut
  };

  midway midway_fault(const std::string& attempt, int first) {
    midway made;
    made.cut = take(faults_.cut_midway);
    made.hang = take(faults_.hang_midway);
    if (faults_.cut_at_byte >= 0) {
      made.cut = true;
      made.half = event_of(attempt, first + 1).substr(0, faults_.cut_at_byte);
      faults_.cut_at_byte = -1;
    }
    return made;
  }

  void stream(const http1_exchange_ptr& out, const std::string& attempt,
              int number, const midway& fault) {
    out->write(event_of(attempt, number) + fault.half);
    if (fault.hang) {
      hung_.push_back(out);
      out->on_gone([this] { ++cancelled_; });
      return;
    }
    if (fault.cut) {  // once the event is on its way
      timers_[++next_] = loop_.after(pause_, [out] { out->abort(); });
      return;
    }
    if (number == events_) {
      out->finish();
      return;
    }
    const std::uint64_t key = ++next_;
    timers_[key] = loop_.after(pause_, [this, key, out, attempt, number] {
      stream(out, attempt, number + 1, {});
      timers_.erase(key);
    });
  }

  event_loop& loop_;
  std::string id_;
  int events_;
  milliseconds pause_;
  std::string padding_;  // behind the data of events on padded paths
  switches faults_;
  int cancelled_ = 0;
  std::uint64_t next_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> bodies_;
  std::map<std::string, json> workspaces_;  // as told, by attempt
  std::set<std::string> padded_;            // attempts on padded paths
  std::set<std::string> saw_key_;           // attempts that came with a key
  std::map<std::uint64_t, trayrock::timer> timers_;
  std::vector<http1_exchange_ptr> hung_;
};

// Drops connections on which no byte was read for so long although some wait.
class unread_guard {
 public:
  unread_guard(event_loop& loop, trayrock::http1_server& server,
               milliseconds limit)
      : loop_(loop), server_(server), limit_(limit) {
    if (limit.count() == 0) {
      return;
    }
    server.on_buffered([this](std::uint64_t connection,
                              std::optional<trayrock::http1_buffered> held) {
      update(connection, held ? held->unread : 0);
    });
    tick_ = loop.every(limit / 4, [this] { drop_unread(); });
  }

 private:
  struct waiting {
    std::size_t unread = 0;
    std::uint64_t since_ms = 0;
  };

  void update(std::uint64_t connection, std::size_t unread) {
    if (unread == 0) {
      waiting_.erase(connection);
      return;
    }
    waiting& of = waiting_[connection];
    if (of.unread == 0 || unread < of.unread) {
      of.since_ms = loop_.now_ms();
    }
    of.unread = unread;
  }

  void drop_unread() {
    const std::uint64_t now = loop_.now_ms();
    const std::map<std::uint64_t, waiting> seen = waiting_;
    for (const auto& [connection, each] : seen) {
      if (now - each.since_ms >= static_cast<std::uint64_t>(limit_.count())) {
        server_.drop(connection);
      }
    }
  }

  event_loop& loop_;
  trayrock::http1_server& server_;
  milliseconds limit_;
  std::map<std::uint64_t, waiting> waiting_;
  trayrock::timer tick_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for the users' runners"};
  std::string listen;
  std::string id;
  int events = 3;
  int pause_ms = 10;
  std::size_t padding = 0;
  int unread_limit_ms = 0;
  app.add_option("--listen", listen)->required();
  app.add_option("--id", id)->required();
  app.add_option("--events", events);
  app.add_option("--pause-ms", pause_ms);
  app.add_option("--padding", padding);
  app.add_option("--unread-limit-ms", unread_limit_ms);
  CLI11_PARSE(app, argc, argv);

  event_loop loop;
  fake_runner runner(loop, id, events, milliseconds(pause_ms), padding);
  trayrock::http1_server server(
      loop, [] { return trayrock::http1_limits{}; },
      [&runner](const http1_request& request, const http1_exchange_ptr& out) {
        runner.serve(request, out);
      });
  const unread_guard guard(loop, server, milliseconds(unread_limit_ms));
  if (!server.listen(trayrock::address::parse(listen).value())) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  loop.run();
  return 0;
}
