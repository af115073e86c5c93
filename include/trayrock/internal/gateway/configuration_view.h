// The gateway's view of the configuration in force, and the proof that it is
// current.
//
// Configurations come from this gateway's own watch of the platform or from
// other gateways; a lower version never replaces a later one. When the proof
// ages (decide/configuration_proof.h), other gateways are polled for theirs in
// turn, since the platform may be unavailable to this gateway only.
//
// Example:
//   configuration_view view(loop, pool, objects, peers, settings, pace,
//                           metrics);
//   view.start([](const configuration_document& current) { send(current); });
//   if (view.current() && view.is_proven()) serve(*view.current());
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

  // All references must outlive the object.
  configuration_view(event_loop& loop, rpc_pool& pool,
                     platform::object_store& objects, const peer_relays& peers,
                     const gateway_settings& settings,
                     platform::watch_pace pace, metrics_registry& metrics);
  configuration_view(const configuration_view&) = delete;
  configuration_view& operator=(const configuration_view&) = delete;

  // `adopted` is called with each configuration that comes into force.
  void start(adopted_callback adopted);

  // nullptr: none is known yet.
  const configuration_ptr& current() const { return current_; }

  // As the operator wrote it; version 0: none is known yet.
  const configuration_document& document() const { return document_; }

  const configuration_proof& proof() const { return proof_; }

  // Whether requests that require a key may be served.
  bool is_proven() const { return proof_.is_valid(loop_.now_ms()); }

  // Applies a configuration received from another gateway.
  void apply_document(const configuration_document& document);

  // Applies another gateway's proof; `sent_ms` is when the request was sent.
  void apply_proof(const records::WatchReply& reply, std::uint64_t sent_ms);

  // Adds this gateway's proof to a reply.
  void add_proof(records::WatchReply& reply) const;

  // Pauses this gateway's own watch while another gateway watches for it, and
  // resumes it; a patient one retries less often
  // (platform/collection_watcher.h).
  bool pause() { return watcher_.pause(); }
  void resume(bool patient) { watcher_.resume(patient); }

 private:
  void watch();
  void apply_object(const platform::stored_object& object);
  void adopt(const platform::stored_object& object);
  void check_proof();
  void request_proof();
  void update_age_metric() const;

  event_loop& loop_;
  rpc_pool& pool_;
  const peer_relays& peers_;
  metrics_registry& metrics_;
  platform::collection_watcher watcher_;
  configuration_proof proof_;
  adopted_callback adopted_;
  configuration_ptr current_;
  configuration_document document_;  // the source of `current_`
  bool was_proven_ = true;
  // That a proof was requested from; modulo the number of peers.
  std::uint64_t last_peer_ = 0;
  rpc_call proof_call_;
  timer check_timer_;
};

}  // namespace trayrock
