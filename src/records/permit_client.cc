#include "trayrock/internal/records/permit_client.h"

#include <random>
#include <set>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Stores answer within 1 to 3 ms, one that is seven times slower within 20.
constexpr milliseconds store_patience{150};
constexpr milliseconds relay_patience{350};
// Stores that give a request no direct answer before it goes by relays.
constexpr int most_unanswered = 2;
// Before the stores are asked anew when none answered.
constexpr milliseconds next_round_pause{100};
// Permits to be given back that are kept for one store and workspace.
constexpr std::size_t most_unused = 256;

std::uint64_t random_seed() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source();
}

}  // namespace

// One wish on its way from store to store.
struct permit_client::operation
    : std::enable_shared_from_this<permit_client::operation> {
  operation(permit_client& client_in, permit_request wish_in,
            answer_callback done_in)
      : client(client_in), wish(std::move(wish_in)), done(std::move(done_in)) {}

  permit_client& client;
  permit_request wish;
  answer_callback done;
  std::set<std::string> tried;  // in this round
  bool relayed = false;         // this round goes by relays
  int unanswered = 0;           // direct calls
  rpc_call asking;
  timer again;
  timer limit;

  void step() {
    client.adopt_group();
    const permit_source next = client.sources_.next(
        wish.workspace, wish.use, tried, client.loop_.now_ms());
    std::visit([this](const auto& each) { act(each); }, next);
  }

  void act(const try_store& asked) {
    tried.insert(asked.store);
    const records::Store* to =
        find_store(client.records_.group().voters(), asked.store);
    if (to == nullptr) {
      step();
    } else if (relayed || !client.records_.reaches(to->id())) {
      ask_by_relay(*to);
    } else {
      ask(*to);
    }
  }

  void act(const limit_reached& reached) { finish(reached); }

  // Every store has been asked. The next round goes by relays.
  void act(const no_store_available&) {
    tried.clear();
    relayed = !relayed && client.relays_.pick != nullptr;
    again = client.loop_.after(relayed ? milliseconds(0) : next_round_pause,
                               [self = shared_from_this()] { self->step(); });
  }

  void ask(const records::Store& to) {
    asking = client.pool_.ask<records::PermitReply>(
        to.address(), "Permit", client.request_for(wish, to), store_patience,
        [self = shared_from_this(),
         store = to.id()](const result<records::PermitReply>& answer) {
          self->direct_answered(store, answer);
        });
  }

  // Whoever gets no answer from two stores is more likely to be cut off from
  // all than to have met two that are away.
  void direct_answered(const std::string& store,
                       const result<records::PermitReply>& answer) {
    unanswered += answer ? 0 : 1;
    if (unanswered >= most_unanswered && client.relays_.pick) {
      relayed = true;
      unanswered = 0;
      tried.clear();
    }
    answered(store, answer);
  }

  void ask_by_relay(const records::Store& to) {
    const std::string via =
        client.relays_.pick ? client.relays_.pick() : std::string();
    if (via.empty()) {
      ask(to);
      return;
    }
    records::RelayRequest request;
    request.set_address(to.address());
    *request.mutable_permit() = client.request_for(wish, to);
    asking = client.pool_.ask<records::PermitReply>(
        via, "Relay", request, relay_patience,
        [self = shared_from_this(), via,
         store = to.id()](const result<records::PermitReply>& answer) {
          if (!answer) {
            const bool relay_answered = answer.error() == errc::wire_garbled;
            self->client.relays_.on_failure(
                via, relay_answered ? relay_failure::store_unreachable
                                    : relay_failure::no_reply);
          } else {
            self->client.relays_.on_success(via);
          }
          self->answered(store, answer);
        });
  }

  void answered(const std::string& store,
                const result<records::PermitReply>& answer) {
    if (!done) {
      return;
    }
    const std::uint64_t now = client.loop_.now_ms();
    const bool usable =
        answer && answer.value().outcome() == records::OUTCOME_OK;
    if (!usable) {
      if (answer && answer.value().has_group()) {
        client.records_.adopt(answer.value().group());
      }
      client.sources_.on_failure(store, now);
      step();
      return;
    }
    client.sources_.on_reply(store);
    if (answer.value().given()) {
      finish(permit{wish.workspace, store, answer.value().slot()});
      return;
    }
    client.sources_.on_refusal(wish.workspace, wish.use, store,
                               milliseconds(answer.value().next_ms()), now);
    step();
  }

  void finish(const permit_result& said) {
    if (!done) {
      return;
    }
    again.cancel();
    limit.cancel();
    const char* outcome = std::holds_alternative<permit>(said) ? "given"
                          : std::holds_alternative<limit_reached>(said)
                              ? "limit_reached"
                              : "unknown";
    client.metrics_.add("permits_total", {{"outcome", outcome}});
    const auto tell = std::move(done);
    done = nullptr;
    tell(said);
  }
};

permit_client::permit_client(event_loop& loop, rpc_pool& pool,
                             record_client& records, metrics_registry& metrics,
                             std::string data_centre)
    : loop_(loop),
      pool_(pool),
      records_(records),
      metrics_(metrics),
      sources_(std::move(data_centre), random_seed()) {}

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

records::PermitRequest permit_client::request_for(const permit_request& wish,
                                                  const records::Store& store) {
  records::PermitRequest made;
  made.set_store(store.id());
  made.set_epoch(records_.group().epoch());
  made.set_workspace(wish.workspace);
  made.set_configuration(wish.limit.configuration);
  made.set_per_second(wish.limit.per_second);
  made.set_burst(wish.limit.burst);
  made.set_starts_program(wish.use == permit_use::starts_program);
  const auto unused = unused_.find({store.id(), wish.workspace});
  if (unused != unused_.end()) {
    made.mutable_given_back()->Add(unused->second.begin(),
                                   unused->second.end());
    unused_.erase(unused);
  }
  return made;
}

void permit_client::acquire(permit_request wish, milliseconds limit,
                            answer_callback done) {
  const auto made =
      std::make_shared<operation>(*this, std::move(wish), std::move(done));
  const std::weak_ptr<operation> weak = made;
  made->limit = loop_.after(limit, [weak] {
    if (const auto held = weak.lock()) {
      held->asking.cancel();
      held->finish(permit_unknown{});
    }
  });
  made->step();
}

void permit_client::give_back(const permit& unused) {
  std::vector<std::uint64_t>& slots = unused_[{unused.store, unused.workspace}];
  if (slots.size() < most_unused) {
    slots.push_back(unused.slot);
  }
}

}  // namespace trayrock
