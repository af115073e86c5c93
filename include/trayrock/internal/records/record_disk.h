// A record store's disk: a log of segments, written by one thread in synced
// batches.
//
// Writes that come while a batch is being synced form the next batch (group
// commit). Callbacks come on the event loop once the batch is durable. A disk
// that stalls holds up the callbacks and nothing else. After a failed write
// nothing more is taken: what is on the disk then is not known.
//
// Example:
//   auto disk = record_disk::open(loop, "/data", visit);
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

// What the disk has done since it was opened.
struct disk_figures {
  std::uint64_t bytes_taken = 0;    // keys and values
  std::uint64_t bytes_written = 0;  // frames and heads of files
  std::uint64_t syncs = 0;
  double longest_sync_ms = 0;
  std::size_t segments = 0;
};

class record_disk {
 public:
  using done_callback = std::function<void(std::error_code)>;

  // Reads the folder; `visit` sees each record in the order of writing. Errors:
  // errc::disk_failed; errc::disk_format where files of another format lie.
  static result<std::unique_ptr<record_disk>> open(
      event_loop& loop, const std::string& folder,
      const segment_log::visitor& visit);

  record_disk(const record_disk&) = delete;
  record_disk& operator=(const record_disk&) = delete;
  ~record_disk();

  // The value of a key, if it is on the disk.
  std::optional<std::string> read(const std::string& key) const;

  // Makes the records durable, after all earlier ones. With none, calls back
  // once the earlier ones are.
  void write(std::vector<disk_record> records, done_callback done);

  // Erases without waiting.
  void erase(const std::vector<std::string>& keys);

  disk_figures figures() const;

  struct impl;

 private:
  explicit record_disk(std::unique_ptr<impl> made);
  std::unique_ptr<impl> impl_;
};

}  // namespace trayrock
