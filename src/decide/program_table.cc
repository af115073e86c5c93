#include "trayrock/internal/decide/program_table.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

#include "trayrock/internal/decide/shard_map.h"

namespace trayrock {
namespace {

// Upper bound on the tokens that the chat template adds to a message. The
// content has at most one token a byte.
constexpr std::uint64_t message_overhead_tokens = 8;

std::uint64_t max_tokens_of(
    const google::protobuf::RepeatedPtrField<wire::Message>& messages) {
  std::uint64_t tokens = 0;
  for (const wire::Message& each : messages) {
    tokens += message_overhead_tokens + each.content().size();
  }
  return tokens;
}

bool same_messages(
    const google::protobuf::RepeatedPtrField<wire::Message>& left,
    const google::protobuf::RepeatedPtrField<wire::Message>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const wire::Message& a, const wire::Message& b) {
                      return a.role() == b.role() && a.content() == b.content();
                    });
}

// What an endpoint is given to work on, besides the conversation before.
std::uint64_t content_of(const wire::CallIntent& intent) {
  std::string bytes = intent.service();
  for (const wire::Message& each : intent.messages()) {
    bytes.append(1, '\0').append(each.role());
    bytes.append(1, '\0').append(each.content());
  }
  return XXH3_64bits(bytes.data(), bytes.size());
}

refuse_call refused(errc code, std::string_view detail = {}) {
  return {make_failure(code, wire::RAN_NO, 0, detail)};
}

// Adds the new messages of a request that carries the whole history; false
// when the request doesn't begin with the recorded conversation.
bool add_new_messages(const program_state& program,
                      const wire::CallRequest& request,
                      wire::CallIntent& intent) {
  const std::vector<wire::Message> recorded = program.conversation();
  const auto& sent = request.messages();
  if (static_cast<std::size_t>(sent.size()) <= recorded.size()) {
    return false;
  }
  for (std::size_t i = 0; i < recorded.size(); ++i) {
    const wire::Message& each = sent[static_cast<int>(i)];
    if (each.role() != recorded[i].role() ||
        each.content() != recorded[i].content()) {
      return false;
    }
  }
  for (int i = static_cast<int>(recorded.size()); i < sent.size(); ++i) {
    *intent.add_messages() = sent[i];
  }
  return true;
}

}  // namespace

const turn* program_state::find_turn(std::string_view idempotency_key) const {
  const auto found =
      std::find_if(turns.rbegin(), turns.rend(), [&](const turn& each) {
        return each.intent.idempotency_key() == idempotency_key;
      });
  return found == turns.rend() ? nullptr : &*found;
}

std::vector<wire::Message> program_state::conversation() const {
  std::vector<wire::Message> made;
  for (const turn& each : turns) {
    if (!each.settled || each.outcome.ran() != wire::RAN_YES ||
        each.intent.service() != spec.service()) {
      continue;
    }
    made.insert(made.end(), each.intent.messages().begin(),
                each.intent.messages().end());
    wire::Message response;
    response.set_role("assistant");
    response.set_content(each.outcome.answer());
    made.push_back(std::move(response));
  }
  return made;
}

const program_state* program_table::find(std::string_view program) const {
  const auto found = programs_.find(std::string(program));
  return found == programs_.end() ? nullptr : &found->second;
}

program_state* program_table::find_mutable(std::string_view program) {
  const auto found = programs_.find(std::string(program));
  return found == programs_.end() ? nullptr : &found->second;
}

std::variant<const program_state*, wire::Failure>
program_table::find_for_workspace(std::string_view program,
                                  std::string_view member) const {
  const program_state* found = find(program);
  if (found == nullptr) {
    return make_failure(errc::unknown_program, wire::RAN_NO);
  }
  if (found->spec.member() != member) {
    return make_failure(errc::wrong_member, wire::RAN_NO);
  }
  return found;
}

wire::Failure program_table::check_open(const wire::ProgramSpec& spec) const {
  const program_state* existing = find(spec.id());
  if (existing != nullptr && existing->spec.member() != spec.member()) {
    return make_failure(errc::wrong_member, wire::RAN_NO);
  }
  if (spec.parent().empty()) {
    return {};
  }
  const program_state* parent = find(spec.parent());
  if (parent == nullptr) {
    return make_failure(errc::unknown_program, wire::RAN_NO, 0, "parent");
  }
  if (parent->spec.member() != spec.member()) {
    return make_failure(errc::wrong_member, wire::RAN_NO, 0, "parent");
  }
  if (parent->ended) {
    return make_failure(errc::program_ended, wire::RAN_NO, 0, "parent");
  }
  return {};
}

call_decision program_table::admit(const wire::CallRequest& request,
                                   const call_settings& settings,
                                   std::uint64_t now_ms) const {
  const auto owned = find_for_workspace(request.program(), request.member());
  if (const auto* failure = std::get_if<wire::Failure>(&owned)) {
    return refuse_call{*failure};
  }
  const program_state& program = *std::get<const program_state*>(owned);
  wire::CallIntent intent;
  intent.set_program(request.program());
  intent.set_idempotency_key(request.idempotency_key());
  intent.set_service(settings.service);
  intent.set_repeatable(settings.repeatable);
  intent.set_max_tokens(settings.max_tokens);
  if (const turn* same = program.find_turn(request.idempotency_key())) {
    const bool differs =
        !request.whole_history() &&
        !same_messages(same->intent.messages(), request.messages());
    if (differs) {
      return refused(errc::key_reused);
    }
    if (same->settled) {
      return replay_call{same->intent.sequence()};
    }
    return join_call{same->intent.sequence()};
  }
  if (program.ended) {
    return refused(errc::program_ended);
  }
  const std::uint64_t next = program.next_sequence();
  const std::uint64_t requested =
      request.sequence() == 0 ? next : request.sequence();
  if (requested < next) {
    return requested + 1 == next && program.has_call_in_progress()
               ? refused(errc::call_in_progress)
               : refused(errc::sequence_in_past,
                         "next is " + std::to_string(next));
  }
  if (requested > next) {
    return refused(errc::sequence_in_future, "next is " + std::to_string(next));
  }
  if (program.has_call_in_progress()) {
    return refused(errc::call_in_progress);
  }
  if (!request.whole_history()) {
    *intent.mutable_messages() = request.messages();
  } else if (!add_new_messages(program, request, intent)) {
    return refused(errc::history_conflict);
  }
  intent.set_sequence(next);
  intent.set_attempt(program.dropped_attempts);
  if (program.ended_processes > 0 &&
      program.ended_content == content_of(intent)) {
    intent.set_ended_processes(program.ended_processes);
    if (program.ended_processes >= max_ended_processes) {
      return refused(errc::poison_request);
    }
  }
  const std::uint64_t context =
      settings.conversational ? program.context_tokens : 0;
  intent.set_reserved_tokens(settings.max_tokens == 0
                                 ? 0
                                 : context + max_tokens_of(intent.messages()) +
                                       settings.max_tokens);
  const wire::Failure exceeded =
      check_budget(program, intent.reserved_tokens(), now_ms);
  if (exceeded.code() != 0) {
    return refuse_call{exceeded};
  }
  return start_call{std::move(intent)};
}

wire::Failure program_table::check_budget(const program_state& program,
                                          std::uint64_t tokens,
                                          std::uint64_t now_ms) const {
  const program_state* root = find(root_of(program.spec.id()));
  for (const program_state* each : {&program, root}) {
    if (each == nullptr) {
      continue;
    }
    const wire::ProgramSpec& spec = each->spec;
    if (each->ended) {
      return make_failure(errc::program_ended, wire::RAN_NO, 0, "parent");
    }
    const std::uint64_t age = now_ms - std::min(now_ms, spec.opened_at_ms());
    if (spec.deadline_ms() > 0 && age > spec.deadline_ms()) {
      return make_failure(errc::deadline_passed, wire::RAN_NO);
    }
    const wire::Budget& budget = spec.budget();
    if (each->used_tokens + each->reserved_tokens + tokens > budget.tokens()) {
      return make_failure(errc::budget_exhausted, wire::RAN_NO, 0, "tokens");
    }
    if (each->used_calls + each->reserved_calls + 1 > budget.calls()) {
      return make_failure(errc::budget_exhausted, wire::RAN_NO, 0, "calls");
    }
    if (age > budget.wall_ms()) {
      return make_failure(errc::budget_exhausted, wire::RAN_NO, 0, "wall time");
    }
  }
  return {};
}

void program_table::apply(const wire::Record& record) {
  switch (record.body_case()) {
    case wire::Record::kOpened: {
      const wire::ProgramSpec& spec = record.opened();
      program_state& program = programs_[spec.id()];
      if (program.spec.id().empty()) {
        program.spec = spec;
      }
      break;
    }
    case wire::Record::kIntent:
      apply_intent(record.intent());
      break;
    case wire::Record::kOutcome:
      apply_outcome(record.outcome());
      break;
    case wire::Record::kEnded:
      if (program_state* program = find_mutable(record.ended().program())) {
        program->ended = true;
      }
      break;
    case wire::Record::kSnapshot:
      apply_snapshot(record.snapshot());
      break;
    default:
      break;
  }
}

std::vector<program_state*> program_table::chargeable(program_state& program) {
  std::vector<program_state*> made{&program};
  program_state* root = find_mutable(root_of(program.spec.id()));
  if (root != nullptr && root != &program) {
    made.push_back(root);
  }
  return made;
}

void program_table::reserve(program_state& program,
                            const wire::CallIntent& intent, bool release) {
  for (program_state* each : chargeable(program)) {
    if (release) {
      each->reserved_tokens -= intent.reserved_tokens();
      each->reserved_calls -= 1;
    } else {
      each->reserved_tokens += intent.reserved_tokens();
      each->reserved_calls += 1;
    }
  }
}

void program_table::charge(program_state& program, std::uint64_t tokens) {
  for (program_state* each : chargeable(program)) {
    each->used_tokens += tokens;
    each->used_calls += 1;
  }
}

void program_table::apply_intent(const wire::CallIntent& intent) {
  program_state* program = find_mutable(intent.program());
  if (program == nullptr) {
    return;
  }
  if (intent.sequence() == program->next_sequence() &&
      !program->has_call_in_progress()) {
    program->turns.push_back({intent, {}, false});
    reserve(*program, intent, false);
    return;
  }
  // Another attempt of the same call: only its destination changes.
  if (program->has_call_in_progress() &&
      program->turns.back().intent.sequence() == intent.sequence() &&
      program->turns.back().intent.attempt() < intent.attempt()) {
    wire::CallIntent& current = program->turns.back().intent;
    current.set_attempt(intent.attempt());
    current.set_endpoint(intent.endpoint());
    current.set_node(intent.node());
    current.set_node_start(intent.node_start());
    current.set_ended_processes(intent.ended_processes());
  }
}

void program_table::apply_outcome(const wire::CallOutcome& outcome) {
  program_state* program = find_mutable(outcome.program());
  if (program == nullptr || !program->has_call_in_progress() ||
      program->turns.back().intent.sequence() != outcome.sequence()) {
    return;
  }
  turn& open = program->turns.back();
  reserve(*program, open.intent, true);
  program->dropped_attempts = 0;
  program->ended_processes = outcome.ended_processes();
  program->ended_content =
      outcome.ended_processes() == 0 ? 0 : content_of(open.intent);
  if (outcome.ran() == wire::RAN_NO) {
    program->dropped_attempts = open.intent.attempt();
    program->turns.pop_back();
    return;
  }
  open.outcome = outcome;
  open.settled = true;
  const wire::Usage& usage = outcome.usage();
  const std::uint64_t spent =
      outcome.ran() == wire::RAN_YES && !outcome.has_failure()
          ? usage.prompt_tokens() + usage.completion_tokens()
          : open.intent.reserved_tokens();
  charge(*program, spent);
  program->served_ms += outcome.took_ms();
  program->recomputed_tokens += usage.recomputed_tokens();
  program->attained_tokens +=
      usage.prompt_tokens() - usage.cached_tokens() + usage.completion_tokens();
  if (open.intent.service() == program->spec.service() &&
      outcome.ran() == wire::RAN_YES) {
    program->context_tokens = usage.prompt_tokens() +
                              usage.completion_tokens() +
                              message_overhead_tokens;
  }
}

void program_table::apply_snapshot(const wire::ProgramSnapshot& snapshot) {
  program_state& program = programs_[snapshot.spec().id()];
  program = program_state{};
  program.spec = snapshot.spec();
  program.ended = snapshot.ended();
  program.dropped_attempts = snapshot.dropped_attempts();
  program.ended_processes = snapshot.ended_processes();
  program.ended_content = snapshot.ended_content();
  program.used_tokens = snapshot.used().tokens();
  program.used_calls = snapshot.used().calls();
  for (const wire::Turn& each : snapshot.turns()) {
    program.turns.push_back({each.intent(), each.outcome(), each.settled()});
    const wire::Usage& usage = each.outcome().usage();
    program.attained_tokens += usage.prompt_tokens() - usage.cached_tokens() +
                               usage.completion_tokens();
    program.recomputed_tokens += usage.recomputed_tokens();
    program.served_ms += each.outcome().took_ms();
    if (each.settled() && each.outcome().ran() == wire::RAN_YES &&
        each.intent().service() == program.spec.service()) {
      program.context_tokens = usage.prompt_tokens() +
                               usage.completion_tokens() +
                               message_overhead_tokens;
    }
    // The tokens used in a snapshot include those of sub-programs. Reservations
    // are not stored: each program's unsettled call restores its own.
    if (!each.settled()) {
      reserve(program, each.intent(), false);
    }
  }
}

wire::Record program_table::snapshot(const program_state& program,
                                     std::uint32_t shard) {
  wire::Record record;
  record.set_shard(shard);
  wire::ProgramSnapshot& made = *record.mutable_snapshot();
  *made.mutable_spec() = program.spec;
  made.mutable_used()->set_tokens(program.used_tokens);
  made.mutable_used()->set_calls(program.used_calls);
  made.set_ended(program.ended);
  made.set_dropped_attempts(program.dropped_attempts);
  made.set_ended_processes(program.ended_processes);
  made.set_ended_content(program.ended_content);
  for (const turn& each : program.turns) {
    wire::Turn& copy = *made.add_turns();
    *copy.mutable_intent() = each.intent;
    *copy.mutable_outcome() = each.outcome;
    copy.set_settled(each.settled);
  }
  return record;
}

std::vector<const program_state*> program_table::in_shard(
    std::uint32_t shard, std::uint32_t shards) const {
  std::vector<const program_state*> made;
  for (const auto& [id, each] : programs_) {
    if (shard_of(id, shards) == shard) {
      made.push_back(&each);
    }
  }
  // A parent precedes its sub-programs: their calls charge its budget.
  std::sort(made.begin(), made.end(),
            [](const program_state* left, const program_state* right) {
              return left->spec.id() < right->spec.id();
            });
  return made;
}

std::vector<std::string> program_table::ids() const {
  std::vector<std::string> made;
  made.reserve(programs_.size());
  for (const auto& [id, each] : programs_) {
    made.push_back(id);
  }
  return made;
}

void program_table::remove(std::string_view program) {
  programs_.erase(std::string(program));
}

}  // namespace trayrock
