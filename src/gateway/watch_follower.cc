#include "trayrock/internal/gateway/watch_follower.h"

#include <algorithm>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Shares of the time in which a leaving endpoint has to be known. Two watchers
// that are silent one after the other cost 0.45 of it, and a third of it passes
// between two watches of theirs.
constexpr double wait_share = 0.15;
constexpr double patience_share = 0.075;
// How often a gateway that watches by itself looks whether it has to.
constexpr milliseconds role_period{500};
// While a gateway that has just started knows of no other one.
constexpr milliseconds start_period{50};
// Between an answer and the next question, so that a row of changes costs few
// questions: what is told has waited longer already.
constexpr milliseconds pause{40};

}  // namespace

watch_timing timing_within(milliseconds notice) {
  return {share_of(notice, wait_share), share_of(notice, patience_share)};
}

watch_follower::watch_follower(event_loop& loop, rpc_pool& pool,
                               const peer_relays& peers,
                               platform::gateway_entry own,
                               watch_sharing sharing, watch_timing timing)
    : loop_(loop),
      pool_(pool),
      peers_(peers),
      own_(std::move(own)),
      timing_(timing),
      roles_(own_.name, own_.data_centre, sharing) {}

void watch_follower::start(follower_handlers handlers) {
  handlers_ = std::move(handlers);
  started_ms_ = loop_.now_ms();
  step();
}

bool watch_follower::is_watcher() const {
  return roles_.is_watcher(peers_.peers(), loop_.now_ms());
}

std::vector<std::string> watch_follower::watchers() const {
  return roles_.watchers(peers_.peers(), loop_.now_ms());
}

void watch_follower::peers_listed() {
  const bool waits =
      role_ == role::starts && handlers_.position().endpoints_revision == 0;
  if (waits) {
    asking_.cancel();
    step();
  }
}

void watch_follower::step() {
  const auto go_on = [this](const auto& each) { act(each); };
  const std::uint64_t now = loop_.now_ms();
  if (handlers_.position().endpoints_revision != 0) {
    std::visit(go_on, roles_.next_step(peers_.peers(), now));
    return;
  }
  const bool asked_platform = role_ == role::watches;
  std::visit(go_on, asked_platform ? roles_.peer_step(peers_.peers(), now)
                                   : roles_.initial_step(
                                         peers_.peers(), handlers_.listed(),
                                         milliseconds(now - started_ms_), now));
}

void watch_follower::act(const wait_for_peers&) {
  again_ = loop_.after(start_period, [this] { step(); });
}

void watch_follower::act(const watch_platform&) {
  set_role(role::watches, "platform");
  again_ = loop_.after(role_period, [this] { step(); });
}

void watch_follower::act(const poll_watcher& asked) {
  asking_ = pool_.ask<records::WatchReply>(
      asked.address, "Watch", request(), timing_.wait + timing_.patience,
      [this, by = asked.address,
       asked_ms = loop_.now_ms()](const result<records::WatchReply>& reply) {
        answered(by, asked_ms, reply);
      });
}

records::WatchRequest watch_follower::request() const {
  const watch_position known = handlers_.position();
  records::WatchRequest made;
  made.set_gateway(own_.name);
  made.set_address(own_.address);
  made.set_data_centre(own_.data_centre);
  made.set_endpoints_revision(known.endpoints_revision);
  made.set_configuration(known.configuration);
  made.set_group_revision(known.group_revision);
  made.set_evacuations_revision(known.evacuations_revision);
  made.set_news_log(news_log_);
  made.set_news(news_);
  made.set_wait_ms(static_cast<std::uint32_t>(timing_.wait.count()));
  return made;
}

void watch_follower::answered(const std::string& by, std::uint64_t asked_ms,
                              const result<records::WatchReply>& reply) {
  // One that does not watch tells what it knows to those that know nothing.
  const bool knew_nothing = handlers_.position().endpoints_revision == 0;
  const bool tells =
      reply && (reply.value().watching() || reply.value().endpoints_size() > 0);
  if (tells && take(by, asked_ms, reply.value())) {
    if (reply.value().watching()) {
      told_by_watcher(by);
    }
  } else if (tells || !reply || !knew_nothing) {
    roles_.on_failure(by, loop_.now_ms());
  }  // else both have just started
  again_ = loop_.after(pause, [this] { step(); });
}

void watch_follower::told_by_watcher(const std::string& by) {
  roles_.on_reply(by);
  if (handlers_.hold()) {
    set_role(role::asks, by);
  }
}

bool watch_follower::take(const std::string& by, std::uint64_t asked_ms,
                          const records::WatchReply& reply) {
  if (const std::error_code why = handlers_.take(reply, asked_ms)) {
    log_warn("watcher_refused", {{"watcher", by},
                                 {"error", std::to_string(why.value())},
                                 {"cause", why.message()}});
    return false;
  }
  news_log_ = reply.news_log();
  news_ = reply.news();
  return true;
}

void watch_follower::set_role(role now, const std::string& cause) {
  if (now == role_) {
    return;
  }
  role_ = now;
  const bool watches = now == role::watches;
  log_info("watch_role",
           {{"role", watches ? "watches" : "asks"}, {"whom", cause}});
  if (watches) {
    handlers_.release();
  }
}

}  // namespace trayrock
