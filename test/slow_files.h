// Files whose syncs wait until the test lets them pass, or fail.
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
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "trayrock/internal/records/disk_files.h"

namespace trayrock::testing {

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

  // The longest sync of the real files, pending ones included, in ms.
  long longest_sync_ms() {
    const std::scoped_lock lock(guard_);
    return std::max(longest_sync_ms_, pending_sync_ms());
  }

  void on_sync_begun() {
    const std::scoped_lock lock(guard_);
    sync_began_ = clock::now();
  }

  void on_sync_ended() {
    const std::scoped_lock lock(guard_);
    longest_sync_ms_ = std::max(longest_sync_ms_, pending_sync_ms());
    sync_began_ = {};
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

  using clock = std::chrono::steady_clock;

  long pending_sync_ms() const {
    if (sync_began_ == clock::time_point()) {
      return 0;
    }
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                              sync_began_)
            .count());
  }

  std::mutex guard_;
  std::condition_variable changed_;
  bool open_ = true;
  bool failing_ = false;
  int admitted_ = 0;
  int waiting_ = 0;
  clock::time_point sync_began_;  // of the pending sync of a real file
  long longest_sync_ms_ = 0;
};

class slow_file final : public disk_file {
 public:
  slow_file(std::unique_ptr<disk_file> file, sync_gate& gate)
      : file_(std::move(file)), gate_(gate) {}

  std::error_code append(std::string_view bytes) override {
    return file_->append(bytes);
  }
  std::error_code sync() override {
    if (!gate_.pass()) {
      return std::make_error_code(std::errc::io_error);
    }
    gate_.on_sync_begun();
    const std::error_code failed = file_->sync();
    gate_.on_sync_ended();
    return failed;
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
    return slow(files_.create(name));
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
