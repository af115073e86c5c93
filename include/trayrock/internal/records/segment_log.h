// Append-only log of records in segment files, with an index in memory.
//
// Records are never sorted or merged, so that the cost of a write does not grow
// with the size of the log. Most records of a file expire at about the same
// time, and the file is removed with the last of them. A file of which little
// is still in use is sparse: the caller rewrites its records, so that space
// on disk is bounded by the records in use.
//
// A file starts with a header, and each record has a checksum. Data that was
// not synced before a power loss may be missing or torn; reading of the file
// stops there, and nothing after that was acknowledged. Writing continues in a
// new file.
//
// Not thread-safe: append() and sync() must be called from one thread and all
// other methods from one other thread, to which the locations are passed.
//
// Example:
//   auto log = segment_log::open(files, visit);
//   auto locations = log.value()->append(changes);
//   if (locations && !log.value()->sync()) {
//     log.value()->add_to_index(changes, locations.value());
//   }
//   log.value()->read("t/a1");
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trayrock/internal/records/disk_files.h"
#include "trayrock/result.h"

namespace trayrock {

struct disk_record {
  std::string key;
  std::string value;
};

struct record_location {
  std::uint32_t segment = 0;  // the file's number
  std::uint32_t offset = 0;   // of its frame
  std::uint32_t size = 0;     // of its frame, in bytes
};

class segment_log {
 public:
  using visitor =
      std::function<void(std::string_view key, std::string_view value)>;

  // Overhead of a record on disk, in addition to its key and value.
  static constexpr std::size_t frame_bytes = 12;

  // A new file is started once the current one has reached this size.
  static constexpr std::size_t segment_bytes = 4U << 20;

  // Reads all records in the order of writing; of a key that was written twice,
  // the later record is indexed. All visited records are durable when this
  // returns. `files` must outlive the log. Errors:
  // errc::disk_failed; errc::disk_format if there are files of another format.
  static result<std::unique_ptr<segment_log>> open(disk_files& files,
                                                   const visitor& visit);

  segment_log(const segment_log&) = delete;
  segment_log& operator=(const segment_log&) = delete;
  ~segment_log();

  // ---- The writing thread ---------------------------------------------------

  // Appends records. They can be read once they are in the index. Returns the
  // error of the failed call, after which nothing more may be written.
  result<std::vector<record_location>> append(
      std::span<const disk_record> records);

  // Makes all appended records durable.
  std::error_code sync();

  // ---- The other thread -----------------------------------------------------

  // Adds durable records to the index.
  void add_to_index(std::span<const disk_record> records,
                    std::span<const record_location> locations);

  // The value of a key; nothing if it is not in the index or cannot be read. A
  // read failure is logged.
  std::optional<std::string> read(std::string_view key) const;

  // Removes records from the index, and files without records left, except the
  // newest in the index.
  void erase(std::span<const std::string> keys);

  // Whether a record is in a file of which less than half is in use. False for
  // unknown keys, and for the newest file in the index.
  bool is_sparse(std::string_view key) const;

  std::size_t segments() const;

  // Sizes of all frames in the index, in bytes.
  std::uint64_t bytes_in_use() const { return bytes_in_use_; }

 private:
  struct segment;
  using segment_ptr = std::shared_ptr<segment>;

  explicit segment_log(disk_files& files);
  std::error_code read_segments(const visitor& visit);
  std::error_code read_segment(std::uint32_t number, const std::string& name,
                               const visitor& visit);
  std::error_code sync_newest();
  std::error_code start_segment();
  void index_record(std::string_view key, const record_location& location);
  void release(const record_location& location);
  void remove_if_empty(const segment& emptied);
  segment_ptr find(std::uint32_t number) const;

  disk_files& files_;
  std::shared_ptr<segment> current_;  // of the writing thread
  std::uint32_t next_number_ = 1;     // likewise
  mutable std::mutex guard_;          // of `segments_`
  std::map<std::uint32_t, segment_ptr> segments_;
  // By a hash of the key; the frame contains the key itself.
  std::unordered_map<std::uint64_t, record_location> index_;
  std::uint64_t bytes_in_use_ = 0;
  std::uint32_t newest_indexed_ = 0;  // highest segment that was in the index
};

}  // namespace trayrock
