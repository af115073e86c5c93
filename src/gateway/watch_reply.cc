#include "trayrock/internal/gateway/watch_reply.h"

#include <algorithm>

#include "platform/configuration_entry.h"
#include "platform/documents.h"
#include "trayrock/internal/gateway/endpoint_records.h"

namespace trayrock {
namespace {

// Records of endpoints in one answer; the largest target has 2,700 endpoints,
// each of which may change twice.
constexpr int most_changes = 10000;
// News in one answer; more than the gateways of the largest site can send in
// the second that news are told.
constexpr int most_news = 1024;
// Data centres that are emptied at once; more than any customer has.
constexpr int most_evacuated = 256;

bool usable(const records::EndpointChange& change) {
  return change.removed() ? !change.record().id().empty()
                          : decode(change.record()).has_value();
}

std::error_code check_endpoints(const records::WatchReply& told,
                                std::uint64_t known) {
  int changes = 0;
  for (const records::EndpointChanges& each : told.endpoints()) {
    changes += each.changes_size() + each.unusable_size();
    if (changes > most_changes) {
      return errc::wire_too_large;
    }
    const bool follows = each.whole() || each.after() <= known;
    const bool possible =
        known == 0 || each.revision() <= known + most_revisions_ahead;
    if (!follows || !possible) {
      return errc::wire_out_of_step;
    }
    const bool named =
        std::none_of(each.unusable().begin(), each.unusable().end(),
                     [](const records::EndpointRecord& entry) {
                       return entry.id().empty();
                     });
    if (!named ||
        !std::all_of(each.changes().begin(), each.changes().end(), usable)) {
      return errc::wire_garbled;
    }
    known = std::max(known, each.revision());
  }
  return {};
}

bool configuration_is_usable(const records::WatchReply& told) {
  if (told.configuration() == 0) {
    return true;
  }
  const result<platform::stored_object> object =
      platform::object_of(told.configuration_document());
  return object && platform::decode_configuration(object.value());
}

}  // namespace

std::error_code check_watch_reply(const records::WatchReply& told,
                                  std::uint64_t known) {
  if (told.endpoint_news_size() > most_news ||
      told.evacuated_size() > most_evacuated) {
    return errc::wire_too_large;
  }
  const bool group_is_usable =
      told.group_revision() == 0 || !told.group().voters().empty();
  if (!group_is_usable || !configuration_is_usable(told)) {
    return errc::wire_garbled;
  }
  return check_endpoints(told, known);
}

}  // namespace trayrock
