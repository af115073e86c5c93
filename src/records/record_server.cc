#include "trayrock/internal/records/record_server.h"

#include <algorithm>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <random>
#include <utility>

#include "trayrock/internal/decide/divided_read.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Prefix of the key of a workspace's permits; the name follows.
constexpr std::string_view permits_prefix = "p/";
// No record is added to a pull's reply once it has reached this size.
constexpr std::size_t max_pull_bytes = 256U << 10;
// Records or keys per pull reply.
constexpr std::size_t max_pulled_records = 5000;
constexpr milliseconds expiry_period{5000};

std::string new_id() {
  return boost::uuids::to_string(boost::uuids::random_generator()());
}

bool is_accepted(records::Outcome outcome) {
  return outcome == records::OUTCOME_OK ||
         outcome == records::OUTCOME_CATCHING_UP;
}

// When the program of a copied record was active last.
std::uint64_t activity_of(const records::PulledRecord& pulled,
                          std::uint64_t now_ms) {
  if (!pulled.has_program_age_ms()) {
    return now_ms - std::min(pulled.age_ms(), now_ms);
  }
  const auto now = static_cast<std::int64_t>(now_ms);
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(now - pulled.program_age_ms(), 0));
}

std::uint64_t new_log() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source() | 1U;
}

}  // namespace

record_server::record_server(event_loop& loop, rpc_server& server,
                             metrics_registry& metrics)
    : loop_(loop),
      server_(server),
      metrics_(metrics),
      index_([this](const std::string& key) { return read_record(key); }),
      progress_(loop),
      log_(new_log()) {}

std::error_code record_server::open_disk(const std::string& folder) {
  return open_disk(std::make_unique<posix_files>(folder));
}

std::error_code record_server::open_disk(std::unique_ptr<disk_files> files) {
  result<std::unique_ptr<record_disk>> disk =
      record_disk::open(loop_, std::move(files),
                        [this](std::string_view key, std::string_view value) {
                          load_entry(key, value);
                        });
  if (!disk) {
    return disk.error();
  }
  disk_ = std::move(disk.value());
  log_info("disk_read", {{"store", state_.id()},
                         {"records", std::to_string(index_.size())},
                         {"unreadable", std::to_string(unreadable_)},
                         {"epoch", std::to_string(state_.group().epoch())},
                         {"counts", state_.counts() ? "yes" : "no"}});
  return {};
}

void record_server::load_entry(std::string_view key, std::string_view value) {
  const int size = static_cast<int>(value.size());
  if (key == state_key) {
    unreadable_ += state_.ParseFromArray(value.data(), size) ? 0 : 1;
    return;
  }
  if (key.starts_with(permits_prefix)) {
    load_permits(value);
    return;
  }
  // Reuses one object to avoid allocations; the texts stay on disk. A record
  // that was rewritten may be there twice.
  if (!reading_.ParseFromArray(value.data(), size) ||
      (!index_.add_durable(reading_, loop_.now_ms()) &&
       !index_.has(record_key(reading_)))) {
    ++unreadable_;
  }
}

void record_server::load_permits(std::string_view value) {
  records::GivenPermits read;
  if (!read.ParseFromArray(value.data(), static_cast<int>(value.size()))) {
    ++unreadable_;
  } else if (on_permits_) {
    on_permits_(read);
  }
}

void record_server::write_permits(
    const records::GivenPermits& given,
    std::function<void(std::error_code)> durable) {
  disk_->write({{std::string(permits_prefix) + given.workspace(),
                 given.SerializeAsString()}},
               std::move(durable));
}

void record_server::erase_permits(std::span<const std::string> workspaces) {
  std::vector<std::string> keys;
  for (const std::string& each : workspaces) {
    keys.push_back(std::string(permits_prefix) + each);
  }
  disk_->erase(keys);
}

std::optional<records::Record> record_server::read_record(
    const std::string& key) {
  const std::optional<std::string> bytes = disk_->read(key);
  records::Record record;
  if (!bytes || !record.ParseFromString(*bytes)) {
    on_unreadable(bytes.has_value());
    return std::nullopt;
  }
  return record;
}

// Other stores request such a record again and again, so only the first read is
// logged.
void record_server::on_unreadable(bool found) {
  metrics_.add("failed_record_reads_total", {});
  if (!std::exchange(unreadable_logged_, true)) {
    log_error("record_unreadable", {{"found", found ? "yes" : "no"}});
  }
}

void record_server::on_written(const std::string& key) {
  if (!disk_failed_) {
    index_.durable(key);
  }
  for (const pending_write& each : pending_.take(key)) {
    progress_.remove(each.progress);
    constexpr double us_per_ms = 1000;
    metrics_.observe(
        "disk_write_ms", {},
        static_cast<double>(loop_.now_us() - each.began_us) / us_per_ms);
    send_write_reply(*each.request,
                     disk_failed_ ? records::OUTCOME_DISK_FAILED : each.outcome,
                     each.reply);
  }
}

void record_server::start(std::function<void()> started) {
  server_.handle_typed<records::WriteRequest>(
      "Write", [this](records::WriteRequest& request,
                      const rpc_reply_ptr& reply) { write(request, reply); });
  server_.handle_typed<records::PullRequest>(
      "Pull", [this](records::PullRequest& request,
                     const rpc_reply_ptr& reply) { pull(request, reply); });
  server_.handle_typed<records::FenceRequest>(
      "Fence", [this](records::FenceRequest& request,
                      const rpc_reply_ptr& reply) { fence(request, reply); });
  expiry_ = loop_.every(expiry_period, [this] { check_expiry(); });
  if (!state_.id().empty()) {
    save_state(std::move(started));
    return;
  }
  state_.set_id(new_id());
  log_info("store_created", {{"store", state_.id()}});
  save_state(std::move(started));
}

void record_server::save_state(std::function<void()> durable) {
  metrics_.set("store_counts", {}, state_.counts() ? 1 : 0);
  metrics_.set("store_epoch", {}, static_cast<double>(state_.group().epoch()));
  ++state_saves_;
  disk_->write({{std::string(state_key), state_.SerializeAsString()}},
               [this, durable = std::move(durable)](std::error_code failed) {
                 on_state_saved(failed);
                 if (!failed && durable) {
                   durable();
                 }
               });
}

void record_server::on_state_saved(std::error_code failed) {
  --state_saves_;
  disk_failed_ = disk_failed_ || failed;
  if (state_saves_ > 0 || disk_failed_) {
    return;
  }
  for (const auto& each : std::exchange(state_waiters_, {})) {
    each();
  }
}

void record_server::when_state_durable(std::function<void()> then) {
  if (state_saves_ > 0 || disk_failed_) {
    state_waiters_.push_back(std::move(then));
  } else {
    then();
  }
}

void record_server::adopt(const records::Group& group,
                          std::function<void()> durable) {
  if (group.epoch() < state_.group().epoch()) {
    return;
  }
  const bool newer = adopt_group(state_, group);
  if (newer) {
    log_info("group_adopted",
             {{"store", state_.id()},
              {"epoch", std::to_string(group.epoch())},
              {"voter", is_voter(group, state_.id()) ? "yes" : "no"},
              {"counts", state_.counts() ? "yes" : "no"}});
  }
  save_state(std::move(durable));
  if (newer) {
    for (const auto& each : group_observers_) {
      each();
    }
  }
}

void record_server::set_counts(bool counts) {
  state_.set_counts(counts);
  save_state(nullptr);
}

void record_server::write(const records::WriteRequest& request,
                          const rpc_reply_ptr& reply) {
  const records::Outcome outcome = disk_failed_ ? records::OUTCOME_DISK_FAILED
                                                : judge_write(state_, request);
  metrics_.add("record_writes_total",
               {{"outcome", records::Outcome_Name(outcome)}});
  if (!is_accepted(outcome) || !request.has_record()) {
    send_write_reply(request, outcome, reply);
    return;
  }
  const std::string key = record_key(request.record());
  const bool added = index_.add(request.record(), loop_.now_ms());
  if (!index_.is_pending(key)) {
    send_write_reply(request, outcome, reply);
    return;
  }
  // A retry waits for the write of the first request, not for a further sync.
  wait_for_disk(key, {std::make_shared<const records::WriteRequest>(request),
                      outcome, reply, loop_.now_us()});
  if (added) {
    disk_->write({{key, request.record().SerializeAsString()}},
                 [this, key](std::error_code failed) {
                   disk_failed_ = disk_failed_ || failed;
                   on_written(key);
                 });
  }
}

void record_server::wait_for_disk(const std::string& key, pending_write write) {
  write.progress = progress_.add(
      write.reply, [this, request = write.request, reply = write.reply] {
        report_progress(*request, reply);
      });
  pending_.add(key, std::move(write));
}

void record_server::report_progress(const records::WriteRequest& request,
                                    const rpc_reply_ptr& reply) {
  const records::Outcome outcome = judge_write(state_, request);
  if (!is_accepted(outcome)) {
    return;  // the final reply has the outcome
  }
  records::WriteReply message;
  message.set_pending(true);
  message.set_outcome(outcome);
  if (!request.chain_of().empty()) {
    add_chain(request, message);
  }
  metrics_.add("progress_reports_total", {{"call", "write"}});
  reply->send(message);
}

void record_server::pull(const records::PullRequest& request,
                         const rpc_reply_ptr& reply) {
  metrics_.add("pulls_total",
               {{"kind", records::PullKind_Name(request.kind())}});
  records::PullReply message;
  message.set_store(state_.id());
  // Not before the state is on disk: after a loss of power, the store would no
  // longer count, and others may have relied on it.
  message.set_counts(state_.counts() && state_saves_ == 0);
  message.set_epoch(state_.group().epoch());
  *message.mutable_group() = state_.group();
  message.set_log(log_);
  for (const std::string& box : retiring_) {
    message.add_retiring_boxes(box);
  }
  switch (request.kind()) {
    case records::PULL_RECORDS:
    case records::PULL_KEYS:
      add_records_after(request, message);
      break;
    case records::PULL_NAMED:
      add_named_records(request, message);
      break;
    default:
      break;
  }
  reply->send(message);
  reply->finish();
}

void record_server::add_records_after(const records::PullRequest& request,
                                      records::PullReply& message) const {
  const std::uint64_t from = request.log() == log_ ? request.after() : 0;
  const std::uint64_t now = loop_.now_ms();
  const bool keys_only = request.kind() == records::PULL_KEYS;
  message.set_position(from);
  std::size_t count = 0;
  std::size_t bytes = 0;
  const read_part part{request.part(), request.parts()};
  index_.visit_after(from, [&](const record_index::numbered_key& each) {
    if (count == max_pulled_records || bytes >= max_pull_bytes) {
      return false;
    }
    if (keys_only) {
      message.add_keys(each.key);
    } else if (is_in_part(each.key, part)) {
      std::optional<records::Record> record = index_.find(each.key);
      if (!record) {
        return false;  // an unreadable record must not be skipped
      }
      bytes += record->ByteSizeLong();
      records::PulledRecord& pulled = *message.add_records();
      *pulled.mutable_record() = std::move(*record);
      pulled.set_age_ms(now - each.added_at_ms);
      add_program_age(each.key, pulled);
    }
    ++count;
    message.set_position(each.position);
    return true;
  });
  message.set_more(message.position() < index_.position());
}

void record_server::add_named_records(const records::PullRequest& request,
                                      records::PullReply& message) const {
  for (const std::string& key : request.keys()) {
    const std::optional<records::Record> record = index_.find(key);
    if (record) {
      records::PulledRecord& pulled = *message.add_records();
      *pulled.mutable_record() = *record;
      add_program_age(key, pulled);
    }
  }
}

// A copy is no activity of its program. If it counted as such, stores that
// remove the records of an ended program at different times would copy them
// from each other for ever.
void record_server::add_program_age(const std::string& key,
                                    records::PulledRecord& pulled) const {
  const std::optional<std::uint64_t> active = index_.program_active_ms(key);
  if (active) {
    pulled.set_program_age_ms(static_cast<std::int64_t>(loop_.now_ms()) -
                              static_cast<std::int64_t>(*active));
  }
}

void record_server::store_pulled(const records::PullReply& pulled,
                                 std::function<void()> durable) {
  if (disk_failed_) {
    return;
  }
  std::vector<disk_record> changes;
  std::vector<std::string> keys;
  const std::uint64_t now = loop_.now_ms();
  for (const records::PulledRecord& each : pulled.records()) {
    const std::uint64_t age = std::min(each.age_ms(), now);
    if (index_.add_copy(each.record(), now - age, activity_of(each, now))) {
      keys.push_back(record_key(each.record()));
      changes.push_back({keys.back(), each.record().SerializeAsString()});
    }
  }
  if (changes.empty()) {
    when_durable(pulled, std::move(durable));
    return;
  }
  // Also covers the records that are being written already: the disk ends
  // writes in their order.
  disk_->write(std::move(changes),
               [this, keys = std::move(keys),
                durable = std::move(durable)](std::error_code failed) {
                 disk_failed_ = disk_failed_ || failed;
                 for (const std::string& each : keys) {
                   on_written(each);
                 }
                 if (!failed) {
                   durable();
                 }
               });
}

void record_server::when_durable(const records::PullReply& pulled,
                                 std::function<void()> then) {
  if (disk_failed_) {
    return;
  }
  if (!has_pending(pulled)) {
    then();
    return;
  }
  disk_->write({}, [this, then = std::move(then)](std::error_code failed) {
    disk_failed_ = disk_failed_ || failed;
    if (!failed) {
      then();
    }
  });
}

bool record_server::has_pending(const records::PullReply& pulled) const {
  return std::any_of(
             pulled.keys().begin(), pulled.keys().end(),
             [this](const auto& each) { return index_.is_pending(each); }) ||
         std::any_of(pulled.records().begin(), pulled.records().end(),
                     [this](const auto& each) {
                       return index_.is_pending(record_key(each.record()));
                     });
}

void record_server::fence(const records::FenceRequest& request,
                          const rpc_reply_ptr& reply) {
  adopt_and_sync(request.group(),
                 [this, reply, epoch = request.group().epoch()] {
                   reply->send(answer_fence(state_, epoch));
                   reply->finish();
                 });
}

void record_server::adopt_and_sync(const records::Group& group,
                                   std::function<void()> then) {
  if (group.epoch() > state_.group().epoch()) {
    adopt(group, nullptr);
  }
  // The group may have been adopted before, by another request or a watch, and
  // not be on disk yet. After a loss of power, the fence must still hold.
  when_state_durable(std::move(then));
}

void record_server::update_metrics() {
  const disk_statistics totals = disk_->statistics();
  metrics_.set("records_held", {}, static_cast<double>(index_.size()));
  metrics_.set("disk_segments", {}, static_cast<double>(totals.segments));
  metrics_.set("disk_bytes_in_use", {},
               static_cast<double>(totals.bytes_in_use));
  metrics_.set("disk_syncs", {}, static_cast<double>(totals.syncs));
  metrics_.set("disk_longest_sync_ms", {}, totals.max_sync_ms);
  metrics_.set("disk_bytes_taken", {},
               static_cast<double>(totals.bytes_accepted));
  metrics_.set("disk_bytes_written", {},
               static_cast<double>(totals.bytes_written));
}

}  // namespace trayrock
