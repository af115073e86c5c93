// Expiry of a store's records, and rewriting of those that keep sparse files.
#include <iterator>
#include <utility>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/record_server.h"

namespace trayrock {
namespace {

// Bytes of records that are rewritten in one write of the disk, so that other
// writes wait little.
constexpr std::size_t max_rewrite_bytes = 256U << 10;

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

void record_server::check_expiry() {
  update_metrics();
  if (!expiry_due_ && index_.is_expiry_due(loop_.now_ms())) {
    expiry_due_ = loop_.now_ms();
  }
}

void record_server::expire(std::uint64_t as_of_ms) {
  const expired_records expired = index_.expire(as_of_ms);
  if (!expired.removed.empty()) {
    disk_->erase(expired.removed);
  }
  settle_turns(expired.to_settle, as_of_ms);
  for (const std::string& key : expired.kept) {
    if (disk_->is_sparse(key)) {
      sparse_.push_back(key);
    }
  }
  rewrite_sparse();
  if (disk_->is_sparse(std::string(state_key))) {
    save_state(nullptr);
  }
  metrics_.add("records_expired_total", {},
               static_cast<double>(expired.removed.size()));
  metrics_.add("records_kept_total", {},
               static_cast<double>(expired.kept.size()));
  if (!index_.is_expiry_due(as_of_ms)) {
    expiry_due_.reset();
  }
}

// Adds a settlement for each turn. The turn stays until it expires again.
void record_server::settle_turns(std::span<const std::string> turns,
                                 std::uint64_t as_of_ms) {
  std::vector<disk_record> changes;
  std::vector<std::string> keys;
  for (const std::string& key : turns) {
    const std::optional<records::Record> turn = index_.find(key);
    if (!turn || disk_failed_) {
      continue;
    }
    const records::Record made = settlement_of(turn->turn());
    if (index_.add_copy(made, as_of_ms, 0)) {
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

// ---- Sparse files ----------------------------------------------------------

void record_server::rewrite_sparse() {
  if (rewriting_ || disk_failed_) {
    return;
  }
  std::vector<disk_record> records = take_sparse();
  if (records.empty()) {
    return;
  }
  std::vector<std::string> keys;
  keys.reserve(records.size());
  for (const disk_record& each : records) {
    keys.push_back(each.key);
  }
  rewriting_ = true;
  disk_->write(std::move(records),
               [this, keys = std::move(keys)](std::error_code failed) {
                 on_rewritten(keys, failed);
               });
}

// Records that are still to be rewritten, as many as one write takes.
std::vector<disk_record> record_server::take_sparse() {
  std::vector<disk_record> taken;
  std::size_t bytes = 0;
  while (!sparse_.empty() && bytes < max_rewrite_bytes) {
    const std::string key = std::move(sparse_.front());
    sparse_.pop_front();
    if (!index_.has(key) || !disk_->is_sparse(key)) {
      continue;
    }
    std::optional<std::string> value = disk_->read(key);
    if (!value) {
      on_unreadable(false);
      continue;
    }
    bytes += value->size();
    taken.push_back({key, std::move(*value)});
  }
  return taken;
}

// A record that expired meanwhile is in the disk's index again.
void record_server::on_rewritten(std::span<const std::string> keys,
                                 std::error_code failed) {
  rewriting_ = false;
  disk_failed_ = disk_failed_ || failed;
  std::vector<std::string> expired;
  for (const std::string& key : keys) {
    if (!index_.has(key)) {
      expired.push_back(key);
    }
  }
  disk_->erase(expired);
  metrics_.add("records_rewritten_total", {}, static_cast<double>(keys.size()));
  rewrite_sparse();
}

}  // namespace trayrock
