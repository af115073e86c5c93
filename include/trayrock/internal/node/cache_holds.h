// Holds on the engines' caches, one for each program; each is released.
//
// An engine gets one command at a time for each program, so that a hold and its
// release can't be reordered. A hold ends with its program, or else by age. A
// node that starts reads the engine's holds first; those that are not renewed
// expire by age.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/http_client.h"

namespace trayrock {

class cache_holds {
 public:
  // `term_of` gives the highest known owner's term of a program's shard; the
  // engine gets it as fencing number.
  cache_holds(event_loop& loop, http_client& client, metrics_registry& metrics,
              std::function<std::uint64_t(const std::string&)> term_of);

  // Reads the holds that an engine has from before.
  void adopt(const address& engine, std::uint64_t hold_ms);

  // Holds the program's prefix for so long from now.
  void hold(const address& engine, const std::string& program,
            std::uint64_t hold_ms);

  // Gives it back.
  void release(const std::string& program);

  // Gives back what is older than it may be; call it now and then.
  void expire();

  std::size_t size() const { return holds_.size(); }

 private:
  struct hold_state {
    address engine;
    bool wanted = false;
    bool held = false;
    bool renew = false;
    std::uint64_t until_ms = 0;
    std::uint64_t retry_ms = 0;
    http_call order;
    bool ordering = false;
  };

  void reconcile(const std::string& program);
  void answered(const std::string& program, bool held, bool done);

  event_loop& loop_;
  http_client& client_;
  metrics_registry& metrics_;
  std::function<std::uint64_t(const std::string&)> term_of_;
  std::map<std::string, hold_state> holds_;
  std::map<std::string, http_call> listings_;
};

}  // namespace trayrock
