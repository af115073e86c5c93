#include "trayrock/internal/replay/replayer.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "trayrock/internal/replay/synthetic_answer.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int created = 201;
constexpr std::size_t most_notes = 10;
constexpr std::uint64_t us_per_ms = 1000;
constexpr std::uint64_t retry_pause_ms = 100;
constexpr milliseconds call_silence{120000};
constexpr milliseconds progress_period{2000};
constexpr int errc_unknown = static_cast<int>(errc::outcome_unknown);

}  // namespace

double part_of(std::vector<double> samples, double p) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(std::lround(p * last))];
}

double replay_report::wasted_share() const {
  return prompt_tokens == 0 ? 0
                            : static_cast<double>(recomputed_tokens) /
                                  static_cast<double>(prompt_tokens);
}

bool replay_report::meets(const trace_outcomes& stated) const {
  return lost <= stated.lost && doubled <= stated.doubled &&
         mixed <= stated.mixed && unknown <= stated.unknown &&
         unfinished <= stated.unfinished;
}

// One program on its way.
struct replayer::runner {
  runner(replayer& whole_in, const trace_program& what_in)
      : whole(whole_in), what(what_in) {}

  replayer& whole;
  const trace_program& what;
  std::string id;
  std::size_t at = 0;  // the next call
  std::uint64_t next_key = 0;
  std::uint64_t begun_ms = 0;
  std::uint64_t paused_ms = 0;
  std::uint64_t call_begun_us = 0;
  std::uint64_t last_token_us = 0;
  std::uint64_t call_deadline_ms = 0;
  std::vector<json> conversation;  // the caller's own record
  std::string expected;
  std::string streamed;
  std::string line;
  std::string event_name;
  bool closed = false;  // the closing event came
  json last;            // its data
  bool over = false;
  http_call call;
  timer wait;

  class_figures& figures() { return whole.report_.classes[what.work_class]; }

  void note(const std::string& text) {
    if (whole.report_.notes.size() < most_notes) {
      whole.report_.notes.push_back(what.name + " call " +
                                    std::to_string(at + 1) + ": " + text);
    }
  }

  void later(std::uint64_t ms, std::function<void()> step) {
    wait = whole.loop_.after(milliseconds(ms), std::move(step));
  }

  void send(const std::string& method, const std::string& target,
            const std::string& body, const std::string& key,
            http_client::chunk_callback on_chunk,
            http_client::done_callback on_done) {
    http_message message{method, target, body, {}};
    message.headers["X-Trayrock-Member"] = what.member;
    if (!key.empty()) {
      message.headers["Idempotency-Key"] = key;
      message.headers["Accept"] = "text/event-stream";
    }
    // Held until the loop is back outside of the old call's callbacks.
    whole.loop_.post([held = std::make_shared<http_call>(std::move(call))] {});
    call = whole.client_.start(whole.next_entry(), message, call_silence,
                               std::move(on_chunk), std::move(on_done));
  }

  void begin() {
    if (!what.parent.empty()) {
      const runner& parent = *whole.runners_[what.parent];
      if (parent.over) {
        finish(false);
        return;
      }
      if (parent.id.empty()) {
        later(retry_pause_ms, [this] { begin(); });
        return;
      }
    }
    begun_ms = whole.loop_.now_ms();
    call_deadline_ms = begun_ms + whole.options_.patience_ms;
    open();
  }

  void open() {
    json body{{"program", what.declared}, {"class", what.work_class}};
    if (!what.parent.empty()) {
      body["parent"] = whole.runners_[what.parent]->id;
    }
    send("POST", "/v1/programs", body.dump(), "", nullptr,
         [this](const result<http_reply>& reply) {
           if (reply && reply.value().status == created) {
             id = json::parse(reply.value().body).value("id", "");
             next_call();
             return;
           }
           if (!may_try_again(reply)) {
             finish(false);
             return;
           }
           later(pause_for(reply), [this] { open(); });
         });
  }

  // Whether the answer says to come back and there is patience left.
  bool may_try_again(const result<http_reply>& reply) {
    ++whole.report_.tries;
    if (reply) {
      const json body = json::parse(reply.value().body, nullptr, false);
      const json error = body.is_object() ? body.value("error", json::object())
                                          : json::object();
      const std::uint64_t code = error.value("code", std::uint64_t{0});
      ++whole.report_.failures[code];
      constexpr int first_server_error = 500;
      if (reply.value().status < first_server_error &&
          code != static_cast<std::uint64_t>(errc::call_in_progress)) {
        note("refused for good: " + reply.value().body);
        return false;
      }
      if (reply.value().header("retry-after").empty() && code == errc_unknown) {
        return false;
      }
      ++whole.report_.refusals;
    }
    const bool patient = whole.loop_.now_ms() < call_deadline_ms;
    if (!patient) {
      note("out of patience");
    }
    return patient;
  }

  std::uint64_t pause_for(const result<http_reply>& reply) const {
    if (reply) {
      const json body = json::parse(reply.value().body, nullptr, false);
      if (body.is_object() && body.contains("error")) {
        return std::max(retry_pause_ms, body["error"].value("retry_after_ms",
                                                            std::uint64_t{0}));
      }
    }
    return retry_pause_ms;
  }

  void next_call() {
    if (at == what.calls.size()) {
      check_history();
      return;
    }
    const auto pause = static_cast<std::uint64_t>(
        static_cast<double>(what.calls[at].pause_ms) / whole.options_.speed);
    paused_ms += pause;
    later(pause, [this] {
      ++next_key;
      call_deadline_ms = whole.loop_.now_ms() + whole.options_.patience_ms;
      call_begun_us = whole.loop_.now_us();
      last_token_us = 0;
      make_call();
    });
  }

  bool is_plain() const { return !what.calls[at].service.empty(); }

  void make_call() {
    const trace_call& now = what.calls[at];
    json messages = json::array();
    std::string joined;
    std::uint64_t digest = 0;
    for (const json& each : conversation) {
      digest = synthetic::fold_message(digest, each.value("role", ""),
                                       each.value("content", ""));
    }
    for (const trace_message& each : now.messages) {
      const std::string content = each.content();
      messages.push_back({{"role", each.role}, {"content", content}});
      digest = synthetic::fold_message(digest, each.role, content);
      joined += content;
    }
    expected = is_plain() ? synthetic::service_answer(joined)
                          : synthetic::whole_answer(digest, now.max_tokens);
    json body{{"messages", messages}, {"sequence", at + 1}};
    if (is_plain()) {
      body["service"] = now.service;
    } else {
      body["max_tokens"] = now.max_tokens;
    }
    streamed.clear();
    line.clear();
    closed = false;
    send(
        "POST", "/v1/programs/" + id + "/calls", body.dump(),
        what.name + "-" + std::to_string(next_key),
        [this](std::string_view bytes) { take_bytes(bytes); },
        [this](const result<http_reply>& reply) { call_ended(reply); });
  }

  void take_bytes(std::string_view bytes) {
    line.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = line.find('\n'); end != std::string::npos;
         end = line.find('\n', begin)) {
      take_line(std::string_view(line).substr(begin, end - begin));
      begin = end + 1;
    }
    line.erase(0, begin);
  }

  void take_line(std::string_view text) {
    constexpr std::string_view event_prefix = "event: ";
    constexpr std::string_view data_prefix = "data: ";
    if (text.starts_with(event_prefix)) {
      event_name = text.substr(event_prefix.size());
    } else if (text.starts_with(data_prefix)) {
      take_event(json::parse(text.substr(data_prefix.size()), nullptr, false));
    }
  }

  void take_event(const json& data) {
    if (event_name == "chunk") {
      const std::uint64_t now = whole.loop_.now_us();
      const std::uint64_t since =
          last_token_us == 0 ? call_begun_us : last_token_us;
      const double took =
          static_cast<double>(now - since) / static_cast<double>(us_per_ms);
      (last_token_us == 0 ? figures().first_token_ms
                          : figures().between_tokens_ms)
          .push_back(took);
      last_token_us = now;
      streamed += data.value("text", "");
    } else if (event_name == "restart") {
      ++whole.report_.restarts;
      streamed.clear();
    } else if (event_name == "done" || event_name == "failed") {
      closed = true;
      last = data;
    }
  }

  void call_ended(const result<http_reply>& reply) {
    if (closed && event_name == "done") {
      answered();
      return;
    }
    if (closed) {
      // The failure came after the stream had begun.
      http_reply failed;
      constexpr int unavailable = 503;
      failed.status = unavailable;
      failed.body = last.dump();
      call_failed(failed);
      return;
    }
    if (reply && reply.value().status != ok) {
      // The body came by chunks.
      http_reply failed = reply.value();
      failed.body = line;
      call_failed(failed);
      return;
    }
    call_failed(reply ? result<http_reply>(errc::answer_cut) : reply);
  }

  void call_failed(const result<http_reply>& reply) {
    const json body = reply ? json::parse(reply.value().body, nullptr, false)
                            : json::object();
    const json error =
        body.is_object() ? body.value("error", json::object()) : json::object();
    if (error.value("code", 0) == errc_unknown ||
        (is_plain() && error.value("ran", "") == "unknown" &&
         !error.contains("retry_after_ms"))) {
      // Said as such: the program goes on without that answer.
      ++whole.report_.failures[error.value("code", std::uint64_t{0})];
      ++whole.report_.unknown;
      ++whole.report_.calls;
      ++at;
      next_call();
      return;
    }
    if (!may_try_again(reply)) {
      finish(false);
      return;
    }
    later(pause_for(reply), [this] { make_call(); });
  }

  void answered() {
    const std::string answer = last.value("answer", "");
    const bool streamed_whole =
        streamed.empty() || streamed == answer || last.value("replayed", false);
    if (answer != expected || !streamed_whole) {
      ++whole.report_.mixed;
      note("expected \"" + expected.substr(0, 40) + "\", seen \"" +
           answer.substr(0, 40) + "\"" +
           (streamed_whole ? "" : ", stream differs"));
    }
    const json usage = last.value("usage", json::object());
    whole.report_.prompt_tokens +=
        usage.value("prompt_tokens", std::uint64_t{0});
    whole.report_.recomputed_tokens +=
        usage.value("recomputed_tokens", std::uint64_t{0});
    if (!is_plain()) {
      for (const trace_message& each : what.calls[at].messages) {
        conversation.push_back(
            {{"role", each.role}, {"content", each.content()}});
      }
      conversation.push_back({{"role", "assistant"}, {"content", answer}});
    }
    ++whole.report_.calls;
    ++at;
    next_call();
  }

  void check_history() {
    call_deadline_ms = whole.loop_.now_ms() + whole.options_.patience_ms;
    read_history();
  }

  void read_history() {
    send("GET", "/v1/programs/" + id, "", "", nullptr,
         [this](const result<http_reply>& reply) {
           if (!reply || reply.value().status != ok) {
             if (may_try_again(reply)) {
               later(pause_for(reply), [this] { read_history(); });
             } else {
               ++whole.report_.lost;
               finish(false);
             }
             return;
           }
           const json held =
               json::parse(reply.value().body).value("history", json::array());
           if (held != json(conversation)) {
             ++whole.report_.lost;
             note("history differs: held " + std::to_string(held.size()) +
                  " messages, expected " + std::to_string(conversation.size()));
           }
           what.vanishes ? finish(true) : end();
         });
  }

  void end() {
    send("DELETE", "/v1/programs/" + id, "", "", nullptr,
         [this](const result<http_reply>& reply) {
           if (reply && reply.value().status == ok) {
             finish(true);
           } else if (may_try_again(reply)) {
             later(pause_for(reply), [this] { end(); });
           } else {
             finish(false);
           }
         });
  }

  void finish(bool whole_program) {
    over = true;
    ++whole.report_.programs;
    if (whole_program) {
      const std::uint64_t took = whole.loop_.now_ms() - begun_ms;
      figures().program_ms.push_back(
          static_cast<double>(took - std::min(took, paused_ms)));
    } else {
      ++whole.report_.unfinished;
    }
    whole.program_over(*this);
  }
};

replayer::replayer(event_loop& loop, const trace& what, replay_options options)
    : loop_(loop), trace_(what), options_(std::move(options)), client_(loop) {}

replayer::~replayer() = default;

const address& replayer::next_entry() {
  return options_.entries[next_entry_++ % options_.entries.size()];
}

void replayer::start(std::function<void(const replay_report&)> done) {
  done_ = std::move(done);
  for (const trace_program& each : trace_.programs) {
    auto made = std::make_unique<runner>(*this, each);
    runner* started = made.get();
    const auto at = static_cast<std::uint64_t>(static_cast<double>(each.at_ms) /
                                               options_.speed);
    started->later(at, [started] { started->begin(); });
    runners_[each.name] = std::move(made);
    ++open_;
  }
  if (options_.progress) {
    progress_ = loop_.every(progress_period, [this] {
      std::printf("replay %s: %zu programs open, %llu calls done\n",
                  trace_.name.c_str(), open_,
                  static_cast<unsigned long long>(report_.calls));
      std::fflush(stdout);
    });
  }
  if (open_ == 0) {
    loop_.post([this] { count_executions(0); });
  }
}

void replayer::program_over(runner&) {
  if (--open_ == 0) {
    loop_.post([this] { count_executions(0); });
  }
}

void replayer::count_executions(std::size_t index) {
  if (index == options_.counters.size()) {
    progress_.cancel();
    done_(report_);
    return;
  }
  counting_ = client_.start(
      options_.counters[index], {"GET", "/counts", "", {}}, call_silence,
      nullptr, [this, index](const result<http_reply>& reply) {
        if (reply && reply.value().status == ok) {
          const json body = json::parse(reply.value().body, nullptr, false);
          report_.doubled += body.value("doubled", std::uint64_t{0});
        } else {
          report_.notes.emplace_back("executions could not be counted");
          ++report_.unfinished;
        }
        loop_.post([this, index] { count_executions(index + 1); });
      });
}

}  // namespace trayrock
