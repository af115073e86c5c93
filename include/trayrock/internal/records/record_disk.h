// Durable storage of a record store: a segment log that one thread writes in
// synced batches.
//
// Writes that arrive while a batch is being synced form the next batch (group
// commit). Callbacks run on the event loop once the batch is durable; a stalled
// disk delays only them. After a failed write all further writes fail, since
// the content of the disk is unknown.
//
// Example:
//   auto disk =
//       record_disk::open(loop, std::make_unique<posix_files>("/data"), visit);
//   disk.value()->write({{"t/a1", bytes}}, [](std::error_code) { ... });
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "trayrock/internal/net/loop.h"
#include "trayrock/internal/records/segment_log.h"
#include "trayrock/result.h"

namespace trayrock {

// Totals since the disk was opened.
struct disk_statistics {
  std::uint64_t bytes_accepted = 0;  // keys and values
  std::uint64_t bytes_written = 0;   // including frame headers
  std::uint64_t syncs = 0;
  double max_sync_ms = 0;
  std::size_t segments = 0;
  std::uint64_t bytes_in_use = 0;  // frames of the records that can be read
};

class record_disk {
 public:
  using done_callback = std::function<void(std::error_code)>;

  // Reads the files; calls `visit` for each record in the order of writing.
  // Errors: errc::disk_failed; errc::disk_format if there are files of another
  // format.
  static result<std::unique_ptr<record_disk>> open(
      event_loop& loop, std::unique_ptr<disk_files> files,
      const segment_log::visitor& visit);

  record_disk(const record_disk&) = delete;
  record_disk& operator=(const record_disk&) = delete;
  ~record_disk();

  // The value of a key, if it is on disk.
  std::optional<std::string> read(const std::string& key) const;

  // Makes the records durable, after all earlier ones. Without records, calls
  // back once the earlier ones are durable.
  void write(std::vector<disk_record> records, done_callback done);

  // Erases the keys immediately, without syncing.
  void erase(const std::vector<std::string>& keys);

  // Whether a record is in a file of which less than half is in use.
  bool is_sparse(const std::string& key) const;

  disk_statistics statistics() const;

  struct impl;

 private:
  explicit record_disk(std::unique_ptr<impl> made);
  std::unique_ptr<impl> impl_;
};

}  // namespace trayrock
