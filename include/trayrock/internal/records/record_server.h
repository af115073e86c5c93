// A record store's server: answers writes, pulls and fences from its book and
// its disk.
//
// A write is answered once it is on the disk. What the store may say depends
// on its state: whether it is the disk that was meant, whether the epoch is
// the newest, and whether it holds all that its epoch asks of it.
//
// Example:
//   record_server server(loop, rpc, metrics);
//   if (const std::error_code failed = server.open_disk("/data")) give_up();
//   server.start([&] { membership.start(); });
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "trayrock/internal/metrics.h"
#include "trayrock/internal/net/rpc.h"
#include "trayrock/internal/records/record_disk.h"
#include "trayrock/internal/records/record_index.h"

namespace trayrock {

class record_server {
 public:
  record_server(event_loop& loop, rpc_server& server,
                metrics_registry& metrics);
  record_server(const record_server&) = delete;
  record_server& operator=(const record_server&) = delete;

  // Reads the folder's disk; one without an id gets a new one. Errors:
  // errc::disk_failed, errc::disk_format.
  std::error_code open_disk(const std::string& folder);

  // Registers the methods. A store answers nothing before its id is durable.
  void start(std::function<void()> started);

  const records::StoreState& state() const { return state_; }
  record_index& book() { return book_; }
  std::uint64_t log() const { return log_; }

  // Takes a newer group; calls back when that is on the disk.
  void adopt(const records::Group& group, std::function<void()> durable);

  // Says that the store holds all that the group's epoch asks of it.
  void set_counts(bool counts);

  // Adds records of another store; calls back when they are on the disk.
  void take(const records::PullReply& pulled, std::function<void()> durable);

  // The boxes that are to be emptied, for stores that do not ask the platform.
  void set_retiring(std::set<std::string> boxes) {
    retiring_ = std::move(boxes);
  }

  // Told when a group with a newer epoch was heard of.
  void on_group(std::function<void()> changed) {
    changed_.push_back(std::move(changed));
  }

  // Told of the permits that the disk holds, before open_disk() returns.
  void on_permits(std::function<void(const records::GivenPermits&)> read) {
    permits_read_ = std::move(read);
  }

  // Permits of a workspace on the disk, in place of what was there; and away.
  void keep_permits(const records::GivenPermits& given,
                    std::function<void(std::error_code)> durable);
  void drop_permits(std::span<const std::string> workspaces);

 private:
  void take_from_disk(std::string_view key, std::string_view value);
  void take_permits(std::string_view value);
  std::optional<records::Record> read_record(const std::string& key) const;
  void note_durable(std::span<const std::string> keys);
  void save_state(std::function<void()> durable);
  void write(const records::WriteRequest& request, const rpc_reply_ptr& reply);
  void answer_write(const records::WriteRequest& request,
                    records::Outcome outcome, const rpc_reply_ptr& reply);
  void add_chain(const records::WriteRequest& request,
                 records::WriteReply& answer) const;
  void pull(const records::PullRequest& request, const rpc_reply_ptr& reply);
  void add_records_behind(const records::PullRequest& request,
                          records::PullReply& answer) const;
  void add_named_records(const records::PullRequest& request,
                         records::PullReply& answer) const;
  void fence(const records::FenceRequest& request, const rpc_reply_ptr& reply);
  void expire();
  void show_figures();

  event_loop& loop_;
  rpc_server& server_;
  std::unique_ptr<record_disk> disk_;
  metrics_registry& metrics_;
  record_index book_;
  records::StoreState state_;
  std::uint64_t log_ = 0;
  bool disk_failed_ = false;
  records::Record reading_;       // of the disk, at the start
  std::uint64_t unreadable_ = 0;  // records that the disk held at the start
  std::set<std::string> retiring_;
  std::vector<std::function<void()>> changed_;
  std::function<void(const records::GivenPermits&)> permits_read_;
  timer expiry_;
};

}  // namespace trayrock
