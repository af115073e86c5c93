#include "trayrock/internal/records/try_ledger_client.h"

#include <algorithm>
#include <utility>

#include "trayrock/errors.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/request_tries.h"

namespace trayrock {
namespace {

// Several round trips between data centres. A voter that doesn't reply within
// this time is cut off or has ended.
constexpr milliseconds reply_limit{150};
// A voter that doesn't reply within this time is slow or out of reach.
constexpr milliseconds ask_others_after{25};
// How long posted tries are collected.
constexpr milliseconds posting_delay{200};
// Voters that did not reply are not waited for again within this time.
constexpr std::uint64_t unreachable_ms = 1000;

}  // namespace

try_ledger_client::try_ledger_client(event_loop& loop, rpc_pool& pool,
                                     metrics_registry& metrics,
                                     std::string data_centre,
                                     std::uint64_t rotation, group_source group)
    : loop_(loop),
      pool_(pool),
      metrics_(metrics),
      data_centre_(std::move(data_centre)),
      rotation_(rotation),
      group_(std::move(group)) {}

void try_ledger_client::open(const request_try& sent, callback done) {
  exchange(sent, std::move(done));
}

// The report of a try without an endpoint changes nothing.
void try_ledger_client::query(request_fingerprint request, callback done) {
  exchange({request, {}, try_stage::survived}, std::move(done));
}

void try_ledger_client::exchange(const request_try& about, callback done) {
  records::RequestTries message = std::exchange(posted_, {});
  flush_timer_.cancel();
  *message.add_tries() = encode(about);
  message.set_wants_tries(true);
  send(std::move(message), std::move(done));
}

void try_ledger_client::post(const request_try& closed) {
  *posted_.add_tries() = encode(closed);
  if (posted_.tries_size() + 1 >= max_message_tries) {
    flush();
  } else if (!flush_timer_.pending()) {
    flush_timer_ = loop_.after(posting_delay, [this] { flush(); });
  }
}

void try_ledger_client::flush() {
  flush_timer_.cancel();
  if (posted_.tries_size() == 0) {
    return;
  }
  send(std::exchange(posted_, {}), nullptr);
}

std::vector<std::string> try_ledger_client::ordered_voters() const {
  std::vector<const records::Store*> voters;
  voters.reserve(static_cast<std::size_t>(group_().voters_size()));
  for (const records::Store& each : group_().voters()) {
    voters.push_back(&each);
  }
  if (!voters.empty()) {
    std::rotate(voters.begin(),
                voters.begin() + static_cast<long>(rotation_ % voters.size()),
                voters.end());
  }
  std::stable_partition(voters.begin(), voters.end(),
                        [this](const records::Store* each) {
                          return each->data_centre() == data_centre_;
                        });
  std::vector<std::string> made;
  made.reserve(voters.size());
  for (const records::Store* each : voters) {
    made.push_back(each->address());
  }
  return made;
}

void try_ledger_client::send(records::RequestTries message, callback done) {
  const std::uint64_t number = ++last_round_;
  const std::vector<std::string> voters = ordered_voters();
  round& made = rounds_[number];
  made.message = std::move(message);
  made.voters = voters.size();
  made.done = std::move(done);
  if (voters.empty()) {
    loop_.post([this, number] {
      finish_if_decided(rounds_.at(number));
      rounds_.erase(number);
    });
    return;
  }
  const std::size_t asked = loop_.now_ms() < all_asked_until_ms_
                                ? voters.size()
                                : voters.size() / 2 + 1;
  made.not_asked.assign(voters.begin() + static_cast<long>(asked),
                        voters.end());
  if (made.done && !made.not_asked.empty()) {
    made.delay =
        loop_.after(ask_others_after, [this, number] { ask_others(number); });
  }
  for (std::size_t i = 0; i < asked; ++i) {
    ask(number, voters[i]);
  }
}

void try_ledger_client::ask(std::uint64_t number, const std::string& voter) {
  round& of = rounds_.at(number);
  of.calls.push_back(pool_.ask<records::RequestTriesReply>(
      voter, "RequestTries", of.message, reply_limit,
      [this, number](const result<records::RequestTriesReply>& reply) {
        on_reply(number, reply);
      }));
}

void try_ledger_client::ask_others(std::uint64_t number) {
  const auto found = rounds_.find(number);
  if (found == rounds_.end() || !found->second.done) {
    return;
  }
  all_asked_until_ms_ = loop_.now_ms() + poison_requests::peer_open_lifetime_ms;
  for (const std::string& each : std::exchange(found->second.not_asked, {})) {
    ask(number, each);
  }
}

void try_ledger_client::on_reply(
    std::uint64_t number, const result<records::RequestTriesReply>& reply) {
  round& of = rounds_.at(number);
  if (reply) {
    ++of.confirmed;
    for (const records::RequestTry& each : reply.value().tries()) {
      of.known.push_back(decode(each));
    }
  } else if (reply.error() == errc::wire_garbled) {
    ++of.unsupported;
  } else {
    ++of.failed;
  }
  finish_if_decided(of);
  if (of.failed > 0 && of.done) {
    of.delay =
        loop_.after(milliseconds(0), [this, number] { ask_others(number); });
  }
  const bool may_ask = of.done && !of.not_asked.empty();
  if (!may_ask &&
      of.confirmed + of.unsupported + of.failed == of.calls.size()) {
    // Its calls are still in use here.
    loop_.post([this, number] { rounds_.erase(number); });
  }
}

void try_ledger_client::finish_if_decided(round& of) {
  const std::size_t majority = of.voters / 2 + 1;
  const std::size_t replied = of.confirmed + of.unsupported;
  registration outcome = registration::unreachable;
  if (of.confirmed >= majority) {
    outcome = registration::confirmed;
  } else if (replied >= majority && of.unsupported > 0) {
    outcome = registration::unsupported;
  } else if (of.voters - of.failed >= majority) {
    return;  // more replies may come
  }
  const callback done = std::exchange(of.done, nullptr);
  if (!done) {
    return;
  }
  if (outcome == registration::unreachable) {
    unreachable_until_ms_ = loop_.now_ms() + unreachable_ms;
    metrics_.add("request_tries_unregistered_total");
    log_info("request_tries_unregistered",
             {{"voters", std::to_string(of.voters)},
              {"failed", std::to_string(of.failed)}});
  } else {
    unreachable_until_ms_ = 0;
  }
  done(outcome, of.known);
}

}  // namespace trayrock
