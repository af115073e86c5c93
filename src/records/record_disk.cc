#include "trayrock/internal/records/record_disk.h"

#include <event2/event.h>
#include <event2/util.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "trayrock/internal/log.h"

namespace trayrock {

struct record_disk::impl {
  struct pending_write {
    std::vector<disk_record> records;
    done_callback done;
    std::vector<record_location> locations;  // once written
    std::error_code failed;
  };

  impl(event_loop& loop_in, std::unique_ptr<disk_files> files_in)
      : loop(loop_in), files(std::move(files_in)) {}
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl() {
    {
      const std::scoped_lock lock(guard);
      stopping = true;
    }
    wake.notify_one();
    if (writer.joinable()) {
      writer.join();
    }
    if (finished_event != nullptr) {
      event_free(finished_event);
    }
    for (const int each : pipe) {
      if (each >= 0) {
        close(each);
      }
    }
  }

  bool start() {
    if (::pipe2(pipe.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
      return false;
    }
    finished_event = event_new(loop.base(), pipe[0], EV_READ | EV_PERSIST,
                               on_batches_finished, this);
    event_add(finished_event, nullptr);
    writer = std::thread([this] { write_batches(); });
    return true;
  }

  // Runs on the writer's thread.
  void write_batches() {
    std::unique_lock lock(guard);
    while (true) {
      wake.wait(lock, [this] { return stopping || !waiting.empty(); });
      if (waiting.empty()) {
        return;
      }
      std::vector<pending_write> writing = std::exchange(waiting, {});
      lock.unlock();
      commit(writing);
      lock.lock();
      for (pending_write& each : writing) {
        each.failed = failure;
        done.push_back(std::move(each));
      }
      const char signal = 1;
      if (::write(pipe[1], &signal, 1) < 0) {
        continue;  // the pipe is full: a wake-up is already on its way
      }
    }
  }

  // Writes and syncs one batch; sets `failure` if it is not durable. Without
  // records, there is nothing to sync: earlier batches are durable or failed.
  void commit(std::vector<pending_write>& batch) {
    bool has_records = false;
    for (pending_write& each : batch) {
      if (!failure && !each.records.empty()) {
        has_records = true;
        append(each);
      }
    }
    if (failure || !has_records) {
      return;
    }
    const std::uint64_t began = loop.now_us();
    failure = log->sync();
    constexpr double us_per_ms = 1000;
    const double ms = static_cast<double>(loop.now_us() - began) / us_per_ms;
    const std::scoped_lock lock(guard);
    ++totals.syncs;
    totals.max_sync_ms = std::max(totals.max_sync_ms, ms);
  }

  void append(pending_write& each) {
    result<std::vector<record_location>> locations = log->append(each.records);
    if (!locations) {
      failure = locations.error();
      return;
    }
    each.locations = std::move(locations.value());
    const std::scoped_lock lock(guard);
    for (const disk_record& record : each.records) {
      const std::size_t bytes = record.key.size() + record.value.size();
      totals.bytes_accepted += bytes;
      totals.bytes_written += bytes + segment_log::frame_bytes;
    }
  }

  // Runs on the event loop's thread.
  static void on_batches_finished(evutil_socket_t socket, short,
                                  void* context) {
    auto* self = static_cast<impl*>(context);
    std::array<char, 64> signals{};
    while (::read(socket, signals.data(), signals.size()) > 0) {
    }
    std::vector<pending_write> completed;
    {
      const std::scoped_lock lock(self->guard);
      completed.swap(self->done);
    }
    for (pending_write& each : completed) {
      self->complete(each);
    }
  }

  void complete(pending_write& each) {
    if (!each.failed) {
      log->add_to_index(each.records, each.locations);
    } else if (!failure_logged) {
      failure_logged = true;
      log_error("disk_failed", {{"cause", each.failed.message()}});
    }
    if (each.done) {
      each.done(each.failed ? make_error_code(errc::disk_failed)
                            : std::error_code());
    }
  }

  event_loop& loop;
  std::unique_ptr<disk_files> files;
  std::unique_ptr<segment_log> log;
  std::array<int, 2> pipe{-1, -1};
  event* finished_event = nullptr;
  mutable std::mutex guard;
  std::condition_variable wake;
  std::vector<pending_write> waiting;
  std::vector<pending_write> done;
  bool stopping = false;
  disk_statistics totals;
  std::error_code failure;  // of the writer's thread; the first failure is kept
  bool failure_logged = false;
  std::thread writer;
};

record_disk::record_disk(std::unique_ptr<impl> made) : impl_(std::move(made)) {}

record_disk::~record_disk() = default;

result<std::unique_ptr<record_disk>> record_disk::open(
    event_loop& loop, std::unique_ptr<disk_files> files,
    const segment_log::visitor& visit) {
  auto made = std::make_unique<impl>(loop, std::move(files));
  result<std::unique_ptr<segment_log>> log =
      segment_log::open(*made->files, visit);
  if (!log) {
    return log.error();
  }
  made->log = std::move(log.value());
  if (!made->start()) {
    return errc::disk_failed;
  }
  return std::unique_ptr<record_disk>(new record_disk(std::move(made)));
}

std::optional<std::string> record_disk::read(const std::string& key) const {
  return impl_->log->read(key);
}

void record_disk::write(std::vector<disk_record> records, done_callback done) {
  {
    const std::scoped_lock lock(impl_->guard);
    impl_->waiting.push_back({std::move(records), std::move(done), {}});
  }
  impl_->wake.notify_one();
}

void record_disk::erase(const std::vector<std::string>& keys) {
  impl_->log->erase(keys);
}

bool record_disk::is_sparse(const std::string& key) const {
  return impl_->log->is_sparse(key);
}

disk_statistics record_disk::statistics() const {
  const std::scoped_lock lock(impl_->guard);
  disk_statistics made = impl_->totals;
  made.segments = impl_->log->segments();
  made.bytes_in_use = impl_->log->bytes_in_use();
  return made;
}

}  // namespace trayrock
