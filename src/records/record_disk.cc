#include "trayrock/internal/records/record_disk.h"

#include <event2/event.h>
#include <event2/util.h>
#include <fcntl.h>
#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/filter_policy.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <filesystem>
#include <mutex>
#include <thread>
#include <utility>

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// Two buffers of this size are the most memory that unsorted writes take.
// With 1 MB a store of 0.17 cores stalls in merging files under a burst.
constexpr std::size_t write_buffer_bytes = 4U << 20;
constexpr std::size_t block_cache_bytes = 1U << 20;
constexpr int open_files = 64;
// Ten bits a key let one read in a hundred look into a file in vain; without
// them a key is looked for in every file that may hold it.
constexpr int filter_bits_a_key = 10;

// A file read by pread. LevelDB's own maps files into memory, where they count
// as the process's.
class plain_file final : public leveldb::RandomAccessFile {
 public:
  plain_file(std::string name, int file)
      : name_(std::move(name)), file_(file) {}
  plain_file(const plain_file&) = delete;
  plain_file& operator=(const plain_file&) = delete;
  ~plain_file() override { close(file_); }

  leveldb::Status Read(std::uint64_t offset, std::size_t length,
                       leveldb::Slice* result, char* scratch) const override {
    const ssize_t got =
        pread(file_, scratch, length, static_cast<off_t>(offset));
    if (got < 0) {
      return leveldb::Status::IOError(name_, std::strerror(errno));
    }
    *result = leveldb::Slice(scratch, static_cast<std::size_t>(got));
    return leveldb::Status::OK();
  }

 private:
  std::string name_;
  int file_;
};

class plain_file_env final : public leveldb::EnvWrapper {
 public:
  plain_file_env() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

  leveldb::Status NewRandomAccessFile(
      const std::string& name, leveldb::RandomAccessFile** made) override {
    const int file = ::open(name.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) {
      return leveldb::Status::IOError(name, std::strerror(errno));
    }
    *made = new plain_file(name, file);
    return leveldb::Status::OK();
  }
};

leveldb::Env* disk_env() {
  static plain_file_env env;
  return &env;
}

leveldb::Cache* disk_cache() {
  static leveldb::Cache* cache = leveldb::NewLRUCache(block_cache_bytes);
  return cache;
}

const leveldb::FilterPolicy* disk_filter() {
  static const leveldb::FilterPolicy* filter =
      leveldb::NewBloomFilterPolicy(filter_bits_a_key);
  return filter;
}

leveldb::Options disk_options() {
  leveldb::Options options;
  options.env = disk_env();
  options.block_cache = disk_cache();
  options.create_if_missing = true;
  options.filter_policy = disk_filter();
  options.paranoid_checks = false;
  options.write_buffer_size = write_buffer_bytes;
  options.max_open_files = open_files;
  options.compression = leveldb::kNoCompression;
  options.reuse_logs = false;
  return options;
}

// LevelDB renames its CURRENT file without syncing the folder behind it.
bool sync_folder(const std::string& folder) {
  const int opened = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (opened < 0) {
    return false;
  }
  const bool synced = fsync(opened) == 0;
  close(opened);
  return synced;
}

leveldb::DB* open_database(const std::string& folder) {
  leveldb::DB* opened = nullptr;
  leveldb::Status status = leveldb::DB::Open(disk_options(), folder, &opened);
  if (!status.ok()) {
    log_error("disk_unreadable", {{"folder", folder},
                                  {"cause", status.ToString()},
                                  {"outcome", "emptied"}});
    leveldb::DestroyDB(folder, disk_options());
    status = leveldb::DB::Open(disk_options(), folder, &opened);
  }
  if (!status.ok()) {
    log_error("disk_failed",
              {{"folder", folder}, {"cause", status.ToString()}});
    return nullptr;
  }
  return opened;
}

}  // namespace

struct record_disk::impl {
  struct pending_write {
    std::vector<disk_change> changes;
    done_callback done;
    std::uint64_t queued_at_ms = 0;
    bool sync = true;
  };

  explicit impl(event_loop& loop_in) : loop(loop_in) {}
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
      writing = std::exchange(waiting, {});
      lock.unlock();
      const bool good = commit();
      lock.lock();
      for (pending_write& each : writing) {
        done.emplace_back(std::move(each.done), good);
      }
      writing.clear();
      const char signal = 1;
      if (::write(pipe[1], &signal, 1) < 0) {
        continue;  // the pipe is full: a wake-up is already on its way
      }
    }
  }

  bool commit() {
    leveldb::WriteBatch batch;
    bool sync = false;
    for (const pending_write& each : writing) {
      sync = sync || each.sync;
      for (const disk_change& change : each.changes) {
        if (change.erase) {
          batch.Delete(change.key);
        } else {
          batch.Put(change.key, change.value);
        }
      }
    }
    if (failed) {
      return false;
    }
    leveldb::WriteOptions options;
    options.sync = sync;
    const leveldb::Status status = database->Write(options, &batch);
    if (!status.ok()) {
      failed = true;
      failure = status.ToString();
    }
    return status.ok();
  }

  static void on_finished(evutil_socket_t socket, short, void* context) {
    auto* self = static_cast<impl*>(context);
    std::array<char, 64> signals{};
    while (::read(socket, signals.data(), signals.size()) > 0) {
    }
    std::vector<std::pair<done_callback, bool>> ended;
    {
      const std::scoped_lock lock(self->guard);
      ended.swap(self->done);
    }
    for (auto& [tell, good] : ended) {
      if (!good && !self->failure_logged) {
        self->failure_logged = true;
        log_error("disk_failed", {{"cause", self->failure}});
      }
      if (tell) {
        tell(good ? std::error_code() : make_error_code(errc::disk_failed));
      }
    }
  }

  event_loop& loop;
  std::unique_ptr<leveldb::DB> database;
  std::array<int, 2> pipe{-1, -1};
  event* finished = nullptr;
  std::mutex guard;
  std::condition_variable wake;
  std::vector<pending_write> waiting;
  std::vector<pending_write> writing;
  std::vector<std::pair<done_callback, bool>> done;
  bool stopping = false;
  bool failed = false;
  bool failure_logged = false;
  std::string failure;
  std::thread writer;
};

record_disk::record_disk(std::unique_ptr<impl> made) : impl_(std::move(made)) {}

record_disk::~record_disk() = default;

result<std::unique_ptr<record_disk>> record_disk::open(
    event_loop& loop, const std::string& folder) {
  std::error_code ignored;  // an existing folder is what is wanted
  std::filesystem::create_directories(folder, ignored);
  auto made = std::make_unique<impl>(loop);
  made->database.reset(open_database(folder));
  if (made->database == nullptr || !sync_folder(folder) || !made->start()) {
    return errc::disk_failed;
  }
  return std::unique_ptr<record_disk>(new record_disk(std::move(made)));
}

void record_disk::read_all(const visitor& visit) const {
  leveldb::ReadOptions once;
  once.fill_cache = false;
  const std::unique_ptr<leveldb::Iterator> each(
      impl_->database->NewIterator(once));
  for (each->SeekToFirst(); each->Valid(); each->Next()) {
    visit({each->key().data(), each->key().size()},
          {each->value().data(), each->value().size()});
  }
  if (!each->status().ok()) {
    log_error("disk_read_incomplete", {{"cause", each->status().ToString()}});
  }
}

std::optional<std::string> record_disk::read(const std::string& key) const {
  std::string value;
  const leveldb::Status status =
      impl_->database->Get(leveldb::ReadOptions(), key, &value);
  if (status.ok()) {
    return value;
  }
  if (!status.IsNotFound()) {
    log_error("disk_read_failed", {{"cause", status.ToString()}});
  }
  return std::nullopt;
}

void record_disk::write(std::vector<disk_change> changes, done_callback done) {
  {
    const std::scoped_lock lock(impl_->guard);
    impl_->waiting.push_back(
        {std::move(changes), std::move(done), impl_->loop.now_ms(), true});
  }
  impl_->wake.notify_one();
}

void record_disk::erase(std::vector<std::string> keys) {
  std::vector<disk_change> changes;
  changes.reserve(keys.size());
  for (std::string& each : keys) {
    changes.push_back({std::move(each), {}, true});
  }
  const std::scoped_lock lock(impl_->guard);
  impl_->waiting.push_back(
      {std::move(changes), nullptr, impl_->loop.now_ms(), false});
}

milliseconds record_disk::oldest_wait() const {
  const std::scoped_lock lock(impl_->guard);
  const auto& oldest = impl_->writing.empty() ? impl_->waiting : impl_->writing;
  if (oldest.empty()) {
    return milliseconds(0);
  }
  return milliseconds(impl_->loop.now_ms() - oldest.front().queued_at_ms);
}

}  // namespace trayrock
