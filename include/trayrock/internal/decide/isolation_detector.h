// Whether this process is cut off from all others of the system.
//
// A gateway that is cut off from the record stores goes on by way of its peers.
// One that reaches neither can serve nothing that needs a record, but goes on
// getting connections: its balancer asks it alone whether it is ready. Clients
// then waited for each refusal and came back to the same gateway, and their
// programs died. So it says that it is not ready, and refuses at once.
//
// A store or peer that answers anything, be it a refusal, ends it: stores that
// are all down for everybody are no reason to send clients elsewhere. With no
// peers nothing can be told.
//
// No I/O; the caller gives the time.
//
// Example:
//   isolation_detector contact;
//   contact.asked(now);  // a call to a store or peer was sent
//   contact.heard();     // one of them answered
//   contact.tick(now);   // about every tick_period_ms
//   if (contact.cut_off()) refuse_at_once();
#pragma once

#include <cstdint>

namespace trayrock {

class isolation_detector {
 public:
  static constexpr std::uint64_t tick_period_ms = 100;

  void on_request_sent(std::uint64_t now_ms);
  void on_reply();
  void tick(std::uint64_t now_ms);

  bool is_isolated() const { return cut_off_since_ms_ != 0; }
  // Since when nothing was heard; 0: not cut off.
  std::uint64_t isolated_since_ms() const { return cut_off_since_ms_; }

 private:
  std::uint64_t unanswered_since_ms_ = 0;  // 0: all is answered
  std::uint64_t ticked_at_ms_ = 0;
  std::uint64_t cut_off_since_ms_ = 0;
};

}  // namespace trayrock
