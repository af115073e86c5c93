#include "trayrock/internal/gateway/watch_log.h"

namespace trayrock {
namespace {

// Changes that are kept for those that are behind: more than a release of all
// endpoints makes (two each, of 273 at the largest customer's). Beyond it all
// records are sent, which are about as many bytes.
constexpr std::size_t most_changes = 1024;
// News of failures count for about a second (decide/endpoint_health.h).
constexpr std::uint64_t news_life_ms = 1000;
constexpr std::size_t most_news = 512;

std::size_t entries_of(const records::EndpointChanges& said) {
  return static_cast<std::size_t>(said.changes_size()) +
         static_cast<std::size_t>(said.unusable_size());
}

std::uint32_t time_left(std::uint64_t until_ms, std::uint64_t now_ms) {
  return until_ms > now_ms ? static_cast<std::uint32_t>(until_ms - now_ms) : 0;
}

}  // namespace

void watch_log::apply(const records::EndpointChanges& said) {
  if (said.whole()) {
    records_.clear();
    unusable_.clear();
  }
  for (const records::EndpointChange& each : said.changes()) {
    unusable_.erase(each.record().id());
    if (each.removed()) {
      records_.erase(each.record().id());
    } else {
      records_[each.record().id()] = each.record();
    }
  }
  for (const records::EndpointRecord& each : said.unusable()) {
    const auto held = records_.find(each.id());
    if (held == records_.end() || held->second.revision() < each.revision()) {
      records_.erase(each.id());
      unusable_[each.id()] = each;
    }
  }
}

void watch_log::add_endpoints(const records::EndpointChanges& said,
                              std::uint64_t kept_until_ms) {
  const bool follows =
      said.whole() || (revision_ != 0 && said.after() <= revision_);
  if (!follows) {
    changes_.clear();
    changes_held_ = 0;
    records_.clear();
    revision_ = 0;
    return;
  }
  if (!said.whole() && said.revision() <= revision_) {
    return;  // known already, by way of somebody else
  }
  apply(said);
  if (said.whole()) {
    changes_.clear();
    changes_held_ = 0;
    after_loss_ = said.after_loss();
    listing_kept_until_ms_ = kept_until_ms;
  } else if (entries_of(said) == 0 && !changes_.empty()) {
    changes_.back().said.set_revision(said.revision());
  } else {
    changes_.push_back({said, kept_until_ms});
    changes_held_ += entries_of(said);
  }
  revision_ = said.revision();
  while (changes_held_ > most_changes) {
    changes_held_ -= entries_of(changes_.front().said);
    changes_.pop_front();
  }
}

void watch_log::set_configuration(const configuration_document& held) {
  configuration_ = held;
}

void watch_log::set_group(const records::Group& group, std::uint64_t revision) {
  group_ = group;
  group_revision_ = revision;
}

void watch_log::set_evacuations(const evacuation_list& held) {
  evacuations_ = held;
}

void watch_log::add_news(const records::EndpointNews& news,
                         std::uint64_t now_ms) {
  news_.push_back({++last_news_, now_ms, news});
  while (news_.size() > most_news ||
         news_.front().at_ms + news_life_ms < now_ms) {
    news_.pop_front();
  }
}

records::EndpointChanges watch_log::all_records(std::uint64_t now_ms) const {
  records::EndpointChanges made;
  made.set_whole(true);
  made.set_after_loss(after_loss_);
  made.set_lapse_left_ms(time_left(listing_kept_until_ms_, now_ms));
  made.set_revision(revision_);
  for (const auto& [id, record] : records_) {
    *made.add_changes()->mutable_record() = record;
  }
  for (const auto& [id, record] : unusable_) {
    *made.add_unusable() = record;
  }
  return made;
}

bool watch_log::add_endpoints_behind(std::uint64_t known, std::uint64_t now_ms,
                                     records::WatchReply& reply) const {
  if (known >= revision_) {
    return false;
  }
  const bool reaches =
      !changes_.empty() && changes_.front().said.after() <= known;
  if (!reaches) {
    *reply.add_endpoints() = all_records(now_ms);
    return true;
  }
  for (const held_changes& each : changes_) {
    if (each.said.revision() > known) {
      records::EndpointChanges& told = *reply.add_endpoints();
      told = each.said;
      told.set_lapse_left_ms(time_left(each.kept_until_ms, now_ms));
    }
  }
  return true;
}

bool watch_log::add_news_behind(const records::WatchRequest& request,
                                std::uint64_t now_ms,
                                records::WatchReply& reply) const {
  const std::uint64_t known = request.news_log() == id_ ? request.news() : 0;
  reply.set_news_log(id_);
  reply.set_news(last_news_);
  bool any = false;
  for (const numbered_news& each : news_) {
    const bool wanted = each.number > known &&
                        each.at_ms + news_life_ms >= now_ms &&
                        each.news.gateway() != request.gateway();
    if (wanted) {
      *reply.add_endpoint_news() = each.news;
      any = true;
    }
  }
  return any;
}

bool watch_log::add_configuration_behind(const records::WatchRequest& request,
                                         records::WatchReply& reply) const {
  if (configuration_.version <= request.configuration()) {
    return false;
  }
  reply.set_configuration(configuration_.version);
  reply.set_configuration_document(configuration_.text);
  return true;
}

bool watch_log::add_evacuations_behind(const records::WatchRequest& request,
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

bool watch_log::answer(const records::WatchRequest& request,
                       std::uint64_t now_ms, records::WatchReply& reply) const {
  bool any = add_endpoints_behind(request.endpoints_revision(), now_ms, reply);
  any = add_configuration_behind(request, reply) || any;
  if (group_revision_ > request.group_revision()) {
    reply.set_group_revision(group_revision_);
    *reply.mutable_group() = group_;
    any = true;
  }
  any = add_evacuations_behind(request, reply) || any;
  return add_news_behind(request, now_ms, reply) || any;
}

}  // namespace trayrock
