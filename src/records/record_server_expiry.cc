// Expiry of a store's records.
#include <utility>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock {
namespace {

// The settlement that replaces a turn whose text is no longer needed.
records::Record settlement_of(const records::Turn& turn) {
  records::Record record;
  records::Settlement& made = *record.mutable_settlement();
  made.set_program(turn.program());
  made.set_attempt(turn.attempt());
  made.set_tokens(turn.tokens());
  return record;
}

}  // namespace

void record_server::expire(std::uint64_t now_ms) {
  const expired_records expired = index_.expire(now_ms);
  if (!expired.removed.empty()) {
    disk_->erase(expired.removed);
  }
  settle_turns(expired.to_settle, now_ms);
  metrics_.add("records_expired_total", {},
               static_cast<double>(expired.removed.size()));
  metrics_.add("records_kept_total", {},
               static_cast<double>(expired.kept.size()));
  update_metrics();
}

// Adds a settlement for each turn. The turn stays until it expires again.
void record_server::settle_turns(std::span<const std::string> turns,
                                 std::uint64_t now_ms) {
  std::vector<disk_record> changes;
  std::vector<std::string> keys;
  for (const std::string& key : turns) {
    const std::optional<records::Record> turn = index_.find(key);
    if (!turn || disk_failed_) {
      continue;
    }
    const records::Record made = settlement_of(turn->turn());
    if (index_.add_replacement(made, now_ms)) {
      keys.push_back(record_key(made));
      changes.push_back({keys.back(), made.SerializeAsString()});
    }
  }
  if (changes.empty()) {
    return;
  }
  disk_->write(std::move(changes),
               [this, keys = std::move(keys)](std::error_code failed) {
                 disk_failed_ = disk_failed_ || failed;
                 for (const std::string& each : keys) {
                   on_written(each);
                 }
               });
}

}  // namespace trayrock
