// A call that is under way at its owner.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/node/owner.h"

namespace trayrock {

struct owner::active_call {
  wire::CallIntent intent;
  std::vector<rpc_reply_ptr> listeners;
  std::vector<std::string> chunks;  // of the current execution
  std::set<std::string> tried;      // endpoints, this call
  rpc_call stream;
  std::uint64_t begun_ms = 0;
  std::uint64_t lost_since_ms = 0;  // 0: connected
  std::uint64_t longest_wait_ms = 0;
  std::uint32_t attempts_before = 0;  // of earlier tries by the caller
  int attach_tries = 0;
  bool attaching = false;  // the request may have been seen before
  bool final = false;      // an outcome is written
  bool closed = false;
  timer retry;

  // Which run the chunks come from: a node's start and an attempt.
  std::string execution() const {
    return intent.node_start() + "/" + std::to_string(intent.attempt());
  }
};

}  // namespace trayrock
