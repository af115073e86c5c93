// Reads the other stores of the group on behalf of this one, and fences them.
//
// Which stores there are, and how far each has been read, is kept by
// decide/store_peers.h; this carries out the calls. A spare store only asks
// whether the others live. One that learns or has become a voter reads one of
// them in full and of the others what is still missing.
//
// Example:
//   store_reader reader(loop, server, pool);
//   reader.follow_group();  // at every tick
//   reader.pull_due();
//   if (reader.joining()) reader.fence_previous_voters();
//   if (reader.peers().joined(server.state())) server.set_counts(true);
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "trayrock/internal/decide/store_peers.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock {

class store_reader {
 public:
  // All outlive the object.
  store_reader(event_loop& loop, record_server& server, rpc_pool& pool)
      : loop_(loop), server_(server), pool_(pool) {}
  store_reader(const store_reader&) = delete;
  store_reader& operator=(const store_reader&) = delete;

  // Follows the group that the server knows.
  void follow_group();

  // Asks the stores whose turn it is.
  void pull_due();

  // Tells the voters of the epoch before of the present one, those that have
  // not confirmed it.
  void fence_previous_voters();

  // True while this store is a voter that does not count yet.
  bool joining() const;

  const store_peers& peers() const { return peers_; }

  // Whether a store that was heard last has said that the box is to be emptied.
  bool told_retiring(const std::string& box) const;

 private:
  // The calls to one other store, and how far it has been read.
  struct reading {
    std::uint64_t log = 0;
    std::uint64_t position = 0;
    rpc_call pulling;
    rpc_call fencing;
    std::set<std::string> retiring_boxes;  // by its last answer
  };

  // Records that are asked for by their keys.
  struct named_records {
    records::PullRequest request;
    bool all = true;  // all that are missing
  };

  bool reads_records() const;
  bool is_due(const store_peer& from) const;
  std::string pick_full_source() const;
  bool full_source_is_read() const;
  records::PullKind pull_kind(const store_peer& from);
  void pull(const store_peer& from);
  void pulled(const std::string& id, records::PullKind kind,
              result<records::PullReply> answer);
  void take_pulled(const std::string& id, const records::PullReply& reply);
  named_records missing_of(const records::PullReply& listed) const;
  void fetch_missing(const std::string& id, const records::PullReply& listed);
  void missing_taken(const std::string& id, const records::PullReply& listed,
                     bool all);
  void read_up_to(const std::string& id, const records::PullReply& reply);
  void fence(const store_peer& voter);

  event_loop& loop_;
  record_server& server_;
  rpc_pool& pool_;
  store_peers peers_;
  std::map<std::string, reading> readings_;  // by the store's id
  // The voter whose records are read in full; of the others only what is
  // still missing.
  std::string full_source_;
};

}  // namespace trayrock
