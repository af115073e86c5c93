// What the platform answers about endpoints, as gateways tell it to each other.
//
// An entry that cannot be used is told as such, counted, and logged once for
// each of its revisions.
//
// Example:
//   endpoint_entry_decoder entries(metrics);
//   apply(entries.of_listing(found, after_loss));
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <system_error>

#include "platform/object_store.h"
#include "records.pb.h"
#include "trayrock/internal/metrics.h"

namespace trayrock {

class endpoint_entry_decoder {
 public:
  explicit endpoint_entry_decoder(metrics_registry& metrics)
      : metrics_(metrics) {}

  records::EndpointChanges of_listing(const platform::object_listing& found,
                                      bool after_loss);

  // `after` is the revision that the changes follow.
  records::EndpointChanges of_changes(const platform::object_changes& seen,
                                      std::uint64_t after);

 private:
  void add(const platform::stored_object& object,
           records::EndpointChanges& said);
  void note_unusable(const platform::stored_object& object,
                     std::error_code why);

  metrics_registry& metrics_;
  std::map<std::string, std::uint64_t> logged_;  // revision, by id
};

// A name that another writer has chosen, as it may stand in a line of the log.
std::string short_name(const std::string& name);

}  // namespace trayrock
