// Reads records from the other stores of the group, and fences them.
//
// decide/store_peers.h tracks the stores and how far each has been read; this
// class makes the calls. A spare store only polls the state of the others. A
// learner or a new voter whose disk was empty reads all records, a part of them
// from each voter at the same time (decide/divided_read.h), and afterwards only
// missing records. A read of a part requests the next records while the last
// ones are being written; its position is that of the records on disk. A voter
// reads what it has missed before its records expire, since records that only
// others have may depend on these.
//
// Example:
//   store_reader reader(loop, server, pool);
//   reader.follow_group();  // at every tick
//   reader.pull_due();
//   if (reader.joining()) reader.fence_previous_voters();
//   if (reader.peers().has_joined(server.state())) server.set_counts(true);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/internal/decide/divided_read.h"
#include "trayrock/internal/decide/store_peers.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock {

class store_reader {
 public:
  // All must outlive the object.
  // The server has read its disk, and has no records that were written since.
  store_reader(event_loop& loop, record_server& server, rpc_pool& pool)
      : loop_(loop),
        server_(server),
        pool_(pool),
        began_empty_(server.index().size() == 0) {}
  store_reader(const store_reader&) = delete;
  store_reader& operator=(const store_reader&) = delete;

  // Updates the peers from the server's group.
  void follow_group();

  // Polls the stores that are due.
  void pull_due();

  // Sends the current epoch to those voters of the previous one that have not
  // confirmed it.
  void fence_previous_voters();

  // True while this store is a voter that does not count yet.
  bool joining() const;

  // The time until which this store has all acknowledged records, in
  // milliseconds of the loop's clock; nothing if it has not read enough.
  std::optional<std::uint64_t> complete_as_of() const;

  const store_peers& peers() const { return peers_; }

  // Whether a store's latest reply reported that the box is to be retired.
  bool reported_retiring(const std::string& box) const;

 private:
  // The calls to one other store, and the position up to which it was read.
  struct read_progress {
    std::uint64_t log = 0;
    std::uint64_t position = 0;
    rpc_call pulling;
    rpc_call fencing;
    timer store_step;
    bool storing = false;  // records of a part are not on disk yet
    // Arrived while those before them were being stored.
    std::optional<records::PullReply> received;
    std::set<std::string> retiring_boxes;  // from its last reply
  };

  // Records that are requested by key.
  struct named_records {
    records::PullRequest request;
    bool all = true;  // includes all missing records
  };

  bool copies_records() const;
  bool reads_records() const;
  bool is_due(const store_peer& from) const;
  bool is_storing(const std::string& id) const;
  void update_divided_read();
  std::vector<std::string> readable_voters() const;
  bool is_lost(const std::string& voter) const;
  records::PullKind pull_kind(const store_peer& from) const;
  void pull(const store_peer& from);
  void send_pull(const store_peer& from, records::PullRequest request);
  void on_pull_reply(const std::string& id, records::PullKind kind,
                     const pull_start& start, result<records::PullReply> reply);
  void on_records(const std::string& id, records::PullReply reply);
  void store_pulled(const std::string& id, records::PullReply reply);
  void pull_after(const std::string& id, const records::PullReply& reached);
  void on_records_stored(const std::string& id,
                         const records::PullReply& reached);
  named_records find_missing(const records::PullReply& listed) const;
  void fetch_missing(const std::string& id, const pull_start& start,
                     const records::PullReply& listed);
  void on_missing_stored(const std::string& id, const pull_start& start,
                         const records::PullReply& listed, bool all);
  void finish_listed(const std::string& id, const pull_start& start,
                     const records::PullReply& listed);
  void on_part_stored(const std::string& id, const records::PullReply& reached);
  void end_part(const std::string& voter, std::string_view outcome);
  void advance(const std::string& id, const pull_start& start,
               const records::PullReply& reached);
  void fence(const store_peer& voter);

  event_loop& loop_;
  record_server& server_;
  rpc_pool& pool_;
  store_peers peers_;
  std::map<std::string, read_progress> progress_;  // by the store's id
  bool began_empty_;
  divided_read divided_read_;
};

}  // namespace trayrock
