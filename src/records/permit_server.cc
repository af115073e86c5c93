#include "trayrock/internal/records/permit_server.h"

#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

constexpr milliseconds cleanup_period{5000};
// Callers cancel within a second.
constexpr std::size_t max_recent_permits = 2048;
// In this time after a change of the group, confirmations may still arrive and
// end the wait for the window.
constexpr std::uint64_t confirmation_wait_ms = 1000;
// Retry delay of refused callers in that time.
constexpr milliseconds confirmation_retry{100};

std::vector<std::string> ids_of_voters(const records::Group& group) {
  std::vector<std::string> made;
  for (const records::Store& each : group.voters()) {
    made.push_back(each.id());
  }
  return made;
}

// A peer's message may hold any value in any field.
bool is_limit(const records::PermitRequest& request) {
  return !request.workspace().empty() && request.per_second() > 0 &&
         request.burst() >= 0;
}

}  // namespace

permit_server::permit_server(event_loop& loop, metrics_registry& metrics,
                             const limit_terms& terms, permit_store store)
    : loop_(loop),
      metrics_(metrics),
      limiter_(terms),
      store_(std::move(store)),
      progress_(loop) {}

void permit_server::restore(const records::GivenPermits& read) {
  limiter_.restore(read.workspace(),
                   {read.counts().begin(), read.counts().end()},
                   loop_.now_ms());
}

void permit_server::serve(rpc_server& server) {
  limiter_.begin(ids_of_voters(store_.state().group()), store_.state().id());
  server.handle_typed<records::PermitRequest>(
      "Permit",
      [this](records::PermitRequest& request, const rpc_reply_ptr& reply) {
        handle_permit(request, reply);
      });
  server.handle_typed<records::CancelPermitRequest>(
      "CancelPermit", [this](records::CancelPermitRequest& request,
                             const rpc_reply_ptr& reply) {
        if (request.store() == store_.state().id()) {
          take_back(request.call());
        }
        reply->send(records::CancelPermitReply());
        reply->finish();
      });
  server.handle_typed<records::ConfirmPermitsRequest>(
      "ConfirmPermits",
      [this](records::ConfirmPermitsRequest& request,
             const rpc_reply_ptr& reply) { confirm(request, reply); });
  cleanup_timer_ = loop_.every(cleanup_period, [this] { drop_unused(); });
}

void permit_server::group_changed() {
  const records::Group& group = store_.state().group();
  const bool first = group.previous_voters().empty();
  if (first) {  // no permits were granted before
    limiter_.begin(ids_of_voters(group), store_.state().id());
  } else {
    limiter_.set_stores(ids_of_voters(group), store_.state().id(),
                        loop_.now_ms());
  }
  group_changed_ms_ = loop_.now_ms();
}

// Permits within the share stay within it, since the limiter applies the new
// share once the group is adopted. The group must be on disk before the reply:
// after a restart, the store would otherwise use the larger share of the old
// group.
void permit_server::confirm(const records::ConfirmPermitsRequest& request,
                            const rpc_reply_ptr& reply) {
  const auto send_reply = [this, reply] {
    records::ConfirmPermitsReply message;
    message.set_store(store_.state().id());
    message.set_epoch(store_.state().group().epoch());
    message.set_within_share(limiter_.is_within_share(loop_.now_ms()));
    message.set_complete_epoch(complete_epoch_);
    reply->send(message);
    reply->finish();
  };
  if (request.store() == store_.state().id()) {
    store_.adopt(request.group(), send_reply);
  } else {
    reply->send(records::ConfirmPermitsReply());
    reply->finish();
  }
}

void permit_server::on_confirmed() {
  if (!limiter_.is_within_share(loop_.now_ms())) {
    return;
  }
  limiter_.open();
  complete_epoch_ = store_.state().group().epoch();
  log_info("permits_confirmed", {{"epoch", std::to_string(complete_epoch_)}});
}

milliseconds permit_server::shortened(milliseconds next) const {
  const bool may_open =
      is_closed() && loop_.now_ms() < group_changed_ms_ + confirmation_wait_ms;
  return may_open ? std::min(next, confirmation_retry) : next;
}

void permit_server::handle_permit(const records::PermitRequest& request,
                                  const rpc_reply_ptr& reply) {
  records::PermitReply message;
  decide(request, message);
  metrics_.add("permits_total",
               {{"outcome", message.given() ? "given"
                            : message.outcome() == records::OUTCOME_OK
                                ? "refused"
                                : "not_answered"}});
  if (!message.given()) {
    reply->send(message);
    reply->finish();
    return;
  }
  pending_permits& pending = pending_[request.workspace()];
  ++pending.unsynced;
  if (pending.unsynced > limiter_.max_unsynced(request.workspace())) {
    wait_for_disk(request, message, reply);
  } else {
    reply->send(message);
    reply->finish();
  }
  write(request.workspace());
}

void permit_server::wait_for_disk(const records::PermitRequest& request,
                                  const records::PermitReply& message,
                                  const rpc_reply_ptr& reply) {
  const std::uint64_t progress = progress_.add(reply, [this, reply] {
    metrics_.add("progress_reports_total", {{"call", "permit"}});
    records::PermitReply report;
    report.set_pending(true);
    reply->send(report);
  });
  pending_[request.workspace()].waiting.push_back({message, reply, progress});
  reply->on_gone([this, call = request.call()] { take_back(call); });
}

void permit_server::remember(const records::PermitRequest& request,
                             std::uint64_t slot) {
  if (request.call() == 0) {
    return;
  }
  recent_.push_back({request.call(), request.workspace(), slot});
  if (recent_.size() > max_recent_permits) {
    recent_.pop_front();
  }
}

void permit_server::take_back(std::uint64_t call) {
  const auto found = std::find_if(
      recent_.begin(), recent_.end(),
      [call](const recent_permit& each) { return each.call == call; });
  if (found == recent_.end()) {
    return;  // not given, or taken back before
  }
  limiter_.give_back(found->workspace, found->slot);
  metrics_.add("permits_taken_back_total");
  recent_.erase(found);
}

void permit_server::decide(const records::PermitRequest& request,
                           records::PermitReply& message) {
  const records::StoreState& state = store_.state();
  if (disk_failed_) {
    message.set_outcome(records::OUTCOME_DISK_FAILED);
    return;
  }
  if (request.store() != state.id() || !is_limit(request)) {
    message.set_outcome(records::OUTCOME_WRONG_STORE);
    return;
  }
  if (request.epoch() < state.group().epoch()) {
    message.set_outcome(records::OUTCOME_STALE_EPOCH);
    *message.mutable_group() = state.group();
    return;
  }
  for (const std::uint64_t slot : request.given_back()) {
    limiter_.give_back(request.workspace(), slot);
  }
  const permit_verdict verdict = limiter_.acquire(
      request.workspace(),
      {request.per_second(), request.burst(), request.configuration()},
      request.starts_program() ? permit_use::starts_program
                               : permit_use::regular,
      loop_.now_ms());
  if (const auto* given = std::get_if<permit_given>(&verdict)) {
    message.set_given(true);
    message.set_slot(given->slot);
    remember(request, given->slot);
  } else {
    const auto next = shortened(std::get<permit_refused>(verdict).next);
    message.set_next_ms(static_cast<std::uint32_t>(next.count()));
  }
}

void permit_server::write(const std::string& workspace) {
  pending_permits& pending = pending_[workspace];
  if (pending.writing) {
    return;
  }
  pending.writing = true;
  pending.written = pending.unsynced;
  records::GivenPermits given;
  given.set_workspace(workspace);
  for (const std::uint32_t each : limiter_.counts(workspace, loop_.now_ms())) {
    given.add_counts(each);
  }
  store_.write(given, [this, workspace](std::error_code failed) {
    on_written(workspace, failed);
  });
}

// Sends the replies of permits that this write covers. Permits granted after
// the write started wait for the next one.
void permit_server::on_written(const std::string& workspace,
                               std::error_code failed) {
  pending_permits& pending = pending_[workspace];
  pending.writing = false;
  if (failed && !disk_failed_) {
    disk_failed_ = true;
    log_error("permits_not_kept", {{"cause", failed.message()}});
  }
  pending.unsynced -= pending.written;
  const std::size_t still_waiting =
      disk_failed_
          ? 0
          : std::min<std::size_t>(pending.unsynced, pending.waiting.size());
  const auto ready =
      pending.waiting.end() - static_cast<std::ptrdiff_t>(still_waiting);
  for (auto each = pending.waiting.begin(); each != ready; ++each) {
    progress_.remove(each->progress);
    if (disk_failed_) {
      each->message.set_given(false);
      each->message.set_outcome(records::OUTCOME_DISK_FAILED);
    }
    each->reply->send(each->message);
    each->reply->finish();
  }
  pending.waiting.erase(pending.waiting.begin(), ready);
  if (pending.unsynced > 0 && !disk_failed_) {
    write(workspace);
  } else {
    pending_.erase(workspace);
  }
}

void permit_server::drop_unused() {
  const std::vector<std::string> unused = limiter_.drop_unused(loop_.now_ms());
  if (!unused.empty()) {
    store_.erase(unused);
  }
  metrics_.set("workspaces_limited", {}, static_cast<double>(limiter_.size()));
}

}  // namespace trayrock
