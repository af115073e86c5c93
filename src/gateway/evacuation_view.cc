#include "trayrock/internal/gateway/evacuation_view.h"

#include <utility>

#include "platform/documents.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

std::string names_of(const data_centre_set& data_centres) {
  std::string text;
  for (const std::string& each : data_centres) {
    text.append(text.empty() ? "" : " ").append(each);
  }
  return text;
}

}  // namespace

evacuation_view::evacuation_view(
    event_loop& loop, platform::object_store& objects,
    const std::optional<platform::watch_pace>& pace) {
  if (pace) {
    watcher_.emplace(loop, objects, platform::kind_evacuations, *pace);
  }
}

// The object's name says all, so that one with an unusable content counts too.
void evacuation_view::start(adopted_callback adopted) {
  adopted_ = std::move(adopted);
  if (!watcher_) {
    return;
  }
  watcher_->on_snapshot([this](const platform::object_listing& found, bool) {
    data_centre_set listed;
    for (const platform::stored_object& each : found.objects) {
      listed.insert(each.name);
    }
    adopt(std::move(listed), found.revision);
  });
  watcher_->on_answer(
      [this](const platform::object_changes& seen, std::uint64_t) {
        auto data_centres = held_.data_centres;
        for (const platform::object_change& each : seen.changes) {
          if (each.removed) {
            data_centres.erase(each.object.name);
          } else {
            data_centres.insert(each.object.name);
          }
        }
        adopt(std::move(data_centres), seen.revision);
      });
  watcher_->start_paused();
}

void evacuation_view::take_told(const evacuation_list& told) {
  if (watcher_ && told.revision > held_.revision) {
    adopt(told.data_centres, told.revision);
    watcher_->advance(told.revision);
  }
}

bool evacuation_view::hold() { return !watcher_ || watcher_->pause(); }

void evacuation_view::release(bool patient) {
  if (watcher_) {
    watcher_->resume(patient);
  }
}

void evacuation_view::adopt(data_centre_set data_centres,
                            std::uint64_t revision) {
  if (revision < held_.revision) {
    return;
  }
  if (data_centres != held_.data_centres) {
    log_info("evacuations_changed", {{"revision", std::to_string(revision)},
                                     {"data_centres", names_of(data_centres)}});
  }
  held_ = {revision, std::move(data_centres)};
  adopted_(held_);
}

}  // namespace trayrock
