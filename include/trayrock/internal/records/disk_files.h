// File system interface of the segment log.
//
// A created file survives a power loss once it has been synced itself. A
// removed file may reappear after a power loss. Tests use a simulated disk
// instead (test/volatile_disk.h).
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

// One open file. Only one thread may append and sync; other threads may read
// concurrently.
class disk_file {
 public:
  disk_file() = default;
  disk_file(const disk_file&) = delete;
  disk_file& operator=(const disk_file&) = delete;
  virtual ~disk_file() = default;

  // All methods return the error code of the operating system.
  virtual std::error_code append(std::string_view bytes) = 0;
  virtual std::error_code sync() = 0;

  // Reads up to `length` bytes at an offset; fewer at the end of the file.
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

// A directory of the file system, created if it does not exist.
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
