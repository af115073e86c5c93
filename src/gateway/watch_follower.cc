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
  again_ = loop_.after(role_period, [this] { step(); });
}

bool watch_follower::is_watcher() const {
  return roles_.is_watcher(peers_.peers(), loop_.now_ms());
}

std::vector<std::string> watch_follower::watchers() const {
  return roles_.watchers(peers_.peers(), loop_.now_ms());
}

void watch_follower::step() {
  // Without a first listing there is nothing to go on from.
  const bool known = handlers_.position().endpoints_revision != 0;
  const watch_step next = known ? roles_.next(peers_.peers(), loop_.now_ms())
                                : watch_step(watch_platform{});
  std::visit([this](const auto& each) { act(each); }, next);
}

void watch_follower::act(const watch_platform&) {
  set_following(false, "watches");
  again_ = loop_.after(role_period, [this] { step(); });
}

void watch_follower::act(const ask_watcher& asked) {
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
  if (reply && reply.value().watching() && take(by, asked_ms, reply.value())) {
    roles_.heard(by);
    if (handlers_.hold()) {
      set_following(true, by);
    }
  } else {
    roles_.unusable(by, loop_.now_ms());
  }
  again_ = loop_.after(pause, [this] { step(); });
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

void watch_follower::set_following(bool following, const std::string& cause) {
  if (following == following_) {
    return;
  }
  following_ = following;
  log_info("watch_role",
           {{"role", following ? "asks" : "watches"}, {"whom", cause}});
  if (!following) {
    handlers_.release();
  }
}

}  // namespace trayrock
