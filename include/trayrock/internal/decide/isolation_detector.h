// Detects that this process is isolated: neither record stores nor peers reply.
// No I/O; the caller passes the time.
//
// An isolated gateway can serve nothing that requires a record, but its
// balancer continues to send connections while the gateway reports that it is
// ready. So it reports that it is not ready and rejects requests at once, and
// clients reach another gateway.
//
// Any reply of a store or peer, even a refusal, ends the isolation: if all
// stores are down, other gateways can't serve the clients either. Without
// peers, an isolated process and an outage of all stores look the same.
//
// Example:
//   isolation_detector detector;
//   detector.on_request_sent(now);  // to a store or peer
//   detector.on_reply();            // of any of them
//   detector.tick(now);             // about every tick_period_ms
//   if (detector.is_isolated()) reject_requests();
#pragma once

#include <cstdint>

namespace trayrock {

class isolation_detector {
 public:
  static constexpr std::uint64_t tick_period_ms = 100;

  void on_request_sent(std::uint64_t now_ms);
  void on_reply();
  void tick(std::uint64_t now_ms);

  bool is_isolated() const { return isolated_since_ms_ != 0; }
  // When the first request without a reply was sent, plus the time by which
  // ticks were late since then; 0: not isolated.
  std::uint64_t isolated_since_ms() const { return isolated_since_ms_; }

 private:
  std::uint64_t lateness(std::uint64_t now_ms) const;

  std::uint64_t unanswered_since_ms_ = 0;  // 0: no reply is pending
  std::uint64_t last_tick_ms_ = 0;
  std::uint64_t isolated_since_ms_ = 0;
};

}  // namespace trayrock
