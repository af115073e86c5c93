// Asks the other stores to confirm their permits after this store has joined
// the group, so that it need not wait for a window
// (decide/permit_confirmations.h).
//
// Example:
//   permit_joiner joiner(loop, pool, permits, state);
//   server.on_group([&] { joiner.group_changed(); });
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "trayrock/internal/decide/permit_confirmations.h"
#include "trayrock/internal/records/permit_server.h"

namespace trayrock {

class permit_joiner {
 public:
  // All references must outlive the object.
  permit_joiner(event_loop& loop, rpc_pool& pool, permit_server& permits,
                std::function<const records::StoreState&()> state);
  permit_joiner(const permit_joiner&) = delete;
  permit_joiner& operator=(const permit_joiner&) = delete;

  // The permit server has adopted another group.
  void group_changed();

 private:
  void ask_missing();
  void ask(const records::Store& voter);
  void on_reply(const std::string& voter,
                const records::ConfirmPermitsReply& reply);

  event_loop& loop_;
  rpc_pool& pool_;
  permit_server& permits_;
  std::function<const records::StoreState&()> state_;
  std::optional<permit_confirmations> confirmations_;
  std::map<std::string, rpc_call> calls_;  // by voter
  timer retry_timer_;
};

}  // namespace trayrock
