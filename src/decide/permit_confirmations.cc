#include "trayrock/internal/decide/permit_confirmations.h"

#include "trayrock/internal/records/store_group.h"

namespace trayrock {

permit_confirmations::permit_confirmations(const records::Group& group,
                                           const std::string& own)
    : epoch_(group.epoch()),
      previous_complete_(group.epoch() == first_epoch + 1) {
  for (const records::Store& each : group.previous_voters()) {
    if (each.id() != own) {
      missing_[each.id()] = each;
    }
  }
}

std::vector<records::Store> permit_confirmations::missing() const {
  std::vector<records::Store> made;
  for (const auto& [id, each] : missing_) {
    made.push_back(each);
  }
  return made;
}

void permit_confirmations::on_reply(const std::string& voter,
                                    const records::ConfirmPermitsReply& reply) {
  if (reply.store() != voter || reply.epoch() != epoch_) {
    return;
  }
  previous_complete_ =
      previous_complete_ || reply.complete_epoch() + 1 == epoch_;
  if (reply.within_share()) {
    missing_.erase(voter);
  }
}

bool permit_confirmations::all_received() const {
  return previous_complete_ && missing_.empty();
}

}  // namespace trayrock
