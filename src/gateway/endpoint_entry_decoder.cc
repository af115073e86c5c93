#include "trayrock/internal/gateway/endpoint_entry_decoder.h"

#include <utility>

#include "platform/documents.h"
#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

constexpr std::size_t most_logged_name = 64;
// Entries whose revision is remembered; more bad ones than any writer has made
// by mistake. Beyond it all are logged once more.
constexpr std::size_t most_logged = 256;

}  // namespace

std::string short_name(const std::string& name) {
  return name.substr(0, most_logged_name);
}

records::EndpointChanges endpoint_entry_decoder::of_listing(
    const platform::object_listing& found, bool after_loss) {
  records::EndpointChanges said;
  said.set_whole(true);
  said.set_after_loss(after_loss);
  said.set_revision(found.revision);
  for (const platform::stored_object& each : found.objects) {
    add(each, said);
  }
  return said;
}

records::EndpointChanges endpoint_entry_decoder::of_changes(
    const platform::object_changes& seen, std::uint64_t after) {
  records::EndpointChanges said;
  said.set_after(after);
  said.set_revision(seen.revision);
  for (const platform::object_change& each : seen.changes) {
    if (!each.removed) {
      add(each.object, said);
      continue;
    }
    const endpoint_identity gone = platform::identity_of(each.object);
    records::EndpointChange& change = *said.add_changes();
    change.set_removed(true);
    change.mutable_record()->set_id(gone.id);
    change.mutable_record()->set_started_ms(gone.started_ms);
  }
  return said;
}

void endpoint_entry_decoder::add(const platform::stored_object& object,
                                 records::EndpointChanges& said) {
  const result<endpoint> decoded = platform::decode_endpoint(object);
  if (decoded) {
    *said.add_changes()->mutable_record() = encode(decoded.value());
    logged_.erase(object.name);
    return;
  }
  records::EndpointRecord& unusable = *said.add_unusable();
  unusable.set_id(object.name);
  unusable.set_revision(object.revision);
  note_unusable(object, decoded.error());
}

void endpoint_entry_decoder::note_unusable(
    const platform::stored_object& object, std::error_code why) {
  metrics_.add("endpoint_entries_unusable_total",
               {{"error", std::to_string(why.value())}});
  if (logged_.size() >= most_logged) {
    logged_.clear();
  }
  std::uint64_t& logged = logged_[object.name];
  if (std::exchange(logged, object.revision) == object.revision) {
    return;
  }
  log_error("endpoint_unusable", {{"endpoint", short_name(object.name)},
                                  {"revision", std::to_string(object.revision)},
                                  {"error", std::to_string(why.value())},
                                  {"cause", why.message()}});
}

}  // namespace trayrock
