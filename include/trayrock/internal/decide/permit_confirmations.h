// Decides whether a store that has joined a group may issue permits before its
// first window has passed.
//
// The shares of a group add up to the limit, so the new store may use its own
// share once the permits that any store issued in the last window lie within
// the shares of the new group, and no store can go beyond them. This holds if
//
// - every voter of the previous epoch has the new group on disk, and confirms
//   that its permits lie within its share of it (a voter that leaves has none);
// - no other store issued permits, or can do so: the previous epoch is
//   complete.
//
// The first epoch is complete, since no permits were issued before. A later one
// is complete if a store joined it by this decision; only that store confirms
// it, until it restarts. Without a confirmation, as from voters that are
// silent, lost their disk or run an earlier version, the store waits for the
// end of the window.
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
