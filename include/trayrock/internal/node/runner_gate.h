// The runner's node: all calls to the runners on its box pass through it.
//
// Keeps each runner's queue, the at-most-once table, and the holds on an
// engine's cache. An accepted call continues when its owner's connection
// breaks; the owner, or its successor, attaches by the call's key and gets the
// stream from the start.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trayrock/internal/cluster/cluster.h"
#include "trayrock/internal/decide/request_table.h"
#include "trayrock/internal/decide/runner_queue.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http_client.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/node/cache_holds.h"

namespace trayrock {

class runner_gate {
 public:
  runner_gate(event_loop& loop, cluster& shared, rpc_server& server,
              metrics_registry& metrics);
  runner_gate(const runner_gate&) = delete;
  runner_gate& operator=(const runner_gate&) = delete;
  ~runner_gate();

  // Calls that run or wait here.
  std::size_t active() const { return executions_.size(); }

  // What each runner's load is now.
  std::vector<wire::RunnerLoad> loads() const;

 private:
  struct runner;
  struct execution;

  void apply_config();
  void execute(const wire::ExecuteRequest& request, const rpc_reply_ptr& reply);
  void admit(const wire::ExecuteRequest& request, const rpc_reply_ptr& reply);
  void attach(const request_key& key, const rpc_reply_ptr& reply,
              std::uint64_t term);
  void refuse(const wire::ExecuteRequest& request, const rpc_reply_ptr& reply,
              errc code, std::uint64_t wait_ms, bool remember);
  void start_waiting(runner& on);
  void run(runner& on, execution& what);
  void run_on_engine(runner& on, execution& what);
  void run_on_service(runner& on, execution& what);
  void take_engine_bytes(const request_key& key, std::string_view bytes);
  void take_engine_line(execution& what, std::string_view line);
  void engine_ended(const request_key& key, const result<http_reply>& reply);
  void service_ended(const request_key& key, const result<http_reply>& reply);
  void finish(const request_key& key, wire::ExecuteDone done);
  void fail(const request_key& key, const wire::Failure& failure);
  void fail_after_check(const request_key& key, wire::Failure failure);
  void close(const request_key& key);
  void tell(execution& what, const wire::ExecuteEvent& event);
  wire::ExecuteEvent make_event(const request_key& key, std::uint64_t term);
  void drop_orphans();
  wire::RunnerLoad load_of(const std::string& endpoint,
                           const runner& each) const;

  event_loop& loop_;
  cluster& shared_;
  metrics_registry& metrics_;
  http_client client_;
  request_table table_;
  cache_holds holds_;
  std::map<std::string, std::unique_ptr<runner>> runners_;
  std::map<request_key, std::unique_ptr<execution>> executions_;
  timer housekeeping_;
};

}  // namespace trayrock
