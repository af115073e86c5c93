#include "trayrock/internal/gateway/configuration_view.h"

#include "platform/configuration_entry.h"
#include "platform/documents.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// How often the age of the proof is looked at. Another gateway is asked each
// time while it is too high, so that some six are until it holds no more.
constexpr milliseconds look_period{250};
// Gateways answer within some ms; the next one is asked after this.
constexpr milliseconds proof_patience{200};

}  // namespace

configuration_view::configuration_view(event_loop& loop, rpc_pool& pool,
                                       platform::object_store& objects,
                                       const peer_relays& peers,
                                       const gateway_settings& settings,
                                       platform::watch_pace pace,
                                       metrics_registry& metrics)
    : loop_(loop),
      pool_(pool),
      peers_(peers),
      metrics_(metrics),
      watcher_(loop, objects, platform::kind_configuration, pace),
      proof_(settings.revocation_limit) {}

void configuration_view::start(adopted_callback adopted) {
  adopted_ = std::move(adopted);
  watch();
  looking_ = loop_.every(look_period, [this] { look_at_proof(); });
}

void configuration_view::watch() {
  watcher_.on_snapshot([this](const platform::object_listing& found, bool) {
    for (const platform::stored_object& each : found.objects) {
      take_written(each);
    }
  });
  watcher_.on_change([this](const platform::object_change& change) {
    if (!change.removed) {
      take_written(change.object);
    }
  });
  watcher_.on_current(
      [this](std::uint64_t sent_ms) { proof_.on_platform_response(sent_ms); });
  watcher_.start_paused();
}

// Others than the operator may write objects of that kind.
void configuration_view::take_written(const platform::stored_object& object) {
  if (object.name == platform::name_configuration) {
    adopt(object);
  }
}

void configuration_view::adopt(const platform::stored_object& object) {
  result<configuration> decoded = platform::decode_configuration(object);
  if (!decoded) {
    metrics_.add("configurations_unusable_total");
    log_error("configuration_unusable",
              {{"revision", std::to_string(object.revision)},
               {"error", std::to_string(decoded.error().value())},
               {"cause", decoded.error().message()}});
    return;
  }
  const std::uint64_t before = document_.version;
  if (decoded.value().version <= before) {
    return;
  }
  held_ = std::make_shared<const configuration>(std::move(decoded.value()));
  document_ = {held_->version, platform::text_of(object)};
  const std::size_t workspaces =
      held_->workspaces ? held_->workspaces->size() : 0;
  log_info("configuration_adopted",
           {{"version", std::to_string(held_->version)},
            {"before", std::to_string(before)},
            {"revision", std::to_string(object.revision)},
            {"routes", std::to_string(held_->routes.size())},
            {"workspaces", std::to_string(workspaces)}});
  metrics_.set("configuration_version", {},
               static_cast<double>(held_->version));
  adopted_(document_);
}

void configuration_view::take_document(const configuration_document& document) {
  const result<platform::stored_object> object =
      platform::object_of(document.text);
  if (!object) {
    log_error("peer_configuration_unusable",
              {{"version", std::to_string(document.version)},
               {"cause", object.error().message()}});
    return;
  }
  log_info("configuration_from_peer",
           {{"version", std::to_string(document.version)},
            {"platform_silent_ms", std::to_string(watcher_.silence_ms())}});
  adopt(object.value());
}

void configuration_view::take_proof(const records::WatchReply& told,
                                    std::uint64_t asked_ms) {
  const bool usable = told.proven_configuration() != 0 &&
                      told.proven_configuration() <= document_.version;
  if (usable) {
    proof_.on_peer_reply(asked_ms, milliseconds(told.proof_age_ms()));
  }
}

void configuration_view::prove(records::WatchReply& reply) const {
  const auto age = proof_.age(loop_.now_ms());
  if (age && document_.version != 0) {
    reply.set_proven_configuration(document_.version);
    reply.set_proof_age_ms(static_cast<std::uint32_t>(age->count()));
  }
}

void configuration_view::look_at_proof() {
  show_age();
  const bool proven = is_proven();
  if (proven != was_proven_ && held_ != nullptr) {
    was_proven_ = proven;
    log_warn(proven ? "configuration_proven" : "configuration_unproven",
             {{"version", std::to_string(document_.version)},
              {"platform_silent_ms", std::to_string(watcher_.silence_ms())}});
  }
  if (proof_.needs_refresh(loop_.now_ms())) {
    ask_peer();
  }
}

void configuration_view::show_age() const {
  if (const auto age = proof_.age(loop_.now_ms())) {
    metrics_.set("configuration_proof_age_ms", {},
                 static_cast<double>(age->count()));
  }
}

void configuration_view::ask_peer() {
  const std::vector<relay_peer> peers = peers_.peers();
  if (peers.empty() || asking_.running()) {
    return;
  }
  const relay_peer& peer = peers[++turn_ % peers.size()];
  metrics_.add("proofs_asked_total");
  records::WatchRequest request;
  request.set_configuration(document_.version);
  request.set_configuration_only(true);
  asking_ = pool_.ask<records::WatchReply>(
      peer.address, "Watch", request, proof_patience,
      [this, asked = loop_.now_ms(),
       name = peer.name](const result<records::WatchReply>& reply) {
        if (!reply) {
          log_info("proof_not_told",
                   {{"peer", name}, {"cause", reply.error().message()}});
          return;
        }
        const records::WatchReply& told = reply.value();
        if (told.configuration() > document_.version) {
          take_document({told.configuration(), told.configuration_document()});
        }
        take_proof(told, asked);
      });
}

}  // namespace trayrock
