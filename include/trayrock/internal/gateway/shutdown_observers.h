// Callbacks that are called once, shortly before the process stops, such as
// those of open requests that need a response.
//
// Example:
//   shutdown_observers observers;
//   const auto subscription = observers.add([&] { request.fail(); });
//   observers.notify();  // calls all whose subscription exists
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace trayrock {

class shutdown_observers {
 public:
  using callback = std::function<void()>;

  // Removes its callback when destroyed. The observers must outlive it.
  class subscription {
   public:
    subscription() = default;
    subscription(shutdown_observers& owner, std::uint64_t id)
        : owner_(&owner), id_(id) {}
    subscription(subscription&& from) noexcept
        : owner_(std::exchange(from.owner_, nullptr)), id_(from.id_) {}
    subscription& operator=(subscription&& from) noexcept {
      std::swap(owner_, from.owner_);
      std::swap(id_, from.id_);
      return *this;
    }
    ~subscription() {
      if (owner_ != nullptr) {
        owner_->callbacks_.erase(id_);
      }
    }

   private:
    shutdown_observers* owner_ = nullptr;
    std::uint64_t id_ = 0;
  };

  [[nodiscard]] subscription add(callback on_shutdown) {
    callbacks_[++last_id_] = std::move(on_shutdown);
    return {*this, last_id_};
  }

  // Calls each callback and removes it. A callback may destroy any
  // subscription, its own included.
  void notify() {
    while (!callbacks_.empty()) {
      const callback next = std::move(callbacks_.begin()->second);
      callbacks_.erase(callbacks_.begin());
      next();
    }
  }

 private:
  std::map<std::uint64_t, callback> callbacks_;
  std::uint64_t last_id_ = 0;
};

}  // namespace trayrock
