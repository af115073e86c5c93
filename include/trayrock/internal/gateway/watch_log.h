// What a gateway that watches the platform has to tell those that ask it.
//
// Holds the endpoints' records with their last changes, the configuration, the
// record stores' group, and news of endpoints that gateways found failing. One
// that asks says what it knows, and gets what followed; one that is further
// behind than the kept changes gets all records.
//
// No I/O; the caller gives the time.
//
// Example:
//   watch_log log(random_number);
//   log.add_endpoints(changes);
//   records::WatchReply reply;
//   if (log.answer(request, now, reply)) send(reply);  // else there is no news
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
  // `id` tells this log from that of an earlier life of the process.
  explicit watch_log(std::uint64_t id) : id_(id) {}

  // What the platform said. It may overlap with what was added before; changes
  // that leave a gap empty the log until all records come. Endpoints that are
  // gone by it are used until then, if their records may have lapsed.
  void add_endpoints(const records::EndpointChanges& said,
                     std::uint64_t kept_until_ms = 0);

  void set_configuration(const configuration_document& held);
  void set_group(const records::Group& group, std::uint64_t revision);
  void set_evacuations(const evacuation_list& held);

  // Endpoints that a gateway found failing or superseded. Those of late are
  // told to whoever asks.
  void add_news(const records::EndpointNews& news, std::uint64_t now_ms);

  // Fills in what follows what the asking gateway knows. False if there is
  // nothing.
  bool answer(const records::WatchRequest& request, std::uint64_t now_ms,
              records::WatchReply& reply) const;

  // Of it only the configuration.
  bool add_configuration_behind(const records::WatchRequest& request,
                                records::WatchReply& reply) const;

  // Up to which change the endpoints are held; 0: not at all.
  std::uint64_t revision() const { return revision_; }

 private:
  struct numbered_news {
    std::uint64_t number = 0;
    std::uint64_t at_ms = 0;
    records::EndpointNews news;
  };

  struct held_changes {
    records::EndpointChanges said;
    std::uint64_t kept_until_ms = 0;
  };

  void apply(const records::EndpointChanges& said);
  records::EndpointChanges all_records(std::uint64_t now_ms) const;
  bool add_endpoints_behind(std::uint64_t known, std::uint64_t now_ms,
                            records::WatchReply& reply) const;
  bool add_evacuations_behind(const records::WatchRequest& request,
                              records::WatchReply& reply) const;
  bool add_news_behind(const records::WatchRequest& request,
                       std::uint64_t now_ms, records::WatchReply& reply) const;

  std::uint64_t id_;
  std::uint64_t revision_ = 0;
  bool after_loss_ = false;                  // of the last whole listing
  std::uint64_t listing_kept_until_ms_ = 0;  // likewise
  std::map<std::string, records::EndpointRecord> records_;
  std::map<std::string, records::EndpointRecord> unusable_;  // id and revision
  std::deque<held_changes> changes_;  // the last ones, in order
  std::size_t changes_held_ = 0;      // in all of them together
  configuration_document configuration_;
  std::uint64_t group_revision_ = 0;
  records::Group group_;
  evacuation_list evacuations_;
  std::deque<numbered_news> news_;
  std::uint64_t last_news_ = 0;
};

}  // namespace trayrock
