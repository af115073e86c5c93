// Polls gateways that watch the platform for updates, in place of the platform.
//
// decide/watch_roles.h selects the gateway to poll, and decides when this
// gateway has to watch the platform itself.
//
// Example:
//   watch_follower follower(loop, pool, relays, own, few_watch{}, timing);
//   follower.start({is_listed, position, pause, resume, apply});
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "platform/gateway_registry.h"
#include "records.pb.h"
#include "trayrock/internal/decide/watch_roles.h"
#include "trayrock/internal/gateway/peer_relays.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

// The platform's revisions that a gateway has; 0: none.
struct watch_position {
  std::uint64_t endpoints_revision = 0;
  std::uint64_t configuration = 0;  // its version
  std::uint64_t group_revision = 0;
  std::uint64_t evacuations_revision = 0;
};

struct watch_timing {
  milliseconds wait{300};  // for an update, in one poll
  // A poll times out this long after its wait.
  milliseconds reply_timeout{150};
};

// Scales the times to `notice`, the time in which all gateways must stop using
// a draining endpoint.
watch_timing timing_within(milliseconds notice);

struct follower_handlers {
  // Whether this gateway has been found on a complete list of gateways.
  std::function<bool()> is_listed;
  std::function<watch_position()> position;
  // Pauses the own watches of the platform. Returns false while they cannot be
  // paused.
  std::function<bool()> pause;
  // Resumes the own watches.
  std::function<void()> resume;
  // Applies a reply completely, or nothing of it and returns an error.
  // `sent_ms` is when the poll was sent.
  std::function<std::error_code(const records::WatchReply&,
                                std::uint64_t sent_ms)>
      apply;
};

class watch_follower {
 public:
  // All references must outlive the object.
  watch_follower(event_loop& loop, rpc_pool& pool, const peer_relays& peers,
                 platform::gateway_entry own, watch_sharing sharing,
                 watch_timing timing);
  watch_follower(const watch_follower&) = delete;
  watch_follower& operator=(const watch_follower&) = delete;

  void start(follower_handlers handlers);

  // A list of all gateways has been read, so that this one's role may change.
  void on_peers_listed();

  // Whether another gateway watches for this one at present.
  bool is_following() const { return role_ == role::polling; }

  // Whether this gateway has neither followed a watcher nor watched yet.
  bool is_starting() const { return role_ == role::starting; }

  // Whether this gateway is selected as a watcher.
  bool is_watcher() const;

  // The addresses of the gateways to which this one reports.
  std::vector<std::string> watchers() const;

 private:
  enum class role { starting, polling, watching };

  void step();
  void act(const poll_watcher& watcher);
  void act(const watch_platform&);
  void act(const wait_for_peers&);
  void on_reply(const std::string& from, std::uint64_t sent_ms,
                const result<records::WatchReply>& reply);
  void on_watcher(const std::string& from);
  bool apply(const std::string& from, std::uint64_t sent_ms,
             const records::WatchReply& reply);
  void set_role(role now, const std::string& cause);
  records::WatchRequest request() const;

  event_loop& loop_;
  rpc_pool& pool_;
  const peer_relays& peers_;
  platform::gateway_entry own_;
  watch_timing timing_;
  watch_roles roles_;
  follower_handlers handlers_;
  role role_ = role::starting;
  std::uint64_t started_ms_ = 0;
  std::uint64_t report_log_ = 0;   // id of the last watcher's log
  std::uint64_t last_report_ = 0;  // number in that log
  rpc_call poll_;
  timer step_timer_;
};

}  // namespace trayrock
