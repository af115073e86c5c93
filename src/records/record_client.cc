#include "trayrock/internal/records/record_client.h"

#include <map>
#include <vector>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/chain_reading.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Before a voter that gave no usable answer is asked again.
constexpr milliseconds retry_pause{60};
// Before a voter is asked again at whose address another store sits. Its
// successor is named by a newer group, with which all is asked anew.
constexpr milliseconds lost_voter_pause{500};
// A chain's text is asked for at a second voter when the first is this late.
constexpr milliseconds text_patience{300};

}  // namespace

// One record or question on its way to the voters.
struct record_client::operation : std::enable_shared_from_this<operation> {
  explicit operation(record_client& client_in) : client(client_in) {}

  record_client& client;
  records::Group group;
  records::WriteRequest request;
  reserve_callback reserved;
  done_callback kept;

  std::set<std::string> acknowledged;
  chain_reading chain;
  bool done = false;
  program_usage usage;
  std::shared_ptr<store_calls> calls;
  std::map<std::string, rpc_call> telling;  // stores of a newer group
  std::map<std::string, timer> retries;
  timer limit;
  timer text_guard;

  bool needs_record() const { return request.has_record(); }

  void restart() {
    group = client.group_;
    request.set_epoch(group.epoch());
    request.set_shrunk_epoch(group.shrunk_epoch());
    calls->drop_all();
    retries.clear();
    acknowledged.clear();
    chain.ask_anew();
    if (group.voters().empty()) {
      return;  // begun once a group is known
    }
    ask_voters();
    for (const records::Store& each : group.learners()) {
      copy_to_learner(each);
    }
  }

  void ask_voters() {
    const std::string nearest = nearest_voter();
    for (const records::Store& each : group.voters()) {
      send(each, chain.needed() && each.id() == nearest);
    }
  }

  std::string nearest_voter() const {
    for (const records::Store& each : group.voters()) {
      if (each.data_centre() == client.data_centre_) {
        return each.id();
      }
    }
    return group.voters(0).id();
  }

  void send(const records::Store& to, bool with_text) {
    records::WriteRequest asked = request;
    asked.set_store(to.id());
    asked.set_chain_of(chain.wanted());
    asked.set_send_chain(with_text);
    if (with_text) {
      chain.asked_text(to.id());
      text_guard =
          client.reach_.loop.after(text_patience, [this] { ask_text(); });
    }
    calls->ask(to, asked);
  }

  void copy_to_learner(const records::Store& to) {
    if (!needs_record()) {
      return;
    }
    records::WriteRequest copy = request;
    copy.set_store(to.id());
    calls->copy(to, copy);
  }

  void retry(const std::string& id, milliseconds pause = retry_pause) {
    if (done) {
      return;
    }
    const std::weak_ptr<operation> weak = weak_from_this();
    retries[id] = client.reach_.loop.after(pause, [weak, id] {
      const auto held = weak.lock();
      const records::Store* to =
          held == nullptr ? nullptr : find_store(held->group.voters(), id);
      if (to != nullptr && !held->done) {
        held->send(*to, held->chain.awaits_text_of(id));
      }
    });
  }

  void answered(const std::string& id, result<records::WriteReply> answer) {
    if (!answer) {
      leave_for_text(id);
      retry(id);
      return;
    }
    const records::WriteReply& reply = answer.value();
    if (reply.group().epoch() > client.group_.epoch()) {
      client.adopt(reply.group());
    }
    if (client.group_.epoch() > group.epoch()) {
      if (!done) {
        restart();
      }
      return;
    }
    switch (reply.outcome()) {
      case records::OUTCOME_OK:
        take(id, reply);
        take_chain(id, reply);
        break;
      case records::OUTCOME_CATCHING_UP:
        take_chain(id, reply);
        tell_of_group(id, reply);
        retry(id);
        break;
      case records::OUTCOME_WRONG_STORE:
        leave_for_text(id);
        retry(id, lost_voter_pause);
        break;
      case records::OUTCOME_STALE_EPOCH:
        leave_for_text(id);
        retry(id);
        break;
      default:
        client.reach_.metrics.add("record_store_errors_total");
        leave_for_text(id);
        retry(id);
        break;
    }
    settle();
  }

  // A store that is cut off from the platform hears of the group from here.
  void tell_of_group(const std::string& id, const records::WriteReply& reply) {
    const records::Store* to = find_store(group.voters(), id);
    const bool behind =
        reply.has_group() && reply.group().epoch() < group.epoch();
    if (to == nullptr || !behind || telling[id].running()) {
      return;
    }
    records::FenceRequest newer;
    *newer.mutable_group() = group;
    telling[id] = client.reach_.pool.ask<records::FenceReply>(
        to->address(), "Fence", newer, store_call_limit,
        [](const result<records::FenceReply>&) {
          // The next answer to a write shows whether it was taken.
        });
  }

  void take(const std::string& id, const records::WriteReply& reply) {
    acknowledged.insert(id);
    for (const records::Usage& each : reply.program()) {
      usage.add({each.attempt(), each.reserved(), each.settled(), each.used()});
    }
  }

  void take_chain(const std::string& id, const records::WriteReply& reply) {
    if (chain.take(id, reply)) {
      ask_voters();
    }
  }

  // A voter that gave no usable answer is not waited for with the text. Each
  // of its retries would put the asking of another voter off.
  void leave_for_text(const std::string& id) {
    if (chain.awaits_text_of(id)) {
      chain.give_up_text();
      ask_text();
    }
  }

  // Asks another voter that has the turn for its text.
  void ask_text() {
    if (done || !chain.open()) {
      return;
    }
    if (const records::Store* to = chain.next_holder(group)) {
      send(*to, true);
    }
  }

  bool chain_settled() {
    if (!chain.open()) {
      return true;
    }
    if (!chain.awaits_text()) {
      ask_text();
    }
    return chain.is_nowhere(group);
  }

  void settle() {
    const auto voters = static_cast<std::size_t>(group.voters_size());
    const bool written =
        !needs_record() ||
        acknowledged.size() >= write_quorum(voters, group.tolerated());
    if (done || !written || !chain_settled()) {
      return;
    }
    finish({});
  }

  reserved_turn whole_turn() {
    reserved_turn made;
    made.usage = std::move(usage);
    made.chain_found = chain.complete();
    made.endpoint = chain.endpoint();
    if (made.chain_found) {
      made.text = chain.take_text();
    }
    return made;
  }

  void finish(std::error_code failed) {
    if (done) {
      return;
    }
    done = true;
    limit.cancel();
    text_guard.cancel();
    calls->end();
    retries.clear();
    // The calls that are still under way reach their voters all the same.
    lingering = client.reach_.loop.after(
        store_call_limit, [this, keep = shared_from_this()]() mutable {
          // Cancelling destroys this callback, so
          // that it must not own the last reference
          // then.
          const auto last = std::move(keep);
          client.running_.erase(last);
          lingering.cancel();
        });
    if (reserved) {
      auto tell = std::move(reserved);
      failed ? tell(errc::history_unavailable) : tell(whole_turn());
    }
    if (kept) {
      auto tell = std::move(kept);
      tell(failed);
    }
  }

  timer lingering;
};

record_client::record_client(event_loop& loop, rpc_pool& pool,
                             std::string data_centre, metrics_registry& metrics)
    : reach_(loop, pool, metrics), data_centre_(std::move(data_centre)) {}

record_client::~record_client() = default;

void record_client::adopt(const records::Group& group) {
  const bool newer = group.epoch() > group_.epoch();
  if (!newer && group.epoch() < group_.epoch()) {
    return;
  }
  group_ = group;
  if (!newer) {
    return;  // only the learners differ
  }
  log_info("group_adopted", {{"epoch", std::to_string(group.epoch())},
                             {"voters", std::to_string(group.voters_size())}});
  const auto waiting = running_;
  for (const auto& each : waiting) {
    if (!each->done) {
      each->restart();
    }
  }
}

void record_client::begin(const std::shared_ptr<operation>& made,
                          milliseconds limit) {
  running_.insert(made);
  const std::weak_ptr<operation> weak = made;
  made->calls = store_calls::make(
      reach_,
      [weak](const std::string& store, result<records::WriteReply> answer) {
        if (const auto held = weak.lock()) {
          held->answered(store, std::move(answer));
        }
      });
  made->limit = reach_.loop.after(limit, [weak] {
    if (const auto held = weak.lock()) {
      held->finish(errc::not_durable);
    }
  });
  made->restart();
}

void record_client::reserve(const records::Reservation& reservation,
                            const std::string& previous, milliseconds limit,
                            reserve_callback done) {
  auto made = std::make_shared<operation>(*this);
  if (!reservation.program().empty()) {
    *made->request.mutable_record()->mutable_reservation() = reservation;
  }
  made->chain = chain_reading(previous);
  made->reserved = std::move(done);
  begin(made, limit);
}

void record_client::keep(records::Record record, milliseconds limit,
                         done_callback done) {
  auto made = std::make_shared<operation>(*this);
  *made->request.mutable_record() = std::move(record);
  made->kept = std::move(done);
  begin(made, limit);
}

}  // namespace trayrock
