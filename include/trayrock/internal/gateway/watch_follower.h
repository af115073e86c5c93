// Asks gateways that watch the platform for what is new, in place of the
// platform, from the start on.
//
// Whom it asks, and when this gateway has to watch by itself, is decided by
// decide/watch_roles.h.
//
// Example:
//   watch_follower follower(loop, pool, relays, own, few_watch{}, timing);
//   follower.start({position, hold, release, take});
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

// What a gateway knows of the platform; zero: nothing.
struct watch_position {
  std::uint64_t endpoints_revision = 0;
  std::uint64_t configuration = 0;  // its version
  std::uint64_t group_revision = 0;
  std::uint64_t evacuations_revision = 0;
};

struct watch_timing {
  milliseconds wait{300};  // for something new, in one question
  // What a question may take beyond its wait, before its answer is lost.
  milliseconds patience{150};
};

// Times that together stay well within the time in which a leaving endpoint
// has to be known.
watch_timing timing_within(milliseconds notice);

struct follower_handlers {
  // Whether this gateway has been seen on a list of all.
  std::function<bool()> listed;
  std::function<watch_position()> position;
  // Asks the platform nothing more; false as long as that is not possible.
  std::function<bool()> hold;
  // Asks the platform again.
  std::function<void()> release;
  // Takes an answer whole, or nothing of it and says why. `asked_ms` is when
  // the question was sent.
  std::function<std::error_code(const records::WatchReply&,
                                std::uint64_t asked_ms)>
      take;
};

class watch_follower {
 public:
  // All that is passed in by reference outlives the object.
  watch_follower(event_loop& loop, rpc_pool& pool, const peer_relays& peers,
                 platform::gateway_entry own, watch_sharing sharing,
                 watch_timing timing);
  watch_follower(const watch_follower&) = delete;
  watch_follower& operator=(const watch_follower&) = delete;

  void start(follower_handlers handlers);

  // A list of all gateways has been read: this one may be to watch.
  void peers_listed();

  // Whether others watch for this gateway at present.
  bool following() const { return role_ == role::asks; }

  // Whether this gateway is one of those that are to watch.
  bool is_watcher() const;

  // The addresses of the gateways that this one's news are for.
  std::vector<std::string> watchers() const;

 private:
  enum class role { starts, asks, watches };

  void step();
  void act(const poll_watcher& asked);
  void act(const watch_platform&);
  void act(const wait_for_peers&);
  void answered(const std::string& by, std::uint64_t asked_ms,
                const result<records::WatchReply>& reply);
  void told_by_watcher(const std::string& by);
  bool take(const std::string& by, std::uint64_t asked_ms,
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
  role role_ = role::starts;
  std::uint64_t started_ms_ = 0;
  std::uint64_t news_log_ = 0;  // of the watcher that was heard last
  std::uint64_t news_ = 0;      // its last news
  rpc_call asking_;
  timer again_;
};

}  // namespace trayrock
