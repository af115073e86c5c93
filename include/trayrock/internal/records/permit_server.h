// Grants permits for rate-limited workspaces and stores the granted counts on
// disk (decide/permit_limiter.h).
//
// A permit is sent at once while its workspace has few unsynced permits; beyond
// that, the reply waits for the disk, which bounds what a power loss can make
// the store forget. Each workspace has at most one write in progress, which
// covers all permits granted until it starts. A permit whose caller is gone
// before the reply is sent counts as returned, and so does one whose caller
// cancels the call.
//
// Example:
//   permit_server permits(loop, metrics, terms, store);
//   server.on_permits([&](const records::GivenPermits& read) {
//     permits.restore(read);
//   });
//   permits.serve(rpc);
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/permit_limiter.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/progress_reporter.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

// What the permit server uses of its store.
struct permit_store {
  std::function<const records::StoreState&()> state;
  // Makes the permits granted to a workspace durable.
  std::function<void(const records::GivenPermits&,
                     std::function<void(std::error_code)>)>
      write;
  std::function<void(const std::vector<std::string>& workspaces)> erase;
  // Adopts a group unless it is older; calls back once the store's group is on
  // disk.
  std::function<void(const records::Group&, std::function<void()>)> adopt;
};

class permit_server {
 public:
  // All references must outlive the object.
  permit_server(event_loop& loop, metrics_registry& metrics,
                const limit_terms& terms, permit_store store);
  permit_server(const permit_server&) = delete;
  permit_server& operator=(const permit_server&) = delete;

  // Restores a workspace's permits from disk; must be called before serve().
  void restore(const records::GivenPermits& read);

  void serve(rpc_server& server);

  // The store has adopted another group.
  void group_changed();

  // True in the window in which a store that has joined grants nothing.
  bool is_closed() const { return limiter_.is_closed(loop_.now_ms()); }

  // Every voter of the previous epoch has confirmed its permits
  // (decide/permit_confirmations.h).
  void on_confirmed();

 private:
  struct waiting_reply {
    records::PermitReply message;
    rpc_reply_ptr reply;
    std::uint64_t progress = 0;  // id of the call at the progress reporter
  };
  // A permit that its caller may still cancel.
  struct recent_permit {
    std::uint64_t call = 0;
    std::string workspace;
    std::uint64_t slot = 0;
  };
  // Permits of one workspace that are not on disk yet.
  struct pending_permits {
    bool writing = false;
    std::uint64_t unsynced = 0;  // granted, but not on disk yet
    std::uint64_t written = 0;   // of these, in the write in progress
    std::vector<waiting_reply> waiting;
  };

  void handle_permit(const records::PermitRequest& request,
                     const rpc_reply_ptr& reply);
  void decide(const records::PermitRequest& request,
              records::PermitReply& message);
  void remember(const records::PermitRequest& request, std::uint64_t slot);
  void take_back(std::uint64_t call);
  void confirm(const records::ConfirmPermitsRequest& request,
               const rpc_reply_ptr& reply);
  std::chrono::milliseconds shortened(std::chrono::milliseconds next) const;
  void wait_for_disk(const records::PermitRequest& request,
                     const records::PermitReply& message,
                     const rpc_reply_ptr& reply);
  void write(const std::string& workspace);
  void on_written(const std::string& workspace, std::error_code failed);
  void drop_unused();

  event_loop& loop_;
  metrics_registry& metrics_;
  permit_limiter limiter_;
  permit_store store_;
  std::map<std::string, pending_permits> pending_;
  std::deque<recent_permit> recent_;  // oldest first
  progress_reporter progress_;
  bool disk_failed_ = false;
  std::uint64_t group_changed_ms_ = 0;
  std::uint64_t complete_epoch_ = 0;  // decide/permit_confirmations.h
  timer cleanup_timer_;
};

}  // namespace trayrock
