// Calls of one operation to the record stores: directly, and also through a
// relay if a store is unresponsive.
//
// All operations of a client share a `store_connectivity`. A pending direct
// call checks periodically whether its store is silent, and is then sent
// through a relay as well. The relay's reply is final then, unless a direct
// reply comes first.
//
// Example:
//   store_connectivity connectivity(loop, pool, metrics);
//   const auto calls = store_calls::make(connectivity, callback);
//   calls->send(store, request);  // callback(store.id(), reply)
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "records.pb.h"
#include "trayrock/internal/decide/isolation_detector.h"
#include "trayrock/internal/decide/relay_selector.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/store_paths.h"

namespace trayrock {

constexpr milliseconds store_call_timeout{600};

// Relays for calls to a store that cannot be reached directly.
struct relay_source {
  std::function<std::string()> pick;  // address of a relay; empty: none
  std::function<void(const std::string&, relay_failure)> on_failure;
  std::function<void(const std::string&)> on_success;
  // A store that has not replied to any call for this long may be unreachable,
  // and is called through a relay as well. A store that is only slow still
  // replies to some calls; calling it twice would make it slower.
  milliseconds silence{350};
};

// State that all operations of a client share.
struct store_connectivity {
  store_connectivity(event_loop& loop_in, rpc_pool& pool_in,
                     metrics_registry& metrics_in)
      : loop(loop_in), pool(pool_in), metrics(metrics_in) {}

  event_loop& loop;
  rpc_pool& pool;
  metrics_registry& metrics;
  relay_source relays;
  store_paths paths;
  isolation_detector isolation;

  // True while direct calls to the store get no reply.
  bool is_silent(const std::string& store) const;

  // Records a reply of a store, direct or relayed; logs a change between them.
  void record_reply(const std::string& store, bool relayed);
};

class store_calls : public std::enable_shared_from_this<store_calls> {
 public:
  using reply_callback = std::function<void(const std::string& store,
                                            result<records::WriteReply>)>;
  using progress_callback =
      std::function<void(const std::string& store, const records::WriteReply&)>;

  // `connectivity` must outlive the calls. `on_progress` receives the reports
  // of a store that has not replied yet. Destroying the object cancels all
  // calls without a callback.
  static std::shared_ptr<store_calls> make(store_connectivity& connectivity,
                                           reply_callback on_reply,
                                           progress_callback on_progress);

  // Sends a request to a store; cancels an earlier call to it.
  void send(const records::Store& to, const records::WriteRequest& request);

  // Sends a request whose reply is ignored.
  void copy(const records::Store& to, const records::WriteRequest& request);

  void cancel_all();

  // The operation is complete: pending calls continue, but are no longer sent
  // through relays.
  void finish();

 private:
  store_calls(store_connectivity& connectivity, reply_callback on_reply,
              progress_callback on_progress)
      : connectivity_(connectivity),
        on_reply_(std::move(on_reply)),
        on_progress_(std::move(on_progress)) {}

  void schedule_silence_check(const records::Store& to,
                              const records::WriteRequest& request);
  void on_progress(const std::string& id, const records::WriteReply& report,
                   bool relayed);
  void on_direct_reply(const records::Store& to,
                       const records::WriteRequest& request,
                       result<records::WriteReply> reply);
  bool send_by_relay(const records::Store& to,
                     const records::WriteRequest& request);
  void on_relay_reply(const std::string& id, const std::string& via,
                      result<records::WriteReply> reply);

  store_connectivity& connectivity_;
  reply_callback on_reply_;
  progress_callback on_progress_;
  bool finished_ = false;
  // All by the store's id.
  std::map<std::string, rpc_call> direct_;
  std::map<std::string, rpc_call> relayed_;
  std::map<std::string, timer> silence_timers_;
};

}  // namespace trayrock
