// Stand-in for the users' object service: listings, watches, conditional
// writes of objects with metadata, spec and status.
//
// The control port takes faults as JSON on POST /fault (see fault_switches)
// and POST /forget, after which watches from older revisions get 410. The body
// of POST /raw?kind=K&name=N becomes an object's spec, or with whole=1 the
// object, and is sent as it is, also where it is no JSON.
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

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_missing = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr std::size_t page_size = 500;
// Begins a string, in a dumped object, in whose place a raw text is sent.
constexpr std::string_view raw_mark = "\"raw text ";

struct change {
  std::uint64_t revision = 0;
  std::string kind;
  bool removed = false;
  json object;
};

struct waiting_watch {
  std::string kind;
  std::uint64_t after = 0;
  std::uint64_t until_ms = 0;
  http_exchange_ptr out;
};

// What can be made to go wrong, by key of POST /fault.
struct fault_switches {
  bool outage = false;                   // every call is refused with 503
  bool silent = false;                   // calls are left without an answer
  std::uint64_t lose_write_answers = 0;  // so many writes act, answers are cut
  std::uint64_t garble_reads = 0;        // so many are answered with other JSON
};

class fake_objects {
 public:
  explicit fake_objects(event_loop& loop) : loop_(loop) {
    constexpr milliseconds expiry_period{50};
    expiry_ = loop_.every(expiry_period, [this] { wake_watches(); });
  }

  void serve(const http_request& request, const http_exchange_ptr& out) {
    const bool watches = request.query.contains("watch");
    ++calls_[(watches ? "WATCH" : request.method) + " " + request.path];
    if (faults_.silent) {
      silenced_.push_back(out);
      return;
    }
    if (faults_.outage) {
      reply(out, status_unavailable, json::object());
      return;
    }
    if (request.method == "GET" && faults_.garble_reads > 0) {
      --faults_.garble_reads;
      reply(out, status_ok, {{"items", 3}, {"events", "none"}});
      return;
    }
    act(request, out);
  }

  void control(const http_request& request, const http_exchange_ptr& out) {
    const json body = json::parse(request.body, nullptr, false);
    if (request.path == "/fault" && body.is_object()) {
      faults_.outage = body.value("outage", faults_.outage);
      faults_.silent = body.value("silent", faults_.silent);
      faults_.lose_write_answers =
          body.value("lose_write_answers", faults_.lose_write_answers);
      faults_.garble_reads = body.value("garble_reads", faults_.garble_reads);
      remove_all(body.value("remove_all", ""));
      cut_when_faulty();
    } else if (request.path == "/calls") {
      reply(out, status_ok, calls_);
      return;
    } else if (request.path == "/raw") {
      write_raw(request);
    } else if (request.path == "/forget") {
      changes_.clear();
      oldest_kept_ = revision_;
    }
    reply(out, status_ok, json::object());
  }

 private:
  void reply(const http_exchange_ptr& out, int status, const json& body) const {
    const std::string text = body.dump();
    std::string sent;
    std::size_t begin = 0;
    for (std::size_t at = text.find(raw_mark); at != std::string::npos;
         at = text.find(raw_mark, begin)) {
      const std::size_t number = at + raw_mark.size();
      const std::size_t end = text.find('"', number);
      sent.append(text, begin, at - begin);
      sent += raw_[std::stoul(text.substr(number, end - number))];
      begin = end + 1;
    }
    sent.append(text, begin);
    out->reply(status, "application/json", sent);
  }

  // Values that JSON's parser would refuse or change are held as marks.
  void write_raw(const http_request& request) {
    const std::string kind(request.parameter("kind"));
    const std::string name(request.parameter("name"));
    const std::string mark =
        std::string(raw_mark.substr(1)) + std::to_string(raw_.size());
    raw_.push_back(request.body);
    json object = mark;
    ++revision_;
    if (request.number("whole", 0) == 0) {
      object = {{"metadata", {{"name", name}, {"revision", revision_}}},
                {"spec", mark},
                {"status", nullptr}};
    }
    objects_[kind][name] = object;
    changes_.push_back({revision_, kind, false, object});
    wake_watches();
  }

  void cut_when_faulty() {
    if (faults_.outage || faults_.silent) {
      for (const waiting_watch& each : watches_) {
        each.out->cut();
      }
      watches_.clear();
    }
    if (!faults_.silent) {
      for (const http_exchange_ptr& each : silenced_) {
        each->cut();
      }
      silenced_.clear();
    }
  }

  // /objects/KIND, /objects/KIND/NAME, /objects/KIND/NAME/status
  void act(const http_request& request, const http_exchange_ptr& out) {
    constexpr std::string_view root = "/objects/";
    if (!request.path.starts_with(root)) {
      reply(out, status_missing, json::object());
      return;
    }
    std::string kind = request.path.substr(root.size());
    std::string name;
    std::string part;
    split(kind, name);
    split(name, part);
    if (request.method == "GET" && name.empty()) {
      request.query.contains("watch") ? watch(request, kind, out)
                                      : list(request, kind, out);
    } else if (request.method == "GET") {
      get(kind, name, out);
    } else if (request.method == "DELETE") {
      erase(kind, name, out);
    } else {
      write(request, kind, name, part == "status", out);
    }
  }

  static void split(std::string& path, std::string& rest) {
    const std::size_t slash = path.find('/');
    if (slash != std::string::npos) {
      rest = path.substr(slash + 1);
      path.resize(slash);
    }
  }

  void list(const http_request& request, const std::string& kind,
            const http_exchange_ptr& out) {
    json items = json::array();
    const std::string after(request.parameter("after"));
    bool truncated = false;
    for (const auto& [name, object] : objects_[kind]) {
      if (name <= after) {
        continue;
      }
      if (items.size() == page_size) {
        truncated = true;
        break;
      }
      items.push_back(object);
    }
    reply(out, status_ok,
          {{"items", items}, {"truncated", truncated}, {"asOf", revision_}});
  }

  void get(const std::string& kind, const std::string& name,
           const http_exchange_ptr& out) {
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
      reply(out, status_missing, json::object());
    } else {
      reply(out, status_ok, found->second);
    }
  }

  void erase(const std::string& kind, const std::string& name,
             const http_exchange_ptr& out) {
    const auto found = objects_[kind].find(name);
    if (found != objects_[kind].end()) {
      changes_.push_back({++revision_, kind, true, found->second});
      objects_[kind].erase(found);
    }
    reply(out, status_ok, json::object());
    wake_watches();
  }

  // All objects of a kind go at once, as records whose heartbeats an outage
  // kept away.
  void remove_all(const std::string& kind) {
    for (const auto& [name, object] : objects_[kind]) {
      changes_.push_back({++revision_, kind, true, object});
    }
    objects_.erase(kind);
    wake_watches();
  }

  void write(const http_request& request, const std::string& kind,
             std::string name, bool only_status, const http_exchange_ptr& out) {
    const json body = json::parse(request.body, nullptr, false);
    const bool creates = request.method == "POST";
    const json metadata = body.value("metadata", json::object());
    if (creates) {
      name = metadata.value("name", "");
    }
    auto& held = objects_[kind];
    const auto found = held.find(name);
    if (creates == (found != held.end())) {
      reply(out, creates ? status_conflict : status_missing, json::object());
      return;
    }
    json object = creates ? json{{"metadata", {{"name", name}}},
                                 {"spec", nullptr},
                                 {"status", nullptr}}
                          : found->second;
    const auto expected = metadata.find("revision");
    if (!creates && expected != metadata.end() &&
        *expected != object["metadata"]["revision"]) {
      reply(out, status_conflict, object);
      return;
    }
    const char* part = only_status ? "status" : "spec";
    object[part] = body.value(part, json());
    object["metadata"]["revision"] = ++revision_;
    held[name] = object;
    changes_.push_back({revision_, kind, false, object});
    if (faults_.lose_write_answers > 0) {
      --faults_.lose_write_answers;
      out->cut();
    } else {
      reply(out, creates ? status_created : status_ok, object);
    }
    wake_watches();
  }

  void watch(const http_request& request, const std::string& kind,
             const http_exchange_ptr& out) {
    const std::uint64_t after = request.number("watch", 0);
    if (after < oldest_kept_) {
      reply(out, status_gone, json::object());
      return;
    }
    watches_.push_back(
        {kind, after, loop_.now_ms() + request.number("waitMs", 0), out});
    wake_watches();
  }

  void wake_watches() {
    std::deque<waiting_watch> still;
    for (waiting_watch& each : watches_) {
      json events = json::array();
      for (const change& made : changes_) {
        if (made.kind == each.kind && made.revision > each.after) {
          events.push_back(
              {{"removed", made.removed}, {"object", made.object}});
        }
      }
      if (events.empty() && loop_.now_ms() < each.until_ms) {
        still.push_back(std::move(each));
        continue;
      }
      reply(each.out, status_ok, {{"events", events}, {"asOf", revision_}});
    }
    watches_ = std::move(still);
  }

  event_loop& loop_;
  fault_switches faults_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_kept_ = 0;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::deque<change> changes_;
  std::deque<waiting_watch> watches_;
  std::vector<http_exchange_ptr> silenced_;
  std::map<std::string, int> calls_;  // by method and path
  std::vector<std::string> raw_;      // texts by the numbers of their marks
  trayrock::timer expiry_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for the users' object service"};
  std::string listen;
  std::string control;
  app.add_option("--listen", listen)->required();
  app.add_option("--control", control)->required();
  CLI11_PARSE(app, argc, argv);

  event_loop loop;
  fake_objects objects(loop);
  trayrock::http_server server(loop, {});
  trayrock::http_server controls(loop, {});
  server.handle(
      [&objects](const http_request& request, const http_exchange_ptr& out) {
        objects.serve(request, out);
      });
  controls.handle(
      [&objects](const http_request& request, const http_exchange_ptr& out) {
        objects.control(request, out);
      });
  if (!server.listen(trayrock::address::parse(listen).value()) ||
      !controls.listen(trayrock::address::parse(control).value())) {
    std::fprintf(stderr, "cannot listen\n");
    return 1;
  }
  loop.run();
  return 0;
}
