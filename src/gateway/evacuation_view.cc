#include "trayrock/internal/gateway/evacuation_view.h"

#include <utility>

#include "platform/documents.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

std::string joined_names(const data_centre_set& data_centres) {
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

// Only the object's name matters: one with unusable contents counts too.
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
      [this](const platform::object_changes& found, std::uint64_t) {
        auto data_centres = current_.data_centres;
        for (const platform::object_change& each : found.changes) {
          if (each.removed) {
            data_centres.erase(each.object.name);
          } else {
            data_centres.insert(each.object.name);
          }
        }
        adopt(std::move(data_centres), found.revision);
      });
  watcher_->start_paused();
}

void evacuation_view::apply_received(const evacuation_list& received) {
  if (watcher_ && received.revision > current_.revision) {
    adopt(received.data_centres, received.revision);
    watcher_->advance(received.revision);
  }
}

bool evacuation_view::pause() { return !watcher_ || watcher_->pause(); }

void evacuation_view::resume(bool patient) {
  if (watcher_) {
    watcher_->resume(patient);
  }
}

void evacuation_view::adopt(data_centre_set data_centres,
                            std::uint64_t revision) {
  if (revision < current_.revision) {
    return;
  }
  if (data_centres != current_.data_centres) {
    log_info("evacuations_changed",
             {{"revision", std::to_string(revision)},
              {"data_centres", joined_names(data_centres)}});
  }
  current_ = {revision, std::move(data_centres)};
  adopted_(current_);
}

}  // namespace trayrock
