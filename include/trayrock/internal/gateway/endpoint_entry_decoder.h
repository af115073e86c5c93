// Converts the platform's endpoint objects into the records that gateways
// exchange.
//
// An unusable object is passed on as such, counted, and logged once for each
// of its revisions.
//
// Example:
//   endpoint_entry_decoder decoder(metrics);
//   apply(decoder.decode_listing(found, after_loss));
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

  records::EndpointChanges decode_listing(const platform::object_listing& found,
                                          bool after_loss);

  // `after` is the revision that the changes follow.
  records::EndpointChanges decode_changes(const platform::object_changes& found,
                                          std::uint64_t after);

 private:
  void add(const platform::stored_object& object,
           records::EndpointChanges& changes);
  void record_unusable(const platform::stored_object& object,
                       std::error_code why);

  metrics_registry& metrics_;
  std::map<std::string, std::uint64_t> logged_revisions_;  // by id
};

// Limits the length of a name from outside the program for the log.
std::string shortened_name(const std::string& name);

}  // namespace trayrock
