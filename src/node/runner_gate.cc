#include "trayrock/internal/node/runner_gate.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "trayrock/internal/failure.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/net/connect_probe.h"

namespace trayrock {
namespace {

using nlohmann::json;

constexpr milliseconds housekeeping_period{500};
constexpr std::uint64_t orphan_grace_ms = 15000;
constexpr std::uint64_t settled_kept_ms = 120000;
constexpr std::uint64_t closed_kept_ms = 3600000;
// Runners are on this box.
constexpr milliseconds check_limit{100};
constexpr int ok = 200;
// Engines serve lower numbers first.
constexpr int urgent_priority = 0;
constexpr int normal_priority = 1;
constexpr int batch_priority = 2;

int priority_of(std::string_view work_class) {
  if (work_class == "urgent") {
    return urgent_priority;
  }
  return work_class == "batch" ? batch_priority : normal_priority;
}

json messages_json(const wire::ExecuteRequest& request) {
  json messages = json::array();
  for (const wire::Message& each : request.messages()) {
    messages.push_back({{"role", each.role()}, {"content", each.content()}});
  }
  return messages;
}

// The key that a plain service sees: one for each call of each program, the
// same for every attempt.
std::string service_key(const wire::ExecuteRequest& request) {
  return request.program() + "/" + std::to_string(request.sequence());
}

// The answer of a plain service; nothing if its body is incomplete.
std::optional<std::string> read_answer(const std::string& body) {
  const json read = json::parse(body, nullptr, false);
  if (!read.is_object() || !read.contains("answer") ||
      !read["answer"].is_string()) {
    return std::nullopt;
  }
  return read["answer"].get<std::string>();
}

queue_order order_by_name(std::string_view name) {
  if (name == "arrival") {
    return arrival_order{};
  }
  return attained_order{};
}

}  // namespace

struct runner_gate::runner {
  runner(queue_limits limits, queue_order order) : queue(limits, order) {}

  endpoint_spec spec;
  service_spec service;
  address where;
  runner_queue queue;
};

struct runner_gate::execution {
  wire::ExecuteRequest request;
  std::vector<std::pair<rpc_reply_ptr, std::uint64_t>> listeners;  // and term
  std::uint64_t arrived_ms = 0;
  std::uint64_t started_ms = 0;  // 0: still queued
  std::uint64_t orphan_since_ms = 0;
  http_call call;
  std::string line;  // of the engine's stream, as far as it has come
  std::string text;
  wire::Usage usage;
  bool whole = false;
  bool garbled = false;                  // an event of the stream is unreadable
  std::unique_ptr<connect_probe> check;  // of the runner, once it broke off
};

runner_gate::runner_gate(event_loop& loop, cluster& shared, rpc_server& server,
                         metrics_registry& metrics)
    : loop_(loop),
      shared_(shared),
      metrics_(metrics),
      client_(loop),
      table_(shared.start_id()),
      holds_(loop, client_, metrics, [this](const std::string& program) {
        const std::uint32_t shard = shard_of(program, shared_.map().shards());
        const wire::ShardEntry* entry = shared_.map().find(shard);
        return std::max(table_.term(shard),
                        entry == nullptr ? 0 : entry->term());
      }) {
  server.handle_typed<wire::ExecuteRequest>(
      "Execute",
      [this](wire::ExecuteRequest& request, const rpc_reply_ptr& reply) {
        execute(request, reply);
      });
  server.handle_typed<wire::ReleaseRequest>(
      "Release",
      [this](wire::ReleaseRequest& request, const rpc_reply_ptr& reply) {
        if (table_.accept_term(request.shard(), request.term())) {
          table_.close_program(request.program(), loop_.now_ms());
          holds_.release(request.program());
        }
        reply->send(wire::ReleaseReply());
        reply->finish();
      });
  shared_.on_config([this] { apply_config(); });
  housekeeping_ = loop_.every(housekeeping_period, [this] {
    const std::uint64_t now = loop_.now_ms();
    holds_.expire();
    table_.expire(now - std::min(now, settled_kept_ms),
                  now - std::min(now, closed_kept_ms));
    drop_orphans();
    shared_.set_loads(loads());
    metrics_.set("requests_remembered", {}, static_cast<double>(table_.size()));
  });
}

runner_gate::~runner_gate() = default;

void runner_gate::apply_config() {
  const configuration& config = shared_.config();
  const std::string& self = shared_.members().self().node();
  for (const auto& [name, spec] : config.endpoints) {
    const auto service = config.services.find(spec.service);
    const result<address> where = address::parse(spec.runner);
    if (spec.node != self || service == config.services.end() || !where) {
      continue;
    }
    const queue_limits limits{spec.slots, spec.max_queue};
    const queue_order order = order_by_name(config.policy.order);
    auto& held = runners_[name];
    const bool fresh = held == nullptr;
    if (fresh) {
      held = std::make_unique<runner>(limits, order);
    }
    held->spec = spec;
    held->service = service->second;
    held->where = where.value();
    held->queue.set_limits(limits);
    held->queue.set_order(order);
    if (fresh && service->second.kind == service_kind::model) {
      holds_.adopt(held->where, config.policy.hold_ms);
    }
  }
  for (auto& [name, held] : runners_) {
    const auto found = config.endpoints.find(name);
    const bool here =
        found != config.endpoints.end() && found->second.node == self;
    held->spec.leaving = held->spec.leaving || !here;
  }
}

void runner_gate::execute(const wire::ExecuteRequest& request,
                          const rpc_reply_ptr& reply) {
  const request_key key = key_of(request);
  switch (table_.register_request(request, loop_.now_ms())) {
    case request_decision::run:
      admit(request, reply);
      break;
    case request_decision::attach:
      attach(key, reply, request.term());
      break;
    case request_decision::refuse_start:
      refuse(request, reply, errc::wrong_start, 0, false);
      break;
    case request_decision::refuse_term:
    case request_decision::refuse_stale:
      refuse(request, reply, errc::stale_term, 0, false);
      break;
  }
}

void runner_gate::admit(const wire::ExecuteRequest& request,
                        const rpc_reply_ptr& reply) {
  const auto found = runners_.find(request.endpoint());
  const std::string& self = shared_.members().self().node();
  if (found == runners_.end()) {
    refuse(request, reply, errc::no_runner, 0, true);
    return;
  }
  runner& on = *found->second;
  if (on.spec.leaving || shared_.node_leaving(self)) {
    refuse(request, reply, errc::leaving, 0, true);
    return;
  }
  const std::uint64_t now = loop_.now_ms();
  const auto refusal =
      on.queue.offer({key_of(request), request.work_class(),
                      request.attained_tokens(), request.wait_limit_ms(), now});
  if (refusal) {
    refuse(request, reply,
           refusal->full ? errc::queue_full : errc::wait_too_long,
           refusal->expected_wait_ms, true);
    return;
  }
  auto made = std::make_unique<execution>();
  made->request = request;
  made->arrived_ms = now;
  made->listeners.emplace_back(reply, request.term());
  executions_[key_of(request)] = std::move(made);
  wire::ExecuteEvent event = make_event(key_of(request), request.term());
  event.set_accepted(true);
  reply->send(event);
  start_waiting(on);
}

void runner_gate::refuse(const wire::ExecuteRequest& request,
                         const rpc_reply_ptr& reply, errc code,
                         std::uint64_t wait_ms, bool remember) {
  const wire::Failure failure = make_failure(code, wire::RAN_NO, wait_ms);
  if (remember) {
    table_.refuse(key_of(request), failure, loop_.now_ms());
  }
  metrics_.add("runner_refusals_total",
               {{"code", std::to_string(failure.code())}});
  wire::ExecuteEvent event = make_event(key_of(request), request.term());
  *event.mutable_refused()->mutable_failure() = failure;
  event.mutable_refused()->set_expected_wait_ms(wait_ms);
  const auto found = runners_.find(request.endpoint());
  if (found != runners_.end()) {
    *event.mutable_load() = load_of(found->first, *found->second);
  }
  reply->send(event);
  reply->finish();
}

void runner_gate::attach(const request_key& key, const rpc_reply_ptr& reply,
                         std::uint64_t term) {
  const request_entry& entry = *table_.find(key);
  wire::ExecuteEvent event = make_event(key, term);
  event.set_accepted(true);
  if (entry.state != request_state::tombstone) {
    reply->send(event);
  }
  std::uint64_t index = 0;
  for (const std::string& text : entry.chunks) {
    event.mutable_chunk()->set_index(index++);
    event.mutable_chunk()->set_text(text);
    reply->send(event);
  }
  switch (entry.state) {
    case request_state::running:
      if (const auto found = executions_.find(key);
          found != executions_.end()) {
        found->second->listeners.emplace_back(reply, term);
        found->second->orphan_since_ms = 0;
      }
      return;
    case request_state::done:
      *event.mutable_done() = entry.done;
      break;
    case request_state::failed:
      *event.mutable_failure() = entry.failure;
      break;
    case request_state::tombstone:
      *event.mutable_refused()->mutable_failure() = entry.failure;
      break;
  }
  reply->send(event);
  reply->finish();
}

void runner_gate::start_waiting(runner& on) {
  while (const auto next = on.queue.start_next(loop_.now_ms())) {
    const auto found = executions_.find(next->key);
    if (found == executions_.end()) {
      on.queue.on_finished(0);
      continue;
    }
    run(on, *found->second);
  }
}

void runner_gate::run(runner& on, execution& what) {
  what.started_ms = loop_.now_ms();
  metrics_.observe("queue_ms", {{"class", what.request.work_class()}},
                   static_cast<double>(what.started_ms - what.arrived_ms));
  metrics_.add("executions_total", {{"endpoint", what.request.endpoint()}});
  if (on.service.kind == service_kind::model) {
    run_on_engine(on, what);
  } else {
    run_on_service(on, what);
  }
}

void runner_gate::run_on_engine(runner& on, execution& what) {
  const request_key key = key_of(what.request);
  const json body{{"program", what.request.program()},
                  {"messages", messages_json(what.request)},
                  {"max_tokens", what.request.max_tokens()},
                  {"priority", priority_of(what.request.work_class())},
                  {"stream", true}};
  what.call = client_.start(
      on.where, {"POST", "/v1/chat/completions", body.dump(), {}},
      milliseconds(on.service.call_timeout_ms),
      [this, key](std::string_view bytes) { take_engine_bytes(key, bytes); },
      [this, key](const result<http_reply>& reply) {
        engine_ended(key, reply);
      });
}

void runner_gate::take_engine_bytes(const request_key& key,
                                    std::string_view bytes) {
  const auto found = executions_.find(key);
  if (found == executions_.end()) {
    return;
  }
  execution& what = *found->second;
  what.line.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = what.line.find('\n'); end != std::string::npos;
       end = what.line.find('\n', begin)) {
    take_engine_line(what,
                     std::string_view(what.line).substr(begin, end - begin));
    begin = end + 1;
  }
  what.line.erase(0, begin);
}

void runner_gate::take_engine_line(execution& what, std::string_view line) {
  constexpr std::string_view prefix = "data: ";
  if (!line.starts_with(prefix)) {
    return;
  }
  line.remove_prefix(prefix.size());
  if (line == "[DONE]") {
    what.whole = true;
    return;
  }
  const json event = json::parse(line, nullptr, false);
  if (!event.is_object()) {
    what.garbled = true;
    return;
  }
  if (event.contains("usage")) {
    const json& usage = event["usage"];
    what.usage.set_prompt_tokens(usage.value("prompt_tokens", 0ULL));
    what.usage.set_cached_tokens(usage.value("cached_tokens", 0ULL));
    what.usage.set_completion_tokens(usage.value("completion_tokens", 0ULL));
  }
  for (const json& choice : event.value("choices", json::array())) {
    const std::string text =
        choice.value("delta", json::object()).value("content", "");
    request_entry& entry = *table_.find(key_of(what.request));
    wire::ExecuteEvent chunk = make_event(key_of(what.request), 0);
    chunk.mutable_chunk()->set_index(entry.chunks.size());
    chunk.mutable_chunk()->set_text(text);
    entry.chunks.push_back(text);
    what.text += text;
    tell(what, chunk);
  }
}

void runner_gate::engine_ended(const request_key& key,
                               const result<http_reply>& reply) {
  const auto found = executions_.find(key);
  if (found == executions_.end()) {
    return;
  }
  execution& what = *found->second;
  if (reply && reply.value().status == ok && what.whole && !what.garbled) {
    wire::ExecuteDone done;
    done.set_text(what.text);
    *done.mutable_usage() = what.usage;
    done.mutable_usage()->set_queue_ms(what.started_ms - what.arrived_ms);
    const auto on = runners_.find(what.request.endpoint());
    if (on != runners_.end()) {
      holds_.hold(on->second->where, what.request.program(),
                  shared_.config().policy.hold_ms);
    }
    finish(key, std::move(done));
    return;
  }
  if (!reply && reply.error() == errc::connect_failed) {
    fail(key, make_failure(errc::runner_failed, wire::RAN_NO));
  } else if (!reply && reply.error() == errc::rpc_timeout) {
    fail(key, make_failure(errc::runner_timeout, wire::RAN_UNKNOWN));
  } else if (reply && reply.value().status != ok) {
    fail(key, make_failure(errc::runner_failed, wire::RAN_UNKNOWN));
  } else {
    fail_after_check(key, make_failure(errc::answer_cut, wire::RAN_UNKNOWN));
  }
}

void runner_gate::run_on_service(runner& on, execution& what) {
  const request_key key = key_of(what.request);
  const json body{{"key", service_key(what.request)},
                  {"messages", messages_json(what.request)}};
  what.call = client_.start(on.where, {"POST", "/v1/call", body.dump(), {}},
                            milliseconds(on.service.call_timeout_ms), nullptr,
                            [this, key](const result<http_reply>& reply) {
                              service_ended(key, reply);
                            });
}

void runner_gate::service_ended(const request_key& key,
                                const result<http_reply>& reply) {
  const auto found = executions_.find(key);
  if (found == executions_.end()) {
    return;
  }
  const std::optional<std::string> answer =
      reply && reply.value().status == ok ? read_answer(reply.value().body)
                                          : std::nullopt;
  if (answer) {
    wire::ExecuteDone done;
    done.set_text(*answer);
    done.mutable_usage()->set_queue_ms(found->second->started_ms -
                                       found->second->arrived_ms);
    finish(key, std::move(done));
    return;
  }
  if (!reply && reply.error() == errc::connect_failed) {
    fail(key, make_failure(errc::runner_failed, wire::RAN_NO));
  } else if (!reply && reply.error() == errc::rpc_timeout) {
    fail(key, make_failure(errc::runner_timeout, wire::RAN_UNKNOWN));
  } else {
    fail_after_check(key,
                     make_failure(errc::outcome_unknown, wire::RAN_UNKNOWN));
  }
}

void runner_gate::finish(const request_key& key, wire::ExecuteDone done) {
  wire::ExecuteEvent event = make_event(key, 0);
  *event.mutable_done() = done;
  table_.finish(key, std::move(done), loop_.now_ms());
  tell(*executions_[key], event);
  close(key);
}

// The response broke off; a refused connection shows that the runner's process
// has ended.
void runner_gate::fail_after_check(const request_key& key,
                                   wire::Failure failure) {
  execution& what = *executions_.at(key);
  const auto on = runners_.find(what.request.endpoint());
  if (on == runners_.end()) {
    fail(key, failure);
    return;
  }
  const auto report = [this, key,
                       failure = std::move(failure)](probe_result seen) {
    wire::Failure checked = failure;
    checked.set_endpoint_ended(seen == probe_result::refused);
    // The probe is still in use here.
    loop_.post([this, key, checked] {
      if (executions_.contains(key)) {
        fail(key, checked);
      }
    });
  };
  what.check = std::make_unique<connect_probe>(loop_, on->second->where.text(),
                                               check_limit, report);
}

void runner_gate::fail(const request_key& key, const wire::Failure& failure) {
  metrics_.add("runner_failures_total",
               {{"code", std::to_string(failure.code())}});
  wire::ExecuteEvent event = make_event(key, 0);
  if (failure.ran() == wire::RAN_NO) {
    table_.refuse(key, failure, loop_.now_ms());
    *event.mutable_refused()->mutable_failure() = failure;
  } else {
    table_.fail(key, failure, loop_.now_ms());
    *event.mutable_failure() = failure;
  }
  tell(*executions_[key], event);
  close(key);
}

// Ends an execution: its listeners, its slot, its place in the queue.
void runner_gate::close(const request_key& key) {
  const auto found = executions_.find(key);
  const auto held = std::shared_ptr<execution>(std::move(found->second));
  executions_.erase(found);
  for (const auto& [reply, term] : held->listeners) {
    reply->finish();
  }
  // libevent may still be inside of the call's own callback.
  loop_.post([held] {});
  const auto on = runners_.find(held->request.endpoint());
  if (on == runners_.end()) {
    return;
  }
  if (held->started_ms == 0) {
    on->second->queue.remove(key);
    return;
  }
  on->second->queue.on_finished(loop_.now_ms() - held->started_ms);
  start_waiting(*on->second);
}

void runner_gate::tell(execution& what, const wire::ExecuteEvent& event) {
  wire::ExecuteEvent copy = event;
  const auto on = runners_.find(what.request.endpoint());
  if (on != runners_.end() && !copy.has_chunk()) {
    *copy.mutable_load() = load_of(on->first, *on->second);
  }
  for (const auto& [reply, term] : what.listeners) {
    copy.set_term(term);
    reply->send(copy);
  }
}

wire::ExecuteEvent runner_gate::make_event(const request_key& key,
                                           std::uint64_t term) {
  wire::ExecuteEvent event;
  event.set_program(key.program);
  event.set_sequence(key.sequence);
  event.set_attempt(key.attempt);
  event.set_term(term);
  return event;
}

// Repeatable calls that no owner listens to any more are cancelled after a
// time in which a successor would have attached.
void runner_gate::drop_orphans() {
  const std::uint64_t now = loop_.now_ms();
  std::vector<request_key> orphans;
  for (auto& [key, what] : executions_) {
    std::erase_if(what->listeners,
                  [](const auto& each) { return each.first->gone(); });
    if (!what->listeners.empty() || !what->request.repeatable()) {
      what->orphan_since_ms = 0;
    } else if (what->orphan_since_ms == 0) {
      what->orphan_since_ms = now;
    } else if (now - what->orphan_since_ms > orphan_grace_ms) {
      orphans.push_back(key);
    }
  }
  for (const request_key& key : orphans) {
    metrics_.add("orphans_cancelled_total");
    executions_[key]->call.cancel();
    fail(key, make_failure(errc::connection_lost, wire::RAN_UNKNOWN));
  }
}

std::vector<wire::RunnerLoad> runner_gate::loads() const {
  std::vector<wire::RunnerLoad> made;
  for (const auto& [name, each] : runners_) {
    made.push_back(load_of(name, *each));
  }
  return made;
}

wire::RunnerLoad runner_gate::load_of(const std::string& endpoint,
                                      const runner& each) const {
  wire::RunnerLoad load;
  load.set_endpoint(endpoint);
  load.set_expected_wait_ms(each.queue.expected_wait_ms());
  load.set_running(static_cast<std::uint32_t>(each.queue.running()));
  load.set_queued(static_cast<std::uint32_t>(each.queue.queued()));
  return load;
}

}  // namespace trayrock
