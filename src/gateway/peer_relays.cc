#include "trayrock/internal/gateway/peer_relays.h"

#include <algorithm>

#include "records.pb.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds announce_retry_delay{1000};
// Time for gateways that start together to register, before the list is read.
// It is read early, since a partition may cut off the platform and the stores
// together.
constexpr milliseconds list_delay{500};
// Possibly stale lists, which are cheaper, are accepted this many times while
// they don't include this gateway.
constexpr int max_stale_lists = 4;
// Delays before a list request without a response is repeated.
constexpr milliseconds initial_list_repeat_delay{250};
constexpr milliseconds max_list_repeat_delay{1000};
constexpr std::uint64_t min_refresh_interval_ms = 1000;
// Less than the caller's timeout for its relay.
constexpr milliseconds relayed_call_timeout{300};

// Relays a call to a store, and its replies back. The callback keeps the call's
// handle alive until then.
template <typename reply_type>
void relay_call(rpc_pool& pool, const records::RelayRequest& relayed,
                std::string_view method,
                const google::protobuf::MessageLite& request,
                const rpc_reply_ptr& reply) {
  auto call = std::make_shared<rpc_call>();
  *call = pool.ask_with_progress<reply_type>(
      relayed.address(), method, request, relayed_call_timeout,
      [reply, forwards = relayed.accepts_pending()](const reply_type& report) {
        if (forwards) {
          reply->send(report);
        }
      },
      [reply, call](const result<reply_type>& found) {
        if (found) {
          reply->send(found.value());
        }
        reply->finish();
      });
  reply->on_gone([call] { call->cancel(); });
}

}  // namespace

peer_relays::peer_relays(event_loop& loop, platform::gateway_registry& registry,
                         platform::gateway_entry own)
    : loop_(loop),
      registry_(registry),
      own_(std::move(own)),
      selector_(own_.name, own_.data_centre),
      list_repeat_delay_(initial_list_repeat_delay) {}

// Entries outlive their processes. After a power loss most gateways find
// theirs, which is cheaper than registering again.
void peer_relays::start(std::function<void()> on_listed) {
  on_listed_ = std::move(on_listed);
  find_own_entry();
}

// Repeats a request without a response while the first one is pending: a
// platform that was down when it received a call may never respond to it.
void peer_relays::find_own_entry() {
  const bool accepts_stale = lists_read_ < max_stale_lists;
  registry_.list(
      [this](const result<std::vector<platform::gateway_entry>>& found) {
        on_list(found);
      },
      accepts_stale ? platform::freshness::may_be_old
                    : platform::freshness::current);
  retry_timer_ = loop_.after(list_repeat_delay_, [this] { find_own_entry(); });
  list_repeat_delay_ = std::min(list_repeat_delay_ + list_repeat_delay_ / 2,
                                max_list_repeat_delay);
}

void peer_relays::on_list(
    const result<std::vector<platform::gateway_entry>>& found) {
  if (is_listed_ || !found) {
    return;
  }
  ++lists_read_;
  retry_timer_.cancel();
  apply_list(found);
  if (is_listed_) {
    return;
  }
  if (announced_) {
    retry_timer_ = loop_.after(list_delay, [this] { find_own_entry(); });
  } else if (!announcing_) {
    announce();
  }
}

void peer_relays::apply_list(
    const result<std::vector<platform::gateway_entry>>& found) {
  if (!found) {
    return;
  }
  update_peers(found.value());
  if (!is_listed_ && is_among(found.value())) {
    is_listed_ = true;
    on_listed_();
  }
}

bool peer_relays::is_among(
    const std::vector<platform::gateway_entry>& listed) const {
  return std::any_of(listed.begin(), listed.end(),
                     [this](const platform::gateway_entry& each) {
                       return each.name == own_.name &&
                              each.address == own_.address &&
                              each.data_centre == own_.data_centre;
                     });
}

void peer_relays::announce() {
  announcing_ = true;
  registry_.announce(own_, [this](bool done) {
    announcing_ = false;
    announced_ = done;
    retry_timer_ = loop_.after(done ? list_delay : announce_retry_delay,
                               [this] { find_own_entry(); });
  });
}

void peer_relays::update_peers(
    const std::vector<platform::gateway_entry>& listed) {
  std::vector<relay_peer> peers;
  peers.reserve(listed.size());
  for (const platform::gateway_entry& each : listed) {
    peers.push_back({each.name, each.address, each.data_centre});
  }
  selector_.replace(peers);
  log_info("peers_listed", {{"count", std::to_string(peers.size())}});
}

relay_source peer_relays::source() {
  relay_source made;
  made.pick = [this] { return pick(); };
  made.on_failure = [this](const std::string& address, relay_failure how) {
    selector_.record_failure(address, how, loop_.now_ms());
  };
  made.on_success = [this](const std::string& address) {
    selector_.record_success(address, loop_.now_ms());
  };
  return made;
}

std::string peer_relays::pick() {
  const std::uint64_t now = loop_.now_ms();
  if (selector_.all_in_backoff(now)) {
    refresh_peers();
  }
  return selector_.pick(now);
}

void peer_relays::refresh_peers() {
  const std::uint64_t now = loop_.now_ms();
  const bool recent =
      refreshed_at_ms_ != 0 && now - refreshed_at_ms_ < min_refresh_interval_ms;
  if (refreshing_ || recent) {
    return;
  }
  refreshing_ = true;
  refreshed_at_ms_ = now;
  registry_.list(
      [this](const result<std::vector<platform::gateway_entry>>& found) {
        refreshing_ = false;
        if (!found) {
          log_warn("peers_unknown", {{"cause", found.error().message()}});
          return;
        }
        apply_list(found);
      });
}

void serve_relays(rpc_server& server, rpc_pool& pool,
                  const record_client& own) {
  server.handle_typed<records::RelayRequest>(
      "Relay", [&pool, &own](records::RelayRequest& request,
                             const rpc_reply_ptr& reply) {
        const bool for_permit = request.has_permit();
        const std::string& store =
            for_permit ? request.permit().store() : request.write().store();
        if (!own.reaches(store)) {
          reply->finish();
          return;
        }
        if (for_permit) {
          relay_call<records::PermitReply>(pool, request, "Permit",
                                           request.permit(), reply);
        } else {
          relay_call<records::WriteReply>(pool, request, "Write",
                                          request.write(), reply);
        }
      });
}

}  // namespace trayrock
