// A disk whose power can be cut: what was synced stays, of the rest each write
// is there, missing or torn, by lot.
#pragma once

#include <map>
#include <random>
#include <set>

#include "trayrock/internal/records/disk_files.h"

namespace trayrock::testing {

// One file: what is synced, and the writes behind that.
struct volatile_content {
  std::string synced;
  std::vector<std::string> unsynced;
  bool lasts = false;  // was synced once

  std::string all() const {
    std::string whole = synced;
    for (const std::string& each : unsynced) {
      whole += each;
    }
    return whole;
  }
};
using volatile_content_ptr = std::shared_ptr<volatile_content>;

// Counts the calls that change the disk, and stops taking them at a chosen one.
struct power_switch {
  int calls_left = -1;  // -1: no end
  bool off = false;

  // False once the power is gone.
  bool use() {
    if (calls_left == 0) {
      off = true;
    }
    calls_left -= calls_left > 0 ? 1 : 0;
    return !off;
  }
};

class volatile_file final : public disk_file {
 public:
  volatile_file(volatile_content_ptr content, power_switch& power)
      : content_(std::move(content)), power_(power) {}

  std::error_code append(std::string_view bytes) override {
    if (power_.use()) {
      content_->unsynced.emplace_back(bytes);
    }
    return {};
  }

  std::error_code sync() override {
    if (power_.use()) {
      content_->synced = content_->all();
      content_->unsynced.clear();
      content_->lasts = true;
    }
    return {};
  }

  result<std::string> read(std::uint64_t offset,
                           std::size_t length) const override {
    const std::string whole = content_->all();
    return offset > whole.size() ? std::string() : whole.substr(offset, length);
  }

  result<std::string> read_all() const override { return content_->all(); }

 private:
  volatile_content_ptr content_;
  power_switch& power_;
};

class volatile_disk final : public disk_files {
 public:
  explicit volatile_disk(std::uint64_t seed) : random_(seed) {}

  power_switch& power() { return power_; }

  // The power is back; each file is as a loss of power may leave it.
  void restore() {
    power_ = {};
    std::map<std::string, volatile_content_ptr> after;
    for (const auto& [name, content] : files_) {
      if (content->lasts || chance()) {
        after[name] = left_of(*content);
      }
    }
    for (const auto& [name, content] : removed_) {
      if (chance()) {
        after[name] = left_of(*content);
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
    auto made = std::make_shared<volatile_content>();
    if (power_.use()) {
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
    if (power_.use()) {
      removed_[name] = files_.at(name);
      files_.erase(name);
    }
    return {};
  }

  void put(const std::string& name, const std::string& bytes) {
    files_[name] =
        std::make_shared<volatile_content>(volatile_content{bytes, {}, true});
  }

 private:
  bool chance() { return random_() % 2 == 0; }

  // Each write behind the last sync is there, missing (its place reads as
  // zeros if a later one is there) or torn.
  volatile_content_ptr left_of(const volatile_content& content) {
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
    return std::make_shared<volatile_content>(
        volatile_content{bytes, {}, true});
  }

  mutable power_switch power_;
  std::mt19937_64 random_;
  std::map<std::string, volatile_content_ptr> files_;
  std::map<std::string, volatile_content_ptr> removed_;  // not for good
};

}  // namespace trayrock::testing
