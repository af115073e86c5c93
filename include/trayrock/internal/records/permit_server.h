// Gives out permits of workspaces whose rate is limited, and keeps on the disk
// what it gave (decide/permit_limiter.h).
//
// A permit is answered at once as long as few of its workspace are not on the
// disk yet; beyond that it waits for the disk, so that a loss of power takes no
// more than those few out of the store's memory. Of each workspace one write is
// under way at a time and brings all that was given until then.
//
// Example:
//   permit_server permits(loop, store, metrics, terms);
//   server.on_permits([&](const records::GivenPermits& read) {
//     permits.restore(read);
//   });
//   permits.serve(rpc);
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/decide/permit_limiter.h"
#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

// What the permit server needs of its store.
struct permit_store {
  std::function<const records::StoreState&()> state;
  // Makes what was given to a workspace durable.
  std::function<void(const records::GivenPermits&,
                     std::function<void(std::error_code)>)>
      keep;
  std::function<void(const std::vector<std::string>& workspaces)> drop;
};

class permit_server {
 public:
  // All that is passed in by reference outlives the object.
  permit_server(event_loop& loop, metrics_registry& metrics,
                const limit_terms& terms, permit_store store);
  permit_server(const permit_server&) = delete;
  permit_server& operator=(const permit_server&) = delete;

  // What the disk holds of a workspace; before serve().
  void restore(const records::GivenPermits& read);

  void serve(rpc_server& server);

  // The store has heard of another group.
  void group_changed();

 private:
  struct waiting_reply {
    records::PermitReply answer;
    rpc_reply_ptr reply;
  };
  // The permits of one workspace on their way to the disk.
  struct keeping {
    bool writing = false;
    std::uint64_t unsynced = 0;  // given, and not on the disk yet
    std::uint64_t written = 0;   // of these, in the write that is under way
    std::vector<waiting_reply> waiting;
  };

  void take(const records::PermitRequest& request, const rpc_reply_ptr& reply);
  void judge(const records::PermitRequest& request,
             records::PermitReply& answer);
  void keep(const std::string& workspace);
  void kept(const std::string& workspace, std::error_code failed);
  void tidy();

  event_loop& loop_;
  metrics_registry& metrics_;
  permit_limiter book_;
  permit_store store_;
  std::map<std::string, keeping> keeping_;
  bool disk_failed_ = false;
  timer tidying_;
};

}  // namespace trayrock
