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
constexpr milliseconds ask_others_after{50};
// How long posted tries are collected.
constexpr milliseconds posting_delay{200};
// Voters that did not reply are not waited for again within this time.
constexpr std::uint64_t unreachable_ms = 1000;
// How long a voter that did not reply is not enough by itself.
constexpr std::uint64_t doubtful_ms = 5000;

std::size_t majority_of(std::size_t voters) { return voters / 2 + 1; }

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

std::vector<std::string> try_ledger_client::ordered_voters(
    request_fingerprint content) const {
  std::vector<std::pair<std::string, std::string>> voters;
  for (const records::Store& each : group_().voters()) {
    voters.emplace_back(each.id(), each.address());
  }
  std::sort(voters.begin(), voters.end());
  std::vector<std::string> made;
  made.reserve(voters.size());
  for (std::size_t i = 0; i < voters.size(); ++i) {
    made.push_back(voters[(content + i) % voters.size()].second);
  }
  return made;
}

void try_ledger_client::exchange(const request_try& about, callback done) {
  const std::uint64_t number = ++last_round_;
  const std::vector<std::string> voters = ordered_voters(about.request);
  round& made = rounds_[number];
  made.about = about;
  made.voters = voters.size();
  made.needed = 1;
  made.done = std::move(done);
  if (voters.empty()) {
    loop_.post([this, number] {
      finish_if_decided(rounds_.at(number));
      rounds_.erase(number);
    });
    return;
  }
  made.not_asked.assign(voters.begin() + 1, voters.end());
  if (!is_doubtful(voters.front())) {
    made.awaited = voters.front();
  }
  ask(number, voters.front());
  if (is_doubtful(voters.front()) || is_spread(about.request)) {
    ask_others(number);
  } else {
    made.delay =
        loop_.after(ask_others_after, [this, number] { ask_others(number); });
  }
}

void try_ledger_client::ask(std::uint64_t number, const std::string& voter) {
  round& of = rounds_.at(number);
  records::RequestTries message;
  if (const auto posted = posted_.extract(voter)) {
    message = std::move(posted.mapped());
  }
  *message.add_tries() = encode(of.about);
  message.set_wants_tries(true);
  of.calls.push_back(pool_.ask<records::RequestTriesReply>(
      voter, "RequestTries", message, reply_limit,
      [this, number, voter](const result<records::RequestTriesReply>& reply) {
        on_reply(number, voter, reply);
      }));
}

void try_ledger_client::ask_others(std::uint64_t number) {
  const auto found = rounds_.find(number);
  if (found == rounds_.end() || !found->second.done) {
    return;
  }
  round& of = found->second;
  of.delay.cancel();
  of.needed = majority_of(of.voters);
  spread_until_ms_[of.about.request] =
      loop_.now_ms() + poison_requests::peer_open_lifetime_ms;
  for (const std::string& each : std::exchange(of.not_asked, {})) {
    ask(number, each);
  }
}

void try_ledger_client::on_reply(
    std::uint64_t number, const std::string& voter,
    const result<records::RequestTriesReply>& reply) {
  round& of = rounds_.at(number);
  if (voter == of.awaited) {
    of.awaited.clear();
  }
  if (reply) {
    ++of.confirmed;
    check_start(voter, reply.value().start());
    for (const records::RequestTry& each : reply.value().tries()) {
      of.known.push_back(decode(each));
    }
  } else if (reply.error() == errc::wire_garbled) {
    ++of.unsupported;
    doubtful_until_ms_[voter] = loop_.now_ms() + doubtful_ms;
  } else {
    ++of.failed;
    doubtful_until_ms_[voter] = loop_.now_ms() + doubtful_ms;
  }
  if (is_doubtful(voter) && !of.not_asked.empty()) {
    of.needed = majority_of(of.voters);
    of.delay =
        loop_.after(milliseconds(0), [this, number] { ask_others(number); });
  }
  finish_if_decided(of);
  const bool may_ask = of.done && !of.not_asked.empty();
  if (!may_ask &&
      of.confirmed + of.unsupported + of.failed == of.calls.size()) {
    // Its calls are still in use here.
    loop_.post([this, number] { rounds_.erase(number); });
  }
}

void try_ledger_client::finish_if_decided(round& of) {
  const std::size_t replied = of.confirmed + of.unsupported;
  registration outcome = registration::unreachable;
  if (!of.awaited.empty()) {
    return;
  }
  if (of.confirmed >= of.needed) {
    outcome = registration::confirmed;
  } else if (replied >= majority_of(of.voters) && of.unsupported > 0) {
    outcome = registration::unsupported;
  } else if (of.voters - of.failed >= majority_of(of.voters)) {
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

bool try_ledger_client::is_doubtful(const std::string& voter) const {
  const auto known = doubtful_until_ms_.find(voter);
  return known != doubtful_until_ms_.end() && loop_.now_ms() < known->second;
}

bool try_ledger_client::is_spread(request_fingerprint request) const {
  const auto known = spread_until_ms_.find(request);
  return known != spread_until_ms_.end() && loop_.now_ms() < known->second;
}

// A voter that has started again lacks tries that it had before.
void try_ledger_client::check_start(const std::string& voter,
                                    std::uint64_t start) {
  const auto [known, added] = starts_.try_emplace(voter, start);
  if (!added && std::exchange(known->second, start) != start) {
    doubtful_until_ms_[voter] =
        loop_.now_ms() + poison_requests::ended_lifetime_ms;
  }
}

void try_ledger_client::post(const request_try& closed) {
  const std::vector<std::string> voters = ordered_voters(closed.request);
  std::size_t count = voters.size();
  if (!is_spread(closed.request) && !voters.empty()) {
    count = closed.stage == try_stage::survived ? 1 : majority_of(count);
  }
  for (std::size_t i = 0; i < count; ++i) {
    records::RequestTries& queue = posted_[voters[i]];
    *queue.add_tries() = encode(closed);
    if (queue.tries_size() + 1 >= max_message_tries) {
      flush_to(voters[i]);
    }
  }
  if (!flush_timer_.pending()) {
    flush_timer_ = loop_.after(posting_delay, [this] { flush_all(); });
  }
}

void try_ledger_client::flush(request_fingerprint request) {
  const std::vector<std::string> voters = ordered_voters(request);
  const std::size_t count = is_spread(request)
                                ? voters.size()
                                : std::min<std::size_t>(1, voters.size());
  for (std::size_t i = 0; i < count; ++i) {
    flush_to(voters[i]);
  }
}

void try_ledger_client::flush_to(const std::string& voter) {
  const auto posted = posted_.extract(voter);
  if (!posted) {
    return;
  }
  const std::uint64_t number = ++last_round_;
  posts_[number] = pool_.ask<records::RequestTriesReply>(
      voter, "RequestTries", posted.mapped(), reply_limit,
      [this, number](const result<records::RequestTriesReply>&) {
        // The call is still in use here.
        loop_.post([this, number] { posts_.erase(number); });
      });
}

void try_ledger_client::flush_all() {
  while (!posted_.empty()) {
    flush_to(std::string(posted_.begin()->first));
  }
  const std::uint64_t now = loop_.now_ms();
  std::erase_if(spread_until_ms_,
                [now](const auto& each) { return each.second <= now; });
}

}  // namespace trayrock
