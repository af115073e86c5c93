#include "trayrock/internal/records/permit_server.h"

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

constexpr milliseconds tidy_period{5000};

std::vector<std::string> ids_of_voters(const records::Group& group) {
  std::vector<std::string> made;
  for (const records::Store& each : group.voters()) {
    made.push_back(each.id());
  }
  return made;
}

// Every field of a peer's message may be anything.
bool is_limit(const records::PermitRequest& request) {
  return !request.workspace().empty() && request.per_second() > 0 &&
         request.burst() >= 0;
}

}  // namespace

permit_server::permit_server(event_loop& loop, metrics_registry& metrics,
                             const limit_terms& terms, permit_store store)
    : loop_(loop), metrics_(metrics), book_(terms), store_(std::move(store)) {}

void permit_server::restore(const records::GivenPermits& read) {
  book_.restore(read.workspace(), {read.counts().begin(), read.counts().end()},
                loop_.now_ms());
}

void permit_server::serve(rpc_server& server) {
  book_.begin(ids_of_voters(store_.state().group()), store_.state().id());
  server.handle_typed<records::PermitRequest>(
      "Permit", [this](records::PermitRequest& request,
                       const rpc_reply_ptr& reply) { take(request, reply); });
  tidying_ = loop_.every(tidy_period, [this] { tidy(); });
}

void permit_server::group_changed() {
  const records::Group& group = store_.state().group();
  const bool first = group.previous_voters().empty();
  if (first) {  // nobody gave anything before
    book_.begin(ids_of_voters(group), store_.state().id());
  } else {
    book_.set_stores(ids_of_voters(group), store_.state().id(), loop_.now_ms());
  }
}

void permit_server::take(const records::PermitRequest& request,
                         const rpc_reply_ptr& reply) {
  records::PermitReply answer;
  judge(request, answer);
  metrics_.add("permits_total",
               {{"outcome", answer.given() ? "given"
                            : answer.outcome() == records::OUTCOME_OK
                                ? "refused"
                                : "not_answered"}});
  if (!answer.given()) {
    reply->send(answer);
    reply->finish();
    return;
  }
  keeping& held = keeping_[request.workspace()];
  ++held.unsynced;
  if (held.unsynced > book_.max_unsynced(request.workspace())) {
    held.waiting.push_back({answer, reply});
  } else {
    reply->send(answer);
    reply->finish();
  }
  keep(request.workspace());
}

void permit_server::judge(const records::PermitRequest& request,
                          records::PermitReply& answer) {
  const records::StoreState& state = store_.state();
  if (disk_failed_) {
    answer.set_outcome(records::OUTCOME_DISK_FAILED);
    return;
  }
  if (request.store() != state.id() || !is_limit(request)) {
    answer.set_outcome(records::OUTCOME_WRONG_STORE);
    return;
  }
  if (request.epoch() < state.group().epoch()) {
    answer.set_outcome(records::OUTCOME_STALE_EPOCH);
    *answer.mutable_group() = state.group();
    return;
  }
  for (const std::uint64_t slot : request.given_back()) {
    book_.give_back(request.workspace(), slot);
  }
  const permit_verdict said = book_.acquire(
      request.workspace(),
      {request.per_second(), request.burst(), request.configuration()},
      request.starts_program() ? permit_use::starts_program
                               : permit_use::regular,
      loop_.now_ms());
  if (const auto* given = std::get_if<permit_given>(&said)) {
    answer.set_given(true);
    answer.set_slot(given->slot);
  } else {
    const auto next = std::get<permit_refused>(said).next;
    answer.set_next_ms(static_cast<std::uint32_t>(next.count()));
  }
}

void permit_server::keep(const std::string& workspace) {
  keeping& held = keeping_[workspace];
  if (held.writing) {
    return;
  }
  held.writing = true;
  held.written = held.unsynced;
  records::GivenPermits given;
  given.set_workspace(workspace);
  for (const std::uint32_t each : book_.counts(workspace, loop_.now_ms())) {
    given.add_counts(each);
  }
  store_.keep(given, [this, workspace](std::error_code failed) {
    kept(workspace, failed);
  });
}

// Those that wait were given before the write that has ended, or after its
// beginning: they wait for the next one then.
void permit_server::kept(const std::string& workspace, std::error_code failed) {
  keeping& held = keeping_[workspace];
  held.writing = false;
  if (failed && !disk_failed_) {
    disk_failed_ = true;
    log_error("permits_not_kept", {{"cause", failed.message()}});
  }
  held.unsynced -= held.written;
  const std::size_t late =
      disk_failed_ ? 0
                   : std::min<std::size_t>(held.unsynced, held.waiting.size());
  const auto ready = held.waiting.end() - static_cast<std::ptrdiff_t>(late);
  for (auto each = held.waiting.begin(); each != ready; ++each) {
    if (disk_failed_) {
      each->answer.set_given(false);
      each->answer.set_outcome(records::OUTCOME_DISK_FAILED);
    }
    each->reply->send(each->answer);
    each->reply->finish();
  }
  held.waiting.erase(held.waiting.begin(), ready);
  if (held.unsynced > 0 && !disk_failed_) {
    keep(workspace);
  } else {
    keeping_.erase(workspace);
  }
}

void permit_server::tidy() {
  const std::vector<std::string> unused = book_.drop_unused(loop_.now_ms());
  if (!unused.empty()) {
    store_.drop(unused);
  }
  metrics_.set("workspaces_limited", {}, static_cast<double>(book_.size()));
}

}  // namespace trayrock
