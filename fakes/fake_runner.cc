// Stand-in for the users' runners: streams of events and plain answers, with
// their headers.
//
// A request on a path that holds "stream" is answered with events, others
// with one body. On one that holds "padded", events are long (--padding). Every
// run is counted by its attempt id, with the body that came; GET /counts tells
// them, and what came of bodies that were refused before they were read. Faults
// come by POST /fault (see switches and response_faults.h).
//
// A request whose target holds "fatal" ends the process; one that holds
// "fatal-midway", after the first event of its stream, and "fatal-late", half a
// second later, whether its caller waits or not. "fatal-dark" stops the process
// with its connections open, as when its box loses power.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "raw_http_server.h"
#include "response_faults.h"
#include "response_plan.h"

namespace {

using nlohmann::json;
using trayrock::event_loop;
using trayrock::milliseconds;
using trayrock::fakes::early_response;
using trayrock::fakes::raw_connection_ptr;
using trayrock::fakes::raw_request;
using trayrock::fakes::respond;
using trayrock::fakes::response_content;
using trayrock::fakes::response_end;
using trayrock::fakes::response_faults;
using trayrock::fakes::response_plan;
using trayrock::fakes::response_writer;

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

// What is known of the runs of one attempt.
struct run_record {
  int runs = 0;
  std::string body;
  bool body_complete = true;
  json workspaces = json::array();  // as told
  bool saw_key = false;
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

  void serve(const raw_request& request, const raw_connection_ptr& out) {
    if (request.target == "/fault") {
      set(json::parse(request.body, nullptr, false));
      respond(loop_, out, status_ok, "{}");
    } else if (request.target == "/counts") {
      respond(loop_, out, status_ok, counts().dump());
    } else {
      answer(request, out);
    }
  }

  // To be called before serve(), with the request's head.
  bool serves_early(const raw_request& request) {
    early_ = faults_of_responses_.next_early(request.length);
    return early_.has_value();
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
    faults_of_responses_.set(body);
  }

  json counts() const {
    json runs = json::object();
    for (const auto& [attempt, run] : runs_) {
      runs[attempt] = {{"runs", run.runs},
                       {"body", run.body},
                       {"body_complete", run.body_complete},
                       {"workspaces", run.workspaces},
                       {"saw_key", run.saw_key}};
    }
    return {{"runs", runs},
            {"refused_early", refused_early_},
            {"cancelled", cancelled_}};
  }

  static bool take(int& left) {
    if (left <= 0) {
      return false;
    }
    --left;
    return true;
  }

  void answer(const raw_request& request, const raw_connection_ptr& out) {
    const std::optional<early_response> early = std::exchange(early_, {});
    const std::string attempt(request.headers.find("Trayrock-Attempt-Id"));
    const std::string_view meant =
        request.headers.find("Trayrock-Expect-Instance");
    if (!meant.empty() && meant != id_) {
      respond(loop_, out, status_misdirected, "");
      return;
    }
    if ((early && early->refused) || take(faults_.refuse)) {
      refuse(out, attempt, early);
      return;
    }
    record_run(request, attempt);
    end_process_if_fatal(request);
    if (early) {
      out->on_body_ended([this, attempt](const raw_request& ended) {
        runs_[attempt].body = ended.body;
        runs_[attempt].body_complete = ended.complete();
      });
    }
    if (take(faults_.hang)) {
      out->on_gone([this] { ++cancelled_; });
      return;
    }
    if (take(faults_.cut_unanswered)) {
      out->drop();
      return;
    }
    send_response(request, out, attempt, early && early->closes);
  }

  void end_process_if_fatal(const raw_request& request) {
    constexpr milliseconds until_first_event_is_sent{50};
    constexpr milliseconds late{500};
    const auto holds = [&](const char* text) {
      return request.target.find(text) != std::string::npos;
    };
    if (holds("fatal-midway")) {
      faults_.hang_midway = 1;
      end_process_after(until_first_event_is_sent, request.target);
    } else if (holds("fatal-late")) {
      faults_.hang = 1;
      end_process_after(late, request.target);
    } else if (holds("fatal-dark")) {
      std::fprintf(stderr, "ends under %s \n", request.target.c_str());
      raise(SIGSTOP);
    } else if (holds("fatal")) {
      end_process(request.target);
    }
  }

  void end_process_after(milliseconds delay, const std::string& target) {
    if (!end_timer_.pending()) {
      end_timer_ = loop_.after(delay, [target] { end_process(target); });
    }
  }

  static void end_process(const std::string& target) {
    std::fprintf(stderr, "ends under %s \n", target.c_str());
    std::_Exit(1);
  }

  void refuse(const raw_connection_ptr& out, const std::string& attempt,
              const std::optional<early_response>& early) {
    response_content content;
    content.status = status_unavailable;
    content.headers.add("Trayrock-Not-Executed", "1");
    response_plan plan;
    if (early) {
      plan.last_of_connection = early->closes;
      out->on_body_ended([this, attempt](const raw_request& ended) {
        refused_early_[attempt].push_back(ended.body);
      });
    }
    response_writer::start(loop_, out, std::move(content), std::move(plan));
  }

  void record_run(const raw_request& request, const std::string& attempt) {
    run_record& run = runs_[attempt];
    ++run.runs;
    run.body = request.body;
    run.body_complete = request.complete();
    run.workspaces = json::array();
    for (const trayrock::header_field& each : request.headers.fields()) {
      if (trayrock::same_name(each.name, "Trayrock-Tenant")) {
        run.workspaces.push_back(each.value);
      }
    }
    run.saw_key = run.saw_key || request.headers.has("Authorization");
  }

  void send_response(const raw_request& request, const raw_connection_ptr& out,
                     const std::string& attempt, bool closes) {
    response_content content;
    content.status = status_ok;
    content.pause = pause_;
    content.without_body = request.method == "HEAD";
    content.headers.add("Trayrock-Attempt-Id", attempt);
    if (!take(faults_.without_seal)) {
      content.headers.add("Trayrock-Response-Seal",
                          "seal." + id_ + "." + attempt);
    }
    response_plan plan;
    if (request.target.find("stream") == std::string::npos) {
      content.pieces = {"answer to " + attempt};
      plan = faults_of_responses_.next_plain(content.pieces.front(), attempt);
    } else {
      content.headers.add("Content-Type", "text/event-stream");
      const bool padded = request.target.find("padded") != std::string::npos;
      for (int i = first_event(request); i <= events_; ++i) {
        content.pieces.push_back(event_of(attempt, i, padded));
      }
      plan = plan_stream(content.pieces, attempt);
    }
    plan.last_of_connection = closes;
    if (plan.end == response_end::silent) {
      out->on_gone([this] { ++cancelled_; });
    }
    response_writer::start(loop_, out, std::move(content), std::move(plan));
  }

  // The number of the event that the stream starts with.
  int first_event(const raw_request& request) {
    const std::string last(request.headers.find("Last-Event-Id"));
    if (last.empty() || take(faults_.ignore_last_event)) {
      return 1;
    }
    return std::stoi(last) + 1;
  }

  std::string event_of(const std::string& attempt, int number,
                       bool padded) const {
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: " + attempt + "-" + text +
           (padded ? padding_ : std::string()) + "\n\n";
  }

  response_plan plan_stream(const std::vector<std::string>& events,
                            const std::string& attempt) {
    if (events.empty()) {
      return faults_of_responses_.next_stream(events, attempt);
    }
    const bool hang = take(faults_.hang_midway);
    const bool cut = take(faults_.cut_midway);
    const int half = std::exchange(faults_.cut_at_byte, -1);
    if (!hang && !cut && half < 0) {
      return faults_of_responses_.next_stream(events, attempt);
    }
    response_plan plan;
    plan.framing = trayrock::fakes::response_framing::chunks;
    plan.end = hang ? response_end::silent : response_end::closed;
    plan.stop_at = events.front().size();
    if (half > 0 && events.size() > 1) {
      plan.stop_at +=
          std::min(static_cast<std::size_t>(half), events[1].size());
    }
    return plan;
  }

  event_loop& loop_;
  std::string id_;
  int events_;
  milliseconds pause_;
  std::string padding_;  // behind the data of events on padded paths
  switches faults_;
  response_faults faults_of_responses_;
  std::optional<early_response> early_;  // of the request that is served next
  int cancelled_ = 0;
  trayrock::timer end_timer_;               // of the process
  std::map<std::string, run_record> runs_;  // by attempt
  // By attempt: bodies that came behind a refusal, or parts of them.
  std::map<std::string, std::vector<std::string>> refused_early_;
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
  trayrock::fakes::raw_http_server server(
      loop, {.serve =
                 [&runner](const raw_request& request,
                           const raw_connection_ptr& out) {
                   runner.serve(request, out);
                 },
             .serves_early =
                 [&runner](const raw_request& request) {
                   return runner.serves_early(request);
                 }});
  if (unread_limit_ms > 0) {
    server.limit_unread(milliseconds(unread_limit_ms));
  }
  if (!server.listen(trayrock::address::parse(listen).value())) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  loop.run();
  return 0;
}
