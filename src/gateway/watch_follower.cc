#include "trayrock/internal/gateway/watch_follower.h"

#include <algorithm>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Shares of the time in which gateways must stop using a draining endpoint.
// Polls of two unresponsive watchers in succession take 0.45 of it, and the
// pause between two watches of the next one takes about a third.
constexpr double wait_share = 0.15;
constexpr double timeout_share = 0.075;
// How often a watching gateway checks its role.
constexpr milliseconds role_check_period{500};
// How often a starting gateway checks for peers.
constexpr milliseconds start_check_period{50};
// Pause between a reply and the next poll, so that consecutive changes need few
// polls.
constexpr milliseconds poll_pause{40};

}  // namespace

watch_timing timing_within(milliseconds notice) {
  return {share_of(notice, wait_share), share_of(notice, timeout_share)};
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

void watch_follower::on_peers_listed() {
  const bool has_no_state =
      role_ == role::starting && handlers_.position().endpoints_revision == 0;
  if (has_no_state) {
    poll_.cancel();
    step();
  }
}

void watch_follower::step() {
  const auto act_on = [this](const auto& each) { act(each); };
  const std::uint64_t now = loop_.now_ms();
  if (handlers_.position().endpoints_revision != 0) {
    std::visit(act_on, roles_.next_step(peers_.peers(), now));
    return;
  }
  const bool queries_platform = role_ == role::watching;
  std::visit(act_on,
             queries_platform
                 ? roles_.peer_step(peers_.peers(), now)
                 : roles_.initial_step(peers_.peers(), handlers_.is_listed(),
                                       milliseconds(now - started_ms_), now));
}

void watch_follower::act(const wait_for_peers&) {
  step_timer_ = loop_.after(start_check_period, [this] { step(); });
}

void watch_follower::act(const watch_platform&) {
  set_role(role::watching, "platform");
  step_timer_ = loop_.after(role_check_period, [this] { step(); });
}

void watch_follower::act(const poll_watcher& watcher) {
  poll_ = pool_.ask<records::WatchReply>(
      watcher.address, "Watch", request(), timing_.wait + timing_.reply_timeout,
      [this, from = watcher.address,
       sent_ms = loop_.now_ms()](const result<records::WatchReply>& reply) {
        on_reply(from, sent_ms, reply);
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
  made.set_news_log(report_log_);
  made.set_news(last_report_);
  made.set_wait_ms(static_cast<std::uint32_t>(timing_.wait.count()));
  return made;
}

void watch_follower::on_reply(const std::string& from, std::uint64_t sent_ms,
                              const result<records::WatchReply>& reply) {
  // A gateway that doesn't watch sends its state to callers that have none.
  const bool had_no_state = handlers_.position().endpoints_revision == 0;
  const bool has_content =
      reply && (reply.value().watching() || reply.value().endpoints_size() > 0);
  if (has_content && apply(from, sent_ms, reply.value())) {
    if (reply.value().watching()) {
      on_watcher(from);
    }
  } else if (has_content || !reply || !had_no_state) {
    roles_.on_failure(from, loop_.now_ms());
  }  // else: both have just started
  step_timer_ = loop_.after(poll_pause, [this] { step(); });
}

void watch_follower::on_watcher(const std::string& from) {
  roles_.on_reply(from);
  if (handlers_.pause()) {
    set_role(role::polling, from);
  }
}

bool watch_follower::apply(const std::string& from, std::uint64_t sent_ms,
                           const records::WatchReply& reply) {
  if (const std::error_code error = handlers_.apply(reply, sent_ms)) {
    log_warn("watcher_refused", {{"watcher", from},
                                 {"error", std::to_string(error.value())},
                                 {"cause", error.message()}});
    return false;
  }
  report_log_ = reply.news_log();
  last_report_ = reply.news();
  return true;
}

void watch_follower::set_role(role now, const std::string& cause) {
  if (now == role_) {
    return;
  }
  role_ = now;
  const bool watches = now == role::watching;
  log_info("watch_role",
           {{"role", watches ? "watches" : "asks"}, {"whom", cause}});
  if (watches) {
    handlers_.resume();
  }
}

}  // namespace trayrock
