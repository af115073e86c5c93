// Simulated disk that loses power: synced data stays; each unsynced write is
// randomly kept, lost or torn.
#pragma once

#include <map>
#include <random>
#include <set>

#include "trayrock/internal/records/disk_files.h"

namespace trayrock::testing {

// Content of a file: the synced bytes and the unsynced writes after them.
struct file_content {
  std::string synced;
  std::vector<std::string> unsynced;
  bool durable = false;  // was synced at least once

  std::string all() const {
    std::string whole = synced;
    for (const std::string& each : unsynced) {
      whole += each;
    }
    return whole;
  }
};
using file_content_ptr = std::shared_ptr<file_content>;

// Counts the calls that change the disk, and turns the power off at a chosen
// one; counts reads too.
struct power_switch {
  int reads = 0;
  int calls_left = -1;  // -1: unlimited
  bool off = false;

  // Returns false once the power is off.
  bool record_call() {
    if (calls_left == 0) {
      off = true;
    }
    calls_left -= calls_left > 0 ? 1 : 0;
    return !off;
  }
};

class volatile_file final : public disk_file {
 public:
  volatile_file(file_content_ptr content, power_switch& power)
      : content_(std::move(content)), power_(power) {}

  std::error_code append(std::string_view bytes) override {
    if (power_.record_call()) {
      content_->unsynced.emplace_back(bytes);
    }
    return {};
  }

  std::error_code sync() override {
    if (power_.record_call()) {
      content_->synced = content_->all();
      content_->unsynced.clear();
      content_->durable = true;
    }
    return {};
  }

  result<std::string> read(std::uint64_t offset,
                           std::size_t length) const override {
    ++power_.reads;
    const std::string whole = content_->all();
    return offset > whole.size() ? std::string() : whole.substr(offset, length);
  }

  result<std::string> read_all() const override { return content_->all(); }

 private:
  file_content_ptr content_;
  power_switch& power_;
};

class volatile_disk final : public disk_files {
 public:
  explicit volatile_disk(std::uint64_t seed) : random_(seed) {}

  power_switch& power() { return power_; }

  // Turns the power on; each file is in a state that a power loss may leave.
  void restore() {
    power_ = {};
    std::map<std::string, file_content_ptr> after;
    for (const auto& [name, content] : files_) {
      if (content->durable || random_bool()) {
        after[name] = after_power_loss(*content);
      }
    }
    for (const auto& [name, content] : removed_) {
      if (random_bool()) {
        after[name] = after_power_loss(*content);
      }
    }
    files_ = std::move(after);
    removed_.clear();
  }

  result<std::vector<std::string>> names() const override {
    std::vector<std::string> found;
    for (const auto& [name, content] : files_) {
      found.push_back(name);
    }
    return found;
  }

  result<std::unique_ptr<disk_file>> create(const std::string& name) override {
    if (files_.contains(name)) {
      return std::make_error_code(std::errc::file_exists);
    }
    auto made = std::make_shared<file_content>();
    if (power_.record_call()) {
      files_[name] = made;
    }
    return std::unique_ptr<disk_file>(
        std::make_unique<volatile_file>(made, power_));
  }

  result<std::unique_ptr<disk_file>> open(
      const std::string& name) const override {
    return std::unique_ptr<disk_file>(
        std::make_unique<volatile_file>(files_.at(name), power_));
  }

  std::error_code remove(const std::string& name) override {
    if (power_.record_call()) {
      removed_[name] = files_.at(name);
      files_.erase(name);
    }
    return {};
  }

  void put(const std::string& name, const std::string& bytes) {
    files_[name] =
        std::make_shared<file_content>(file_content{bytes, {}, true});
  }

 private:
  bool random_bool() { return random_() % 2 == 0; }

  // Each write after the last sync is kept, lost (it reads as zeros) or torn.
  file_content_ptr after_power_loss(const file_content& content) {
    std::string bytes = content.synced;
    for (const std::string& each : content.unsynced) {
      switch (random_() % 3) {
        case 0:
          bytes += each;
          break;
        case 1:
          bytes += std::string(each.size(), '\0');
          break;
        default:
          bytes += each.substr(0, random_() % (each.size() + 1));
          bytes.resize(bytes.size() + random_() % 7, '\0');
          break;
      }
    }
    return std::make_shared<file_content>(file_content{bytes, {}, true});
  }

  mutable power_switch power_;
  std::mt19937_64 random_;
  std::map<std::string, file_content_ptr> files_;
  // Removed files, which may reappear after a power loss.
  std::map<std::string, file_content_ptr> removed_;
};

}  // namespace trayrock::testing
