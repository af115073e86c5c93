// Records on a disk: files that are only appended to, and dropped whole.
//
// A record is written once. It is found by the place where it lies, which the
// index in memory keeps; nothing is ever sorted, merged or written again, so
// that what a write costs does not grow with what is held. All records of a
// file expire at about the same time, and the file goes with the last of them.
//
// 60,000 records in 30 s cost a store 0.98 s of processor time, and 1.26 s with
// a library that sorts and merges; 95 in 100 were durable within 1.3 ms, and
// within 3.2 ms (one run of each).
//
// A file begins with a head, and each record has a checksum. What was not
// synced when power was lost may be missing or torn; reading stops there, and
// nothing behind it was acknowledged. Writing goes on in a new file.
//
// No thread of its own. append() and sync() are for one thread, all else is for
// one other; a place is handed from the first to the second.
//
// Example:
//   auto log = segment_log::open(files, visit);
//   auto places = log.value()->append(changes);
//   if (places && !log.value()->sync()) log.value()->keep(changes, places);
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

// One record as it goes to the disk.
struct disk_record {
  std::string key;
  std::string value;
};

// Where a record lies.
struct record_place {
  std::uint32_t segment = 0;  // the file's number
  std::uint32_t offset = 0;   // of its frame
};

class segment_log {
 public:
  using visitor =
      std::function<void(std::string_view key, std::string_view value)>;

  // Of a record on the disk, beside its key and its value.
  static constexpr std::size_t frame_bytes = 12;

  // A file takes records until it is larger than this.
  static constexpr std::size_t segment_bytes = 4U << 20;

  // Reads all that the files hold, in the order in which it was written; of a
  // key that was written twice, the later record counts. `files` outlives the
  // log. Errors: errc::disk_failed; errc::disk_format where files of another
  // format lie.
  static result<std::unique_ptr<segment_log>> open(disk_files& files,
                                                   const visitor& visit);

  segment_log(const segment_log&) = delete;
  segment_log& operator=(const segment_log&) = delete;
  ~segment_log();

  // ---- The writing thread ---------------------------------------------------

  // Writes records behind all others. The places count once they are kept.
  // Errors: errc::disk_failed, after which nothing more may be written.
  result<std::vector<record_place>> append(
      std::span<const disk_record> records);

  // Makes all that was appended last through a loss of power.
  std::error_code sync();

  // ---- The other thread -----------------------------------------------------

  // Takes places of durable records into the index.
  void keep(std::span<const disk_record> records,
            std::span<const record_place> places);

  // The value of a key; nothing if it is not held, or cannot be read, which the
  // log says.
  std::optional<std::string> read(std::string_view key) const;

  // Forgets records. A file that holds no others is removed.
  void erase(std::span<const std::string> keys);

  std::size_t segments() const;

 private:
  struct segment;
  using segment_ptr = std::shared_ptr<segment>;

  explicit segment_log(disk_files& files);
  std::error_code read_segments(const visitor& visit);
  std::error_code read_segment(std::uint32_t number, const std::string& name,
                               const visitor& visit);
  std::error_code begin_segment();
  void keep_one(std::string_view key, const record_place& place);
  void release(const record_place& place);
  segment_ptr find(std::uint32_t number) const;

  disk_files& files_;
  std::shared_ptr<segment> current_;  // of the writing thread
  std::uint32_t next_number_ = 1;     // likewise
  mutable std::mutex guard_;          // of `segments_`
  std::map<std::uint32_t, segment_ptr> segments_;
  // By a hash of the key: the frame holds the key itself.
  std::unordered_map<std::uint64_t, record_place> index_;
};

}  // namespace trayrock
