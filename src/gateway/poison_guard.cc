#include "trayrock/internal/gateway/poison_guard.h"

#include <algorithm>
#include <utility>

#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/gateway/request_fingerprint.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Several round trips between data centres. A request without suspicion waits
// no longer for the check of an endpoint behind a cut.
constexpr milliseconds check_limit{100};
// A gateway that doesn't confirm within this time is cut off or has ended.
constexpr milliseconds confirm_limit{150};
// Gateways that receive reports, those of the own data centre first. Clients
// return to gateways near them.
constexpr std::size_t max_receivers = 64;
// Gateways that are asked after the start.
constexpr std::size_t asked_after_start = 3;
constexpr std::size_t max_message_tries = 1024;
constexpr milliseconds expiry_period{1000};

try_stage stage_of(records::TryStage from) {
  switch (from) {
    case records::TRY_ENDED:
      return try_stage::ended;
    case records::TRY_OPEN:
      return try_stage::open;
    default:
      return try_stage::left;
  }
}

records::TryStage stage_of(try_stage from) {
  switch (from) {
    case try_stage::ended:
      return records::TRY_ENDED;
    case try_stage::open:
      return records::TRY_OPEN;
    default:
      return records::TRY_LEFT;
  }
}

records::RequestTry message_of(const request_try& from) {
  records::RequestTry made;
  made.set_request(from.request);
  *made.mutable_endpoint() = encode(from.endpoint);
  made.set_stage(stage_of(from.stage));
  made.set_age_ms(static_cast<std::uint32_t>(from.age_ms));
  return made;
}

std::string text_of(probe_result result) {
  switch (result) {
    case probe_result::refused:
      return "refused";
    case probe_result::accepted:
      return "accepted";
    default:
      return "silent";
  }
}

request_try try_of(const records::RequestTry& from) {
  return {from.request(), decode(from.endpoint()), stage_of(from.stage()),
          from.age_ms()};
}

}  // namespace

poison_guard::poison_guard(event_loop& loop, rpc_pool& pool,
                           metrics_registry& metrics, own_gateway own)
    : loop_(loop), pool_(pool), metrics_(metrics), own_(std::move(own)) {
  expiry_ = loop_.every(expiry_period, [this] { remove_expired(); });
}

void poison_guard::serve(rpc_server& server) {
  server.handle_typed<records::RequestTries>(
      "RequestTries",
      [this](records::RequestTries& message, const rpc_reply_ptr& reply) {
        reply->send(reply_to(message));
        reply->finish();
      });
}

records::RequestTriesReply poison_guard::reply_to(
    const records::RequestTries& message) {
  records::RequestTriesReply made;
  if (static_cast<std::size_t>(message.tries_size()) > max_message_tries) {
    log_warn(
        "request_tries_refused",
        {{"tries", std::to_string(message.tries_size())},
         {"error", std::to_string(static_cast<int>(errc::wire_too_large))}});
    return made;
  }
  for (const records::RequestTry& each : message.tries()) {
    tries_.record_peer_try(try_of(each), loop_.now_ms());
    if (each.stage() == records::TRY_ENDED) {
      for (const request_try& own : tries_.own_open_tries(each.request())) {
        *made.add_tries() = message_of(own);
      }
    }
  }
  if (message.wants_ended()) {
    for (const request_try& each : tries_.ended_tries(loop_.now_ms())) {
      if (static_cast<std::size_t>(made.tries_size()) == max_message_tries) {
        break;
      }
      *made.add_tries() = message_of(each);
    }
  }
  return made;
}

void poison_guard::fetch_ended_tries() {
  records::RequestTries question;
  question.set_wants_ended(true);
  std::vector<std::string> peers = receivers();
  peers.resize(std::min(peers.size(), asked_after_start));
  log_info("ended_tries_requested",
           {{"gateways", std::to_string(peers.size())}});
  send(question, peers, nullptr);
}

void poison_guard::receive(const records::RequestTriesReply& reply) {
  if (reply.tries_size() > 0) {
    log_info("request_tries_received",
             {{"tries", std::to_string(reply.tries_size())}});
  }
  const int count =
      std::min(reply.tries_size(), static_cast<int>(max_message_tries));
  for (int i = 0; i < count; ++i) {
    tries_.record_peer_try(try_of(reply.tries(i)), loop_.now_ms());
  }
}

bool poison_guard::refuses(request_fingerprint request) const {
  return ended(request) >= poison_requests::max_ended;
}

void poison_guard::renew(request_fingerprint request) {
  records::RequestTries message;
  for (const request_try& each : tries_.renew_ended(request, loop_.now_ms())) {
    *message.add_tries() = message_of(each);
  }
  if (message.tries_size() > 0) {
    metrics_.add("request_tries_renewed_total");
    report(message, nullptr);
  }
}

std::size_t poison_guard::ended(request_fingerprint request) const {
  return tries_.ended(request, loop_.now_ms());
}

void poison_guard::admit(request_fingerprint request, bool in_program,
                         const verdict_callback& done) {
  const std::uint64_t now = loop_.now_ms();
  const std::vector<endpoint_identity> unresolved =
      tries_.unresolved_endpoints(request, now);
  if (!tries_.is_suspected(request, now) || unresolved.empty()) {
    for (const endpoint_identity& each : unresolved) {
      check_endpoint(each);
    }
    done(tries_.decide(request, in_program, now));
    return;
  }
  const auto open = std::make_shared<std::size_t>(unresolved.size());
  for (const endpoint_identity& each : unresolved) {
    start_check(each, [this, request, in_program, open, done] {
      if (--*open == 0) {
        done(tries_.decide(request, in_program, loop_.now_ms()));
      }
    });
  }
}

void poison_guard::sent(request_fingerprint request,
                        const endpoint_identity& at, const callback& then) {
  const std::uint64_t now = loop_.now_ms();
  const bool suspected = tries_.is_suspected(request, now);
  addresses_[at] = own_.address_of(at);
  tries_.record_sent(request, at, now);
  if (!suspected) {
    then();
    return;
  }
  records::RequestTries message;
  *message.add_tries() = message_of(request_try{request, at, try_stage::open});
  report(message, then);
}

void poison_guard::broken(request_fingerprint request,
                          const endpoint_identity& at, callback then) {
  tries_.record_broken(request, at, loop_.now_ms());
  start_check(at, std::move(then));
}

void poison_guard::left(request_fingerprint request,
                        const endpoint_identity& at) {
  tries_.record_left(request, at, loop_.now_ms());
  close_announced(request, at);
}

void poison_guard::survived(request_fingerprint request,
                            const endpoint_identity& at) {
  tries_.record_survived(request, at);
  close_announced(request, at);
}

// Other gateways have reports of the tries of a suspected request.
void poison_guard::close_announced(request_fingerprint request,
                                   const endpoint_identity& at) {
  if (!tries_.is_suspected(request, loop_.now_ms())) {
    return;
  }
  records::RequestTries message;
  *message.add_tries() = message_of(request_try{request, at, try_stage::left});
  report(message, nullptr);
}

void poison_guard::check_endpoint(const endpoint_identity& at) {
  if (tries_.has_unresolved_tries_at(at, loop_.now_ms())) {
    start_check(at, nullptr);
  }
}

void poison_guard::instance_ended(const endpoint_identity& at) {
  on_ended(at, nullptr);
}

void poison_guard::start_check(const endpoint_identity& at, callback then) {
  const auto [found, added] = checks_.try_emplace(at);
  if (then) {
    found->second.waiting.push_back(std::move(then));
  }
  if (!added) {
    return;
  }
  metrics_.add("endpoint_end_checks_total");
  found->second.probe = std::make_unique<connect_probe>(
      loop_, address_of(at), check_limit, [this, at](probe_result result) {
        // The probe is still in use here.
        loop_.post([this, at, result] { end_check(at, result); });
      });
}

std::string poison_guard::address_of(const endpoint_identity& at) const {
  const auto known = addresses_.find(at);
  return known == addresses_.end() ? own_.address_of(at) : known->second;
}

// A process that accepts connections at the address may be another one.
void poison_guard::end_check(const endpoint_identity& at, probe_result result) {
  const bool replaced =
      result == probe_result::accepted && own_.is_replaced(at, address_of(at));
  log_info("endpoint_checked",
           {{"endpoint", at.id},
            {"result", replaced ? "replaced" : text_of(result)}});
  const auto found = checks_.find(at);
  const std::vector<callback> waiting = std::move(found->second.waiting);
  checks_.erase(found);
  const auto run_waiting = [waiting] {
    for (const callback& each : waiting) {
      each();
    }
  };
  if (result == probe_result::refused || replaced) {
    on_ended(at, run_waiting);
    return;
  }
  if (result == probe_result::accepted) {
    tries_.record_alive(at, loop_.now_ms());
  }
  run_waiting();
}

void poison_guard::on_ended(const endpoint_identity& at, callback then) {
  const std::vector<request_fingerprint> counted =
      tries_.record_ended(at, loop_.now_ms());
  records::RequestTries message;
  for (const request_fingerprint each : counted) {
    *message.add_tries() = message_of(request_try{each, at, try_stage::ended});
    metrics_.add("request_tries_ended_total");
    log_warn("endpoint_ended", {{"endpoint", at.id},
                                {"content", fingerprint_text(each)},
                                {"ended", std::to_string(ended(each))}});
  }
  if (counted.empty()) {
    if (then) {
      then();
    }
    return;
  }
  report(message, std::move(then));
}

std::vector<std::string> poison_guard::receivers() const {
  std::vector<relay_peer> peers = own_.peers();
  std::stable_partition(peers.begin(), peers.end(),
                        [this](const relay_peer& each) {
                          return each.data_centre == own_.data_centre;
                        });
  std::vector<std::string> made;
  for (const relay_peer& each : peers) {
    if (each.name != own_.name && made.size() < max_receivers) {
      made.push_back(each.address);
    }
  }
  return made;
}

void poison_guard::report(const records::RequestTries& tries, callback then) {
  send(tries, receivers(), std::move(then));
}

// Calls back once all peers have replied or failed.
void poison_guard::send(const records::RequestTries& message,
                        const std::vector<std::string>& peers, callback then) {
  if (peers.empty()) {
    if (then) {
      then();
    }
    return;
  }
  const std::uint64_t number = ++next_round_;
  round& made = rounds_[number];
  made.open = peers.size();
  made.then = std::move(then);
  for (const std::string& peer : peers) {
    made.calls.push_back(pool_.ask<records::RequestTriesReply>(
        peer, "RequestTries", message, confirm_limit,
        [this, number, peer](const result<records::RequestTriesReply>& reply) {
          if (reply) {
            receive(reply.value());
          } else {
            metrics_.add("request_tries_unconfirmed_total");
            log_info("request_tries_unconfirmed",
                     {{"gateway", peer}, {"error", reply.error().message()}});
          }
          end_call(number);
        }));
  }
}

void poison_guard::end_call(std::uint64_t round_number) {
  round& of = rounds_.at(round_number);
  if (--of.open > 0) {
    return;
  }
  const callback then = std::move(of.then);
  // Its calls are still in use here.
  loop_.post([this, round_number] { rounds_.erase(round_number); });
  if (then) {
    then();
  }
}

void poison_guard::remove_expired() {
  const std::uint64_t now = loop_.now_ms();
  tries_.remove_expired(now);
  std::erase_if(addresses_, [&](const auto& known) {
    return !tries_.has_tries_at(known.first, now);
  });
  metrics_.set("requests_with_tries", {}, static_cast<double>(tries_.size()));
}

}  // namespace trayrock
