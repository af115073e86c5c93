// The gateway's view of the data centres that the operator is evacuating.
//
// An evacuation is an object of the platform, named after the data centre: from
// its creation until its removal, nothing is sent to the endpoints there. The
// list comes from this gateway's own watch or from a gateway that watches for
// others. It is always complete and carries the platform's revision; an older
// list never replaces a later one.
//
// Example:
//   evacuation_view view(loop, objects, pace);
//   view.start([](const evacuation_list& current) { apply(current); });
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

  // Without a pace, the operator uses no evacuations, and the platform is not
  // queried. All references must outlive the object.
  evacuation_view(event_loop& loop, platform::object_store& objects,
                  const std::optional<platform::watch_pace>& pace);
  evacuation_view(const evacuation_view&) = delete;
  evacuation_view& operator=(const evacuation_view&) = delete;

  // `adopted` is called with each list, even if only the revision differs.
  void start(adopted_callback adopted);

  const evacuation_list& current() const { return current_; }

  // Applies the list received from another gateway.
  void apply_received(const evacuation_list& received);

  // Pauses this gateway's own watch while another gateway watches for it, and
  // resumes it; a patient one retries less often
  // (platform/collection_watcher.h).
  bool pause();
  void resume(bool patient);

 private:
  void adopt(data_centre_set data_centres, std::uint64_t revision);

  std::optional<platform::collection_watcher> watcher_;
  adopted_callback adopted_;
  evacuation_list current_;
};

}  // namespace trayrock
