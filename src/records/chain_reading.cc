#include "trayrock/internal/records/chain_reading.h"

#include "trayrock/internal/records/store_group.h"

namespace trayrock {

void chain_reading::ask_anew() {
  missing_at_.clear();
  holders_.clear();
  text_asked_at_.clear();
}

const records::Store* chain_reading::next_holder(const records::Group& group) {
  for (const std::string& id : holders_) {
    const records::Store* to = find_store(group.voters(), id);
    if (to != nullptr && id != text_asked_at_) {
      holders_.erase(to->id());
      return to;
    }
  }
  text_asked_at_.clear();
  return nullptr;
}

bool chain_reading::take(const std::string& voter,
                         const records::WriteReply& reply) {
  if (!open() || reply.chain_of() != wanted_) {
    return false;
  }
  if (awaits_text_of(voter)) {
    give_up_text();
  }
  if (reply.chain() == records::CHAIN_MISSING) {
    // A store that is catching up can not say what there is not.
    if (reply.outcome() == records::OUTCOME_OK) {
      missing_at_.insert(voter);
    }
    return false;
  }
  if (!reply.text_included()) {
    holders_.insert(voter);
    return false;
  }
  return take_text_of(reply);
}

bool chain_reading::take_text_of(const records::WriteReply& reply) {
  if (text_.empty()) {
    endpoint_ = reply.chain_endpoint();
  }
  text_.insert(0, reply.text());
  if (reply.chain() == records::CHAIN_FOUND) {
    complete_ = true;
    return false;
  }
  // Go on with the turns before the gap, which other voters hold.
  wanted_ = reply.chain_gap();
  missing_at_.clear();
  holders_.clear();
  return true;
}

bool chain_reading::is_nowhere(const records::Group& group) const {
  const auto voters = static_cast<std::size_t>(group.voters_size());
  return holders_.empty() && !awaits_text() &&
         missing_at_.size() >= read_quorum(voters, group.tolerated());
}

}  // namespace trayrock
