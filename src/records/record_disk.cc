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
    std::vector<record_place> places;  // once written
    std::error_code failed;
  };

  impl(event_loop& loop_in, const std::string& folder)
      : loop(loop_in), files(folder) {}
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
    if (finished != nullptr) {
      event_free(finished);
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
    finished = event_new(loop.base(), pipe[0], EV_READ | EV_PERSIST,
                         on_finished, this);
    event_add(finished, nullptr);
    writer = std::thread([this] { run(); });
    return true;
  }

  // The writer's thread.
  void run() {
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

  // One batch; `failure` says whether it is durable.
  void commit(std::vector<pending_write>& batch) {
    for (pending_write& each : batch) {
      if (!failure && !each.records.empty()) {
        append(each);
      }
    }
    if (failure) {
      return;
    }
    const std::uint64_t began = loop.now_us();
    failure = log->sync();
    constexpr double us_per_ms = 1000;
    const double ms = static_cast<double>(loop.now_us() - began) / us_per_ms;
    const std::scoped_lock lock(guard);
    ++seen.syncs;
    seen.longest_sync_ms = std::max(seen.longest_sync_ms, ms);
  }

  void append(pending_write& each) {
    result<std::vector<record_place>> places = log->append(each.records);
    if (!places) {
      failure = places.error();
      return;
    }
    each.places = std::move(places.value());
    const std::scoped_lock lock(guard);
    for (const disk_record& record : each.records) {
      const std::size_t bytes = record.key.size() + record.value.size();
      seen.bytes_taken += bytes;
      seen.bytes_written += bytes + segment_log::frame_bytes;
    }
  }

  // The event loop's thread.
  static void on_finished(evutil_socket_t socket, short, void* context) {
    auto* self = static_cast<impl*>(context);
    std::array<char, 64> signals{};
    while (::read(socket, signals.data(), signals.size()) > 0) {
    }
    std::vector<pending_write> ended;
    {
      const std::scoped_lock lock(self->guard);
      ended.swap(self->done);
    }
    for (pending_write& each : ended) {
      self->end(each);
    }
  }

  void end(pending_write& each) {
    if (!each.failed) {
      log->keep(each.records, each.places);
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
  posix_files files;
  std::unique_ptr<segment_log> log;
  std::array<int, 2> pipe{-1, -1};
  event* finished = nullptr;
  mutable std::mutex guard;
  std::condition_variable wake;
  std::vector<pending_write> waiting;
  std::vector<pending_write> done;
  bool stopping = false;
  disk_figures seen;
  std::error_code failure;  // of the writer's thread; the first one stays
  bool failure_logged = false;
  std::thread writer;
};

record_disk::record_disk(std::unique_ptr<impl> made) : impl_(std::move(made)) {}

record_disk::~record_disk() = default;

result<std::unique_ptr<record_disk>> record_disk::open(
    event_loop& loop, const std::string& folder,
    const segment_log::visitor& visit) {
  auto made = std::make_unique<impl>(loop, folder);
  result<std::unique_ptr<segment_log>> log =
      segment_log::open(made->files, visit);
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

disk_figures record_disk::figures() const {
  const std::scoped_lock lock(impl_->guard);
  disk_figures made = impl_->seen;
  made.segments = impl_->log->segments();
  return made;
}

}  // namespace trayrock
