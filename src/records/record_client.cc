#include "trayrock/internal/records/record_client.h"

#include <algorithm>
#include <map>
#include <vector>

#include "trayrock/internal/log.h"
#include "trayrock/internal/net/progress_reporter.h"
#include "trayrock/internal/records/chain_reader.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Delay before a voter that gave no usable reply is queried again.
constexpr milliseconds retry_delay{60};
// Delay before a voter is retried when another store replied at its address.
// A newer group names its successor and restarts the operation.
constexpr milliseconds replaced_voter_retry_delay{500};
// A chain's text is requested from a second voter when the first has not
// replied within this time.
constexpr milliseconds text_timeout{300};
// Interval at which an operation checks, after its limit, whether the voters
// are still writing.
constexpr milliseconds progress_check_period{100};
// An operation fails after this even if the voters are still writing.
constexpr milliseconds max_duration{20000};
// Bounds what is cached of programs with many turns, at some 150 bytes a turn.
constexpr std::size_t max_cached_turns = 50000;

}  // namespace

// One write or query sent to the voters.
struct record_client::operation : std::enable_shared_from_this<operation> {
  explicit operation(record_client& client_in) : client(client_in) {}

  record_client& client;
  records::Group group;
  records::WriteRequest request;
  reserve_callback on_reserved;
  done_callback on_durable;

  std::set<std::string> acknowledged;
  std::map<std::string, std::uint64_t> progress_ms;  // last report, by store
  std::uint64_t began_ms = 0;
  chain_reader chain;
  bool done = false;
  known_usage usage;
  std::string last_endpoint;
  bool last_of_line = false;
  std::uint32_t placed_turns = 0;  // of the reply with last_endpoint
  std::shared_ptr<store_calls> calls;
  std::map<std::string, rpc_call> group_updates;  // newer group, by store
  std::map<std::string, timer> retries;
  timer limit;
  timer text_timer;

  bool needs_record() const { return request.has_record(); }

  void restart() {
    group = client.group_;
    request.set_epoch(group.epoch());
    request.set_shrunk_epoch(group.shrunk_epoch());
    calls->cancel_all();
    retries.clear();
    acknowledged.clear();
    progress_ms.clear();
    chain.reset_replies();
    if (group.voters().empty()) {
      return;  // adopt() restarts the operation once a group is known
    }
    query_voters();
    for (const records::Store& each : group.learners()) {
      copy_to_learner(each);
    }
  }

  void query_voters() {
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
    records::WriteRequest sent = request;
    sent.set_store(to.id());
    sent.set_chain_of(chain.wanted());
    sent.set_send_chain(with_text);
    const auto known = usage.positions.find(to.id());
    if (known != usage.positions.end()) {
      sent.set_usage_log(known->second.log);
      sent.set_usage_position(known->second.position);
    }
    if (with_text) {
      chain.on_text_requested(to.id());
      text_timer = client.connectivity_.loop.after_attended(
          text_timeout, [this] { request_text_from_next(); });
    }
    calls->send(to, sent);
  }

  void copy_to_learner(const records::Store& to) {
    if (!needs_record()) {
      return;
    }
    records::WriteRequest copy = request;
    copy.set_store(to.id());
    calls->copy(to, copy);
  }

  void retry(const std::string& id, milliseconds delay = retry_delay) {
    if (done) {
      return;
    }
    const std::weak_ptr<operation> weak = weak_from_this();
    retries[id] = client.connectivity_.loop.after_attended(delay, [weak, id] {
      const auto self = weak.lock();
      const records::Store* to =
          self == nullptr ? nullptr : find_store(self->group.voters(), id);
      if (to != nullptr && !self->done) {
        self->send(*to, self->chain.awaits_text_from(id));
      }
    });
  }

  void on_reply(const std::string& id, result<records::WriteReply> received) {
    if (!received) {
      request_text_elsewhere(id);
      retry(id);
      return;
    }
    const records::WriteReply& reply = received.value();
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
        add_acknowledgement(id, reply);
        add_chain_reply(id, reply);
        break;
      case records::OUTCOME_CATCHING_UP:
        add_chain_reply(id, reply);
        send_group(id, reply);
        retry(id);
        break;
      case records::OUTCOME_WRONG_STORE:
        request_text_elsewhere(id);
        retry(id, replaced_voter_retry_delay);
        break;
      case records::OUTCOME_STALE_EPOCH:
        request_text_elsewhere(id);
        retry(id);
        break;
      default:
        client.connectivity_.metrics.add("record_store_errors_total");
        request_text_elsewhere(id);
        retry(id);
        break;
    }
    finish_if_complete();
  }

  // Sends the group to a store that cannot reach the platform.
  void send_group(const std::string& id, const records::WriteReply& reply) {
    const records::Store* to = find_store(group.voters(), id);
    const bool outdated =
        reply.has_group() && reply.group().epoch() < group.epoch();
    if (to == nullptr || !outdated || group_updates[id].running()) {
      return;
    }
    records::FenceRequest newer;
    *newer.mutable_group() = group;
    group_updates[id] = client.connectivity_.pool.ask<records::FenceReply>(
        to->address(), "Fence", newer, store_call_timeout,
        [](const result<records::FenceReply>&) {
          // The next reply to a write shows whether the group was adopted.
        });
  }

  // The voter is still writing, but it has read the chain.
  void on_progress(const std::string& id, const records::WriteReply& report) {
    progress_ms[id] = client.connectivity_.loop.attended_ms();
    add_chain_reply(id, report);
    finish_if_complete();
  }

  bool is_writing(const std::string& id) const {
    const auto last = progress_ms.find(id);
    return last != progress_ms.end() &&
           client.connectivity_.loop.attended_ms() - last->second <
               static_cast<std::uint64_t>(max_progress_gap.count());
  }

  // Whether the operation will complete if no voter that responds fails.
  bool quorum_responds() const {
    const auto responding = static_cast<std::size_t>(std::count_if(
        group.voters().begin(), group.voters().end(),
        [this](const records::Store& each) {
          return acknowledged.contains(each.id()) || is_writing(each.id());
        }));
    return responding >=
           write_quorum(static_cast<std::size_t>(group.voters_size()),
                        group.tolerated());
  }

  void on_limit() {
    const milliseconds elapsed(client.connectivity_.loop.now_ms() - began_ms);
    if (!needs_record() || !quorum_responds() || elapsed >= max_duration) {
      finish(errc::not_durable);
      return;
    }
    set_limit(progress_check_period);
  }

  void set_limit(milliseconds delay) {
    limit = client.connectivity_.loop.after(delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->on_limit();
      }
    });
  }

  void add_acknowledgement(const std::string& id,
                           const records::WriteReply& reply) {
    acknowledged.insert(id);
    for (const records::Usage& each : reply.program()) {
      usage.usage->add(
          {each.attempt(), each.reserved(), each.settled(), each.used()});
    }
    if (reply.usage_log() != 0) {
      usage.positions[id] = {reply.usage_log(), reply.usage_position()};
    }
    if (reply.placed_turns() > placed_turns) {
      placed_turns = reply.placed_turns();
      last_endpoint = reply.last_endpoint();
      last_of_line = reply.last_of_line();
    }
  }

  void add_chain_reply(const std::string& id,
                       const records::WriteReply& reply) {
    if (chain.add_reply(id, reply)) {
      query_voters();
    }
  }

  // Stops waiting for the text from a voter that gave no usable reply: each of
  // its retries would delay the request to another voter.
  void request_text_elsewhere(const std::string& id) {
    if (chain.awaits_text_from(id)) {
      chain.cancel_text_request();
      request_text_from_next();
    }
  }

  // Requests the text from another voter that stores the turn.
  void request_text_from_next() {
    if (done || !chain.pending()) {
      return;
    }
    if (const records::Store* to = chain.next_holder(group)) {
      send(*to, true);
    }
  }

  bool is_chain_missing() {
    if (!chain.pending()) {
      return false;
    }
    if (!chain.awaits_text()) {
      request_text_from_next();
    }
    return chain.is_missing(group);
  }

  bool is_written() const {
    const auto voters = static_cast<std::size_t>(group.voters_size());
    return !needs_record() ||
           acknowledged.size() >= write_quorum(voters, group.tolerated());
  }

  // A turn whose chain is missing will not run, so that its reservation need
  // not be durable.
  void finish_if_complete() {
    if (done) {
      return;
    }
    const bool complete = !chain.pending() && is_written();
    if (complete || is_chain_missing()) {
      finish({});
    }
  }

  reserved_turn make_reserved_turn() {
    reserved_turn made;
    made.usage = usage.usage;
    made.chain_found = chain.complete();
    made.endpoint = chain.endpoint();
    made.last_endpoint = std::move(last_endpoint);
    made.last_of_line = last_of_line;
    if (made.chain_found) {
      made.text = chain.release_text();
    }
    return made;
  }

  void finish(std::error_code failed) {
    if (done) {
      return;
    }
    done = true;
    limit.cancel();
    text_timer.cancel();
    calls->finish();
    retries.clear();
    // Pending calls still reach their voters.
    linger_timer = client.connectivity_.loop.after(
        store_call_timeout, [this, keep = shared_from_this()]() mutable {
          // Cancelling destroys this callback, which
          // must not own the last reference then.
          const auto last = std::move(keep);
          client.running_.erase(last);
          linger_timer.cancel();
        });
    if (!usage.positions.empty()) {
      client.usages_.put(request.record().reservation().program(), usage);
    }
    if (on_reserved) {
      auto callback = std::move(on_reserved);
      failed ? callback(errc::history_unavailable)
             : callback(make_reserved_turn());
    }
    if (on_durable) {
      auto callback = std::move(on_durable);
      callback(failed);
    }
  }

  timer linger_timer;
};

record_client::record_client(event_loop& loop, rpc_pool& pool,
                             std::string data_centre, metrics_registry& metrics)
    : connectivity_(loop, pool, metrics),
      data_centre_(std::move(data_centre)),
      usages_(max_cached_turns) {}

record_client::~record_client() = default;

void record_client::adopt(const records::Group& group) {
  const bool newer = group.epoch() > group_.epoch();
  if (!newer && group.epoch() < group_.epoch()) {
    return;
  }
  group_ = group;
  if (!newer) {
    return;  // only the learners changed
  }
  log_info("group_adopted", {{"epoch", std::to_string(group.epoch())},
                             {"voters", std::to_string(group.voters_size())}});
  const auto running = running_;
  for (const auto& each : running) {
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
      connectivity_,
      [weak](const std::string& store, result<records::WriteReply> reply) {
        if (const auto self = weak.lock()) {
          self->on_reply(store, std::move(reply));
        }
      },
      [weak](const std::string& store, const records::WriteReply& report) {
        if (const auto self = weak.lock()) {
          self->on_progress(store, report);
        }
      });
  made->began_ms = connectivity_.loop.now_ms();
  made->set_limit(limit);
  made->restart();
}

void record_client::reserve(const records::Reservation& reservation,
                            const std::string& previous, milliseconds limit,
                            reserve_callback done) {
  auto made = std::make_shared<operation>(*this);
  if (!reservation.program().empty()) {
    *made->request.mutable_record()->mutable_reservation() = reservation;
    made->usage = usages_.find(reservation.program());
  }
  made->chain = chain_reader(previous);
  made->on_reserved = std::move(done);
  begin(made, limit);
}

void record_client::keep(records::Record record, milliseconds limit,
                         done_callback done) {
  auto made = std::make_shared<operation>(*this);
  *made->request.mutable_record() = std::move(record);
  made->on_durable = std::move(done);
  begin(made, limit);
}

}  // namespace trayrock
