#include "endpoint_log_lines.h"

#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr std::size_t max_logged_ids = 24;

// Ids for one log line, limited in number.
class id_list {
 public:
  id_list() = default;
  explicit id_list(std::span<const std::string> ids) {
    for (const std::string& each : ids) {
      add(each);
    }
  }

  void add(const std::string& id) {
    ++count_;
    if (count_ <= max_logged_ids) {
      text_.append(text_.empty() ? "" : " ").append(id);
    }
  }
  std::string text() const {
    return count_ <= max_logged_ids
               ? text_
               : text_ + " and " + std::to_string(count_ - max_logged_ids) +
                     " more";
  }

 private:
  std::size_t count_ = 0;
  std::string text_;
};

}  // namespace

std::string ids_text(std::span<const std::string> ids) {
  return id_list(ids).text();
}

void log_changes(const records::EndpointChanges& changes) {
  id_list registered;
  id_list draining;
  id_list removed;
  for (const records::EndpointChange& each : changes.changes()) {
    id_list& into = each.removed()             ? removed
                    : each.record().draining() ? draining
                                               : registered;
    into.add(each.record().id());
  }
  log_info("endpoints_changed",
           {{"revision", std::to_string(changes.revision())},
            {"registered", registered.text()},
            {"draining", draining.text()},
            {"removed", removed.text()}});
}

void log_avoided(const records::EndpointIdentity& instance,
                 const records::EndpointNews& report) {
  log_info("endpoint_avoided",
           {{"endpoint", instance.id()},
            {"started_ms", std::to_string(instance.started_ms())},
            {"by", "report of " + report.gateway()}});
}

}  // namespace trayrock
