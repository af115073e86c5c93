// Tells callers that their calls are still being worked on.
//
// A caller can then distinguish a slow server from one that it cannot reach.
// Calls that complete soon cost no message.
//
// Example:
//   progress_reporter progress(loop);
//   const auto id = progress.add(reply, [reply] { reply->send(pending); });
//   ...
//   progress.remove(id);
//   reply->send(final);
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

// A call without a report for this long is not being worked on.
constexpr milliseconds max_progress_gap{600};

class progress_reporter {
 public:
  explicit progress_reporter(event_loop& loop) : loop_(loop) {}
  progress_reporter(const progress_reporter&) = delete;
  progress_reporter& operator=(const progress_reporter&) = delete;

  // Calls `report` periodically until the call is removed or its peer is gone.
  std::uint64_t add(rpc_reply_ptr reply, std::function<void()> report);

  void remove(std::uint64_t call) { calls_.erase(call); }

 private:
  struct call {
    rpc_reply_ptr reply;
    std::function<void()> report;
    std::uint64_t due_ms = 0;
  };

  void schedule();
  void report_due();

  event_loop& loop_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, call> calls_;
  timer timer_;
};

}  // namespace trayrock
