#include "trayrock/internal/node/owner.h"

#include <utility>

#include "active_call.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds housekeeping_period{1000};
constexpr milliseconds release_timeout{3000};
constexpr std::uint64_t ended_kept_ms = 60000;
constexpr std::uint64_t shard_moving_retry_ms = 100;

wire::CallEvent moved_event(std::uint64_t map_version) {
  wire::CallEvent event;
  event.mutable_moved()->set_map_version(map_version);
  return event;
}

}  // namespace

owner::owner(event_loop& loop, cluster& shared, rpc_server& server,
             rpc_pool& pool, metrics_registry& metrics, owner_limits limits)
    : loop_(loop),
      shared_(shared),
      pool_(pool),
      metrics_(metrics),
      limits_(limits),
      random_(limits.random_seed != 0 ? limits.random_seed
                                      : std::random_device{}()) {
  server.handle_typed<wire::OpenRequest>(
      "Open", [this](wire::OpenRequest& request, const rpc_reply_ptr& reply) {
        open(request, reply);
      });
  server.handle_typed<wire::CallRequest>(
      "Call", [this](wire::CallRequest& request, const rpc_reply_ptr& reply) {
        call(request, reply);
      });
  server.handle_typed<wire::EndRequest>(
      "End", [this](wire::EndRequest& request, const rpc_reply_ptr& reply) {
        end(request, reply);
      });
  server.handle_typed<wire::InspectRequest>(
      "Inspect",
      [this](wire::InspectRequest& request, const rpc_reply_ptr& reply) {
        inspect(request, reply);
      });
  housekeeping_ = loop_.every(housekeeping_period, [this] {
    refresh_reports();
    end_overdue();
    metrics_.set("programs", {}, static_cast<double>(book_.size()));
    metrics_.set("active_calls", {}, static_cast<double>(active_.size()));
  });
}

owner::~owner() = default;

void owner::use_journal(journal& log) {
  release_shards(std::set<std::uint32_t>(served_));
  journal_ = &log;
}

std::uint32_t owner::shard_for(std::string_view program) const {
  return shard_of(program, shared_.map().shards());
}

std::uint64_t owner::term_for(std::uint32_t shard) const {
  const wire::ShardEntry* entry = shared_.map().find(shard);
  return entry == nullptr ? 0 : entry->term();
}

bool owner::is_here(std::string_view program) const {
  const std::uint32_t shard = shard_for(program);
  return shared_.map().version() > 0 && served_.contains(shard) &&
         !paused_.contains(shard);
}

// ---- Shards ---------------------------------------------------------------

void owner::serve_shards(const std::set<std::uint32_t>& shards,
                         const std::vector<wire::Record>& records) {
  for (const wire::Record& each : records) {
    book_.apply(each);
  }
  served_.insert(shards.begin(), shards.end());
  take_up_open_calls(shards);
}

void owner::release_shards(const std::set<std::uint32_t>& shards) {
  pause_shards(shards);
  for (const std::string& id : book_.ids()) {
    if (shards.contains(shard_for(id))) {
      book_.remove(id);
      ended_at_ms_.erase(id);
    }
  }
  for (const std::uint32_t shard : shards) {
    served_.erase(shard);
    paused_.erase(shard);
  }
}

void owner::pause_shards(const std::set<std::uint32_t>& shards) {
  paused_.insert(shards.begin(), shards.end());
  std::vector<active_ptr> leaving;
  for (const auto& [program, active] : active_) {
    if (shards.contains(shard_for(program))) {
      leaving.push_back(active);
    }
  }
  for (const active_ptr& active : leaving) {
    let_go(active);
  }
}

void owner::resume_shards(const std::set<std::uint32_t>& shards) {
  for (const std::uint32_t shard : shards) {
    paused_.erase(shard);
  }
  take_up_open_calls(shards);
}

std::vector<wire::Record> owner::snapshots(
    const std::set<std::uint32_t>& shards) const {
  std::vector<wire::Record> made;
  for (const std::uint32_t shard : shards) {
    for (const program_state* each :
         book_.in_shard(shard, shared_.map().shards())) {
      if (!each->ended) {
        made.push_back(program_table::snapshot(*each, shard));
      }
    }
  }
  return made;
}

// Calls with an intent and no outcome: the runner's node knows what became
// of them.
void owner::take_up_open_calls(const std::set<std::uint32_t>& shards) {
  for (const std::uint32_t shard : shards) {
    for (const program_state* each :
         book_.in_shard(shard, shared_.map().shards())) {
      if (!each->has_call_in_progress() || active_.contains(each->spec.id())) {
        continue;
      }
      auto active = std::make_shared<active_call>();
      active->intent = each->turns.back().intent;
      active->begun_ms = loop_.now_ms();
      active->lost_since_ms = loop_.now_ms();
      active->attaching = true;
      active_[each->spec.id()] = active;
      metrics_.add("calls_taken_up_total");
      log_info("call_taken_up",
               {{"program", each->spec.id()},
                {"call", std::to_string(active->intent.sequence())},
                {"attempt", std::to_string(active->intent.attempt())}});
      send(active, true);
    }
  }
}

void owner::write(wire::Record record, const std::string& program,
                  journal::callback durable) {
  record.set_shard(shard_for(program));
  book_.apply(record);
  journal_->append(std::move(record), std::move(durable));
}

// ---- Requests -------------------------------------------------------------

void owner::open(const wire::OpenRequest& request, const rpc_reply_ptr& reply) {
  wire::OpenReply answer;
  const wire::ProgramSpec& spec = request.spec();
  if (!is_here(spec.id())) {
    *answer.mutable_failure() =
        make_failure(errc::shard_moving, wire::RAN_NO, shard_moving_retry_ms);
  } else if (book_.size() >= limits_.max_programs) {
    constexpr std::uint64_t retry_ms = 2000;
    *answer.mutable_failure() =
        make_failure(errc::program_limit, wire::RAN_NO, retry_ms);
  } else {
    *answer.mutable_failure() = book_.check_open(spec);
  }
  if (answer.failure().code() != 0) {
    reply->send(answer);
    reply->finish();
    return;
  }
  *answer.mutable_spec() = spec;
  wire::Record record;
  *record.mutable_opened() = spec;
  metrics_.add("programs_opened_total");
  write(std::move(record), spec.id(), [reply, answer] {
    reply->send(answer);
    reply->finish();
  });
}

void owner::end(const wire::EndRequest& request, const rpc_reply_ptr& reply) {
  wire::EndReply answer;
  if (!is_here(request.program())) {
    *answer.mutable_failure() =
        make_failure(errc::shard_moving, wire::RAN_NO, shard_moving_retry_ms);
    reply->send(answer);
    reply->finish();
    return;
  }
  const auto found =
      book_.find_for_workspace(request.program(), request.member());
  if (const auto* failure = std::get_if<wire::Failure>(&found)) {
    *answer.mutable_failure() = *failure;
    reply->send(answer);
    reply->finish();
    return;
  }
  const program_state& program = *std::get<const program_state*>(found);
  answer.mutable_used()->set_tokens(program.used_tokens);
  answer.mutable_used()->set_calls(program.used_calls);
  answer.set_recomputed_tokens(program.recomputed_tokens);
  if (!program.ended) {
    count_ended(program);
  }
  release_at_runners(program);
  wire::Record record;
  record.mutable_ended()->set_program(request.program());
  ended_at_ms_[request.program()] = loop_.now_ms();
  write(std::move(record), request.program(), [reply, answer] {
    reply->send(answer);
    reply->finish();
  });
}

void owner::inspect(const wire::InspectRequest& request,
                    const rpc_reply_ptr& reply) {
  wire::InspectReply answer;
  if (!is_here(request.program())) {
    *answer.mutable_failure() =
        make_failure(errc::shard_moving, wire::RAN_NO, shard_moving_retry_ms);
    reply->send(answer);
    reply->finish();
    return;
  }
  const auto found =
      book_.find_for_workspace(request.program(), request.member());
  if (const auto* failure = std::get_if<wire::Failure>(&found)) {
    *answer.mutable_failure() = *failure;
  } else {
    const program_state& program = *std::get<const program_state*>(found);
    *answer.mutable_spec() = program.spec;
    answer.mutable_used()->set_tokens(program.used_tokens);
    answer.mutable_used()->set_calls(program.used_calls);
    answer.set_next_sequence(program.next_sequence());
    for (wire::Message& each : program.conversation()) {
      *answer.add_history() = std::move(each);
    }
  }
  reply->send(answer);
  reply->finish();
}

call_settings owner::terms_for(const wire::CallRequest& request,
                               const program_state* program) const {
  constexpr std::uint32_t default_tokens = 256;
  call_settings terms;
  const std::string own = program == nullptr ? "" : program->spec.service();
  terms.service = request.service().empty() ? own : request.service();
  terms.conversational = terms.service == own;
  const auto found = shared_.config().services.find(terms.service);
  if (found != shared_.config().services.end()) {
    terms.repeatable = found->second.repeatable;
    const bool model = found->second.kind == service_kind::model;
    const std::uint32_t asked =
        request.max_tokens() == 0 ? default_tokens : request.max_tokens();
    terms.max_tokens = model ? asked : 0;
  }
  return terms;
}

void owner::call(const wire::CallRequest& request, const rpc_reply_ptr& reply) {
  if (!is_here(request.program())) {
    reply->send(moved_event(shared_.map().version()));
    reply->finish();
    return;
  }
  metrics_.add("calls_total");
  const program_state* program = book_.find(request.program());
  const call_settings terms = terms_for(request, program);
  call_decision decision = book_.admit(request, terms, wall_clock_ms());
  // A settled call whose outcome is not durable yet is still under way.
  const auto running = active_.find(request.program());
  if (running != active_.end() &&
      std::holds_alternative<replay_call>(decision)) {
    decision = join_call{std::get<replay_call>(decision).sequence};
  } else if (running != active_.end() &&
             std::holds_alternative<start_call>(decision)) {
    decision = refuse_call{make_failure(errc::call_in_progress, wire::RAN_NO)};
  }
  if (auto* begin = std::get_if<start_call>(&decision)) {
    if (!shared_.config().services.contains(terms.service)) {
      decision = refuse_call{
          make_failure(errc::unknown_service, wire::RAN_NO, 0, terms.service)};
    } else {
      start(std::move(begin->intent), reply);
      return;
    }
  }
  if (std::holds_alternative<join_call>(decision) && running != active_.end()) {
    join(running->second, reply);
  } else if (const auto* again = std::get_if<replay_call>(&decision)) {
    replay(program->turns[again->sequence - 1], reply);
  } else if (const auto* refusal = std::get_if<refuse_call>(&decision)) {
    metrics_.add("calls_refused_total",
                 {{"code", std::to_string(refusal->failure.code())}});
    wire::CallEvent event;
    *event.mutable_failure() = refusal->failure;
    reply->send(event);
    reply->finish();
  } else {
    reply->send(moved_event(shared_.map().version()));
    reply->finish();
  }
}

void owner::replay(const turn& settled, const rpc_reply_ptr& reply) {
  metrics_.add("calls_replayed_total");
  wire::CallEvent event;
  if (settled.outcome.has_failure()) {
    *event.mutable_failure() = settled.outcome.failure();
  } else {
    wire::CallDone& answer = *event.mutable_done();
    answer.set_text(settled.outcome.answer());
    *answer.mutable_usage() = settled.outcome.usage();
    answer.set_sequence(settled.intent.sequence());
    answer.set_attempts(settled.outcome.attempt());
    answer.set_replayed(true);
  }
  reply->send(event);
  reply->finish();
}

// ---- Housekeeping ---------------------------------------------------------

void owner::note_load(const wire::RunnerLoad& load) {
  if (!load.endpoint().empty()) {
    reports_[load.endpoint()] = {load, loop_.now_ms(), 0};
  }
}

// Loads come with every answer; those that peers spread fill the gaps.
void owner::refresh_reports() {
  constexpr std::uint64_t fresh_ms = 1000;
  const std::uint64_t now = loop_.now_ms();
  for (const peer_state* member : shared_.members().live_peers()) {
    for (const wire::RunnerLoad& load : member->peer.loads()) {
      const runner_report& held = reports_[load.endpoint()];
      if (held.at_ms + fresh_ms < now) {
        note_load(load);
      }
    }
  }
}

void owner::end_overdue() {
  const std::uint64_t now_wall = wall_clock_ms();
  const std::uint64_t now = loop_.now_ms();
  for (const std::string& id : book_.ids()) {
    const program_state& program = *book_.find(id);
    const wire::ProgramSpec& spec = program.spec;
    const bool over = spec.deadline_ms() > 0 &&
                      now_wall > spec.opened_at_ms() + spec.deadline_ms();
    if (over && !program.ended && is_here(id) && !active_.contains(id)) {
      metrics_.add("programs_overdue_total");
      release_at_runners(program);
      wire::Record record;
      record.mutable_ended()->set_program(id);
      ended_at_ms_[id] = now;
      write(std::move(record), id);
    }
  }
  std::erase_if(ended_at_ms_, [&](const auto& each) {
    if (each.second + ended_kept_ms > now || active_.contains(each.first)) {
      return false;
    }
    book_.remove(each.first);
    return true;
  });
}

void owner::release_at_runners(const program_state& program) {
  std::set<std::pair<std::string, std::string>> seen;
  for (const turn& each : program.turns) {
    const peer_state* member = shared_.members().find(each.intent.node());
    const bool self = each.intent.node() == shared_.members().self().node();
    if ((member == nullptr && !self) ||
        !seen.emplace(each.intent.node(), each.intent.endpoint()).second) {
      continue;
    }
    const std::uint32_t shard = shard_for(program.spec.id());
    wire::ReleaseRequest request;
    request.set_program(program.spec.id());
    request.set_endpoint(each.intent.endpoint());
    request.set_shard(shard);
    request.set_term(term_for(shard));
    const std::string address =
        self ? shared_.members().self().address() : member->peer.address();
    const std::uint64_t id = ++next_release_;
    releases_[id] = pool_.ask<wire::ReleaseReply>(
        address, "Release", request, release_timeout,
        [this, id](const result<wire::ReleaseReply>&) {
          loop_.post([this, id] { releases_.erase(id); });
        });
  }
}

std::string owner::burn_json() const { return burn_.json(wall_clock_ms()); }

void owner::count(const std::string& program, const std::string& service,
                  burn_count what, double amount) {
  const program_state* found = book_.find(program);
  const std::string work_class =
      found == nullptr ? "normal" : found->spec.work_class();
  burn_.add({service, work_class}, what, amount, wall_clock_ms());
}

void owner::count_ended(const program_state& program) {
  const wire::ProgramSpec& spec = program.spec;
  metrics_.add("programs_ended_total");
  metrics_.observe("program_ms",
                   {{"service", spec.service()}, {"class", spec.work_class()}},
                   static_cast<double>(program.served_ms));
  count(spec.id(), spec.service(), burn_count::programs, 1);
  const auto service = shared_.config().services.find(spec.service());
  if (service == shared_.config().services.end()) {
    return;
  }
  for (const objective& each : service->second.objectives) {
    if (each.work_class == spec.work_class() && each.program_ms > 0 &&
        program.served_ms > each.program_ms) {
      count(spec.id(), spec.service(), burn_count::late_programs, 1);
    }
  }
}

retry_budget& owner::retries_of(const std::string& service) {
  const auto spec = shared_.config().services.find(service);
  const std::uint64_t percent =
      spec == shared_.config().services.end() ? 0 : spec->second.retry_percent;
  const auto [place, fresh] = retries_.try_emplace(service, percent);
  place->second.set_percent(percent);
  return place->second;
}

}  // namespace trayrock
