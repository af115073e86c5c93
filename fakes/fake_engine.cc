// Stand-in for a model engine: continuous batching over a limited prefix
// cache, with priorities, cancel by disconnect, holds, and KV export/import.
//
// Time is modelled in steps: each step gives one token to every sequence that
// decodes and a share of prefill work to those that wait for it. The cache
// keeps one entry a message, under the digest of the conversation up to it.
//
// A conversation that holds "fatal" ends the process.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "trayrock/internal/net/http_server.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/replay/synthetic_answer.h"

namespace {

using nlohmann::json;
using trayrock::event_loop;
using trayrock::http_exchange_ptr;
using trayrock::http_request;
using trayrock::milliseconds;

struct options {
  std::string listen;
  std::uint64_t step_ms = 4;
  std::uint64_t prefill_tokens_per_step = 256;
  std::uint64_t max_batch = 16;
  std::uint64_t cache_tokens = 200000;
  bool checks_fencing = false;
  std::uint64_t load_lag_ms = 500;
  std::uint64_t event_lag_ms = 500;
  std::uint64_t event_gap_every = 0;  // every n-th cache event is lost
};

struct chain_link {
  std::uint64_t digest;
  std::uint64_t tokens;
};
using chain = std::vector<chain_link>;

// The prefix cache: least recently used first out, held entries stay.
class prefix_cache {
 public:
  explicit prefix_cache(std::uint64_t capacity) : capacity_(capacity) {}

  std::uint64_t cached_tokens(const chain& links) const {
    std::uint64_t found = 0;
    for (const chain_link& each : links) {
      if (!entries_.contains(each.digest)) {
        break;
      }
      found += each.tokens;
    }
    return found;
  }

  void insert(const chain& links) {
    for (auto each = links.rbegin(); each != links.rend(); ++each) {
      entry& held = entries_[each->digest];
      if (held.tokens == 0) {
        held.tokens = each->tokens;
        used_ += each->tokens;
      }
      held.touched = ++clock_;
    }
    evict();
  }

  void hold(const chain& links, int change) {
    for (const chain_link& each : links) {
      const auto found = entries_.find(each.digest);
      if (found != entries_.end()) {
        found->second.holds = std::max(0, found->second.holds + change);
      }
    }
  }

  std::uint64_t used() const { return used_; }

 private:
  struct entry {
    std::uint64_t tokens = 0;
    std::uint64_t touched = 0;
    int holds = 0;
  };

  void evict() {
    if (used_ <= capacity_) {
      return;
    }
    std::vector<std::pair<std::uint64_t, std::uint64_t>> by_age;
    for (const auto& [digest, each] : entries_) {
      if (each.holds == 0) {
        by_age.emplace_back(each.touched, digest);
      }
    }
    std::sort(by_age.begin(), by_age.end());
    for (const auto& [touched, digest] : by_age) {
      if (used_ <= capacity_) {
        return;
      }
      used_ -= entries_[digest].tokens;
      entries_.erase(digest);
    }
  }

  std::uint64_t capacity_;
  std::uint64_t used_ = 0;
  std::uint64_t clock_ = 0;
  std::map<std::uint64_t, entry> entries_;
};

struct sequence {
  http_exchange_ptr out;
  std::string program;
  std::uint64_t priority = 0;
  std::uint64_t arrival = 0;
  chain links;
  std::uint64_t digest = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t to_prefill = 0;
  std::uint64_t max_tokens = 0;
  std::uint64_t made = 0;
  std::string text;
  bool started = false;
};

class fake_engine {
 public:
  fake_engine(event_loop& loop, const options& chosen)
      : loop_(loop), options_(chosen), cache_(chosen.cache_tokens) {
    lag_ = loop_.every(milliseconds(options_.load_lag_ms), [this] {
      reported_ = {{"running", batch_.size()},
                   {"queued", queue_.size()},
                   {"cache_tokens", cache_.used()}};
    });
  }

  void serve(const http_request& request, const http_exchange_ptr& out) {
    const json body = json::parse(request.body, nullptr, false);
    if (request.path == "/v1/chat/completions" && body.is_object()) {
      if (request.body.find("fatal") != std::string::npos) {
        std::_Exit(1);
      }
      generate(body, out);
    } else if (request.path == "/v1/holds") {
      serve_holds(request, out);
    } else if (request.path == "/v1/load") {
      out->reply(200, "application/json", reported_.dump());
    } else if (request.path == "/v1/kv/export" && body.is_object()) {
      export_kv(body.value("program", ""), out);
    } else if (request.path == "/v1/kv/import" && body.is_object()) {
      import_kv(body, out);
    } else if (request.path == "/fault" && body.is_object()) {
      cut_after_tokens_ = body.value("cut_after_tokens", cut_after_tokens_);
      slow_factor_ = body.value("slow_factor", slow_factor_);
      out->reply(200, "application/json", "{}");
    } else if (request.path == "/counts") {
      reply_counts(out);
    } else {
      out->reply(404, "application/json", "{}");
    }
  }

 private:
  void generate(const json& body, const http_exchange_ptr& out) {
    sequence made;
    made.out = out;
    made.program = body.value("program", "");
    made.priority = body.value("priority", std::uint64_t{0});
    made.arrival = ++arrivals_;
    made.max_tokens = body.value("max_tokens", std::uint64_t{16});
    for (const json& each : body.value("messages", json::array())) {
      const std::string role = each.value("role", "");
      const std::string content = each.value("content", "");
      made.digest =
          trayrock::synthetic::fold_message(made.digest, role, content);
      const std::uint64_t tokens = trayrock::synthetic::message_tokens(content);
      made.links.push_back({made.digest, tokens});
      made.prompt_tokens += tokens;
    }
    out->start(200, "text/event-stream");
    queue_.push_back(std::move(made));
    schedule();
  }

  void schedule() {
    if (step_.pending()) {
      return;
    }
    const std::uint64_t wait = options_.step_ms * slow_factor_;
    step_ = loop_.after(milliseconds(wait), [this] { run_step(); });
  }

  void run_step() {
    drop_cancelled();
    fill_batch();
    std::uint64_t prefill = options_.prefill_tokens_per_step;
    for (sequence& each : batch_) {
      advance(each, prefill);
    }
    std::erase_if(batch_,
                  [](const sequence& each) { return each.out->answered(); });
    if (!batch_.empty() || !queue_.empty()) {
      schedule();
    }
  }

  void drop_cancelled() {
    const auto cancelled = [this](const sequence& each) {
      const bool gone = each.out->answered();
      cancelled_ += gone ? 1 : 0;
      return gone;
    };
    std::erase_if(batch_, cancelled);
    std::erase_if(queue_, cancelled);
  }

  void fill_batch() {
    while (batch_.size() < options_.max_batch && !queue_.empty()) {
      const auto next =
          std::min_element(queue_.begin(), queue_.end(),
                           [](const sequence& left, const sequence& right) {
                             return std::pair(left.priority, left.arrival) <
                                    std::pair(right.priority, right.arrival);
                           });
      sequence taken = std::move(*next);
      queue_.erase(next);
      taken.cached_tokens = cache_.cached_tokens(taken.links);
      taken.to_prefill = taken.prompt_tokens - taken.cached_tokens;
      prefilled_ += taken.to_prefill;
      batch_.push_back(std::move(taken));
    }
  }

  void advance(sequence& each, std::uint64_t& prefill) {
    if (each.to_prefill > 0) {
      const std::uint64_t taken = std::min(each.to_prefill, prefill);
      each.to_prefill -= taken;
      prefill -= taken;
      if (each.to_prefill > 0) {
        return;
      }
    }
    if (!each.started) {
      each.started = true;
      cache_.insert(each.links);
    }
    if (each.made < each.max_tokens) {
      const std::string token =
          trayrock::synthetic::answer_token(each.digest, each.made);
      each.text += token;
      ++each.made;
      ++generated_;
      const json event{
          {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
      each.out->chunk("data: " + event.dump() + "\n\n");
    }
    if (cut_after_tokens_ > 0 && each.made >= cut_after_tokens_) {
      cut_after_tokens_ = 0;
      each.out->cut();
      return;
    }
    if (each.made >= each.max_tokens) {
      finish(each);
    }
  }

  void finish(sequence& each) {
    const std::uint64_t digest =
        trayrock::synthetic::fold_message(each.digest, "assistant", each.text);
    each.links.push_back(
        {digest, trayrock::synthetic::message_tokens(each.text)});
    cache_.insert(each.links);
    last_chain_[each.program] = each.links;
    const json usage{{"usage",
                      {{"prompt_tokens", each.prompt_tokens},
                       {"cached_tokens", each.cached_tokens},
                       {"completion_tokens", each.made}}},
                     {"choices", json::array()}};
    each.out->chunk("data: " + usage.dump() + "\n\ndata: [DONE]\n\n");
    each.out->finish();
    ++finished_;
  }

  void serve_holds(const http_request& request, const http_exchange_ptr& out) {
    if (request.method == "GET") {
      json programs = json::array();
      for (const auto& [program, links] : held_) {
        programs.push_back(program);
      }
      out->reply(200, "application/json",
                 json{{"count", held_.size()}, {"programs", programs}}.dump());
      return;
    }
    if (!fence_passes(request)) {
      out->reply(409, "application/json", "{}");
      return;
    }
    const std::string program(request.parameter("program"));
    release(program);
    if (request.method == "POST" && last_chain_.contains(program)) {
      held_[program] = last_chain_[program];
      cache_.hold(held_[program], 1);
    }
    out->reply(200, "application/json", "{}");
  }

  bool fence_passes(const http_request& request) {
    const std::string group(request.parameter("fence_group"));
    const std::uint64_t number = request.number("fence", 0);
    std::uint64_t& highest = fences_[group];
    if (options_.checks_fencing && number < highest) {
      ++stale_orders_;
      return false;
    }
    stale_orders_ += number < highest ? 1 : 0;
    highest = std::max(highest, number);
    return true;
  }

  void release(const std::string& program) {
    const auto found = held_.find(program);
    if (found != held_.end()) {
      cache_.hold(found->second, -1);
      held_.erase(found);
    }
  }

  void export_kv(const std::string& program, const http_exchange_ptr& out) {
    json links = json::array();
    for (const chain_link& each : last_chain_[program]) {
      links.push_back({each.digest, each.tokens});
    }
    out->reply(200, "application/json", json{{"chain", links}}.dump());
  }

  void import_kv(const json& body, const http_exchange_ptr& out) {
    chain links;
    for (const json& each : body.value("chain", json::array())) {
      links.push_back(
          {each[0].get<std::uint64_t>(), each[1].get<std::uint64_t>()});
    }
    cache_.insert(links);
    last_chain_[body.value("program", "")] = links;
    out->reply(200, "application/json", "{}");
  }

  void reply_counts(const http_exchange_ptr& out) {
    const json body{
        {"prefilled", prefilled_},       {"generated", generated_},
        {"finished", finished_},         {"cancelled", cancelled_},
        {"stale_orders", stale_orders_}, {"running", batch_.size()},
        {"queued", queue_.size()},       {"cache_tokens", cache_.used()},
        {"holds", held_.size()}};
    out->reply(200, "application/json", body.dump());
  }

  event_loop& loop_;
  options options_;
  prefix_cache cache_;
  std::vector<sequence> batch_;
  std::vector<sequence> queue_;
  std::map<std::string, chain> last_chain_;
  std::map<std::string, chain> held_;
  std::map<std::string, std::uint64_t> fences_;
  json reported_ = json::object();
  std::uint64_t arrivals_ = 0;
  std::uint64_t prefilled_ = 0;
  std::uint64_t generated_ = 0;
  std::uint64_t finished_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t stale_orders_ = 0;
  std::uint64_t cut_after_tokens_ = 0;
  std::uint64_t slow_factor_ = 1;
  trayrock::timer step_;
  trayrock::timer lag_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for a model engine"};
  options chosen;
  app.add_option("--listen", chosen.listen)->required();
  app.add_option("--step-ms", chosen.step_ms);
  app.add_option("--prefill-tokens-per-step", chosen.prefill_tokens_per_step);
  app.add_option("--max-batch", chosen.max_batch);
  app.add_option("--cache-tokens", chosen.cache_tokens);
  app.add_flag("--checks-fencing", chosen.checks_fencing);
  app.add_option("--load-lag-ms", chosen.load_lag_ms);
  CLI11_PARSE(app, argc, argv);

  event_loop loop;
  fake_engine engine(loop, chosen);
  trayrock::http_server api(loop, {.max_body_bytes = 64U << 20});
  api.handle([&](const http_request& request, const http_exchange_ptr& out) {
    engine.serve(request, out);
  });
  const auto where = trayrock::address::parse(chosen.listen);
  if (!where || !api.listen(where.value())) {
    std::fprintf(stderr, "fake-engine: cannot listen\n");
    return 1;
  }
  loop.run();
  return 0;
}
