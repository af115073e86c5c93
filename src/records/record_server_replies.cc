// Replies of a store to writes: the program's usage and placement, and the
// chain that the request asks for.
#include <utility>

#include "trayrock/internal/records/record_server.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Of a program with fewer turns, each reply has all.
constexpr std::size_t min_tracked_turns = 32;

}  // namespace

void record_server::send_write_reply(const records::WriteRequest& request,
                                     records::Outcome outcome,
                                     const rpc_reply_ptr& reply) {
  records::WriteReply message;
  // The epoch may have been fenced while the disk was being written.
  if (outcome == records::OUTCOME_OK) {
    outcome = judge_write(state_, request);
  }
  message.set_outcome(outcome);
  if (request.epoch() != state_.group().epoch()) {
    *message.mutable_group() = state_.group();
  }
  if (request.has_record() && request.record().has_reservation()) {
    add_usage(request, message);
    add_last_endpoint(request.record().reservation(), message);
  }
  if (!request.chain_of().empty()) {
    add_chain(request, message);
  }
  reply->send(message);
  reply->finish();
}

// Of a large program, only what the gateway does not know yet.
void record_server::add_usage(const records::WriteRequest& request,
                              records::WriteReply& message) const {
  const std::string& program = request.record().reservation().program();
  const std::uint64_t known =
      request.usage_log() == log_ ? request.usage_position() : 0;
  for (const turn_usage& each : index_.usage(program, known)) {
    records::Usage& usage = *message.add_program();
    usage.set_attempt(each.attempt);
    usage.set_reserved(each.reserved);
    usage.set_settled(each.settled);
    usage.set_used(each.used);
  }
  if (index_.turns_of(program) >= min_tracked_turns) {
    message.set_usage_log(log_);
    message.set_usage_position(index_.usage_position());
  }
}

void record_server::add_last_endpoint(const records::Reservation& made,
                                      records::WriteReply& message) const {
  if (made.line() == 0) {
    return;
  }
  const last_placement last = index_.last_endpoint(made.program(), made.line());
  if (!last.endpoint.empty()) {
    message.set_last_endpoint(std::string(last.endpoint));
    message.set_placed_turns(last.turns);
    message.set_last_of_line(last.of_line);
  }
}

void record_server::add_chain(const records::WriteRequest& request,
                              records::WriteReply& message) {
  // Whether the turn is here needs no walk of its chain.
  constexpr std::size_t turn_only = 1;
  turn_chain chain = index_.chain(
      request.chain_of(),
      request.send_chain() ? record_index::max_chain_turns : turn_only);
  index_.touch(request.chain_of(), loop_.now_ms());
  if (chain.unreadable) {
    return;  // no result: CHAIN_MISSING would deny a turn that is stored
  }
  message.set_chain_of(request.chain_of());
  message.set_chain(!chain.found        ? records::CHAIN_MISSING
                    : chain.gap.empty() ? records::CHAIN_FOUND
                                        : records::CHAIN_PARTIAL);
  message.set_chain_gap(chain.gap);
  message.set_chain_endpoint(chain.endpoint);
  if (chain.found && request.send_chain()) {
    message.set_text(std::move(chain.text));
    message.set_text_included(true);
  }
}

}  // namespace trayrock
