#include "trayrock/internal/gateway/platform_view.h"

#include <algorithm>
#include <random>

#include "endpoint_log_lines.h"
#include "platform/documents.h"
#include "trayrock/internal/gateway/endpoint_records.h"
#include "trayrock/internal/gateway/watch_reply.h"
#include "trayrock/internal/log.h"

namespace trayrock {
namespace {

// How long watches of the platform wait. Apart, so that a platform that has
// forgotten them shows by one of them within a few seconds.
constexpr milliseconds configuration_wait{5000};
constexpr milliseconds endpoints_wait{9000};
constexpr milliseconds evacuations_wait{13000};
constexpr milliseconds evacuations_pause{10};
// Configurations may come in quick succession. Between two watches passes this
// share of the time that one has to be in force; with 100 ms, 15 gateways made
// 218 calls in two seconds of such a row.
constexpr double configuration_pause_share = 0.15;
// Endpoints register and leave in numbers, and each watch costs a call. This
// share of the time in which a leaving endpoint must be known is spent between
// two watches; the rest is for a slow platform and a busy processor.
constexpr double endpoints_pause_share = 0.35;
constexpr milliseconds longest_endpoints_pause{1000};
// A gateway that has just listed all watches only after this share of it, in
// which it may find others that watch.
constexpr double first_pause_share = 0.3;
// News are told for a second (gateway/watch_log.cc), by gateways whose clocks
// do not run together.
constexpr std::uint64_t news_memory_ms = 3000;
// How often endpoints are dropped whose time is over.
constexpr milliseconds sweep_period{250};
// Peers answer in some ms; another one is asked after this.
constexpr milliseconds sign_limit{250};

platform::gateway_entry entry_of(const service_settings& from) {
  return {from.name, from.rpc_address.text(), from.data_centre};
}

milliseconds endpoints_pause(milliseconds notice) {
  return std::min(share_of(notice, endpoints_pause_share),
                  longest_endpoints_pause);
}

// Gateways find each other within about half a second of their start.
milliseconds first_pause(milliseconds notice) {
  return share_of(notice, first_pause_share);
}

// Evacuations are single and urgent; an outage of the platform shows by the
// other watches.
std::optional<platform::watch_pace> evacuation_pace(
    const gateway_settings& settings, const gateway_policy& policy) {
  if (!settings.evacuation_notice) {
    return std::nullopt;
  }
  return platform::watch_pace{evacuations_wait, evacuations_pause,
                              policy.repeats_listings,
                              first_pause(settings.endpoint_notice)};
}

std::uint64_t random_number() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source() | 1U;
}

}  // namespace

platform_view::platform_view(event_loop& loop, rpc_pool& pool,
                             platform::object_store& objects,
                             const gateway_settings& settings,
                             const gateway_policy& policy, view_parts parts)
    : loop_(loop),
      pool_(pool),
      objects_(objects),
      parts_(parts),
      own_{settings.service.name, settings.service.rpc_address.text(),
           settings.service.data_centre},
      registry_(loop, objects, policy.repeats_listings),
      endpoints_(
          loop, objects, platform::kind_endpoints,
          {endpoints_wait, endpoints_pause(settings.endpoint_notice),
           policy.repeats_listings, first_pause(settings.endpoint_notice)}),
      gateways_(objects),
      relays_(loop, gateways_, entry_of(settings.service)),
      configuration_(
          loop, pool, objects, relays_, settings,
          {max_watch_wait(settings.revocation_limit, configuration_wait),
           share_of(settings.configuration_notice, configuration_pause_share),
           policy.repeats_listings, first_pause(settings.endpoint_notice)},
          parts.metrics),
      evacuations_(loop, objects, evacuation_pace(settings, policy)),
      entries_(parts.metrics),
      log_(random_number()),
      follower_(loop, pool, relays_, entry_of(settings.service), policy.watches,
                timing_within(settings.endpoint_notice)),
      server_(
          loop, log_, [this] { return watching(); },
          [this](const relay_peer& peer, std::uint64_t revision) {
            relays_.add(peer);
            expect(revision);
          },
          [this](records::WatchReply& reply) { configuration_.prove(reply); }),
      news_(
          loop, pool, [this] { return follower_.watchers(); },
          entry_of(settings.service), policy.peer_notifier) {}

void platform_view::serve(rpc_server& server) {
  server_.serve(server);
  news_.serve(server,
              {[this](const relay_peer& peer) { relays_.add(peer); },
               [this](const records::EndpointNews& news) {
                 pass_on(news);
                 take_news(news);
               },
               [this](std::uint64_t revision) { expect(revision); },
               [this](const configuration_document& document) {
                 configuration_.take_document(document);
               },
               [this]() -> const configuration_document& {
                 return configuration_.document();
               },
               [this](const records::EndpointNews& news) { pass_on(news); }});
}

void platform_view::start(std::function<void()> changed) {
  changed_ = std::move(changed);
  registry_.follow_group(
      [this](const records::Group& group) { take_group(group); });
  configuration_.start(
      [this](const configuration_document& held) { adopted(held); });
  evacuations_.start(
      [this](const evacuation_list& held) { take_evacuations(held); });
  watch_endpoints();
  follow();
  relays_.start([this] { follower_.peers_listed(); });
  sweeping_ = loop_.every(sweep_period, [this] { sweep(); });
}

// What the platform has answered just now.
reply_times platform_view::answered_now() const {
  return {loop_.now_ms(), objects_.unserved_at_ms()};
}

// What a gateway that watches has told just now: it knows better when the
// platform came back.
reply_times platform_view::told_now(
    const records::EndpointChanges& told) const {
  const std::uint64_t now = loop_.now_ms();
  return {now, 0, now + told.lapse_left_ms()};
}

void platform_view::sweep() {
  share_cold_endpoints();
  const std::vector<std::string> gone = parts_.endpoints.sweep(loop_.now_ms());
  if (!gone.empty()) {
    log_info("unlisted_endpoints_dropped", {{"endpoints", ids_text(gone)}});
  }
  parts_.metrics.set("watches_platform", {}, watching() ? 1 : 0);
  parts_.metrics.set("endpoints_known", {},
                     static_cast<double>(parts_.endpoints.size()));
  parts_.metrics.set("endpoints_unlisted", {},
                     static_cast<double>(parts_.endpoints.unlisted()));
  parts_.metrics.set("endpoints_revision", {},
                     static_cast<double>(endpoints_.revision()));
  parts_.metrics.set("endpoints_age_ms", {},
                     static_cast<double>(endpoints_age_ms()));
}

// A gateway that does not know yet who else is there has no share: it may be
// one of many that have just started.
void platform_view::share_cold_endpoints() {
  if (!relays_.are_known()) {
    return;
  }
  const std::vector<relay_peer> peers = relays_.peers();
  parts_.endpoints.update_cold_shares(
      [&](const cold_limit& limit, const endpoint& of) {
        return cold_share(limit, of.identity, of.data_centre, own_, peers);
      },
      loop_.now_ms());
}

void platform_view::watch_endpoints() {
  endpoints_.on_snapshot(
      [this](const platform::object_listing& found, bool after_loss) {
        apply(entries_.of_listing(found, after_loss), answered_now());
      });
  endpoints_.on_answer(
      [this](const platform::object_changes& seen, std::uint64_t after) {
        apply(entries_.of_changes(seen, after), answered_now());
      });
  endpoints_.start_paused();
}

void platform_view::probe_peer(std::function<void()> heard) {
  const relay_source peers = relays_.source();
  const std::string peer = peers.pick();
  if (peer.empty() || asking_sign_.running()) {
    return;
  }
  asking_sign_ = pool_.ask<records::WatchReply>(
      peer, "Watch", records::WatchRequest(), sign_limit,
      [peers, peer,
       heard = std::move(heard)](const result<records::WatchReply>& reply) {
        if (reply) {
          heard();
        } else {
          peers.on_failure(peer, relay_failure::no_reply);
        }
      });
}

void platform_view::follow() {
  follower_.start(
      {[this] { return relays_.are_known(); }, [this] { return position(); },
       [this] { return hold(); }, [this] { release(); },
       [this](const records::WatchReply& told, std::uint64_t asked_ms) {
         return take_told(told, asked_ms);
       }});
}

// Another gateway knows the endpoints up to this revision.
void platform_view::expect(std::uint64_t revision) {
  if (endpoints_.revision() == 0) {
    return;  // a listing is under way
  }
  const bool possible =
      revision <= endpoints_.revision() + most_revisions_ahead;
  if (possible) {
    endpoints_.expect(revision);
    return;
  }
  const std::error_code wrong = errc::wire_out_of_step;
  log_warn("revision_refused", {{"revision", std::to_string(revision)},
                                {"error", std::to_string(wrong.value())},
                                {"cause", wrong.message()}});
}

// ---- Who watches -----------------------------------------------------------

bool platform_view::hold() {
  const bool held = endpoints_.pause() && configuration_.hold() &&
                    registry_.pause() && evacuations_.hold();
  server_.wake();  // those that asked here ask elsewhere
  return held;
}

void platform_view::release() {
  // One that is to watch has others that rely on it.
  const bool patient = !follower_.is_watcher();
  endpoints_.resume(patient);
  configuration_.release(patient);
  registry_.resume(patient);
  evacuations_.release(patient);
}

bool platform_view::watching() const {
  return !endpoints_.is_paused() && endpoints_.reachable() &&
         log_.revision() != 0;
}

watch_position platform_view::position() const {
  return {endpoints_.revision(), configuration_.document().version,
          registry_.revision(), evacuations_.held().revision};
}

std::error_code platform_view::take_told(const records::WatchReply& told,
                                         std::uint64_t asked_ms) {
  if (const std::error_code wrong =
          check_watch_reply(told, endpoints_.revision())) {
    return wrong;
  }
  parts_.metrics.add("watch_answers_total");
  for (const records::EndpointChanges& each : told.endpoints()) {
    if (each.revision() > endpoints_.revision()) {
      apply(each, told_now(each));
    }
  }
  endpoints_.advance(endpoints_.revision());
  if (told.group_revision() != 0) {
    registry_.apply_update(told.group(), told.group_revision());
  }
  if (told.configuration() > configuration_.document().version) {
    configuration_.take_document(
        {told.configuration(), told.configuration_document()});
  }
  configuration_.take_proof(told, asked_ms);
  if (told.evacuations_revision() != 0) {
    evacuations_.take_told(
        {told.evacuations_revision(),
         {told.evacuated().begin(), told.evacuated().end()}});
  }
  for (const records::EndpointNews& each : told.endpoint_news()) {
    take_news(each);
  }
  return {};
}

// ---- Group and configuration -----------------------------------------------

void platform_view::take_group(const records::Group& group) {
  log_.set_group(group, registry_.revision());
  server_.wake();
  parts_.records.adopt(group);
  changed_();
}

void platform_view::adopted(const configuration_document& held) {
  parts_.endpoints.set_cold_limits(*configuration_.held());
  log_.set_configuration(held);
  server_.wake();
  if (!follower_.following()) {
    news_.note_configuration(held.version);
  }
  changed_();
}

void platform_view::take_evacuations(const evacuation_list& held) {
  log_.set_evacuations(held);
  if (parts_.endpoints.evacuate(held.data_centres, loop_.now_ms())) {
    share_cold_endpoints();
    server_.wake();
  }
}

// ---- Endpoints -------------------------------------------------------------

// A later instance of an endpoint that is known is worth a line.
void platform_view::note_start(const endpoint& listed) {
  const endpoint* known = parts_.endpoints.find(listed.identity.id);
  if (known == nullptr || !listed.identity.is_newer_than(known->identity)) {
    return;
  }
  parts_.metrics.add("endpoint_restarts_total");
  log_info("endpoint_restarted",
           {{"endpoint", listed.identity.id},
            {"started_ms", std::to_string(listed.identity.started_ms)},
            {"before_ms", std::to_string(known->identity.started_ms)},
            {"revision", std::to_string(listed.revision)}});
}

void platform_view::withdraw(const records::EndpointChanges& said) {
  for (const records::EndpointRecord& each : said.unusable()) {
    if (parts_.endpoints.withdraw(each.id(), each.revision())) {
      log_warn("endpoint_withdrawn",
               {{"endpoint", short_name(each.id())},
                {"revision", std::to_string(each.revision())}});
    }
  }
}

void platform_view::apply(const records::EndpointChanges& said,
                          const reply_times& times) {
  endpoints_.advance(said.revision());
  std::uint64_t kept_until = 0;
  if (said.whole()) {
    kept_until = apply_listing(said, times);
  } else if (!said.changes().empty()) {
    log_changes(said);
    kept_until = apply_changes(said, times);
  }
  withdraw(said);
  share_cold_endpoints();
  log_.add_endpoints(said, kept_until);
  if (!said.changes().empty() || !said.unusable().empty()) {
    if (!follower_.following()) {
      news_.note_endpoints(said.revision());
    }
    server_.wake();
  }
  changed_();
}

// Returns until when endpoints are used that are missing in it; 0: they are
// not.
std::uint64_t platform_view::apply_listing(const records::EndpointChanges& said,
                                           const reply_times& times) {
  withdraw(said);  // before they are taken as missing
  std::vector<endpoint> listed;
  for (const records::EndpointChange& each : said.changes()) {
    listed.push_back(decode(each.record()).value());
    note_start(listed.back());
  }
  const std::vector<std::string> kept =
      parts_.endpoints.replace(listed, said.after_loss(), times);
  log_info("endpoints_listed",
           {{"count", std::to_string(listed.size())},
            {"revision", std::to_string(said.revision())},
            {"after_loss", said.after_loss() ? "yes" : "no"},
            {"unserved_ms_ago",
             std::to_string(times.now_ms - times.last_failed_call_ms)},
            {"kept", ids_text(kept)}});
  if (kept.empty()) {
    return 0;
  }
  return parts_.endpoints.kept_until(said.after_loss()
                                         ? missing_cause::absent_after_outage
                                         : missing_cause::mass_removal,
                                     times);
}

// The same of endpoints that are removed in it.
std::uint64_t platform_view::apply_changes(const records::EndpointChanges& said,
                                           const reply_times& times) {
  const auto removed = std::count_if(
      said.changes().begin(), said.changes().end(),
      [](const records::EndpointChange& each) { return each.removed(); });
  const bool lapsed =
      parts_.endpoints.is_mass_expiry(static_cast<std::size_t>(removed));
  if (lapsed) {
    parts_.metrics.add("endpoint_lapses_total");
    log_warn("endpoints_lapsed",
             {{"removed", std::to_string(removed)},
              {"known", std::to_string(parts_.endpoints.size())},
              {"unserved_ms_ago",
               std::to_string(times.now_ms - times.last_failed_call_ms)}});
  }
  for (const records::EndpointChange& each : said.changes()) {
    const endpoint_identity instance = identity_of(each.record());
    if (!each.removed()) {
      const endpoint changed = decode(each.record()).value();
      note_start(changed);
      parts_.endpoints.update(changed, times.now_ms);
    } else if (lapsed) {
      parts_.endpoints.expire(instance, said.revision(), times);
    } else {
      parts_.endpoints.remove(instance, said.revision());
    }
  }
  return lapsed
             ? parts_.endpoints.kept_until(missing_cause::mass_removal, times)
             : 0;
}

// ---- What other gateways have met ------------------------------------------

// To those that ask this gateway.
void platform_view::pass_on(const records::EndpointNews& news) {
  log_.add_news(news, loop_.now_ms());
  server_.wake_soon();
}

// The same news may come by way of each gateway that watches, and count once.
bool platform_view::is_new(const records::EndpointNews& news) {
  const std::uint64_t now = loop_.now_ms();
  std::erase_if(news_seen_ms_, [&](const auto& each) {
    return each.second + news_memory_ms < now;
  });
  return news_seen_ms_.try_emplace(news.id(), now).second;
}

void platform_view::take_news(const records::EndpointNews& news) {
  if (!is_new(news)) {
    return;
  }
  for (const records::EndpointIdentity& each : news.failed()) {
    parts_.metrics.add("endpoint_failures_reported_total");
    if (parts_.endpoints.record_peer_failure(decode(each), news.gateway(),
                                             loop_.now_ms())) {
      log_avoided(each, news);
    }
  }
  for (const records::EndpointIdentity& each : news.superseded()) {
    parts_.metrics.add("superseded_endpoints_reported_total");
    if (parts_.endpoints.mark_superseded(decode(each))) {
      log_avoided(each, news);
    }
  }
}

}  // namespace trayrock
