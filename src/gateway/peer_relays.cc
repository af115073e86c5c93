#include "trayrock/internal/gateway/peer_relays.h"

#include <algorithm>

#include "records.pb.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds announce_pause{1000};
// Gateways that start together have announced themselves by then. The list is
// read ahead, since a cut may take the platform away with the stores.
constexpr milliseconds first_listing_delay{500};
// Lists that may be old are read until this gateway is on one, so many times.
// They cost a tenth.
constexpr int most_old_listings = 4;
// The first repetition of a list without an answer, and the longest pause.
constexpr milliseconds first_look_patience{250};
constexpr milliseconds longest_look_patience{1000};
// Least time between two listings of the gateways.
constexpr std::uint64_t listing_pause_ms = 1000;
// Less than the asking gateway waits for its relay.
constexpr milliseconds relayed_call_limit{300};

// Passes a call on to a store, and the store's answer back. The call's handle
// lives until then.
template <typename reply_type>
void pass_on(rpc_pool& pool, const std::string& store, std::string_view method,
             const google::protobuf::MessageLite& request,
             const rpc_reply_ptr& reply) {
  auto call = std::make_shared<rpc_call>();
  *call = pool.ask<reply_type>(store, method, request, relayed_call_limit,
                               [reply, call](const result<reply_type>& answer) {
                                 if (answer) {
                                   reply->send(answer.value());
                                 }
                                 reply->finish();
                               });
}

}  // namespace

peer_relays::peer_relays(event_loop& loop, platform::gateway_registry& registry,
                         platform::gateway_entry own)
    : loop_(loop),
      registry_(registry),
      own_(std::move(own)),
      choice_(own_.name, own_.data_centre),
      look_patience_(first_look_patience) {}

// An entry stays when a process ends. Of 91 gateways that lose power together
// each saves two of three calls by looking first, at a tenth of a call's price.
void peer_relays::start(std::function<void()> listed) {
  listed_ = std::move(listed);
  look_for_self();
}

// A list without an answer is asked for again beside the first: a call to a
// platform that is silent is lost even if it is back in the next moment.
void peer_relays::look_for_self() {
  const bool may_be_old = looks_ < most_old_listings;
  registry_.list(
      [this](const result<std::vector<platform::gateway_entry>>& found) {
        look_answered(found);
      },
      may_be_old ? platform::freshness::may_be_old
                 : platform::freshness::current);
  again_ = loop_.after(look_patience_, [this] { look_for_self(); });
  look_patience_ =
      std::min(look_patience_ + look_patience_ / 2, longest_look_patience);
}

void peer_relays::look_answered(
    const result<std::vector<platform::gateway_entry>>& found) {
  if (known_ || !found) {
    return;
  }
  ++looks_;
  again_.cancel();
  take_if_listed(found);
  if (known_) {
    return;
  }
  if (announced_) {
    again_ = loop_.after(first_listing_delay, [this] { look_for_self(); });
  } else if (!announcing_) {
    announce();
  }
}

void peer_relays::take_if_listed(
    const result<std::vector<platform::gateway_entry>>& found) {
  if (!found) {
    return;
  }
  take(found.value());
  if (!known_ && is_among(found.value())) {
    known_ = true;
    listed_();
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
  registry_.announce(own_, [this](bool known) {
    announcing_ = false;
    announced_ = known;
    again_ = loop_.after(known ? first_listing_delay : announce_pause,
                         [this] { look_for_self(); });
  });
}

void peer_relays::take(const std::vector<platform::gateway_entry>& listed) {
  std::vector<relay_peer> peers;
  peers.reserve(listed.size());
  for (const platform::gateway_entry& each : listed) {
    peers.push_back({each.name, each.address, each.data_centre});
  }
  choice_.replace(peers);
  log_info("peers_listed", {{"count", std::to_string(peers.size())}});
}

relay_source peer_relays::source() {
  relay_source made;
  made.pick = [this] { return pick(); };
  made.on_failure = [this](const std::string& address, relay_failure how) {
    choice_.record_failure(address, how, loop_.now_ms());
  };
  made.on_success = [this](const std::string& address) {
    choice_.record_success(address, loop_.now_ms());
  };
  return made;
}

std::string peer_relays::pick() {
  const std::uint64_t now = loop_.now_ms();
  if (choice_.all_in_backoff(now)) {
    look_for_peers();
  }
  return choice_.pick(now);
}

void peer_relays::look_for_peers() {
  const std::uint64_t now = loop_.now_ms();
  const bool recent =
      looked_at_ms_ != 0 && now - looked_at_ms_ < listing_pause_ms;
  if (looking_ || recent) {
    return;
  }
  looking_ = true;
  looked_at_ms_ = now;
  registry_.list(
      [this](const result<std::vector<platform::gateway_entry>>& found) {
        looking_ = false;
        if (!found) {
          log_warn("peers_unknown", {{"cause", found.error().message()}});
          return;
        }
        take_if_listed(found);
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
          pass_on<records::PermitReply>(pool, request.address(), "Permit",
                                        request.permit(), reply);
        } else {
          pass_on<records::WriteReply>(pool, request.address(), "Write",
                                       request.write(), reply);
        }
      });
}

}  // namespace trayrock
