// The configuration in force, as a gateway knows it, and the proof that it is
// the newest.
//
// Configurations come from this gateway's own watch of the platform or from
// other gateways, and one with a lower version never replaces a later one. When
// the proof ages (decide/configuration_proof.h), other gateways are asked for
// theirs by turns: a platform may turn this gateway away and serve them.
//
// Example:
//   configuration_view view(loop, pool, objects, peers, settings, pace,
//   metrics); view.start([](const configuration_document& held) {
//   tell_others(held); }); if (view.held() && view.proof().holds(now))
//   serve(*view.held());
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "platform/collection_watcher.h"
#include "records.pb.h"
#include "trayrock/internal/decide/configuration_proof.h"
#include "trayrock/internal/gateway/configuration.h"
#include "trayrock/internal/gateway/peer_relays.h"
#include "trayrock/internal/gateway/watch_log.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/settings/service_settings.h"

namespace trayrock {

class configuration_view {
 public:
  using adopted_callback = std::function<void(const configuration_document&)>;

  // All that is passed in by reference outlives the object.
  configuration_view(event_loop& loop, rpc_pool& pool,
                     platform::object_store& objects, const peer_relays& peers,
                     const gateway_settings& settings,
                     platform::watch_pace pace, metrics_registry& metrics);
  configuration_view(const configuration_view&) = delete;
  configuration_view& operator=(const configuration_view&) = delete;

  // `adopted` is told of each configuration that comes into force.
  void start(adopted_callback adopted);

  // nullptr: none is known yet.
  const configuration_ptr& held() const { return held_; }

  // As the operator wrote it; version 0: none is known yet.
  const configuration_document& document() const { return document_; }

  const configuration_proof& proof() const { return proof_; }

  // Whether requests that need a key may be served.
  bool is_proven() const { return proof_.is_valid(loop_.now_ms()); }

  // A configuration that another gateway has sent.
  void take_document(const configuration_document& document);

  // Another gateway's proof; `asked_ms` is when it was asked.
  void take_proof(const records::WatchReply& told, std::uint64_t asked_ms);

  // Adds this gateway's proof to an answer.
  void prove(records::WatchReply& reply) const;

  // Others watch the platform for this gateway, or not any more
  // (platform/collection_watcher.h).
  bool hold() { return watcher_.pause(); }
  void release(bool patient) { watcher_.resume(patient); }

 private:
  void watch();
  void take_written(const platform::stored_object& object);
  void adopt(const platform::stored_object& object);
  void look_at_proof();
  void ask_peer();
  void show_age() const;

  event_loop& loop_;
  rpc_pool& pool_;
  const peer_relays& peers_;
  metrics_registry& metrics_;
  platform::collection_watcher watcher_;
  configuration_proof proof_;
  adopted_callback adopted_;
  configuration_ptr held_;
  configuration_document document_;  // that `held_` was read from
  bool was_proven_ = true;
  std::uint64_t turn_ = 0;  // of the peers that are asked
  rpc_call asking_;
  timer looking_;
};

}  // namespace trayrock
