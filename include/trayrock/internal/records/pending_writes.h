// Write requests of a record store whose records are not on disk yet.
//
// Several requests may wait for one record, since gateways retry a write and
// stores copy records from each other.
//
// Example:
//   pending.add(key, {request, outcome, reply, now_us});
//   for (const pending_write& each : pending.take(key)) send_reply(each);
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "records.pb.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock {

struct pending_write {
  std::shared_ptr<const records::WriteRequest> request;
  records::Outcome outcome = records::OUTCOME_OK;  // once the record is on disk
  rpc_reply_ptr reply;
  std::uint64_t began_us = 0;
  std::uint64_t progress = 0;  // id of the call at the progress reporter
};

class pending_writes {
 public:
  void add(const std::string& key, pending_write write) {
    by_key_[key].push_back(std::move(write));
  }

  // Removes and returns the requests that wait for a record, oldest first.
  std::vector<pending_write> take(const std::string& key) {
    const auto found = by_key_.extract(key);
    return found.empty() ? std::vector<pending_write>()
                         : std::move(found.mapped());
  }

 private:
  std::unordered_map<std::string, std::vector<pending_write>> by_key_;
};

}  // namespace trayrock
