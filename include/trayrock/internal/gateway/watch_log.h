// What a gateway that watches the platform sends to gateways that poll it.
//
// Holds the endpoints' records with their recent changes, the configuration,
// the record stores' group, and reports of failing endpoints. A request names
// the revisions that the caller has and gets what followed; a caller older than
// the kept changes gets all records.
//
// No I/O; the caller gives the time.
//
// Example:
//   watch_log log(random_number);
//   log.add_endpoints(changes);
//   records::WatchReply reply;
//   if (log.fill_reply(request, now, reply)) send(reply);  // else: no updates
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "records.pb.h"
#include "trayrock/internal/gateway/evacuation_list.h"

namespace trayrock {

// A configuration as the operator wrote it.
struct configuration_document {
  std::uint64_t version = 0;  // 0: none
  std::string text;
};

class watch_log {
 public:
  // `id` distinguishes this log from those of earlier runs of the process.
  explicit watch_log(std::uint64_t id) : id_(id) {}

  // Adds changes that the platform reported. They may overlap with earlier
  // ones; after a gap the log is empty until the next complete listing. If
  // `kept_until_ms` isn't 0, endpoints that are missing or removed here are
  // used until then, since their records may have expired in an outage.
  void add_endpoints(const records::EndpointChanges& changes,
                     std::uint64_t kept_until_ms = 0);

  void set_configuration(const configuration_document& current);
  void set_group(const records::Group& group, std::uint64_t revision);
  void set_evacuations(const evacuation_list& current);

  // Adds a report of failed or superseded endpoints. Recent reports are sent to
  // all callers but the reporter.
  void add_report(const records::EndpointNews& report, std::uint64_t now_ms);

  // Adds what is newer than the caller's state. Returns false if nothing is.
  bool fill_reply(const records::WatchRequest& request, std::uint64_t now_ms,
                  records::WatchReply& reply) const;

  // The same for the configuration alone.
  bool add_newer_configuration(const records::WatchRequest& request,
                               records::WatchReply& reply) const;

  // The platform's revision of the stored endpoints; 0: none are stored.
  std::uint64_t revision() const { return revision_; }

 private:
  struct numbered_report {
    std::uint64_t number = 0;
    std::uint64_t at_ms = 0;
    records::EndpointNews report;
  };

  struct kept_changes {
    records::EndpointChanges changes;
    std::uint64_t kept_until_ms = 0;
  };

  void apply(const records::EndpointChanges& changes);
  records::EndpointChanges full_listing(std::uint64_t now_ms) const;
  bool add_newer_endpoints(std::uint64_t known, std::uint64_t now_ms,
                           records::WatchReply& reply) const;
  bool add_newer_evacuations(const records::WatchRequest& request,
                             records::WatchReply& reply) const;
  bool add_newer_reports(const records::WatchRequest& request,
                         std::uint64_t now_ms,
                         records::WatchReply& reply) const;

  std::uint64_t id_;
  std::uint64_t revision_ = 0;
  bool after_loss_ = false;  // of the last complete listing
  std::uint64_t listing_kept_until_ms_ = 0;
  std::map<std::string, records::EndpointRecord> records_;
  // With id and revision only.
  std::map<std::string, records::EndpointRecord> unusable_;
  std::deque<kept_changes> changes_;  // the most recent ones, in order
  std::size_t change_count_ = 0;      // entries in all of `changes_`
  configuration_document configuration_;
  std::uint64_t group_revision_ = 0;
  records::Group group_;
  evacuation_list evacuations_;
  std::deque<numbered_report> reports_;
  std::uint64_t last_report_ = 0;
};

}  // namespace trayrock
