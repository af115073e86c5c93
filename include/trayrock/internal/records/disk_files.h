// The files of a record store's folder, as the log of segments uses them.
//
// A file that was made lasts once it has been synced itself. One that was
// removed may be back after a loss of power. Tests put a disk of their own in
// the place of the folder (test/volatile_disk.h).
//
// Example:
//   posix_files files("/data");
//   auto made = files.create("1.log");
//   if (made && !made.value()->append(bytes)) made.value()->sync();
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "trayrock/result.h"

namespace trayrock {

// One open file. Appending and syncing are for one thread; reading may go on
// beside them.
class disk_file {
 public:
  disk_file() = default;
  disk_file(const disk_file&) = delete;
  disk_file& operator=(const disk_file&) = delete;
  virtual ~disk_file() = default;

  // Errors of all: what the system says.
  virtual std::error_code append(std::string_view bytes) = 0;
  virtual std::error_code sync() = 0;

  // The bytes from an offset on, at most `length`; fewer at the file's end.
  virtual result<std::string> read(std::uint64_t offset,
                                   std::size_t length) const = 0;
  virtual result<std::string> read_all() const = 0;
};

class disk_files {
 public:
  disk_files() = default;
  disk_files(const disk_files&) = delete;
  disk_files& operator=(const disk_files&) = delete;
  virtual ~disk_files() = default;

  virtual result<std::vector<std::string>> names() const = 0;
  virtual result<std::unique_ptr<disk_file>> create(
      const std::string& name) = 0;
  virtual result<std::unique_ptr<disk_file>> open(
      const std::string& name) const = 0;
  virtual std::error_code remove(const std::string& name) = 0;
};

// A folder of the system; it is made if it is not there.
class posix_files final : public disk_files {
 public:
  explicit posix_files(std::string folder);

  result<std::vector<std::string>> names() const override;
  result<std::unique_ptr<disk_file>> create(const std::string& name) override;
  result<std::unique_ptr<disk_file>> open(
      const std::string& name) const override;
  std::error_code remove(const std::string& name) override;

 private:
  std::string folder_;
};

}  // namespace trayrock
