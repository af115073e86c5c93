// The tries of requests that gateways report to a record store, in memory.
//
// Gateways register a try at the voter that its content names before they send
// it, or at a majority of the voters if that one doesn't reply
// (try_ledger_client.h). So one gateway sees the other's try, whether they
// reach each other or not, and what a gateway sent stays known after it was
// killed. Tries last for minutes, so that a store that starts again begins with
// none. Those of ended and unknown outcome are at a majority of the voters.
//
// Example:
//   try_ledger ledger(loop, metrics);
//   ledger.serve(rpc);
#pragma once

#include "records.pb.h"
#include "trayrock/internal/decide/poison_requests.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

class try_ledger {
 public:
  try_ledger(event_loop& loop, metrics_registry& metrics);
  try_ledger(const try_ledger&) = delete;
  try_ledger& operator=(const try_ledger&) = delete;

  void serve(rpc_server& server);

  // Records the tries; with wants_tries, the reply has all tries of the last
  // one's request. A message with too many tries is refused: it gets an empty
  // reply.
  records::RequestTriesReply record(const records::RequestTries& message);

 private:
  // Requests in progress or suspected, some 200 bytes each.
  static constexpr std::size_t capacity = 65536;

  event_loop& loop_;
  metrics_registry& metrics_;
  std::uint64_t start_;  // drawn at random
  poison_requests tries_;
  timer expiry_;
};

}  // namespace trayrock
