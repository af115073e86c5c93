#include "trayrock/internal/gateway/watch_reply.h"

#include <algorithm>

#include "platform/configuration_entry.h"
#include "platform/documents.h"
#include "trayrock/internal/gateway/endpoint_records.h"

namespace trayrock {
namespace {

// Limits of one reply. The largest site has 2,700 endpoints, each of which may
// change twice.
constexpr int max_changes = 10000;
constexpr int max_reports = 1024;
constexpr int max_evacuated = 256;

bool is_usable(const records::EndpointChange& change) {
  return change.removed() ? !change.record().id().empty()
                          : decode(change.record()).has_value();
}

std::error_code check_endpoints(const records::WatchReply& reply,
                                std::uint64_t known) {
  int changes = 0;
  for (const records::EndpointChanges& each : reply.endpoints()) {
    changes += each.changes_size() + each.unusable_size();
    if (changes > max_changes) {
      return errc::wire_too_large;
    }
    const bool follows = each.whole() || each.after() <= known;
    const bool possible =
        known == 0 || each.revision() <= known + max_revisions_ahead;
    if (!follows || !possible) {
      return errc::wire_out_of_step;
    }
    const bool named =
        std::none_of(each.unusable().begin(), each.unusable().end(),
                     [](const records::EndpointRecord& entry) {
                       return entry.id().empty();
                     });
    if (!named ||
        !std::all_of(each.changes().begin(), each.changes().end(), is_usable)) {
      return errc::wire_garbled;
    }
    known = std::max(known, each.revision());
  }
  return {};
}

bool has_usable_configuration(const records::WatchReply& reply) {
  if (reply.configuration() == 0) {
    return true;
  }
  const result<platform::stored_object> object =
      platform::object_of(reply.configuration_document());
  return object && platform::decode_configuration(object.value());
}

}  // namespace

std::error_code check_watch_reply(const records::WatchReply& reply,
                                  std::uint64_t known) {
  if (reply.endpoint_news_size() > max_reports ||
      reply.evacuated_size() > max_evacuated) {
    return errc::wire_too_large;
  }
  const bool group_is_usable =
      reply.group_revision() == 0 || !reply.group().voters().empty();
  if (!group_is_usable || !has_usable_configuration(reply)) {
    return errc::wire_garbled;
  }
  return check_endpoints(reply, known);
}

}  // namespace trayrock
