#include "trayrock/internal/records/record_client.h"

#include <map>
#include <vector>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/group_rules.h"

namespace trayrock {
namespace {

// A voter that does not answer a call within this time is asked again.
constexpr milliseconds call_limit{600};
constexpr milliseconds retry_pause{60};
// How often a call that waits looks whether its store has gone silent.
// Answers take 2 to 10 ms, a busy disk some tens.
constexpr milliseconds direct_patience{120};
// A relay that does not answer a call within this time is left for another.
// A call by a relay takes 5 to 15 ms.
constexpr milliseconds relay_limit{350};
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
  // Of the turn that is looked for now, `request.chain_of`: the voters that
  // do not hold it, and those that do and may send its text.
  std::set<std::string> chain_missing;
  std::set<std::string> chain_holders;
  std::string text_asked_at;
  std::string text_behind;  // of the turns that were found already
  bool has_text = false;
  bool done = false;
  reserved_turn found;
  std::map<std::string, rpc_call> calls;
  std::map<std::string, rpc_call> relayed;
  std::map<std::string, rpc_call> telling;  // stores of a newer group
  std::map<std::string, timer> patience;
  std::map<std::string, timer> retries;
  timer limit;
  timer text_guard;

  bool needs_record() const { return request.has_record(); }
  bool needs_chain() const { return !request.chain_of().empty(); }

  void restart() {
    group = client.group_;
    request.set_epoch(group.epoch());
    request.set_shrunk_epoch(group.shrunk_epoch());
    calls.clear();
    relayed.clear();
    patience.clear();
    retries.clear();
    acknowledged.clear();
    chain_missing.clear();
    chain_holders.clear();
    text_asked_at.clear();
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
      send(each, needs_chain() && each.id() == nearest);
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
    asked.set_send_chain(with_text);
    if (with_text) {
      text_asked_at = to.id();
      text_guard = client.loop_.after(text_patience, [this] { ask_text(); });
    }
    const std::string& id = to.id();
    relayed.erase(id);
    if (client.paths_.by_relay(id, client.loop_.now_ms()) &&
        send_by_relay(to, asked)) {
      return;
    }
    const std::weak_ptr<operation> weak = weak_from_this();
    calls[id] = client.pool_.ask<records::WriteReply>(
        to.address(), "Write", asked, call_limit,
        [weak, to, asked](result<records::WriteReply> answer) {
          if (const auto held = weak.lock()) {
            held->direct_answered(to, asked, std::move(answer));
          }
        });
    client.paths_.asked(id, client.loop_.now_ms());
    if (client.relays_.pick) {
      watch_silence(to, asked);
    }
  }

  void watch_silence(const records::Store& to,
                     const records::WriteRequest& asked) {
    const std::weak_ptr<operation> weak = weak_from_this();
    patience[to.id()] = client.loop_.after(direct_patience, [weak, to, asked] {
      const auto held = weak.lock();
      if (held == nullptr || held->done) {
        return;
      }
      if (!held->client.is_silent(to.id())) {
        held->watch_silence(to, asked);
      } else {
        held->send_by_relay(to, asked);
      }
    });
  }

  void direct_answered(const records::Store& to,
                       const records::WriteRequest& asked,
                       result<records::WriteReply> answer) {
    const std::string& id = to.id();
    patience.erase(id);
    if (answer) {
      client.note_answer(id, false);
    } else if (relayed.contains(id) ||
               (client.is_silent(id) && send_by_relay(to, asked))) {
      return;  // the relay's answer decides
    }
    answered(id, std::move(answer));
  }

  // The call goes by another gateway, which may reach the store.
  bool send_by_relay(const records::Store& to,
                     const records::WriteRequest& asked) {
    const std::string via = client.relays_.pick ? client.relays_.pick() : "";
    if (done || via.empty()) {
      return false;
    }
    records::RelayRequest request;
    request.set_address(to.address());
    *request.mutable_write() = asked;
    client.metrics_.add("relayed_record_calls_total");
    const std::weak_ptr<operation> weak = weak_from_this();
    relayed[to.id()] = client.pool_.ask<records::WriteReply>(
        via, "Relay", request, relay_limit,
        [weak, id = to.id(), via](result<records::WriteReply> answer) {
          if (const auto held = weak.lock()) {
            held->relay_answered(id, via, std::move(answer));
          }
        });
    return true;
  }

  void relay_answered(const std::string& id, const std::string& via,
                      result<records::WriteReply> answer) {
    if (answer) {
      client.note_answer(id, true);
      if (client.relays_.passed_on) {
        client.relays_.passed_on(via);
      }
    } else {
      // An empty answer says that the relay does not reach the store.
      const bool relay_answered = answer.error() == errc::wire_garbled;
      client.relays_.failed(via, relay_answered
                                     ? relay_failure::store_unreachable
                                     : relay_failure::silent);
    }
    answered(id, std::move(answer));
  }

  void copy_to_learner(const records::Store& to) {
    if (!needs_record()) {
      return;
    }
    records::WriteRequest copy = request;
    copy.set_store(to.id());
    copy.clear_chain_of();
    calls[to.id()] = client.pool_.ask<records::WriteReply>(
        to.address(), "Write", copy, call_limit,
        [](const result<records::WriteReply>&) {
          // A learner reads what it misses from the voters.
        });
  }

  void retry(const std::string& id) {
    if (done) {
      return;
    }
    const std::weak_ptr<operation> weak = weak_from_this();
    retries[id] = client.loop_.after(retry_pause, [weak, id] {
      const auto held = weak.lock();
      const records::Store* to =
          held == nullptr ? nullptr : find_store(held->group.voters(), id);
      if (to != nullptr && !held->done) {
        held->send(*to, held->text_asked_at == id);
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
      case records::OUTCOME_STALE_EPOCH:
      case records::OUTCOME_WRONG_STORE:
        leave_for_text(id);
        retry(id);
        break;
      default:
        client.metrics_.add("record_store_errors_total");
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
    telling[id] = client.pool_.ask<records::FenceReply>(
        to->address(), "Fence", newer, call_limit,
        [](const result<records::FenceReply>&) {
          // The next answer to a write shows whether it was taken.
        });
  }

  void take(const std::string& id, const records::WriteReply& reply) {
    acknowledged.insert(id);
    for (const records::Usage& each : reply.program()) {
      found.usage.add(
          {each.attempt(), each.reserved(), each.settled(), each.used()});
    }
  }

  // What a voter says of the chain counts for the turn that is looked for now.
  void take_chain(const std::string& id, const records::WriteReply& reply) {
    if (has_text || !needs_chain() || reply.chain_of() != request.chain_of()) {
      return;
    }
    if (text_asked_at == id) {
      text_asked_at.clear();
    }
    if (reply.chain() == records::CHAIN_MISSING) {
      // A store that is catching up can not say what there is not.
      if (reply.outcome() == records::OUTCOME_OK) {
        chain_missing.insert(id);
      }
      return;
    }
    if (!reply.text_included()) {
      chain_holders.insert(id);
      return;
    }
    if (text_behind.empty()) {
      found.endpoint = reply.chain_endpoint();
    }
    text_behind.insert(0, reply.text());
    if (reply.chain() == records::CHAIN_FOUND) {
      found.chain_found = true;
      found.text = std::move(text_behind);
      has_text = true;
      return;
    }
    // Go on with the turns before the gap, which other voters hold.
    request.set_chain_of(reply.chain_gap());
    chain_missing.clear();
    chain_holders.clear();
    ask_voters();
  }

  // A voter that gave no usable answer is not waited for with the text. Each
  // of its retries would put the asking of another voter off.
  void leave_for_text(const std::string& id) {
    if (text_asked_at == id) {
      text_asked_at.clear();
      ask_text();
    }
  }

  // Asks another voter that has the turn for its text.
  void ask_text() {
    if (done || has_text || !needs_chain()) {
      return;
    }
    for (const std::string& id : chain_holders) {
      const records::Store* to = find_store(group.voters(), id);
      if (to != nullptr && id != text_asked_at) {
        chain_holders.erase(id);
        send(*to, true);
        return;
      }
    }
    text_asked_at.clear();
  }

  bool chain_settled() {
    if (!needs_chain() || has_text) {
      return true;
    }
    if (text_asked_at.empty()) {
      ask_text();
    }
    const auto voters = static_cast<std::size_t>(group.voters_size());
    return chain_holders.empty() && text_asked_at.empty() &&
           chain_missing.size() >= read_quorum(voters, group.tolerated());
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

  void finish(std::error_code failed) {
    if (done) {
      return;
    }
    done = true;
    limit.cancel();
    text_guard.cancel();
    patience.clear();
    retries.clear();
    // The calls that are still under way reach their voters all the same.
    lingering = client.loop_.after(call_limit,
                                   [this, keep = shared_from_this()]() mutable {
                                     // Cancelling destroys this callback, so
                                     // that it must not own the last reference
                                     // then.
                                     const auto last = std::move(keep);
                                     client.running_.erase(last);
                                     lingering.cancel();
                                   });
    if (reserved) {
      auto tell = std::move(reserved);
      failed ? tell(errc::history_unavailable) : tell(std::move(found));
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
    : loop_(loop),
      pool_(pool),
      data_centre_(std::move(data_centre)),
      metrics_(metrics) {}

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

bool record_client::is_silent(const std::string& store) const {
  return paths_.silent(store, loop_.now_ms(), relays_.silence);
}

void record_client::note_answer(const std::string& store, bool relayed) {
  if (relayed) {
    if (paths_.answered_by_relay(store, loop_.now_ms())) {
      log_warn("dependency_lost",
               {{"dependency", "store"}, {"store", store}, {"way", "relay"}});
    }
  } else if (paths_.answered(store)) {
    log_info("dependency_regained",
             {{"dependency", "store"}, {"store", store}});
  }
}

void record_client::begin(const std::shared_ptr<operation>& made,
                          milliseconds limit) {
  running_.insert(made);
  const std::weak_ptr<operation> weak = made;
  made->limit = loop_.after(limit, [weak] {
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
  made->request.set_chain_of(previous);
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
