// Which data centres the operator is emptying, as a gateway knows it.
//
// An evacuation is an object of the platform, named after the data centre: from
// its creation on nothing is sent to the endpoints there, until it is removed.
// What is known comes from this gateway's own watch or from a gateway that
// watches for others; it is told whole, with the platform's revision, and an
// older one never replaces a later one.
//
// Example:
//   evacuation_view view(loop, objects, pace);
//   view.start([](const evacuation_list& held) { endpoints.evacuate(held); });
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "platform/collection_watcher.h"
#include "trayrock/internal/gateway/evacuation_list.h"

namespace trayrock {

class evacuation_view {
 public:
  using adopted_callback = std::function<void(const evacuation_list&)>;

  // Nothing in place of a pace: this operator empties no data centres, and the
  // platform is not asked. All that is passed in by reference outlives the
  // object.
  evacuation_view(event_loop& loop, platform::object_store& objects,
                  const std::optional<platform::watch_pace>& pace);
  evacuation_view(const evacuation_view&) = delete;
  evacuation_view& operator=(const evacuation_view&) = delete;

  // `adopted` is told of each list, also of one that differs from the one
  // before by its revision only.
  void start(adopted_callback adopted);

  const evacuation_list& held() const { return held_; }

  // What another gateway has told.
  void take_told(const evacuation_list& told);

  // Others watch the platform for this gateway, or not any more
  // (platform/collection_watcher.h).
  bool hold();
  void release(bool patient);

 private:
  void adopt(data_centre_set data_centres, std::uint64_t revision);

  std::optional<platform::collection_watcher> watcher_;
  adopted_callback adopted_;
  evacuation_list held_;
};

}  // namespace trayrock
