// Stand-in for the platform's service: object API and box list.
//
// Objects have versions, conditional writes and watches. The control port
// takes faults as JSON on POST /fault (see fault_switches) and changes of the
// box list on POST /boxes, which show after the lag. GET /counts gives the
// calls made by role and operation, for tests of the stated rates.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "trayrock/internal/net/http_server.h"
#include "trayrock/internal/net/loop.h"

namespace {

using nlohmann::json;
using trayrock::event_loop;
using trayrock::http_exchange_ptr;
using trayrock::http_request;
using trayrock::milliseconds;

constexpr std::size_t kept_events = 20000;
constexpr std::size_t value_limit = 1U << 20;
constexpr std::uint64_t ms_per_second = 1000;

struct object {
  std::uint64_t version = 0;
  std::string bytes;
};

struct change {
  std::uint64_t revision = 0;
  std::string key;
  std::uint64_t version = 0;
  bool deleted = false;
};

struct waiting_watch {
  std::string prefix;
  std::uint64_t since = 0;
  http_exchange_ptr out;
  std::uint64_t until_ms = 0;
};

// What can be made to go wrong, by key of POST /fault.
struct fault_switches {
  bool outage = false;                  // every call is refused with 503
  bool silent = false;                  // every call is left without an answer
  std::uint64_t answer_ms = 0;          // delay before each answer
  std::uint64_t lose_put_answers = 0;   // so many puts act, answers are cut
  std::uint64_t lose_watch_events = 0;  // so many changes miss the watchers
  std::uint64_t stale_gets = 0;         // so many gets show the version before
};

struct options {
  std::string listen;
  std::string control;
  std::uint64_t answer_ms = 2;
  std::uint64_t writes_per_second = 300;
  std::uint64_t reads_per_second = 2000;
  std::uint64_t box_lag_ms = 500;
};

class fake_platform {
 public:
  fake_platform(event_loop& loop, const options& chosen)
      : loop_(loop), options_(chosen) {
    faults_.answer_ms = chosen.answer_ms;
    expiry_ = loop_.every(milliseconds(50), [this] { expire_watches(); });
    second_ = loop_.every(milliseconds(ms_per_second), [this] {
      writes_this_second_ = 0;
      reads_this_second_ = 0;
    });
  }

  void serve(const http_request& request, const http_exchange_ptr& out) {
    count(request);
    if (faults_.silent) {
      silenced_.push_back(out);
      return;
    }
    if (faults_.answer_ms == 0) {
      act(request, out);
      return;
    }
    delay([this, request, out] { act(request, out); });
  }

  void control(const http_request& request, const http_exchange_ptr& out) {
    const json body = json::parse(request.body, nullptr, false);
    if (request.path == "/fault" && body.is_object()) {
      set_faults(body);
      out->reply(200, "application/json", "{}");
    } else if (request.path == "/boxes" && body.is_object()) {
      const std::string name = body.value("name", "");
      auto apply = [this, name, body] { boxes_[name] = body; };
      options_.box_lag_ms == 0 ? apply() : delay_ms(options_.box_lag_ms, apply);
      out->reply(200, "application/json", "{}");
    } else if (request.path == "/counts") {
      out->reply(200, "application/json", json(counts_).dump());
    } else {
      out->reply(404, "application/json", "{}");
    }
  }

 private:
  void count(const http_request& request) {
    const std::string operation = request.path == "/v1/watch"   ? "watch"
                                  : request.path == "/v1/boxes" ? "boxes"
                                  : request.path == "/v1/list"  ? "list"
                                                               : request.method;
    ++counts_[std::string(request.header("x-role")) + " " + operation];
    ++counts_["all " + operation];
  }

  void delay(std::function<void()> action) {
    delay_ms(faults_.answer_ms, std::move(action));
  }

  void delay_ms(std::uint64_t wait, std::function<void()> action) {
    const std::uint64_t id = ++next_delay_;
    delays_[id] =
        loop_.after(milliseconds(wait), [this, id, action = std::move(action)] {
          action();
          delays_.erase(id);
        });
  }

  void set_faults(const json& body) {
    faults_.outage = body.value("outage", faults_.outage);
    faults_.silent = body.value("silent", faults_.silent);
    faults_.answer_ms = body.value("answer_ms", faults_.answer_ms);
    faults_.lose_put_answers =
        body.value("lose_put_answers", faults_.lose_put_answers);
    faults_.lose_watch_events =
        body.value("lose_watch_events", faults_.lose_watch_events);
    faults_.stale_gets = body.value("stale_gets", faults_.stale_gets);
    if (!faults_.silent) {
      for (const http_exchange_ptr& each : silenced_) {
        each->cut();
      }
      silenced_.clear();
    }
  }

  bool over_limit(const http_request& request) {
    const bool write = request.method == "PUT" || request.method == "DELETE";
    std::uint64_t& used = write ? writes_this_second_ : reads_this_second_;
    return ++used >
           (write ? options_.writes_per_second : options_.reads_per_second);
  }

  void act(const http_request& request, const http_exchange_ptr& out) {
    if (faults_.outage) {
      out->reply(503, "application/json", "{}");
      return;
    }
    if (over_limit(request)) {
      ++counts_["limited"];
      out->reply(429, "application/json", "{}");
      return;
    }
    constexpr std::string_view objects = "/v1/objects/";
    if (request.path.starts_with(objects)) {
      act_on_object(request, request.path.substr(objects.size()), out);
    } else if (request.path == "/v1/list") {
      reply_list(std::string(request.parameter("prefix")), out);
    } else if (request.path == "/v1/watch") {
      add_watch(request, out);
    } else if (request.path == "/v1/boxes") {
      json boxes = json::array();
      for (const auto& [name, each] : boxes_) {
        boxes.push_back(each);
      }
      out->reply(200, "application/json", json{{"boxes", boxes}}.dump());
    } else {
      out->reply(404, "application/json", "{}");
    }
  }

  void act_on_object(const http_request& request, const std::string& key,
                     const http_exchange_ptr& out) {
    if (request.method == "PUT") {
      put(request, key, out);
    } else if (request.method == "DELETE") {
      if (objects_.erase(key) > 0) {
        note_change(key, 0, true);
      }
      out->reply(200, "application/json", "{}");
    } else {
      get(key, out);
    }
  }

  void get(const std::string& key, const http_exchange_ptr& out) {
    const auto* from = &objects_;
    if (faults_.stale_gets > 0 && previous_.contains(key)) {
      --faults_.stale_gets;
      from = &previous_;
    }
    const auto found = from->find(key);
    if (found == from->end()) {
      out->reply(404, "application/json", "{}");
      return;
    }
    out->add_header("X-Version", std::to_string(found->second.version));
    out->reply(200, "application/octet-stream", found->second.bytes);
  }

  void put(const http_request& request, const std::string& key,
           const http_exchange_ptr& out) {
    object& held = objects_[key];
    const std::uint64_t expected = request.number("if_version", 0);
    if (held.version != expected || request.body.size() > value_limit) {
      const bool conflict = held.version != expected;
      out->add_header("X-Version", std::to_string(held.version));
      if (held.version == 0) {
        objects_.erase(key);
      }
      out->reply(conflict ? 409 : 413, "application/json", "{}");
      return;
    }
    if (held.version > 0) {
      previous_[key] = held;
    }
    held.version = ++revision_;
    held.bytes = request.body;
    note_change(key, held.version, false);
    if (faults_.lose_put_answers > 0) {
      --faults_.lose_put_answers;
      out->cut();
      return;
    }
    out->add_header("X-Version", std::to_string(held.version));
    out->reply(200, "application/json", "{}");
  }

  void note_change(const std::string& key, std::uint64_t version,
                   bool deleted) {
    if (deleted) {
      ++revision_;
    }
    if (faults_.lose_watch_events > 0) {
      --faults_.lose_watch_events;
      return;
    }
    changes_.push_back({revision_, key, version, deleted});
    if (changes_.size() > kept_events) {
      changes_.pop_front();
    }
    wake_watches();
  }

  void reply_list(const std::string& prefix, const http_exchange_ptr& out) {
    json items = json::array();
    for (auto each = objects_.lower_bound(prefix);
         each != objects_.end() && each->first.starts_with(prefix); ++each) {
      items.push_back(
          {{"key", each->first}, {"version", each->second.version}});
    }
    out->reply(200, "application/json",
               json{{"revision", revision_}, {"items", items}}.dump());
  }

  void add_watch(const http_request& request, const http_exchange_ptr& out) {
    const std::uint64_t since = request.number("since", 0);
    if (!changes_.empty() && changes_.size() == kept_events &&
        since + 1 < changes_.front().revision) {
      out->reply(410, "application/json", "{}");
      return;
    }
    const waiting_watch made{std::string(request.parameter("prefix")), since,
                             out,
                             loop_.now_ms() + request.number("wait_ms", 0)};
    if (!answer_watch(made, false)) {
      watches_.push_back(made);
    }
  }

  bool answer_watch(const waiting_watch& watch, bool even_if_empty) {
    json events = json::array();
    for (const change& each : changes_) {
      if (each.revision > watch.since && each.key.starts_with(watch.prefix)) {
        events.push_back({{"key", each.key},
                          {"version", each.version},
                          {"deleted", each.deleted}});
      }
    }
    if (events.empty() && !even_if_empty) {
      return false;
    }
    watch.out->reply(200, "application/json",
                     json{{"revision", revision_}, {"events", events}}.dump());
    return true;
  }

  void wake_watches() {
    std::erase_if(watches_, [this](const waiting_watch& each) {
      return each.out->answered() || answer_watch(each, false);
    });
  }

  void expire_watches() {
    const std::uint64_t now = loop_.now_ms();
    std::erase_if(watches_, [this, now](const waiting_watch& each) {
      if (faults_.outage) {
        each.out->cut();
        return true;
      }
      return each.out->answered() ||
             (each.until_ms <= now && answer_watch(each, true));
    });
  }

  event_loop& loop_;
  options options_;
  fault_switches faults_;
  std::map<std::string, object> objects_;
  std::map<std::string, object> previous_;
  std::map<std::string, json> boxes_;
  std::map<std::string, std::uint64_t> counts_;
  std::deque<change> changes_;
  std::vector<waiting_watch> watches_;
  std::vector<http_exchange_ptr> silenced_;
  std::uint64_t revision_ = 0;
  std::uint64_t writes_this_second_ = 0;
  std::uint64_t reads_this_second_ = 0;
  std::uint64_t next_delay_ = 0;
  std::map<std::uint64_t, trayrock::timer> delays_;
  trayrock::timer expiry_;
  trayrock::timer second_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for the platform's object API and box list"};
  options chosen;
  app.add_option("--listen", chosen.listen)->required();
  app.add_option("--control", chosen.control)->required();
  app.add_option("--answer-ms", chosen.answer_ms);
  app.add_option("--writes-per-second", chosen.writes_per_second);
  app.add_option("--reads-per-second", chosen.reads_per_second);
  app.add_option("--box-lag-ms", chosen.box_lag_ms);
  CLI11_PARSE(app, argc, argv);

  event_loop loop;
  fake_platform platform(loop, chosen);
  trayrock::http_server api(loop, {});
  trayrock::http_server control(loop, {});
  api.handle([&](const http_request& request, const http_exchange_ptr& out) {
    platform.serve(request, out);
  });
  control.handle(
      [&](const http_request& request, const http_exchange_ptr& out) {
        platform.control(request, out);
      });
  const auto where = trayrock::address::parse(chosen.listen);
  const auto faults = trayrock::address::parse(chosen.control);
  if (!where || !faults || !api.listen(where.value()) ||
      !control.listen(faults.value())) {
    std::fprintf(stderr, "fake-platform: cannot listen\n");
    return 1;
  }
  loop.run();
  return 0;
}
