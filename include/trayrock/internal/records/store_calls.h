// Calls of one operation to the record stores: directly, and by a relay where
// a store does not answer.
//
// `store_reach` is what a client knows of the ways to the stores; all its
// operations share it. A direct call that waits looks now and then whether its
// store has gone silent, and then goes by a relay as well. What the relay says
// decides then, unless a direct answer comes first.
//
// Example:
//   store_reach reach(loop, pool, metrics);
//   const auto calls = store_calls::make(reach, on_answer);
//   calls->ask(store, request);  // on_answer(store.id(), answer)
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

// A store that does not answer a call within this time is asked again.
constexpr milliseconds store_call_limit{600};

// Ways around a store that cannot be reached directly.
struct relay_source {
  std::function<std::string()> pick;  // address of a relay; empty: none
  std::function<void(const std::string&, relay_failure)> on_failure;
  std::function<void(const std::string&)> on_success;
  // A store that has left calls unanswered for this long may be out of reach,
  // and is asked by a relay as well. One that is only slow answers somebody;
  // asking it twice would make it slower. Answers take 2 to 10 ms.
  milliseconds silence{350};
};

// What a client of the record stores shares among its operations.
struct store_reach {
  store_reach(event_loop& loop_in, rpc_pool& pool_in,
              metrics_registry& metrics_in)
      : loop(loop_in), pool(pool_in), metrics(metrics_in) {}

  event_loop& loop;
  rpc_pool& pool;
  metrics_registry& metrics;
  relay_source relays;
  store_paths paths;
  isolation_detector contact;

  // True while direct calls to the store stay unanswered.
  bool is_silent(const std::string& store) const;

  // A store answered, directly or by a relay; a change of the way is logged.
  void note_answer(const std::string& store, bool relayed);
};

class store_calls : public std::enable_shared_from_this<store_calls> {
 public:
  using answer_callback = std::function<void(const std::string& store,
                                             result<records::WriteReply>)>;

  // `reach` outlives the calls. Calls end silently with the object.
  static std::shared_ptr<store_calls> make(store_reach& reach,
                                           answer_callback answered);

  // Asks a store; an earlier call to it is dropped.
  void ask(const records::Store& to, const records::WriteRequest& asked);

  // Sends what nobody waits for: the answer is not handed on.
  void copy(const records::Store& to, const records::WriteRequest& copied);

  // Drops all calls.
  void drop_all();

  // The operation has its result: calls under way go on to their stores, but
  // no further way is tried for them.
  void end();

 private:
  store_calls(store_reach& reach, answer_callback answered)
      : reach_(reach), answered_(std::move(answered)) {}

  void watch_silence(const records::Store& to,
                     const records::WriteRequest& asked);
  void direct_answered(const records::Store& to,
                       const records::WriteRequest& asked,
                       result<records::WriteReply> answer);
  bool ask_by_relay(const records::Store& to,
                    const records::WriteRequest& asked);
  void relay_answered(const std::string& id, const std::string& via,
                      result<records::WriteReply> answer);

  store_reach& reach_;
  answer_callback answered_;
  bool ended_ = false;
  // By the store's id.
  std::map<std::string, rpc_call> direct_;
  std::map<std::string, rpc_call> relayed_;
  std::map<std::string, timer> patience_;
};

}  // namespace trayrock
