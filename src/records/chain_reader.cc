#include "trayrock/internal/records/chain_reader.h"

#include "trayrock/internal/records/store_group.h"

namespace trayrock {

void chain_reader::reset_replies() {
  missing_at_.clear();
  holders_.clear();
  text_requested_from_.clear();
}

const records::Store* chain_reader::next_holder(const records::Group& group) {
  for (const std::string& id : holders_) {
    const records::Store* to = find_store(group.voters(), id);
    if (to != nullptr && id != text_requested_from_) {
      holders_.erase(to->id());
      return to;
    }
  }
  text_requested_from_.clear();
  return nullptr;
}

bool chain_reader::add_reply(const std::string& voter,
                             const records::WriteReply& reply) {
  if (!pending() || reply.chain_of() != wanted_) {
    return false;
  }
  if (awaits_text_from(voter)) {
    cancel_text_request();
  }
  if (reply.chain() == records::CHAIN_MISSING) {
    // A store that is catching up cannot confirm that a turn is missing.
    if (reply.outcome() == records::OUTCOME_OK) {
      missing_at_.insert(voter);
    }
    return false;
  }
  if (!reply.text_included()) {
    holders_.insert(voter);
    return false;
  }
  return add_text(reply);
}

bool chain_reader::add_text(const records::WriteReply& reply) {
  if (text_.empty()) {
    endpoint_ = reply.chain_endpoint();
  }
  text_.insert(0, reply.text());
  if (reply.chain() == records::CHAIN_FOUND) {
    complete_ = true;
    return false;
  }
  // Continue with the turns before the gap, which other voters may store.
  wanted_ = reply.chain_gap();
  missing_at_.clear();
  holders_.clear();
  return true;
}

bool chain_reader::is_missing(const records::Group& group) const {
  const auto voters = static_cast<std::size_t>(group.voters_size());
  return holders_.empty() && !awaits_text() &&
         missing_at_.size() >= read_quorum(voters, group.tolerated());
}

}  // namespace trayrock
