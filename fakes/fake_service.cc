// Stand-in for a plain service whose calls may not be repeated.
//
// Every execution is counted by its request key, in memory and, with
// --ledger, in a file that outlives the process, so that a check of "at most
// once" sees executions before a crash as well. Faults come by POST /fault.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "trayrock/internal/net/http_server.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/replay/synthetic_answer.h"

namespace {

using nlohmann::json;
using trayrock::event_loop;
using trayrock::http_exchange_ptr;
using trayrock::http_request;
using trayrock::milliseconds;

class fake_service {
 public:
  fake_service(event_loop& loop, std::uint64_t work_ms, std::string ledger)
      : loop_(loop), work_ms_(work_ms), ledger_(std::move(ledger)) {
    read_ledger();
  }

  void serve(const http_request& request, const http_exchange_ptr& out) {
    const json body = json::parse(request.body, nullptr, false);
    if (request.path == "/v1/call" && body.is_object()) {
      call(body, out);
    } else if (request.path == "/fault" && body.is_object()) {
      hang_next_ = body.value("hang_next", hang_next_);
      die_after_execute_ = body.value("die_after_execute", die_after_execute_);
      cut_answers_ = body.value("cut_answers", cut_answers_);
      late_ms_ = body.value("late_ms", late_ms_);
      out->reply(200, "application/json", "{}");
    } else if (request.path == "/counts") {
      reply_counts(out);
    } else {
      out->reply(404, "application/json", "{}");
    }
  }

 private:
  // Several stand-ins of one service may share a ledger.
  void read_ledger() {
    if (ledger_.empty()) {
      return;
    }
    executions_.clear();
    std::ifstream before(ledger_);
    std::string key;
    while (std::getline(before, key)) {
      ++executions_[key];
    }
  }

  void call(const json& body, const http_exchange_ptr& out) {
    execute(body.value("key", ""));
    std::string request;
    for (const json& each : body.value("messages", json::array())) {
      request += each.value("content", "");
    }
    if (hang_next_ > 0) {
      --hang_next_;
      hung_.push_back(out);
      return;
    }
    if (cut_answers_ > 0) {
      --cut_answers_;
      out->cut();
      return;
    }
    const json answer{{"answer", trayrock::synthetic::service_answer(request)}};
    const std::uint64_t id = ++next_;
    pending_[id] =
        loop_.after(milliseconds(work_ms_ + late_ms_), [this, id, out, answer] {
          out->reply(200, "application/json", answer.dump());
          pending_.erase(id);
        });
  }

  void execute(const std::string& key) {
    ++executions_[key];
    if (!ledger_.empty()) {
      std::ofstream(ledger_, std::ios::app) << key << "\n";
    }
    if (die_after_execute_ > 0 && --die_after_execute_ == 0) {
      std::_Exit(1);
    }
  }

  void reply_counts(const http_exchange_ptr& out) {
    read_ledger();
    std::uint64_t most = 0;
    std::uint64_t doubled = 0;
    for (const auto& [key, count] : executions_) {
      most = std::max(most, count);
      doubled += count > 1 ? 1 : 0;
    }
    const json body{{"keys", executions_.size()},
                    {"most", most},
                    {"doubled", doubled},
                    {"executions", executions_}};
    out->reply(200, "application/json", body.dump());
  }

  event_loop& loop_;
  std::uint64_t work_ms_;
  std::string ledger_;
  std::map<std::string, std::uint64_t> executions_;
  std::vector<http_exchange_ptr> hung_;
  std::map<std::uint64_t, trayrock::timer> pending_;
  std::uint64_t next_ = 0;
  std::uint64_t hang_next_ = 0;
  std::uint64_t die_after_execute_ = 0;
  std::uint64_t cut_answers_ = 0;
  std::uint64_t late_ms_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for a plain service"};
  std::string listen;
  std::string ledger;
  std::uint64_t work_ms = 5;
  app.add_option("--listen", listen)->required();
  app.add_option("--ledger", ledger);
  app.add_option("--work-ms", work_ms);
  CLI11_PARSE(app, argc, argv);

  event_loop loop;
  fake_service service(loop, work_ms, ledger);
  trayrock::http_server api(loop, {});
  api.handle([&](const http_request& request, const http_exchange_ptr& out) {
    service.serve(request, out);
  });
  const auto where = trayrock::address::parse(listen);
  if (!where || !api.listen(where.value())) {
    std::fprintf(stderr, "fake-service: cannot listen\n");
    return 1;
  }
  loop.run();
  return 0;
}
