// A record store's disk: LevelDB, written by one thread in synced batches.
//
// Writes that come while a batch is being synced form the next batch (group
// commit). Callbacks come on the event loop once the batch is durable. A disk
// that stalls holds up the callbacks and nothing else. After a failed write
// nothing more is taken: what is on the disk then is not known.
//
// Example:
//   auto disk = record_disk::open(loop, "/data");
//   disk.value()->write({{"t/a1", bytes}}, [](std::error_code) { ... });
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "trayrock/internal/net/loop.h"
#include "trayrock/result.h"

namespace trayrock {

struct disk_change {
  std::string key;
  std::string value;
  bool erase = false;
};

class record_disk {
 public:
  using visitor =
      std::function<void(std::string_view key, std::string_view value)>;
  using done_callback = std::function<void(std::error_code)>;

  // Errors: errc::disk_failed. A disk that cannot be read as one of ours is
  // emptied, which the log says: its store is then a new one.
  static result<std::unique_ptr<record_disk>> open(event_loop& loop,
                                                   const std::string& folder);

  record_disk(const record_disk&) = delete;
  record_disk& operator=(const record_disk&) = delete;
  ~record_disk();

  // Visits everything on the disk, in order of the keys.
  void read_all(const visitor& visit) const;

  // The value of a key, if it is on the disk.
  std::optional<std::string> read(const std::string& key) const;

  // Makes the changes durable, after all earlier ones.
  void write(std::vector<disk_change> changes, done_callback done);

  // Erases without waiting.
  void erase(std::vector<std::string> keys);

  // How long the oldest write has been waiting; zero if none is.
  milliseconds oldest_wait() const;

  struct impl;

 private:
  explicit record_disk(std::unique_ptr<impl> made);
  std::unique_ptr<impl> impl_;
};

}  // namespace trayrock
