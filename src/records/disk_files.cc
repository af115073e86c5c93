#include "trayrock/internal/records/disk_files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

namespace trayrock {
namespace {

std::error_code last_error() { return {errno, std::generic_category()}; }

class posix_file final : public disk_file {
 public:
  explicit posix_file(int file) : file_(file) {}
  ~posix_file() override { close(file_); }

  std::error_code append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t done = ::write(file_, bytes.data(), bytes.size());
      if (done < 0 && errno != EINTR) {
        return last_error();
      }
      bytes.remove_prefix(done < 0 ? 0 : static_cast<std::size_t>(done));
    }
    return {};
  }

  std::error_code sync() override {
    return fdatasync(file_) == 0 ? std::error_code() : last_error();
  }

  result<std::string> read_all() const override {
    struct stat status {};
    if (fstat(file_, &status) != 0) {
      return last_error();
    }
    return read(0, static_cast<std::size_t>(status.st_size));
  }

  result<std::string> read(std::uint64_t offset,
                           std::size_t length) const override {
    std::string bytes(length, '\0');
    std::size_t filled = 0;
    while (filled < length) {
      const ssize_t got = pread(file_, bytes.data() + filled, length - filled,
                                static_cast<off_t>(offset + filled));
      if (got < 0 && errno != EINTR) {
        return last_error();
      }
      if (got == 0) {
        break;
      }
      filled += got < 0 ? 0 : static_cast<std::size_t>(got);
    }
    bytes.resize(filled);
    return bytes;
  }

 private:
  int file_;
};

result<std::unique_ptr<disk_file>> open_file(const std::string& path,
                                             int flags) {
  constexpr mode_t owner_only = 0600;
  const int file = ::open(path.c_str(), flags | O_CLOEXEC, owner_only);
  if (file < 0) {
    return last_error();
  }
  return std::unique_ptr<disk_file>(std::make_unique<posix_file>(file));
}

}  // namespace

posix_files::posix_files(std::string folder) : folder_(std::move(folder)) {
  std::error_code ignored;  // the folder may exist already
  std::filesystem::create_directories(folder_, ignored);
}

result<std::vector<std::string>> posix_files::names() const {
  std::vector<std::string> found;
  std::error_code failed;
  for (std::filesystem::directory_iterator each(folder_, failed);
       !failed && each != std::filesystem::directory_iterator();
       each.increment(failed)) {
    found.push_back(each->path().filename().string());
  }
  if (failed) {
    return failed;
  }
  return found;
}

result<std::unique_ptr<disk_file>> posix_files::create(
    const std::string& name) {
  return open_file(folder_ + "/" + name, O_RDWR | O_CREAT | O_EXCL | O_APPEND);
}

result<std::unique_ptr<disk_file>> posix_files::open(
    const std::string& name) const {
  return open_file(folder_ + "/" + name, O_RDONLY);
}

std::error_code posix_files::remove(const std::string& name) {
  return unlink((folder_ + "/" + name).c_str()) == 0 ? std::error_code()
                                                     : last_error();
}

}  // namespace trayrock
