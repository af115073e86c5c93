#include "trayrock/internal/gateway/endpoint_entry_decoder.h"

#include <utility>

#include "platform/documents.h"
#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr std::size_t max_logged_name_length = 64;
// Above this number the table of logged revisions is cleared, so that current
// errors are logged once more.
constexpr std::size_t max_logged_revisions = 256;

}  // namespace

std::string shortened_name(const std::string& name) {
  return name.substr(0, max_logged_name_length);
}

records::EndpointChanges endpoint_entry_decoder::decode_listing(
    const platform::object_listing& found, bool after_loss) {
  records::EndpointChanges changes;
  changes.set_whole(true);
  changes.set_after_loss(after_loss);
  changes.set_revision(found.revision);
  for (const platform::stored_object& each : found.objects) {
    add(each, changes);
  }
  return changes;
}

records::EndpointChanges endpoint_entry_decoder::decode_changes(
    const platform::object_changes& found, std::uint64_t after) {
  records::EndpointChanges changes;
  changes.set_after(after);
  changes.set_revision(found.revision);
  for (const platform::object_change& each : found.changes) {
    if (!each.removed) {
      add(each.object, changes);
      continue;
    }
    const endpoint_identity removed = platform::identity_of(each.object);
    records::EndpointChange& change = *changes.add_changes();
    change.set_removed(true);
    change.mutable_record()->set_id(removed.id);
    change.mutable_record()->set_started_ms(removed.started_ms);
  }
  return changes;
}

void endpoint_entry_decoder::add(const platform::stored_object& object,
                                 records::EndpointChanges& changes) {
  const result<endpoint> decoded = platform::decode_endpoint(object);
  if (decoded) {
    *changes.add_changes()->mutable_record() = encode(decoded.value());
    logged_revisions_.erase(object.name);
    return;
  }
  records::EndpointRecord& unusable = *changes.add_unusable();
  unusable.set_id(object.name);
  unusable.set_revision(object.revision);
  record_unusable(object, decoded.error());
}

void endpoint_entry_decoder::record_unusable(
    const platform::stored_object& object, std::error_code why) {
  metrics_.add("endpoint_entries_unusable_total",
               {{"error", std::to_string(why.value())}});
  if (logged_revisions_.size() >= max_logged_revisions) {
    logged_revisions_.clear();
  }
  std::uint64_t& logged = logged_revisions_[object.name];
  if (std::exchange(logged, object.revision) == object.revision) {
    return;
  }
  log_error("endpoint_unusable", {{"endpoint", shortened_name(object.name)},
                                  {"revision", std::to_string(object.revision)},
                                  {"error", std::to_string(why.value())},
                                  {"cause", why.message()}});
}

}  // namespace trayrock
