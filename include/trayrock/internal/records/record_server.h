// Server of a record store: handles writes, pulls and fences from its index and
// its disk.
//
// A write is acknowledged once it is on disk; until then, the caller receives
// progress reports, with the chain that it asked for. The outcome depends on
// the store's state: whether its id matches the request, whether the request's
// epoch is current, and whether it stores all that its epoch requires.
//
// Example:
//   record_server server(loop, rpc, metrics);
//   if (const std::error_code failed = server.open_disk("/data")) give_up();
//   server.start([&] { membership.start(); });
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/progress_reporter.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/pending_writes.h"
#include "trayrock/internal/records/record_disk.h"
#include "trayrock/internal/records/record_index.h"

namespace trayrock {

class record_server {
 public:
  record_server(event_loop& loop, rpc_server& server,
                metrics_registry& metrics);
  record_server(const record_server&) = delete;
  record_server& operator=(const record_server&) = delete;

  // How long records outlast their retention (record_index.h).
  void set_expiry_margin(milliseconds margin) {
    index_.set_expiry_margin(static_cast<std::uint64_t>(margin.count()));
  }

  // Loads the records and the state. Errors: errc::disk_failed,
  // errc::disk_format.
  std::error_code open_disk(std::unique_ptr<disk_files> files);
  std::error_code open_disk(const std::string& folder);

  // Registers the methods; an empty disk gets a new id. Calls back once the id
  // is durable.
  void start(std::function<void()> started);

  const records::StoreState& state() const { return state_; }
  record_index& index() { return index_; }
  std::uint64_t log() const { return log_; }

  // Adopts a group unless it is older; calls back once it is on disk, and never
  // if it is older.
  void adopt(const records::Group& group, std::function<void()> durable);

  // Adopts a group unless it is older; calls back once the store's state is on
  // disk, whichever group that has.
  void adopt_and_sync(const records::Group& group, std::function<void()> then);

  // Sets whether the store has all that the group's epoch requires.
  void set_counts(bool counts);

  // Adds records of another store; calls back once they are on disk, and never
  // if the disk failed.
  void store_pulled(const records::PullReply& pulled,
                    std::function<void()> durable);

  // Calls back once those records and listed keys of a reply that this store
  // has are on disk, and never if the disk failed.
  void when_durable(const records::PullReply& pulled,
                    std::function<void()> then);

  // The boxes that are to be retired, sent to stores that do not watch the
  // platform.
  void set_retiring(std::set<std::string> boxes) {
    retiring_ = std::move(boxes);
  }

  // Since when records have reached the end of their retention, in milliseconds
  // of the loop's clock; nothing if none has.
  std::optional<std::uint64_t> expiry_due_since() const { return expiry_due_; }

  // Removes expired records that are not needed. The index has all records that
  // were acknowledged until `as_of_ms` by any store: one that this store has
  // missed may be all that still needs another.
  void expire(std::uint64_t as_of_ms);

  // Calls back when a group with a newer epoch is adopted.
  void on_group(std::function<void()> changed) {
    group_observers_.push_back(std::move(changed));
  }

  // Calls back for each workspace's permits on disk, before open_disk()
  // returns.
  void on_permits(std::function<void(const records::GivenPermits&)> read) {
    on_permits_ = std::move(read);
  }

  // Replaces or erases the permits of workspaces on disk.
  void write_permits(const records::GivenPermits& given,
                     std::function<void(std::error_code)> durable);
  void erase_permits(std::span<const std::string> workspaces);

 private:
  void load_entry(std::string_view key, std::string_view value);
  void load_permits(std::string_view value);
  std::optional<records::Record> read_record(const std::string& key);
  void on_unreadable(bool found);
  // The write of a record ended, with success unless disk_failed_ is set.
  void on_written(const std::string& key);
  void save_state(std::function<void()> durable);
  void write(const records::WriteRequest& request, const rpc_reply_ptr& reply);
  void wait_for_disk(const std::string& key, pending_write write);
  void report_progress(const records::WriteRequest& request,
                       const rpc_reply_ptr& reply);
  void send_write_reply(const records::WriteRequest& request,
                        records::Outcome outcome, const rpc_reply_ptr& reply);
  void add_usage(const records::WriteRequest& request,
                 records::WriteReply& message) const;
  void add_last_endpoint(const records::Reservation& made,
                         records::WriteReply& message) const;
  void add_chain(const records::WriteRequest& request,
                 records::WriteReply& message);
  void pull(const records::PullRequest& request, const rpc_reply_ptr& reply);
  void add_records_after(const records::PullRequest& request,
                         records::PullReply& message) const;
  void add_named_records(const records::PullRequest& request,
                         records::PullReply& message) const;
  void add_program_age(const std::string& key,
                       records::PulledRecord& pulled) const;
  bool has_pending(const records::PullReply& pulled) const;
  void fence(const records::FenceRequest& request, const rpc_reply_ptr& reply);
  void when_state_durable(std::function<void()> then);
  void on_state_saved(std::error_code failed);
  // Key of the store's own state on disk.
  static constexpr std::string_view state_key = "m/state";

  void check_expiry();
  void settle_turns(std::span<const std::string> turns, std::uint64_t as_of_ms);
  void rewrite_sparse();
  std::vector<disk_record> take_sparse();
  void on_rewritten(std::span<const std::string> keys, std::error_code failed);
  void update_metrics();

  event_loop& loop_;
  rpc_server& server_;
  std::unique_ptr<record_disk> disk_;
  metrics_registry& metrics_;
  record_index index_;
  pending_writes pending_;
  progress_reporter progress_;
  records::StoreState state_;
  int state_saves_ = 0;  // that are not on disk yet
  std::vector<std::function<void()>> state_waiters_;
  std::uint64_t log_ = 0;
  bool disk_failed_ = false;
  records::Record reading_;       // reused while the disk is loaded
  std::uint64_t unreadable_ = 0;  // records found at the start
  bool unreadable_logged_ = false;
  std::set<std::string> retiring_;
  std::vector<std::function<void()>> group_observers_;
  std::function<void(const records::GivenPermits&)> on_permits_;
  std::optional<std::uint64_t> expiry_due_;
  std::deque<std::string> sparse_;  // keys of records to be rewritten
  bool rewriting_ = false;
  timer expiry_;
};

}  // namespace trayrock
