// One call's way from its owner to a runner and back.
#include <algorithm>

#include "active_call.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/node/owner.h"

namespace trayrock {
namespace {

constexpr std::uint32_t max_attempts = 4;
constexpr int attach_tries_if_repeatable = 2;
constexpr std::uint64_t attach_pause_ms = 150;
constexpr std::uint64_t jitter_ms = 100;
constexpr std::uint64_t default_retry_after_ms = 1000;

}  // namespace

void owner::start(wire::CallIntent intent, const rpc_reply_ptr& reply) {
  auto active = std::make_shared<active_call>();
  active->intent = std::move(intent);
  active->attempts_before = active->intent.attempt();
  active->begun_ms = loop_.now_ms();
  active->listeners.push_back(reply);
  active_[active->intent.program()] = active;
  retries_of(active->intent.service()).record_call();
  place(active);
}

void owner::join(const active_ptr& active, const rpc_reply_ptr& reply) {
  metrics_.add("calls_joined_total");
  wire::CallEvent event;
  std::uint64_t index = 0;
  for (const std::string& text : active->chunks) {
    wire::Chunk& chunk = *event.mutable_chunk();
    chunk.set_index(index++);
    chunk.set_text(text);
    chunk.set_execution(active->execution());
    reply->send(event);
  }
  active->listeners.push_back(reply);
}

std::vector<endpoint_candidate> owner::candidates(
    const active_call& active) const {
  const configuration& config = shared_.config();
  const std::uint64_t now = loop_.now_ms();
  const wire::Peer& self = shared_.members().self();
  std::vector<endpoint_candidate> made;
  for (const auto& [name, spec] : config.endpoints) {
    const bool self_node = spec.node == self.node();
    const peer_state* member = shared_.members().find(spec.node);
    if (spec.service != active.intent.service() || spec.leaving ||
        active.tried.contains(name) || shared_.node_leaving(spec.node) ||
        (!self_node && member == nullptr)) {
      continue;
    }
    endpoint_candidate view;
    view.endpoint = name;
    view.slots = spec.slots;
    view.prefill_tokens_per_second = spec.prefill_tokens_per_second;
    view.same_place = self_node || member->peer.place() == self.place();
    const auto report = reports_.find(name);
    if (report != reports_.end()) {
      view.expected_wait_ms = report->second.load.expected_wait_ms();
      view.running =
          report->second.load.running() + report->second.load.queued();
      view.report_age_ms = now - report->second.at_ms;
      view.sent_since_report = report->second.sent_since;
    }
    made.push_back(std::move(view));
  }
  return made;
}

void owner::place(const active_ptr& active) {
  wire::CallIntent& intent = active->intent;
  const std::vector<endpoint_candidate> views = candidates(*active);
  const program_state* program = book_.find(intent.program());
  routing_request wanted;
  wanted.number = calls_placed_++;
  if (program != nullptr) {
    wanted.context_tokens = program->context_tokens;
    for (const turn& each : program->turns) {
      if (each.settled && each.intent.service() == intent.service()) {
        wanted.prefix_endpoint = each.intent.endpoint();
      }
    }
  }
  const policy_spec& policy = shared_.config().policy;
  const auto chosen =
      select_endpoint(parse_routing_policy(policy.routing, policy.cache_weight),
                      wanted, views, random_);
  if (!chosen) {
    give_up(active, make_failure(errc::no_runner, wire::RAN_NO,
                                 std::max(default_retry_after_ms,
                                          active->longest_wait_ms)));
    return;
  }
  const std::string& endpoint = views[*chosen].endpoint;
  const std::string& node =
      shared_.config().endpoints.find(endpoint)->second.node;
  const bool self = node == shared_.members().self().node();
  ++reports_[endpoint].sent_since;
  active->tried.insert(endpoint);
  active->chunks.clear();
  active->attaching = false;
  active->attach_tries = 0;
  active->lost_since_ms = 0;
  intent.set_attempt(intent.attempt() + 1);
  intent.set_endpoint(endpoint);
  intent.set_node(node);
  intent.set_node_start(self ? shared_.start_id()
                             : shared_.members().find(node)->peer.start());
  wire::Record record;
  *record.mutable_intent() = intent;
  if (intent.repeatable()) {
    write(std::move(record), intent.program());
    send(active, false);
    return;
  }
  // May not be repeated: what is sent must be known to any successor.
  write(std::move(record), intent.program(), [this, active] {
    if (!active->closed) {
      send(active, false);
    }
  });
}

void owner::send(const active_ptr& active, bool attach_only) {
  const wire::CallIntent& intent = active->intent;
  const std::uint32_t shard = shard_for(intent.program());
  const program_state* program = book_.find(intent.program());
  const auto service = shared_.config().services.find(intent.service());
  wire::ExecuteRequest request;
  request.set_program(intent.program());
  request.set_sequence(intent.sequence());
  request.set_attempt(intent.attempt());
  request.set_target_start(intent.node_start());
  request.set_shard(shard);
  request.set_term(term_for(shard));
  request.set_endpoint(intent.endpoint());
  request.set_max_tokens(intent.max_tokens());
  request.set_repeatable(intent.repeatable());
  request.set_attach_only(attach_only);
  request.set_owner_start(shared_.start_id());
  if (service != shared_.config().services.end()) {
    request.set_wait_limit_ms(service->second.wait_limit_ms);
  }
  if (program != nullptr && !attach_only) {
    request.set_work_class(program->spec.work_class());
    request.set_attained_tokens(program->attained_tokens);
    if (intent.service() == program->spec.service()) {
      for (wire::Message& each : program->conversation()) {
        *request.add_messages() = std::move(each);
      }
    }
  }
  if (!attach_only) {
    request.mutable_messages()->MergeFrom(intent.messages());
  }
  const bool self = intent.node() == shared_.members().self().node();
  const peer_state* member = shared_.members().find(intent.node());
  const std::string address =
      self ? shared_.members().self().address()
           : (member == nullptr ? "" : member->peer.address());
  active->stream = pool_.start(
      address, "Execute", request, milliseconds(0),
      [this, active](std::string_view body) { take_event(active, body); },
      [this, active](std::error_code code) { stream_ended(active, code); });
}

void owner::take_event(const active_ptr& active, std::string_view body) {
  wire::ExecuteEvent event;
  const wire::CallIntent& intent = active->intent;
  const bool parsed =
      event.ParseFromArray(body.data(), static_cast<int>(body.size()));
  const bool mine = parsed && !active->closed && !active->final &&
                    event.program() == intent.program() &&
                    event.sequence() == intent.sequence() &&
                    event.attempt() == intent.attempt() &&
                    event.term() == term_for(shard_for(intent.program()));
  if (!mine) {
    metrics_.add("answers_dropped_total");
    return;
  }
  active->lost_since_ms = 0;
  note_load(event.load());
  if (event.has_chunk()) {
    // After an attach the stream comes from its start: skip what is known.
    if (event.chunk().index() < active->chunks.size()) {
      return;
    }
    active->chunks.push_back(event.chunk().text());
    wire::CallEvent out;
    *out.mutable_chunk() = event.chunk();
    out.mutable_chunk()->set_execution(active->execution());
    tell(*active, out);
  } else if (event.has_done()) {
    done(active, event.done());
  } else if (event.has_refused()) {
    refused(active, event.refused());
  } else if (event.has_failure()) {
    failed(active, event.failure());
  }
}

void owner::stream_ended(const active_ptr& active, std::error_code code) {
  if (active->closed || active->final || active->retry.pending()) {
    return;
  }
  if (code == errc::connect_failed && !active->attaching) {
    // Nothing was sent.
    if (!try_again(active, false)) {
      give_up(active, make_failure(errc::no_runner, wire::RAN_NO,
                                   default_retry_after_ms));
    }
    return;
  }
  active->attaching = true;
  reattach(active);
}

// The connection broke after the request may have been seen: ask that start
// of the node what became of it, never run it blindly again.
void owner::reattach(const active_ptr& active) {
  const std::uint64_t now = loop_.now_ms();
  if (active->lost_since_ms == 0) {
    active->lost_since_ms = now;
  }
  ++active->attach_tries;
  const wire::CallIntent& intent = active->intent;
  const bool self = intent.node() == shared_.members().self().node();
  const peer_state* member = shared_.members().find(intent.node());
  const std::string known_start =
      self ? shared_.start_id()
           : (member == nullptr ? "" : member->peer.start());
  const bool other_start =
      !known_start.empty() && known_start != intent.node_start();
  const bool too_long =
      now - active->lost_since_ms > limits_.resolve_limit_ms ||
      shared_.box_gone(intent.node());
  if (other_start || shared_.box_gone(intent.node())) {
    count_ended_process(active);
  }
  if (intent.repeatable() &&
      (other_start || too_long ||
       active->attach_tries > attach_tries_if_repeatable)) {
    if (!try_again(active, true)) {
      give_up(active, make_failure(errc::runner_failed, wire::RAN_UNKNOWN,
                                   default_retry_after_ms));
    }
    return;
  }
  if (!intent.repeatable() && (other_start || too_long)) {
    outcome_unknown(active,
                    make_failure(errc::outcome_unknown, wire::RAN_UNKNOWN));
    return;
  }
  const std::uint64_t pause = attach_pause_ms + random_() % jitter_ms;
  active->retry = loop_.after(milliseconds(pause), [this, active] {
    if (!active->closed && !active->final) {
      send(active, true);
    }
  });
}

void owner::refused(const active_ptr& active, const wire::Refused& refusal) {
  const auto code = static_cast<errc>(refusal.failure().code());
  active->longest_wait_ms =
      std::max(active->longest_wait_ms, refusal.expected_wait_ms());
  log_debug("call_refused",
            {{"program", active->intent.program()},
             {"call", std::to_string(active->intent.sequence())},
             {"attempt", std::to_string(active->intent.attempt())},
             {"code", std::to_string(refusal.failure().code())}});
  if (code == errc::stale_term) {
    // Somebody else owns the shard: the map will say so.
    shared_.refresh_map();
    let_go(active);
    return;
  }
  if (code == errc::wrong_start && active->attaching) {
    count_ended_process(active);
    if (!active->intent.repeatable()) {
      outcome_unknown(active,
                      make_failure(errc::outcome_unknown, wire::RAN_UNKNOWN));
    } else if (!try_again(active, true)) {
      give_up(active, make_failure(errc::runner_failed, wire::RAN_UNKNOWN,
                                   default_retry_after_ms));
    }
    return;
  }
  const bool overloaded =
      code == errc::queue_full || code == errc::wait_too_long;
  if (try_again(active, false)) {
    return;
  }
  const std::uint64_t retry_after =
      std::max(default_retry_after_ms, active->longest_wait_ms);
  give_up(active, make_failure(overloaded ? code : errc::no_runner,
                               wire::RAN_NO, retry_after));
}

void owner::failed(const active_ptr& active, const wire::Failure& failure) {
  if (failure.endpoint_ended()) {
    count_ended_process(active);
  }
  if (!active->intent.repeatable()) {
    outcome_unknown(active, failure);
    return;
  }
  if (!try_again(active, true)) {
    give_up(active, make_failure(static_cast<errc>(failure.code()),
                                 wire::RAN_UNKNOWN, default_retry_after_ms));
  }
}

// The endpoint's process, or its node's, has ended under the call.
void owner::count_ended_process(const active_ptr& active) {
  wire::CallIntent& intent = active->intent;
  intent.set_ended_processes(intent.ended_processes() + 1);
  metrics_.add("processes_ended_under_calls_total",
               {{"service", intent.service()}});
  log_warn("process_ended_under_call",
           {{"program", intent.program()},
            {"call", std::to_string(intent.sequence())},
            {"attempt", std::to_string(intent.attempt())},
            {"endpoint", intent.endpoint()},
            {"ended", std::to_string(intent.ended_processes())}});
}

bool owner::try_again(const active_ptr& active, bool reached_the_runner) {
  if (active->intent.ended_processes() >= max_ended_processes ||
      active->intent.attempt() - active->attempts_before >= max_attempts) {
    return false;
  }
  if (reached_the_runner && !retries_of(active->intent.service()).try_spend()) {
    metrics_.add("retries_denied_total");
    return false;
  }
  if (candidates(*active).empty()) {
    if (!reached_the_runner) {
      return false;
    }
    // One runner alone: it may be tried again after it failed.
    active->tried.clear();
    if (candidates(*active).empty()) {
      return false;
    }
  }
  count(active->intent.program(), active->intent.service(), burn_count::retries,
        1);
  metrics_.add("retries_total",
               {{"service", active->intent.service()},
                {"reached", reached_the_runner ? "yes" : "no"}});
  const std::uint64_t pause =
      reached_the_runner ? 1 + random_() % jitter_ms : 0;
  active->retry = loop_.after(milliseconds(pause), [this, active] {
    if (!active->closed && !active->final) {
      place(active);
    }
  });
  return true;
}

void owner::done(const active_ptr& active, const wire::ExecuteDone& answer) {
  const wire::CallIntent& intent = active->intent;
  const program_state* program = book_.find(intent.program());
  wire::CallOutcome outcome;
  outcome.set_ran(wire::RAN_YES);
  outcome.set_answer(answer.text());
  *outcome.mutable_usage() = answer.usage();
  if (program != nullptr && intent.service() == program->spec.service()) {
    const std::uint64_t before =
        std::min(program->context_tokens, answer.usage().prompt_tokens());
    const std::uint64_t cached = answer.usage().cached_tokens();
    const std::uint64_t again = before > cached ? before - cached : 0;
    outcome.mutable_usage()->set_recomputed_tokens(again);
    metrics_.add("prompt_tokens_total", {},
                 static_cast<double>(answer.usage().prompt_tokens()));
    metrics_.add("recomputed_tokens_total", {}, static_cast<double>(again));
  }
  metrics_.add("calls_done_total", {{"service", intent.service()}});
  metrics_.observe("call_ms", {{"service", intent.service()}},
                   static_cast<double>(loop_.now_ms() - active->begun_ms));
  settle(active, std::move(outcome), true);
}

void owner::outcome_unknown(const active_ptr& active,
                            const wire::Failure& failure) {
  count(active->intent.program(), active->intent.service(), burn_count::unknown,
        1);
  metrics_.add("calls_unknown_total", {{"service", active->intent.service()}});
  log_warn("outcome_unknown",
           {{"program", active->intent.program()},
            {"call", std::to_string(active->intent.sequence())},
            {"attempt", std::to_string(active->intent.attempt())}});
  wire::CallOutcome outcome;
  outcome.set_ran(wire::RAN_UNKNOWN);
  outcome.set_ended_processes(active->intent.ended_processes());
  *outcome.mutable_failure() = failure;
  outcome.mutable_failure()->set_ran(wire::RAN_UNKNOWN);
  settle(active, std::move(outcome), true);
}

// Not run, or run without an answer that counts: the call's number is free
// again and the final answer goes out at once.
void owner::give_up(const active_ptr& active, const wire::Failure& cause) {
  const bool poison = active->intent.ended_processes() >= max_ended_processes;
  const wire::Failure failure =
      poison ? make_failure(errc::poison_request, wire::RAN_UNKNOWN) : cause;
  count(active->intent.program(), active->intent.service(),
        burn_count::refusals, 1);
  metrics_.add("calls_given_up_total",
               {{"code", std::to_string(failure.code())}});
  log_info("call_given_up",
           {{"program", active->intent.program()},
            {"call", std::to_string(active->intent.sequence())},
            {"attempt", std::to_string(active->intent.attempt())},
            {"code", std::to_string(failure.code())}});
  wire::CallOutcome outcome;
  outcome.set_ran(wire::RAN_NO);
  outcome.set_ended_processes(active->intent.ended_processes());
  *outcome.mutable_failure() = failure;
  settle(active, std::move(outcome), false);
}

void owner::settle(const active_ptr& active, wire::CallOutcome outcome,
                   bool wait_until_durable) {
  active->final = true;
  const std::string& own = active->intent.program();
  const std::string& service = active->intent.service();
  const wire::Usage& usage = outcome.usage();
  count(own, service, burn_count::calls, 1);
  count(own, service, burn_count::failed_calls, outcome.has_failure() ? 1 : 0);
  count(own, service, burn_count::queue_ms,
        static_cast<double>(usage.queue_ms()));
  count(own, service, burn_count::prompt_tokens,
        static_cast<double>(usage.prompt_tokens()));
  count(own, service, burn_count::recomputed_tokens,
        static_cast<double>(usage.recomputed_tokens()));
  outcome.set_took_ms(loop_.now_ms() - active->begun_ms);
  outcome.set_program(active->intent.program());
  outcome.set_sequence(active->intent.sequence());
  outcome.set_attempt(active->intent.attempt());
  wire::CallEvent last;
  if (outcome.has_failure()) {
    *last.mutable_failure() = outcome.failure();
  } else {
    wire::CallDone& answer = *last.mutable_done();
    answer.set_text(outcome.answer());
    *answer.mutable_usage() = outcome.usage();
    answer.set_sequence(outcome.sequence());
    answer.set_attempts(outcome.attempt());
  }
  wire::Record record;
  *record.mutable_outcome() = std::move(outcome);
  if (wait_until_durable) {
    write(std::move(record), active->intent.program(),
          [this, active, last] { close(active, last); });
  } else {
    write(std::move(record), active->intent.program());
    close(active, last);
  }
}

void owner::tell(active_call& active, const wire::CallEvent& event) {
  for (const rpc_reply_ptr& each : active.listeners) {
    each->send(event);
  }
}

void owner::close(const active_ptr& active, const wire::CallEvent& last) {
  if (active->closed) {
    return;
  }
  tell(*active, last);
  for (const rpc_reply_ptr& each : active->listeners) {
    each->finish();
  }
  active->closed = true;
  active->listeners.clear();
  active_.erase(active->intent.program());
  loop_.post([active] { active->stream.cancel(); });
}

// The shard goes elsewhere: callers are sent on, the runner carries on.
void owner::let_go(const active_ptr& active) {
  wire::CallEvent event;
  event.mutable_moved()->set_map_version(shared_.map().version());
  active->retry.cancel();
  close(active, event);
}

}  // namespace trayrock
