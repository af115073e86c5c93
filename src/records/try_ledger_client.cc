#include "trayrock/internal/records/try_ledger_client.h"

#include <utility>

#include "trayrock/errors.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/request_tries.h"

namespace trayrock {
namespace {

// Several round trips between data centres. A voter that doesn't reply within
// this time is cut off or has ended.
constexpr milliseconds reply_limit{150};
// How long posted tries are collected; far less than the time after which a
// caller repeats a request that was served.
constexpr milliseconds posting_delay{20};
// Voters that did not reply are not waited for again within this time.
constexpr std::uint64_t unreachable_ms = 1000;

}  // namespace

try_ledger_client::try_ledger_client(event_loop& loop, rpc_pool& pool,
                                     metrics_registry& metrics,
                                     group_source group)
    : loop_(loop), pool_(pool), metrics_(metrics), group_(std::move(group)) {}

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
  send(message, std::move(done));
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
  send(std::exchange(posted_, {}), nullptr);
}

void try_ledger_client::send(const records::RequestTries& message,
                             callback done) {
  const std::uint64_t number = ++last_round_;
  round& made = rounds_[number];
  made.voters = static_cast<std::size_t>(group_().voters_size());
  made.done = std::move(done);
  for (const records::Store& each : group_().voters()) {
    made.calls.push_back(pool_.ask<records::RequestTriesReply>(
        each.address(), "RequestTries", message, reply_limit,
        [this, number](const result<records::RequestTriesReply>& reply) {
          on_reply(number, reply);
        }));
  }
  if (made.voters == 0) {
    loop_.post([this, number] {
      finish_if_decided(rounds_.at(number));
      rounds_.erase(number);
    });
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
  if (of.confirmed + of.unsupported + of.failed == of.voters) {
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
  } else if (replied >= majority && replied + of.failed == of.voters) {
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
