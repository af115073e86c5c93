#include "trayrock/internal/records/permit_client.h"

#include <random>
#include <set>
#include <utility>

#include "trayrock/internal/log.h"
#include "trayrock/internal/net/progress_reporter.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// A store that has not replied within this time is left for another one, unless
// it is writing the permit and all others are slow as well.
constexpr milliseconds store_timeout{150};
constexpr milliseconds relay_timeout{350};
// Interval at which a request checks, after its limit, whether the store is
// still writing.
constexpr milliseconds progress_check_period{100};
// A request fails after this even if the store is still writing.
constexpr milliseconds max_duration{20000};
// Direct calls that fail before a request goes through relays.
constexpr int max_unanswered_calls = 2;
// Delay before the next round when no store gave a usable reply.
constexpr milliseconds round_delay{100};
// Cancellations are not retried.
constexpr milliseconds cancellation_timeout{2000};
// Slots to return that are kept per store and workspace.
constexpr std::size_t max_unused_slots = 256;

std::uint64_t random_seed() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source();
}

}  // namespace

// One request for a permit, tried at one store after another.
struct permit_client::operation
    : std::enable_shared_from_this<permit_client::operation> {
  operation(permit_client& client_in, permit_request request_in,
            acquire_callback done_in)
      : client(client_in),
        request(std::move(request_in)),
        done(std::move(done_in)) {}

  permit_client& client;
  permit_request request;
  acquire_callback done;
  std::set<std::string> tried;  // in this round
  std::set<std::string> slow;   // of these, left while they were writing
  bool relayed = false;         // this round goes through relays
  int unanswered = 0;           // direct calls
  std::uint64_t began_ms = 0;
  std::uint64_t progress_ms = 0;  // last report on the call; 0: none
  rpc_call call;
  records::CancelPermitRequest cancellation;  // of a direct call
  std::string called_address;
  timer slow_timer;
  timer next_round;
  timer limit;

  void step() {
    client.adopt_group();
    const permit_source next = client.sources_.next(
        request.workspace, request.use, tried, client.loop_.now_ms());
    std::visit([this](const auto& each) { act(each); }, next);
  }

  void act(const try_store& next) {
    tried.insert(next.store);
    const records::Store* to =
        find_store(client.records_.group().voters(), next.store);
    if (to == nullptr) {
      step();
    } else if (relayed || !client.records_.reaches(to->id())) {
      call_by_relay(*to);
    } else {
      call_store(*to);
    }
  }

  // A slow store may have a permit although all others refuse.
  void act(const limit_reached& reached) {
    if (slow.empty()) {
      finish(reached);
    } else {
      return_to_slow_stores();
    }
  }

  void return_to_slow_stores() {
    for (const std::string& each : std::exchange(slow, {})) {
      tried.erase(each);
    }
    step();
  }

  // Every store was tried. The next round goes through relays, if there are
  // any; rounds alternate.
  void act(const no_store_available&) {
    tried.clear();
    slow.clear();
    relayed = !relayed && client.relays_.pick != nullptr;
    next_round = client.loop_.after_attended(
        relayed ? milliseconds(0) : round_delay,
        [self = shared_from_this()] { self->step(); });
  }

  void call_store(const records::Store& to) {
    progress_ms = 0;
    records::PermitRequest message = client.request_for(request, to);
    message.set_call(client.random_());
    cancellation.set_store(to.id());
    cancellation.set_call(message.call());
    called_address = to.address();
    call = client.pool_.ask_with_progress<records::PermitReply>(
        to.address(), "Permit", message, max_progress_gap,
        [self = shared_from_this()](const auto&) { self->on_progress(); },
        [self = shared_from_this(),
         store = to.id()](const result<records::PermitReply>& reply) {
          self->slow_timer.cancel();
          if (!reply && reply.error() != errc::connect_failed) {
            self->drop_call();
          }
          self->on_direct_reply(store, reply);
        });
    slow_timer = client.loop_.after_attended(
        store_timeout,
        [self = shared_from_this(), store = to.id()] { self->on_slow(store); });
  }

  // Ends a direct call without a reply. The store may have given the permit.
  void drop_call() {
    call.cancel();
    if (cancellation.call() != 0) {
      client.cancel_permit(called_address, cancellation);
      cancellation.Clear();
    }
  }

  void on_progress() { progress_ms = client.loop_.attended_ms(); }

  bool store_is_writing() const {
    return call.running() && progress_ms != 0 &&
           client.loop_.attended_ms() - progress_ms <
               static_cast<std::uint64_t>(max_progress_gap.count());
  }

  // A store that is writing keeps the request if all others are slow: another
  // call would only wait for another slow disk.
  void on_slow(const std::string& store) {
    if (!store_is_writing()) {
      drop_call();
      on_direct_reply(store, errc::rpc_timeout);
      return;
    }
    const std::uint64_t now = client.loop_.now_ms();
    client.sources_.on_failure(store, now);
    const permit_source next =
        client.sources_.next(request.workspace, request.use, tried, now);
    const auto* other = std::get_if<try_store>(&next);
    if (other != nullptr && !other->in_backoff) {
      slow.insert(store);
      drop_call();
      act(*other);
    }
  }

  void on_limit() {
    const milliseconds elapsed(client.loop_.now_ms() - began_ms);
    if (store_is_writing() && elapsed < max_duration) {
      set_limit(progress_check_period);
      return;
    }
    drop_call();
    finish(permit_unknown{});
  }

  void set_limit(milliseconds delay) {
    limit = client.loop_.after(delay, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->on_limit();
      }
    });
  }

  // Two failed calls more likely mean that this gateway is partitioned from all
  // stores than that both stores are down.
  void on_direct_reply(const std::string& store,
                       const result<records::PermitReply>& reply) {
    unanswered += reply ? 0 : 1;
    if (unanswered >= max_unanswered_calls && client.relays_.pick) {
      relayed = true;
      unanswered = 0;
      tried.clear();
    }
    on_reply(store, reply);
  }

  void call_by_relay(const records::Store& to) {
    const std::string via =
        client.relays_.pick ? client.relays_.pick() : std::string();
    if (via.empty()) {
      call_store(to);
      return;
    }
    records::RelayRequest relayed_request;
    relayed_request.set_address(to.address());
    relayed_request.set_accepts_pending(true);
    *relayed_request.mutable_permit() = client.request_for(request, to);
    progress_ms = 0;
    cancellation.Clear();
    call = client.pool_.ask_with_progress<records::PermitReply>(
        via, "Relay", relayed_request, relay_timeout,
        [self = shared_from_this()](const auto&) { self->on_progress(); },
        [self = shared_from_this(), via,
         store = to.id()](const result<records::PermitReply>& reply) {
          if (!reply) {
            const bool relay_replied = reply.error() == errc::wire_garbled;
            self->client.relays_.on_failure(
                via, relay_replied ? relay_failure::store_unreachable
                                   : relay_failure::no_reply);
          } else {
            self->client.relays_.on_success(via);
          }
          self->on_reply(store, reply);
        });
  }

  void on_reply(const std::string& store,
                const result<records::PermitReply>& reply) {
    if (!done) {
      return;
    }
    const std::uint64_t now = client.loop_.now_ms();
    const bool usable = reply && reply.value().outcome() == records::OUTCOME_OK;
    if (!usable) {
      if (reply && reply.value().has_group()) {
        client.records_.adopt(reply.value().group());
      }
      client.sources_.on_failure(store, now);
      step();
      return;
    }
    client.sources_.on_reply(store);
    if (reply.value().given()) {
      finish(permit{request.workspace, store, reply.value().slot()});
      return;
    }
    client.sources_.on_refusal(request.workspace, request.use, store,
                               milliseconds(reply.value().next_ms()), now);
    step();
  }

  void finish(const permit_result& reply) {
    if (!done) {
      return;
    }
    slow_timer.cancel();
    next_round.cancel();
    limit.cancel();
    const char* outcome = std::holds_alternative<permit>(reply) ? "given"
                          : std::holds_alternative<limit_reached>(reply)
                              ? "limit_reached"
                              : "unknown";
    client.metrics_.add("permits_total", {{"outcome", outcome}});
    const auto callback = std::move(done);
    done = nullptr;
    callback(reply);
  }
};

permit_client::permit_client(event_loop& loop, rpc_pool& pool,
                             record_client& records, metrics_registry& metrics,
                             std::string data_centre)
    : loop_(loop),
      pool_(pool),
      records_(records),
      metrics_(metrics),
      sources_(std::move(data_centre), random_seed()),
      random_(random_seed()) {}

void permit_client::adopt_group() {
  const records::Group& group = records_.group();
  if (group.epoch() == epoch_) {
    return;
  }
  epoch_ = group.epoch();
  std::vector<permit_store_location> stores;
  for (const records::Store& each : group.voters()) {
    stores.push_back({each.id(), each.data_centre()});
  }
  sources_.set_stores(std::move(stores));
}

records::PermitRequest permit_client::request_for(const permit_request& request,
                                                  const records::Store& store) {
  records::PermitRequest made;
  made.set_store(store.id());
  made.set_epoch(records_.group().epoch());
  made.set_workspace(request.workspace);
  made.set_configuration(request.limit.configuration);
  made.set_per_second(request.limit.per_second);
  made.set_burst(request.limit.burst);
  made.set_starts_program(request.use == permit_use::starts_program);
  const auto unused = unused_slots_.find({store.id(), request.workspace});
  if (unused != unused_slots_.end()) {
    made.mutable_given_back()->Add(unused->second.begin(),
                                   unused->second.end());
    unused_slots_.erase(unused);
  }
  return made;
}

void permit_client::acquire(permit_request request, milliseconds limit,
                            acquire_callback done) {
  const auto made =
      std::make_shared<operation>(*this, std::move(request), std::move(done));
  made->began_ms = loop_.now_ms();
  made->set_limit(limit);
  made->step();
}

std::optional<limit_reached> permit_client::known_limit(
    std::string_view workspace, permit_use use) {
  adopt_group();
  const permit_source next = sources_.next(workspace, use, {}, loop_.now_ms());
  const auto* reached = std::get_if<limit_reached>(&next);
  return reached == nullptr ? std::nullopt : std::optional(*reached);
}

void permit_client::cancel_permit(const std::string& store,
                                  const records::CancelPermitRequest& message) {
  const std::uint64_t call = message.call();
  cancellations_[call] = pool_.ask<records::CancelPermitReply>(
      store, "CancelPermit", message, cancellation_timeout,
      [this, call](const result<records::CancelPermitReply>&) {
        // A store that is not reached counts the permit as used.
        cancellations_.erase(call);
      });
}

void permit_client::give_back(const permit& unused) {
  std::vector<std::uint64_t>& slots =
      unused_slots_[{unused.store, unused.workspace}];
  if (slots.size() < max_unused_slots) {
    slots.push_back(unused.slot);
  }
}

}  // namespace trayrock
