#include "trayrock/internal/gateway/poison_guard.h"

#include <algorithm>
#include <random>
#include <utility>

#include "trayrock/internal/gateway/request_fingerprint.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/request_tries.h"

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
// Pause between two reports of tries whose outcome is unknown: after a box went
// dark there are many, and each report goes to all receivers.
constexpr milliseconds unknown_report_pause{500};
constexpr milliseconds expiry_period{1000};

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

void append(std::span<const request_try> tries,
            records::RequestTriesReply& to) {
  for (const request_try& each : tries) {
    if (to.tries_size() < max_message_tries) {
      *to.add_tries() = encode(each);
    }
  }
}

// Not 0 or 1, which stand for processes without tries of their own.
std::uint64_t random_id() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source() | 2U;
}

}  // namespace

poison_guard::poison_guard(event_loop& loop, rpc_pool& pool,
                           metrics_registry& metrics, own_gateway own)
    : loop_(loop),
      pool_(pool),
      metrics_(metrics),
      own_(std::move(own)),
      own_id_(random_id()),
      tries_(own_id_),
      ledger_(loop, pool, metrics, own_.group) {
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
  if (message.tries_size() > max_message_tries) {
    log_warn(
        "request_tries_refused",
        {{"tries", std::to_string(message.tries_size())},
         {"error", std::to_string(static_cast<int>(errc::wire_too_large))}});
    return made;
  }
  for (const records::RequestTry& each : message.tries()) {
    const std::size_t before = ended(each.request());
    tries_.record_peer_try(decode(each), loop_.now_ms());
    if (ended(each.request()) > before) {
      log_ended(decode(each.endpoint()), each.request(), "another gateway");
    }
    const std::uint64_t now = loop_.now_ms();
    if (each.stage() == records::TRY_ENDED) {
      append(tries_.own_tries(each.request(), now), made);
    } else if (each.stage() == records::TRY_OPEN) {
      append(tries_.tries_of(each.request(), now), made);
    }
  }
  if (message.wants_ended()) {
    append(tries_.ended_tries(loop_.now_ms()), made);
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
  const int count = std::min(reply.tries_size(), max_message_tries);
  for (int i = 0; i < count; ++i) {
    tries_.record_peer_try(decode(reply.tries(i)), loop_.now_ms(),
                           try_source::others);
  }
}

bool poison_guard::refuses(request_fingerprint request) const {
  return ended(request) >= poison_requests::max_ended;
}

void poison_guard::renew(request_fingerprint request) {
  records::RequestTries message;
  for (const request_try& each : tries_.renew_ended(request, loop_.now_ms())) {
    *message.add_tries() = encode(each);
  }
  if (message.tries_size() > 0) {
    metrics_.add("request_tries_renewed_total");
    report(message, nullptr);
  }
}

std::size_t poison_guard::ended(request_fingerprint request) const {
  return tries_.ended(request, loop_.now_ms());
}

void poison_guard::admit(const guarded_request& request,
                         const verdict_callback& done) {
  const std::uint64_t now = loop_.now_ms();
  refresh_alive(request.content);
  const std::vector<endpoint_identity> unresolved =
      tries_.unresolved_endpoints(request.content, now);
  const bool waits = verdict_on(request) == try_verdict::wait;
  if (unresolved.empty() || !waits) {
    for (const endpoint_identity& each : unresolved) {
      check_endpoint(each);
    }
    decide(request, done);
    return;
  }
  const auto open = std::make_shared<std::size_t>(unresolved.size());
  for (const endpoint_identity& each : unresolved) {
    start_check(each, [this, request, open, done] {
      if (--*open == 0) {
        decide(request, done);
      }
    });
  }
}

try_verdict poison_guard::verdict_on(const guarded_request& request) const {
  return tries_.decide(request.content, request.scope, loop_.now_ms());
}

// A request that would wait may do so for tries that have been closed since.
void poison_guard::decide(const guarded_request& request,
                          const verdict_callback& done) {
  const try_verdict verdict = verdict_on(request);
  if (verdict != try_verdict::wait || !ledger_.is_reachable()) {
    done(verdict);
    return;
  }
  const auto [found, added] = queries_.try_emplace(request.content);
  found->second.push_back([this, request, done] { done(verdict_on(request)); });
  if (!added) {
    return;
  }
  ledger_.query(request.content,
                [this, request](registration outcome,
                                std::span<const request_try> known) {
                  if (outcome == registration::confirmed) {
                    add_known(request, known);
                  }
                  const auto waiting = queries_.extract(request.content);
                  for (const callback& each : waiting.mapped()) {
                    each();
                  }
                });
}

// The platform removes endpoints that are silent for some time.
void poison_guard::refresh_alive(request_fingerprint request) {
  for (const endpoint_identity& each :
       tries_.endpoints_at_risk(request, loop_.now_ms())) {
    if (const auto alive_ms = own_.listed_alive_ms(each)) {
      tries_.record_alive(each, *alive_ms);
    }
  }
}

void poison_guard::sent(const guarded_request& request,
                        const endpoint_identity& at,
                        const admission_callback& then) {
  const std::uint64_t now = loop_.now_ms();
  const bool suspected = tries_.is_suspected(request.content, now);
  addresses_[at] = own_.address_of(at);
  tries_.record_sent(request.content, at, now);
  const bool in_program = request.scope == request_scope::program;
  if (!suspected && !in_program && tries_.has_response(request.content)) {
    then(true);
    return;
  }
  if (!suspected && !ledger_.is_reachable()) {
    open_try(request, at,
             [this, request](registration outcome,
                             std::span<const request_try> known) {
               if (outcome == registration::confirmed) {
                 add_known(request, known);
               }
             });
    register_at_peers(request, at, false, then);
    return;
  }
  if (!suspected) {
    register_try(request, at, false, then);
    return;
  }
  report_open(request, at, [this, request, at, then] {
    register_try(request, at, false, then);
  });
}

void poison_guard::report_open(const guarded_request& request,
                               const endpoint_identity& at, callback then) {
  request_try made{request.content, at};
  made.owner = own_id_;
  records::RequestTries message;
  *message.add_tries() = encode(made);
  known_to_peers_.emplace(request.content, at);
  report(message, std::move(then));
}

void poison_guard::open_try(const guarded_request& request,
                            const endpoint_identity& at,
                            const try_ledger_client::callback& done) {
  request_try made{request.content, at};
  made.owner = own_id_;
  registered_.emplace(request.content, at);
  ledger_.open(made, done);
}

// A try that sees another one at the stores is registered twice. Of several
// that are registered at the same time, the last one to be registered for the
// first time then sees all others.
void poison_guard::register_try(const guarded_request& request,
                                const endpoint_identity& at, bool repeated,
                                const admission_callback& then) {
  open_try(request, at,
           [this, request, at, repeated, then](
               registration outcome, std::span<const request_try> known) {
             if (outcome == registration::confirmed) {
               add_known(request, known);
               if (!repeated && tries_.has_other_tries(request.content, at,
                                                       loop_.now_ms())) {
                 register_try(request, at, true, then);
                 return;
               }
             }
             if (outcome == registration::unreachable) {
               register_at_peers(request, at, false, then);
               return;
             }
             then(tries_.is_within_bound(request.content, request.scope,
                                         loop_.now_ms()));
           });
}

// Without the stores, the other gateways are asked. A program's request is sent
// if it is the only try that this gateway and those in reach know of.
void poison_guard::register_at_peers(const guarded_request& request,
                                     const endpoint_identity& at, bool repeated,
                                     const admission_callback& then) {
  report_open(request, at, [this, request, at, repeated, then] {
    const std::uint64_t now = loop_.now_ms();
    const bool others = tries_.has_other_tries(request.content, at, now);
    if (request.scope == request_scope::program) {
      then(!others);
    } else if (others && !repeated) {
      register_at_peers(request, at, true, then);
    } else {
      then(tries_.is_within_bound(request.content, request.scope, now));
    }
  });
}

void poison_guard::add_known(const guarded_request& request,
                             std::span<const request_try> known) {
  tries_.replace_peer_tries(request.content, known, loop_.now_ms());
  refresh_alive(request.content);
}

void poison_guard::withdrawn(const guarded_request& request,
                             const endpoint_identity& at) {
  metrics_.add("request_tries_withdrawn_total");
  survived(request, at);
  ledger_.flush(request.content);
}

void poison_guard::broken(const guarded_request& request,
                          const endpoint_identity& at, callback then) {
  tries_.record_broken(request.content, at, loop_.now_ms());
  start_check(at, [this, request, at, then = std::move(then)] {
    post_unknown(request, at);
    then();
  });
}

void poison_guard::left(const guarded_request& request,
                        const endpoint_identity& at) {
  tries_.record_left(request.content, at, loop_.now_ms());
  post_unknown(request, at);
}

// Does nothing once the endpoint is known to have ended.
void poison_guard::post_unknown(const guarded_request& request,
                                const endpoint_identity& at) {
  for (const request_try& each :
       tries_.own_tries(request.content, loop_.now_ms())) {
    if (each.endpoint != at || each.stage != try_stage::unknown) {
      continue;
    }
    log_info(
        "try_outcome_unknown",
        {{"endpoint", at.id}, {"content", fingerprint_text(request.content)}});
    metrics_.add("request_tries_unknown_total");
    ledger_.post(each);
    if (request.scope != request_scope::program || !ledger_.is_reachable()) {
      report_unknown(each);
    }
  }
}

void poison_guard::report_unknown(const request_try& unknown) {
  if (unknown_.tries_size() < max_message_tries) {
    *unknown_.add_tries() = encode(unknown);
  }
  if (!unknown_timer_.pending()) {
    flush_unknown();
  }
}

void poison_guard::flush_unknown() {
  if (unknown_.tries_size() == 0) {
    return;
  }
  report(std::exchange(unknown_, {}), nullptr);
  unknown_timer_ =
      loop_.after(unknown_report_pause, [this] { flush_unknown(); });
}

void poison_guard::responded(const guarded_request& request,
                             const endpoint_identity& at, bool succeeded) {
  const bool was_suspected =
      tries_.is_suspected(request.content, loop_.now_ms());
  request_try closed{request.content, at, try_stage::survived};
  closed.responded = request.scope != request_scope::program;
  closed.succeeded = closed.responded && succeeded;
  if (closed.responded) {
    tries_.record_response(request.content, succeeded);
  }
  close(request, closed, was_suspected);
}

void poison_guard::survived(const guarded_request& request,
                            const endpoint_identity& at) {
  close(request, {request.content, at, try_stage::survived},
        tries_.is_suspected(request.content, loop_.now_ms()));
}

void poison_guard::close(const guarded_request& request, request_try closed,
                         bool was_suspected) {
  const std::uint64_t now = loop_.now_ms();
  const try_key key{request.content, closed.endpoint};
  tries_.record_survived(request.content, closed.endpoint);
  closed.owner = own_id_;
  const std::vector<request_try> own = tries_.own_tries(request.content, now);
  // Another copy may still end the endpoint.
  const bool has_copy =
      std::any_of(own.begin(), own.end(), [&](const request_try& each) {
        return each.endpoint == closed.endpoint;
      });
  if (has_copy && !closed.responded) {
    return;
  }
  const bool is_over = was_suspected && closed.succeeded;
  const bool registered = registered_.contains(key);
  bool reported = false;
  if (has_copy) {
    closed.endpoint = {};
  } else {
    registered_.erase(key);
    reported = known_to_peers_.erase(key) > 0 ||
               tries_.is_suspected(request.content, now);
  }
  if (registered || is_over) {
    ledger_.post(closed);
  }
  // Copies at other gateways may wait for this response.
  if (is_over || (closed.responded &&
                  tries_.has_other_tries(request.content, key.second, now))) {
    ledger_.flush(request.content);
  }
  if (reported || is_over) {
    records::RequestTries message;
    *message.add_tries() = encode(closed);
    report(message, nullptr);
  }
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
  run_waiting();
}

void poison_guard::on_ended(const endpoint_identity& at, callback then) {
  const std::vector<request_fingerprint> counted =
      tries_.record_ended(at, loop_.now_ms());
  records::RequestTries message;
  for (const request_fingerprint each : counted) {
    const request_try made = tries_.ended_try(each, at, loop_.now_ms());
    *message.add_tries() = encode(made);
    ledger_.post(made);
    metrics_.add("request_tries_ended_total");
    log_ended(at, each, "this gateway");
  }
  if (counted.empty()) {
    if (then) {
      then();
    }
    return;
  }
  report(message, std::move(then));
}

void poison_guard::log_ended(const endpoint_identity& at,
                             request_fingerprint request,
                             std::string_view seen_by) const {
  log_warn("endpoint_ended", {{"endpoint", at.id},
                              {"content", fingerprint_text(request)},
                              {"ended", std::to_string(ended(request))},
                              {"seen_by", std::string(seen_by)}});
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
  remove_closed(registered_);
  remove_closed(known_to_peers_);
  metrics_.set("requests_with_tries", {}, static_cast<double>(tries_.size()));
}

void poison_guard::remove_closed(std::set<try_key>& from) const {
  std::erase_if(from, [this](const try_key& each) {
    const std::vector<request_try> own =
        tries_.own_tries(each.first, loop_.now_ms());
    return std::none_of(own.begin(), own.end(), [&](const request_try& kept) {
      return kept.endpoint == each.second;
    });
  });
}

}  // namespace trayrock
