#include "trayrock/internal/gateway/watch_log.h"

namespace trayrock {
namespace {

// Kept changes; more than a restart of all endpoints makes. A caller older than
// these gets a complete listing, which is about as large.
constexpr std::size_t max_changes = 1024;
// Receivers ignore older failures (decide/endpoint_health.h).
constexpr std::uint64_t report_lifetime_ms = 1000;
constexpr std::size_t max_reports = 512;

std::size_t entries_of(const records::EndpointChanges& changes) {
  return static_cast<std::size_t>(changes.changes_size()) +
         static_cast<std::size_t>(changes.unusable_size());
}

std::uint32_t remaining_ms(std::uint64_t until_ms, std::uint64_t now_ms) {
  return until_ms > now_ms ? static_cast<std::uint32_t>(until_ms - now_ms) : 0;
}

}  // namespace

void watch_log::apply(const records::EndpointChanges& changes) {
  if (changes.whole()) {
    records_.clear();
    unusable_.clear();
  }
  for (const records::EndpointChange& each : changes.changes()) {
    unusable_.erase(each.record().id());
    if (each.removed()) {
      records_.erase(each.record().id());
    } else {
      records_[each.record().id()] = each.record();
    }
  }
  for (const records::EndpointRecord& each : changes.unusable()) {
    const auto stored = records_.find(each.id());
    if (stored == records_.end() ||
        stored->second.revision() < each.revision()) {
      records_.erase(each.id());
      unusable_[each.id()] = each;
    }
  }
}

void watch_log::add_endpoints(const records::EndpointChanges& changes,
                              std::uint64_t kept_until_ms) {
  const bool follows =
      changes.whole() || (revision_ != 0 && changes.after() <= revision_);
  if (!follows) {
    changes_.clear();
    change_count_ = 0;
    records_.clear();
    revision_ = 0;
    return;
  }
  if (!changes.whole() && changes.revision() <= revision_) {
    return;  // already received from another gateway
  }
  apply(changes);
  if (changes.whole()) {
    changes_.clear();
    change_count_ = 0;
    after_loss_ = changes.after_loss();
    listing_kept_until_ms_ = kept_until_ms;
  } else if (entries_of(changes) == 0 && !changes_.empty()) {
    changes_.back().changes.set_revision(changes.revision());
  } else {
    changes_.push_back({changes, kept_until_ms});
    change_count_ += entries_of(changes);
  }
  revision_ = changes.revision();
  while (change_count_ > max_changes) {
    change_count_ -= entries_of(changes_.front().changes);
    changes_.pop_front();
  }
}

void watch_log::set_configuration(const configuration_document& current) {
  configuration_ = current;
}

void watch_log::set_group(const records::Group& group, std::uint64_t revision) {
  group_ = group;
  group_revision_ = revision;
}

void watch_log::set_evacuations(const evacuation_list& current) {
  evacuations_ = current;
}

void watch_log::add_report(const records::EndpointNews& report,
                           std::uint64_t now_ms) {
  reports_.push_back({++last_report_, now_ms, report});
  while (reports_.size() > max_reports ||
         reports_.front().at_ms + report_lifetime_ms < now_ms) {
    reports_.pop_front();
  }
}

records::EndpointChanges watch_log::full_listing(std::uint64_t now_ms) const {
  records::EndpointChanges made;
  made.set_whole(true);
  made.set_after_loss(after_loss_);
  made.set_lapse_left_ms(remaining_ms(listing_kept_until_ms_, now_ms));
  made.set_revision(revision_);
  for (const auto& [id, record] : records_) {
    *made.add_changes()->mutable_record() = record;
  }
  for (const auto& [id, record] : unusable_) {
    *made.add_unusable() = record;
  }
  return made;
}

bool watch_log::add_newer_endpoints(std::uint64_t known, std::uint64_t now_ms,
                                    records::WatchReply& reply) const {
  if (known >= revision_) {
    return false;
  }
  const bool has_history =
      !changes_.empty() && changes_.front().changes.after() <= known;
  if (!has_history) {
    *reply.add_endpoints() = full_listing(now_ms);
    return true;
  }
  for (const kept_changes& each : changes_) {
    if (each.changes.revision() > known) {
      records::EndpointChanges& sent = *reply.add_endpoints();
      sent = each.changes;
      sent.set_lapse_left_ms(remaining_ms(each.kept_until_ms, now_ms));
    }
  }
  return true;
}

bool watch_log::add_newer_reports(const records::WatchRequest& request,
                                  std::uint64_t now_ms,
                                  records::WatchReply& reply) const {
  const std::uint64_t known = request.news_log() == id_ ? request.news() : 0;
  reply.set_news_log(id_);
  reply.set_news(last_report_);
  bool any = false;
  for (const numbered_report& each : reports_) {
    const bool wanted = each.number > known &&
                        each.at_ms + report_lifetime_ms >= now_ms &&
                        each.report.gateway() != request.gateway();
    if (wanted) {
      *reply.add_endpoint_news() = each.report;
      any = true;
    }
  }
  return any;
}

bool watch_log::add_newer_configuration(const records::WatchRequest& request,
                                        records::WatchReply& reply) const {
  if (configuration_.version <= request.configuration()) {
    return false;
  }
  reply.set_configuration(configuration_.version);
  reply.set_configuration_document(configuration_.text);
  return true;
}

bool watch_log::add_newer_evacuations(const records::WatchRequest& request,
                                      records::WatchReply& reply) const {
  if (evacuations_.revision <= request.evacuations_revision()) {
    return false;
  }
  reply.set_evacuations_revision(evacuations_.revision);
  for (const std::string& each : evacuations_.data_centres) {
    reply.add_evacuated(each);
  }
  return true;
}

bool watch_log::fill_reply(const records::WatchRequest& request,
                           std::uint64_t now_ms,
                           records::WatchReply& reply) const {
  bool any = add_newer_endpoints(request.endpoints_revision(), now_ms, reply);
  any = add_newer_configuration(request, reply) || any;
  if (group_revision_ > request.group_revision()) {
    reply.set_group_revision(group_revision_);
    *reply.mutable_group() = group_;
    any = true;
  }
  any = add_newer_evacuations(request, reply) || any;
  return add_newer_reports(request, now_ms, reply) || any;
}

}  // namespace trayrock
