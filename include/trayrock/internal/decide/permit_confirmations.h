// Decides whether a store that has joined a group may issue permits before its
// first window has passed.
//
// The shares of a group add up to the limit, so the new store may use its own
// share once the permits that any store issued in the last window lie within
// the shares of the new group, and no store can go beyond them. This holds if
//
// - every voter of the previous epoch has the new group on disk, and confirms
//   that its permits lie within its share of it (a voter that leaves has none);
// - the previous epoch is complete.
//
// An epoch is complete if no store other than its voters issued permits in the
// last window, or can still issue any. The first epoch is complete, since no
// permits were issued before it. A later epoch is complete if a store that
// joined it received all confirmations, since the voters that left have then
// confirmed that they issued none. That store reports it (`complete_epoch`)
// until it restarts, since this is not kept on disk.
//
// If a confirmation is missing, because a voter is silent, lost its disk or
// runs an earlier version, the store waits for the end of the window.
//
// No I/O and no clock.
//
// Example:
//   permit_confirmations confirmations(group, "store-4");
//   confirmations.on_reply("store-1", reply);
//   if (confirmations.all_received()) issue_permits();
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "records.pb.h"

namespace trayrock {

class permit_confirmations {
 public:
  // `own` joins `group`.
  permit_confirmations(const records::Group& group, const std::string& own);

  // The voters of the previous epoch that have not confirmed.
  std::vector<records::Store> missing() const;

  void on_reply(const std::string& voter,
                const records::ConfirmPermitsReply& reply);

  bool all_received() const;

 private:
  std::uint64_t epoch_;
  bool previous_complete_;
  std::map<std::string, records::Store> missing_;  // by id
};

}  // namespace trayrock
