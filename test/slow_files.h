// Files whose syncs wait until the test lets them pass, or fail.
//
// A sync that passes does not sync the file: beside other programs, one may
// take longer than a test. What a loss of power leaves is tested with
// volatile_disk.h, and syncs of the machine's disk with whole processes.
//
// Example:
//   sync_gate gate;
//   record_disk::open(loop, std::make_unique<slow_files>(folder, gate), visit);
//   gate.close();    // from now on, syncs wait
//   gate.admit(1);   // one sync passes
//   gate.fail();     // from now on, syncs fail
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "trayrock/internal/records/disk_files.h"

namespace trayrock::testing {

// The operations of files that may wait for the disk.
enum class disk_operation { create, append, sync };

// Durations of one kind of operation, of which one at a time is pending.
class operation_times {
 public:
  void begin() { began_ = clock::now(); }

  void end() {
    const long ms = pending_ms();
    ++ended_;
    total_ms_ += ms;
    longest_ms_ = std::max(longest_ms_, ms);
    began_.reset();
  }

  friend std::ostream& operator<<(std::ostream& out,
                                  const operation_times& times) {
    out << times.total_ms_ << " ms (" << times.ended_ << " times, longest "
        << times.longest_ms_ << " ms";
    if (times.began_) {
      out << ", pending for " << times.pending_ms() << " ms";
    }
    return out << ')';
  }

 private:
  using clock = std::chrono::steady_clock;

  long pending_ms() const {
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock::now() - began_.value_or(clock::now()))
            .count());
  }

  std::optional<clock::time_point> began_;
  int ended_ = 0;
  long total_ms_ = 0;
  long longest_ms_ = 0;
};

// Open at first. Must be opened before the disk that uses it is destroyed.
class sync_gate {
 public:
  void open() { set(true, 0); }
  void close() { set(false, 0); }

  // Lets so many syncs pass a closed gate, waiting ones included.
  void admit(int syncs) {
    {
      const std::scoped_lock lock(guard_);
      admitted_ += syncs;
    }
    changed_.notify_all();
  }

  // All further syncs fail, waiting ones included.
  void fail() {
    {
      const std::scoped_lock lock(guard_);
      failing_ = true;
    }
    changed_.notify_all();
  }

  // Whether a sync waits now.
  bool holds_sync() {
    const std::scoped_lock lock(guard_);
    return waiting_ > 0;
  }

  // What the operations needed, a pending one included.
  std::string times_text() {
    const std::scoped_lock lock(guard_);
    std::ostringstream text;
    text << times_[disk_operation::create] << " creating, "
         << times_[disk_operation::append] << " appending, "
         << times_[disk_operation::sync] << " syncing";
    return text.str();
  }

  // Runs an operation on the writer's thread.
  template <typename Operation>
  auto timed(disk_operation kind, Operation run) {
    set_pending(kind, true);
    auto made = run();
    set_pending(kind, false);
    return made;
  }

  // Waits; returns false if the sync is to fail.
  bool pass() {
    std::unique_lock lock(guard_);
    ++waiting_;
    changed_.wait(lock, [this] { return open_ || failing_ || admitted_ > 0; });
    --waiting_;
    admitted_ -= admitted_ > 0 ? 1 : 0;
    return !failing_;
  }

 private:
  void set(bool open, int admitted) {
    {
      const std::scoped_lock lock(guard_);
      open_ = open;
      admitted_ = admitted;
    }
    changed_.notify_all();
  }

  void set_pending(disk_operation kind, bool pending) {
    const std::scoped_lock lock(guard_);
    pending ? times_[kind].begin() : times_[kind].end();
  }

  std::mutex guard_;
  std::condition_variable changed_;
  bool open_ = true;
  bool failing_ = false;
  int admitted_ = 0;
  int waiting_ = 0;
  std::map<disk_operation, operation_times> times_;
};

class slow_file final : public disk_file {
 public:
  slow_file(std::unique_ptr<disk_file> file, sync_gate& gate)
      : file_(std::move(file)), gate_(gate) {}

  std::error_code append(std::string_view bytes) override {
    return gate_.timed(disk_operation::append,
                       [&] { return file_->append(bytes); });
  }
  std::error_code sync() override {
    const bool passed =
        gate_.timed(disk_operation::sync, [&] { return gate_.pass(); });
    return passed ? std::error_code()
                  : std::make_error_code(std::errc::io_error);
  }
  result<std::string> read(std::uint64_t offset,
                           std::size_t length) const override {
    return file_->read(offset, length);
  }
  result<std::string> read_all() const override { return file_->read_all(); }

 private:
  std::unique_ptr<disk_file> file_;
  sync_gate& gate_;
};

class slow_files final : public disk_files {
 public:
  slow_files(const std::string& folder, sync_gate& gate)
      : files_(folder), gate_(gate) {}

  result<std::vector<std::string>> names() const override {
    return files_.names();
  }
  result<std::unique_ptr<disk_file>> create(const std::string& name) override {
    return slow(gate_.timed(disk_operation::create,
                            [&] { return files_.create(name); }));
  }
  result<std::unique_ptr<disk_file>> open(
      const std::string& name) const override {
    return slow(files_.open(name));
  }
  std::error_code remove(const std::string& name) override {
    return files_.remove(name);
  }

 private:
  result<std::unique_ptr<disk_file>> slow(
      result<std::unique_ptr<disk_file>> file) const {
    if (!file) {
      return file.error();
    }
    return std::unique_ptr<disk_file>(
        std::make_unique<slow_file>(std::move(file.value()), gate_));
  }

  posix_files files_;
  sync_gate& gate_;
};

}  // namespace trayrock::testing
