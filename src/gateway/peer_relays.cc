#include "trayrock/internal/gateway/peer_relays.h"

#include "records.pb.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr milliseconds announce_pause{1000};
// Gateways that start together have announced themselves by then. The list is
// read ahead, since a cut may take the platform away with the stores.
constexpr milliseconds first_listing_delay{1500};
// A peer that did not help is left alone this long.
constexpr std::uint64_t avoid_ms = 1500;
// Least time between two listings of the gateways.
constexpr std::uint64_t listing_pause_ms = 1000;
constexpr milliseconds relayed_call_limit{500};

}  // namespace

peer_relays::peer_relays(event_loop& loop, platform::gateway_registry& registry,
                         platform::gateway_entry own)
    : loop_(loop), registry_(registry), own_(std::move(own)) {}

void peer_relays::start() {
  registry_.announce(own_, [this](bool known) {
    if (known) {
      again_ = loop_.after(first_listing_delay, [this] { look_for_peers(); });
    } else {
      again_ = loop_.after(announce_pause, [this] { start(); });
    }
  });
}

std::string peer_relays::pick() {
  const std::uint64_t now = loop_.now_ms();
  const peer* best = nullptr;
  for (const peer& each : peers_) {
    const bool near = each.entry.data_centre == own_.data_centre;
    if (each.avoided_until_ms <= now && (best == nullptr || near)) {
      best = &each;
    }
  }
  if (best == nullptr) {
    look_for_peers();
    return {};
  }
  return best->entry.address;
}

void peer_relays::failed(const std::string& address) {
  for (peer& each : peers_) {
    if (each.entry.address == address) {
      each.avoided_until_ms = loop_.now_ms() + avoid_ms;
    }
  }
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
        peers_.clear();
        for (const platform::gateway_entry& each : found.value()) {
          if (each.name != own_.name && !each.address.empty()) {
            peers_.push_back({each, 0});
          }
        }
        log_info("peers_listed", {{"count", std::to_string(peers_.size())}});
      });
}

void serve_relays(rpc_server& server, rpc_pool& pool) {
  server.handle_typed<records::RelayRequest>(
      "Relay",
      [&pool](records::RelayRequest& request, const rpc_reply_ptr& reply) {
        // The call's handle lives until its answer has been passed on.
        auto call = std::make_shared<rpc_call>();
        *call = pool.ask<records::WriteReply>(
            request.address(), "Write", request.write(), relayed_call_limit,
            [reply, call](const result<records::WriteReply>& answer) {
              if (answer) {
                reply->send(answer.value());
              }
              reply->finish();
            });
      });
}

}  // namespace trayrock
