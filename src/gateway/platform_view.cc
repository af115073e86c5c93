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

// Waits of the watches. They differ, so that watches that the platform has lost
// are detected by one of them within a few seconds.
constexpr milliseconds configuration_wait{5000};
constexpr milliseconds endpoints_wait{9000};
constexpr milliseconds evacuations_wait{13000};
constexpr milliseconds evacuations_pause{10};
// Pause between two watches, which limits the calls for consecutive changes, as
// a share of the time in which a configuration must be in force.
constexpr double configuration_pause_share = 0.15;
// The same as a share of the time in which gateways must stop using a draining
// endpoint. The rest is for a slow platform and a busy processor.
constexpr double endpoints_pause_share = 0.35;
constexpr milliseconds max_endpoints_pause{1000};
// Pause between the first listing and the first watch, in which another gateway
// that watches may be found; a share of the same time.
constexpr double initial_pause_share = 0.3;
// Reports are forwarded for a second (gateway/watch_log.cc). Longer, since the
// gateways' clocks differ.
constexpr std::uint64_t report_memory_ms = 3000;
constexpr milliseconds sweep_period{250};
// The platform removes an endpoint after three heartbeats without a sign of
// life; the fourth is for its own delay.
constexpr std::uint64_t heartbeats_to_removal = 4;
constexpr milliseconds probe_timeout{250};

platform::gateway_entry entry_of(const service_settings& from) {
  return {from.name, from.rpc_address.text(), from.data_centre};
}

milliseconds endpoints_pause(milliseconds notice) {
  return std::min(share_of(notice, endpoints_pause_share), max_endpoints_pause);
}

milliseconds initial_pause(milliseconds notice) {
  return share_of(notice, initial_pause_share);
}

// Evacuations are rare and urgent, hence the short pause; the other watches
// detect an outage of the platform.
std::optional<platform::watch_pace> evacuation_pace(
    const gateway_settings& settings, const gateway_policy& policy) {
  if (!settings.evacuation_notice) {
    return std::nullopt;
  }
  return platform::watch_pace{evacuations_wait, evacuations_pause,
                              policy.repeats_listings,
                              initial_pause(settings.endpoint_notice)};
}

std::uint64_t random_number() {
  std::random_device source;
  return (std::uint64_t{source()} << 32U) | source() | 1U;
}

}  // namespace

platform_view::platform_view(event_loop& loop, rpc_pool& pool,
                             platform::object_store& objects,
                             const gateway_settings& settings,
                             const gateway_policy& policy, view_targets targets)
    : loop_(loop),
      pool_(pool),
      objects_(objects),
      targets_(std::move(targets)),
      own_{settings.service.name, settings.service.rpc_address.text(),
           settings.service.data_centre},
      registry_(loop, objects, policy.repeats_listings),
      endpoints_(
          loop, objects, platform::kind_endpoints,
          {endpoints_wait, endpoints_pause(settings.endpoint_notice),
           policy.repeats_listings, initial_pause(settings.endpoint_notice)}),
      gateways_(objects),
      relays_(loop, gateways_, entry_of(settings.service)),
      configuration_(
          loop, pool, objects, relays_, settings,
          {max_watch_wait(settings.revocation_limit, configuration_wait),
           share_of(settings.configuration_notice, configuration_pause_share),
           policy.repeats_listings, initial_pause(settings.endpoint_notice)},
          targets.metrics),
      evacuations_(loop, objects, evacuation_pace(settings, policy)),
      decoder_(targets.metrics),
      log_(random_number()),
      endpoint_heartbeat_(settings.endpoint_heartbeat),
      follower_(loop, pool, relays_, entry_of(settings.service), policy.watches,
                timing_within(settings.endpoint_notice)),
      server_(
          loop, log_, [this] { return status(); },
          [this](const relay_peer& peer, std::uint64_t revision) {
            relays_.add(peer);
            expect_revision(revision);
          },
          [this](records::WatchReply& reply) {
            configuration_.add_proof(reply);
          }),
      notifier_(
          loop, pool, [this] { return follower_.watchers(); },
          entry_of(settings.service), policy.peer_notifier) {}

void platform_view::serve(rpc_server& server) {
  server_.serve(server);
  notifier_.serve(
      server, {[this](const relay_peer& peer) { relays_.add(peer); },
               [this](const records::EndpointNews& report) {
                 forward_report(report);
                 apply_report(report);
               },
               [this](std::uint64_t revision) { expect_revision(revision); },
               [this](const configuration_document& document) {
                 configuration_.apply_document(document);
               },
               [this]() -> const configuration_document& {
                 return configuration_.document();
               },
               [this](const records::EndpointNews& report) {
                 forward_report(report);
               }});
}

void platform_view::start(std::function<void()> changed) {
  changed_ = std::move(changed);
  registry_.follow_group(
      [this](const records::Group& group) { apply_group(group); });
  configuration_.start([this](const configuration_document& current) {
    on_configuration(current);
  });
  evacuations_.start(
      [this](const evacuation_list& current) { apply_evacuations(current); });
  watch_endpoints();
  follow();
  relays_.start([this] {
    follower_.on_peers_listed();
    targets_.on_peers_listed();
  });
  sweep_timer_ = loop_.every(sweep_period, [this] { sweep(); });
}

// The times of a response that the platform has just sent.
reply_times platform_view::times_from_platform() const {
  return {loop_.now_ms(), objects_.unserved_at_ms()};
}

// The times of a reply that has just come from a watching gateway, which sent
// the rest of the grace period.
reply_times platform_view::times_from_peer(
    const records::EndpointChanges& changes) const {
  const std::uint64_t now = loop_.now_ms();
  return {now, 0, now + changes.lapse_left_ms()};
}

void platform_view::sweep() {
  share_cold_endpoints();
  const std::vector<std::string> dropped =
      targets_.endpoints.sweep(loop_.now_ms());
  if (!dropped.empty()) {
    log_info("unlisted_endpoints_dropped", {{"endpoints", ids_text(dropped)}});
  }
  targets_.metrics.set("watches_platform", {}, is_watching() ? 1 : 0);
  targets_.metrics.set("endpoints_known", {},
                       static_cast<double>(targets_.endpoints.size()));
  targets_.metrics.set("endpoints_unlisted", {},
                       static_cast<double>(targets_.endpoints.unlisted()));
  targets_.metrics.set("endpoints_revision", {},
                       static_cast<double>(endpoints_.revision()));
  targets_.metrics.set("endpoints_age_ms", {},
                       static_cast<double>(endpoints_age_ms()));
}

// A gateway without a list of its peers takes no share: it may be one of many
// that have just started.
void platform_view::share_cold_endpoints() {
  if (!relays_.is_listed()) {
    return;
  }
  const std::vector<relay_peer> peers = relays_.peers();
  targets_.endpoints.update_cold_shares(
      [&](const cold_limit& limit, const endpoint& of) {
        return cold_share(limit, of.identity, of.data_centre, own_, peers);
      },
      loop_.now_ms());
}

// Endpoints that ended in an outage of the platform are listed for some time
// after it.
std::optional<std::uint64_t> platform_view::listed_alive_ms(
    const endpoint_identity& at) const {
  if (!targets_.endpoints.is_listed(at)) {
    return std::nullopt;
  }
  const std::uint64_t confirmed_ms = loop_.now_ms() - endpoints_age_ms();
  const std::uint64_t removal_ms =
      heartbeats_to_removal *
      static_cast<std::uint64_t>(endpoint_heartbeat_.count());
  const std::uint64_t loss_ms =
      std::max(objects_.unserved_at_ms(), listed_after_loss_ms_);
  if (confirmed_ms < loss_ms + removal_ms) {
    return std::nullopt;
  }
  return confirmed_ms - removal_ms;
}

void platform_view::watch_endpoints() {
  endpoints_.on_snapshot([this](const platform::object_listing& found,
                                bool after_loss) {
    apply(decoder_.decode_listing(found, after_loss), times_from_platform());
  });
  endpoints_.on_answer(
      [this](const platform::object_changes& found, std::uint64_t after) {
        apply(decoder_.decode_changes(found, after), times_from_platform());
      });
  endpoints_.start_paused();
}

void platform_view::probe_peer(std::function<void()> on_reply) {
  const relay_source peers = relays_.source();
  const std::string peer = peers.pick();
  if (peer.empty() || probe_call_.running()) {
    return;
  }
  probe_call_ = pool_.ask<records::WatchReply>(
      peer, "Watch", records::WatchRequest(), probe_timeout,
      [peers, peer, on_reply = std::move(on_reply)](
          const result<records::WatchReply>& reply) {
        if (reply) {
          on_reply();
        } else {
          peers.on_failure(peer, relay_failure::no_reply);
        }
      });
}

void platform_view::follow() {
  follower_.start(
      {[this] { return relays_.is_listed(); }, [this] { return position(); },
       [this] { return pause_watches(); }, [this] { resume_watches(); },
       [this](const records::WatchReply& reply, std::uint64_t sent_ms) {
         return apply_reply(reply, sent_ms);
       }});
}

// Another gateway has the endpoints of this revision.
void platform_view::expect_revision(std::uint64_t revision) {
  if (endpoints_.revision() == 0) {
    return;  // listing in progress
  }
  const bool possible = revision <= endpoints_.revision() + max_revisions_ahead;
  if (possible) {
    endpoints_.expect(revision);
    return;
  }
  const std::error_code wrong = errc::wire_out_of_step;
  log_warn("revision_refused", {{"revision", std::to_string(revision)},
                                {"error", std::to_string(wrong.value())},
                                {"cause", wrong.message()}});
}

// ---- Watches ---------------------------------------------------------------

bool platform_view::pause_watches() {
  const bool paused = endpoints_.pause() && configuration_.pause() &&
                      registry_.pause() && evacuations_.pause();
  server_.wake();  // callers have to poll another gateway
  return paused;
}

void platform_view::resume_watches() {
  // Other gateways depend on a watcher, so it retries sooner.
  const bool patient = !follower_.is_watcher();
  endpoints_.resume(patient);
  configuration_.resume(patient);
  registry_.resume(patient);
  evacuations_.resume(patient);
}

bool platform_view::is_watching() const {
  return !endpoints_.is_paused() && endpoints_.reachable() &&
         !endpoints_.is_behind() && log_.revision() != 0;
}

watch_status platform_view::status() const {
  if (is_watching()) {
    return watch_status::watching;
  }
  return follower_.is_starting() ? watch_status::starting
                                 : watch_status::not_watching;
}

watch_position platform_view::position() const {
  return {endpoints_.revision(), configuration_.document().version,
          registry_.revision(), evacuations_.current().revision};
}

std::error_code platform_view::apply_reply(const records::WatchReply& reply,
                                           std::uint64_t sent_ms) {
  if (const std::error_code wrong =
          check_watch_reply(reply, endpoints_.revision())) {
    return wrong;
  }
  targets_.metrics.add("watch_answers_total");
  for (const records::EndpointChanges& each : reply.endpoints()) {
    if (each.revision() > endpoints_.revision()) {
      apply(each, times_from_peer(each));
    }
  }
  endpoints_.advance(endpoints_.revision());
  if (reply.group_revision() != 0) {
    registry_.apply_update(reply.group(), reply.group_revision());
  }
  if (reply.configuration() > configuration_.document().version) {
    configuration_.apply_document(
        {reply.configuration(), reply.configuration_document()});
  }
  configuration_.apply_proof(reply, sent_ms);
  if (reply.evacuations_revision() != 0) {
    evacuations_.apply_received(
        {reply.evacuations_revision(),
         {reply.evacuated().begin(), reply.evacuated().end()}});
  }
  for (const records::EndpointNews& each : reply.endpoint_news()) {
    apply_report(each);
  }
  return {};
}

// ---- Group and configuration -----------------------------------------------

void platform_view::apply_group(const records::Group& group) {
  log_.set_group(group, registry_.revision());
  server_.wake();
  targets_.records.adopt(group);
  changed_();
}

void platform_view::on_configuration(const configuration_document& current) {
  targets_.endpoints.set_cold_limits(*configuration_.current());
  log_.set_configuration(current);
  server_.wake();
  if (!follower_.is_following()) {
    notifier_.announce_configuration(current.version);
  }
  changed_();
}

void platform_view::apply_evacuations(const evacuation_list& current) {
  log_.set_evacuations(current);
  if (targets_.endpoints.set_evacuated(current.data_centres, loop_.now_ms())) {
    share_cold_endpoints();
    server_.wake();
  }
}

// ---- Endpoints -------------------------------------------------------------

// Logs a later instance of a known endpoint.
void platform_view::log_restart(const endpoint& listed) {
  const endpoint* known = targets_.endpoints.find(listed.identity.id);
  if (known == nullptr || !listed.identity.is_newer_than(known->identity)) {
    return;
  }
  targets_.metrics.add("endpoint_restarts_total");
  log_info("endpoint_restarted",
           {{"endpoint", listed.identity.id},
            {"started_ms", std::to_string(listed.identity.started_ms)},
            {"before_ms", std::to_string(known->identity.started_ms)},
            {"revision", std::to_string(listed.revision)}});
}

void platform_view::withdraw(const records::EndpointChanges& changes) {
  for (const records::EndpointRecord& each : changes.unusable()) {
    if (targets_.endpoints.withdraw(each.id(), each.revision())) {
      log_warn("endpoint_withdrawn",
               {{"endpoint", shortened_name(each.id())},
                {"revision", std::to_string(each.revision())}});
    }
  }
}

void platform_view::apply(const records::EndpointChanges& changes,
                          const reply_times& times) {
  endpoints_.advance(changes.revision());
  if (changes.after_loss()) {
    listed_after_loss_ms_ = times.now_ms;
  }
  std::uint64_t kept_until = 0;
  if (changes.whole()) {
    kept_until = apply_listing(changes, times);
  } else if (!changes.changes().empty()) {
    log_changes(changes);
    kept_until = apply_changes(changes, times);
  }
  withdraw(changes);
  share_cold_endpoints();
  log_.add_endpoints(changes, kept_until);
  if (!changes.changes().empty() || !changes.unusable().empty()) {
    if (!follower_.is_following()) {
      notifier_.announce_endpoints_revision(changes.revision());
    }
    server_.wake();
  }
  changed_();
}

// Returns the end of the grace period of missing endpoints; 0: none are kept.
std::uint64_t platform_view::apply_listing(
    const records::EndpointChanges& changes, const reply_times& times) {
  withdraw(changes);  // first, so that they don't count as missing
  std::vector<endpoint> listed;
  for (const records::EndpointChange& each : changes.changes()) {
    listed.push_back(decode(each.record()).value());
    log_restart(listed.back());
  }
  const std::vector<std::string> kept =
      targets_.endpoints.replace(listed, changes.after_loss(), times);
  log_info("endpoints_listed",
           {{"count", std::to_string(listed.size())},
            {"revision", std::to_string(changes.revision())},
            {"after_loss", changes.after_loss() ? "yes" : "no"},
            {"unserved_ms_ago",
             std::to_string(times.now_ms - times.last_failed_call_ms)},
            {"kept", ids_text(kept)}});
  if (kept.empty()) {
    return 0;
  }
  return targets_.endpoints.kept_until(changes.after_loss()
                                           ? missing_cause::absent_after_outage
                                           : missing_cause::mass_removal,
                                       times);
}

// Returns the end of the grace period of removed endpoints; 0: none are kept.
std::uint64_t platform_view::apply_changes(
    const records::EndpointChanges& changes, const reply_times& times) {
  const auto removed = std::count_if(
      changes.changes().begin(), changes.changes().end(),
      [](const records::EndpointChange& each) { return each.removed(); });
  const bool expired =
      targets_.endpoints.is_mass_expiry(static_cast<std::size_t>(removed));
  if (expired) {
    targets_.metrics.add("endpoint_lapses_total");
    log_warn("endpoints_lapsed",
             {{"removed", std::to_string(removed)},
              {"known", std::to_string(targets_.endpoints.size())},
              {"unserved_ms_ago",
               std::to_string(times.now_ms - times.last_failed_call_ms)}});
  }
  for (const records::EndpointChange& each : changes.changes()) {
    const endpoint_identity instance = identity_of(each.record());
    if (!each.removed()) {
      const endpoint changed = decode(each.record()).value();
      log_restart(changed);
      targets_.endpoints.update(changed, times.now_ms);
    } else if (expired) {
      targets_.endpoints.expire(instance, changes.revision(), times);
    } else {
      targets_.on_removed(instance);
      targets_.endpoints.remove(instance, changes.revision());
    }
  }
  return expired
             ? targets_.endpoints.kept_until(missing_cause::mass_removal, times)
             : 0;
}

// ---- Reports of other gateways ---------------------------------------------

// Makes the report available to gateways that poll this one.
void platform_view::forward_report(const records::EndpointNews& report) {
  log_.add_report(report, loop_.now_ms());
  server_.wake_soon();
}

// A report may arrive through several watchers, and counts once.
bool platform_view::is_new(const records::EndpointNews& report) {
  const std::uint64_t now = loop_.now_ms();
  std::erase_if(reports_received_ms_, [&](const auto& each) {
    return each.second + report_memory_ms < now;
  });
  return reports_received_ms_.try_emplace(report.id(), now).second;
}

void platform_view::apply_report(const records::EndpointNews& report) {
  if (!is_new(report)) {
    return;
  }
  for (const records::EndpointIdentity& each : report.failed()) {
    targets_.metrics.add("endpoint_failures_reported_total");
    if (targets_.endpoints.record_peer_failure(decode(each), report.gateway(),
                                               loop_.now_ms())) {
      log_avoided(each, report);
    }
  }
  for (const records::EndpointIdentity& each : report.superseded()) {
    targets_.metrics.add("superseded_endpoints_reported_total");
    const endpoint_identity former = decode(each);
    if (targets_.endpoints.mark_superseded(former)) {
      log_avoided(each, report);
    }
    targets_.on_superseded(former);
  }
}

}  // namespace trayrock
