#include "trayrock/internal/records/store_membership_driver.h"

#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/group_rules.h"
#include "trayrock/internal/records/record_id.h"

namespace trayrock {
namespace {

constexpr milliseconds tick_period{100};
// A standing voter asks the others this seldom; one that has to catch up asks
// at every tick.
constexpr std::uint64_t calm_pull_period_ms = 400;
// A store that does not answer a call within this time is asked again.
constexpr milliseconds call_limit{700};
// Records that are asked for by name in one call.
constexpr int most_named_records = 500;
// Stores that start together have announced themselves by then.
constexpr std::uint64_t announcement_wait_ms = 2500;
// Pause after a change of the group that did not succeed.
constexpr std::uint64_t change_pause_ms = 300;

}  // namespace

store_membership_driver::store_membership_driver(
    event_loop& loop, record_server& server, rpc_pool& pool,
    platform::group_registry& registry, membership_settings settings)
    : loop_(loop),
      server_(server),
      pool_(pool),
      registry_(registry),
      settings_(std::move(settings)) {}

void store_membership_driver::start() {
  settings_.self.set_id(server_.state().id());
  started_ms_ = loop_.now_ms();
  registry_.watch_group(
      [this](const records::Group& group) { server_.adopt(group, nullptr); });
  registry_.watch_retirements(
      [this](const std::set<std::string>& boxes) { take_retirements(boxes); });
  ticking_ = loop_.every(tick_period, [this] { tick(); });
}

void store_membership_driver::tick() {
  if (server_.state().group().voters().empty()) {
    create_group();
    return;
  }
  const records::StoreState& state = server_.state();
  peers_.follow(state, loop_.now_ms());
  pull_due_peers();
  const bool voter = is_voter(state.group(), state.id());
  if (voter && !state.counts()) {
    finish_joining();
    return;
  }
  if (!retired_ && !changing_ && loop_.now_ms() >= changed_ms_) {
    std::visit([this](const auto& action) { act(action); },
               next_membership_action(view()));
  }
}

// ---- The first group -------------------------------------------------------

void store_membership_driver::create_group() {
  if (!settings_.first_start || creating_ || !registry_.group_known()) {
    return;
  }
  creating_ = true;
  const auto settle = [this] { creating_ = false; };
  if (!announced_) {
    registry_.announce(settings_.self, [this, settle](std::error_code failed) {
      announced_ = !failed || failed == errc::already_exists;
      settle();
    });
    return;
  }
  registry_.announced(
      [this, settle](const result<std::vector<records::Store>>& all) {
        settle();
        if (all) {
          create_group_of(all.value());
        }
      });
}

void store_membership_driver::create_group_of(
    const std::vector<records::Store>& announced) {
  const std::size_t wanted = full_group(settings_.tolerated);
  const bool waited = loop_.now_ms() - started_ms_ >= announcement_wait_ms;
  const bool enough = announced.size() >= wanted ||
                      (waited && announced.size() > settings_.tolerated);
  if (!enough) {
    return;
  }
  const records::Group group = first_group(announced, settings_.tolerated);
  creating_ = true;
  log_info("group_proposed", {{"voters", std::to_string(group.voters_size())}});
  registry_.change_group(group, [this](std::error_code failed) {
    creating_ = false;
    if (failed) {
      log_info("group_not_created", {{"cause", failed.message()}});
    }
  });
}

// ---- Reading other stores --------------------------------------------------

void store_membership_driver::pull_due_peers() {
  const records::StoreState& state = server_.state();
  const bool voter = is_voter(state.group(), state.id());
  if (voter && state.counts() && retiring_.empty()) {
    return;  // a counting voter has nothing to learn
  }
  const bool joining = voter && !state.counts();
  const std::uint64_t now = loop_.now_ms();
  for (const auto& [id, each] : peers_.all()) {
    const std::uint64_t since =
        now - std::max(each.answered_ms, each.first_asked_ms);
    const bool behind = reads_records() && !each.learner && !each.read_to_end;
    const bool due = since >= calm_pull_period_ms || each.answered_ms == 0;
    const bool joins_from = joining && !each.learner;
    if (!readings_[id].pulling.running() && (behind || joins_from || due)) {
      pull(each);
    }
  }
}

// A spare store only asks whether the voters live.
bool store_membership_driver::reads_records() const {
  const records::StoreState& state = server_.state();
  const bool joining = is_voter(state.group(), state.id()) && !state.counts();
  return joining || is_learner(state.group(), state.id());
}

// An empty store reads one voter in full, and of the others, after that, only
// what is missing.
records::PullKind store_membership_driver::pull_kind(const store_peer& from) {
  if (!reads_records() || from.learner ||
      from.id_at_address != from.store.id()) {
    return records::PULL_STATE;
  }
  if (full_source_.empty() && server_.book().size() == 0) {
    full_source_ = pick_full_source();
  }
  if (full_source_.empty() && server_.book().size() == 0) {
    return records::PULL_STATE;
  }
  if (from.store.id() == full_source_) {
    return records::PULL_RECORDS;
  }
  const store_peer* const source = peers_.find(full_source_);
  const bool source_is_read =
      source == nullptr || source->read_to_end ||
      source->id_at_address != full_source_ ||
      loop_.now_ms() - source->answered_ms >= calm_pull_period_ms;
  return source_is_read ? records::PULL_KEYS : records::PULL_STATE;
}

// The voter that is read in full. Stores that learn at the same time should not
// all read the same one.
std::string store_membership_driver::pick_full_source() const {
  std::string picked;
  std::uint64_t least = 0;
  for (const auto& [id, each] : peers_.all()) {
    if (each.learner || each.id_at_address != id) {
      continue;
    }
    const std::uint64_t order = id_of(settings_.self.id() + id).low;
    if (picked.empty() || order < least) {
      picked = id;
      least = order;
    }
  }
  return picked;
}

void store_membership_driver::pull(const store_peer& from) {
  const records::PullKind kind = pull_kind(from);
  const std::string id = from.store.id();
  reading& held = readings_[id];
  records::PullRequest request;
  request.set_log(held.log);
  request.set_after(held.position);
  request.set_kind(kind);
  peers_.pull_began(id);
  held.pulling = pool_.ask<records::PullReply>(
      from.store.address(), "Pull", request, call_limit,
      [this, id, kind](result<records::PullReply> answer) {
        pulled(id, kind, std::move(answer));
      });
}

void store_membership_driver::pulled(const std::string& id,
                                     records::PullKind kind,
                                     result<records::PullReply> answer) {
  if (!answer) {
    return;
  }
  const records::PullReply& reply = answer.value();
  if (!peers_.answered(id, reply, loop_.now_ms())) {
    return;
  }
  if (reply.group().epoch() > server_.state().group().epoch()) {
    server_.adopt(reply.group(), nullptr);
  }
  if (kind == records::PULL_KEYS) {
    fetch_missing(id, reply);
  } else if (kind == records::PULL_RECORDS) {
    take_pulled(id, reply);
  }
}

// Asks for the records of the listed keys that this store does not hold.
void store_membership_driver::fetch_missing(const std::string& id,
                                            const records::PullReply& listed) {
  records::PullRequest request;
  request.set_kind(records::PULL_NAMED);
  bool all_asked = true;
  for (const std::string& key : listed.keys()) {
    if (server_.book().has(key)) {
      continue;
    }
    if (request.keys_size() == most_named_records) {
      all_asked = false;
      break;
    }
    request.add_keys(key);
  }
  if (request.keys_size() == 0) {
    read_up_to(id, listed);
    return;
  }
  const store_peer* const from = peers_.find(id);
  if (from == nullptr) {
    return;
  }
  records::PullReply reached = listed;
  readings_[id].pulling = pool_.ask<records::PullReply>(
      from->store.address(), "Pull", request, call_limit,
      [this, id, reached = std::move(reached),
       all_asked](const result<records::PullReply>& answer) {
        if (!answer || answer.value().store() != id) {
          return;
        }
        server_.take(answer.value(), [this, id, reached, all_asked] {
          const store_peer* const still_there = peers_.find(id);
          if (all_asked) {
            read_up_to(id, reached);
          } else if (still_there != nullptr) {
            pull(*still_there);
          }
        });
      });
}

void store_membership_driver::take_pulled(const std::string& id,
                                          const records::PullReply& reply) {
  records::PullReply reached;
  reached.set_log(reply.log());
  reached.set_position(reply.position());
  reached.set_more(reply.more());
  server_.take(reply, [this, id, reached] { read_up_to(id, reached); });
}

// Everything up to the position is on this store's disk.
void store_membership_driver::read_up_to(const std::string& id,
                                         const records::PullReply& reply) {
  const store_peer* const from = peers_.find(id);
  if (from == nullptr) {
    return;
  }
  readings_[id].log = reply.log();
  readings_[id].position = reply.position();
  peers_.read(id, !reply.more());
  if (reply.more()) {
    pull(*from);
  }
}

// ---- Taking a voter's place ------------------------------------------------

void store_membership_driver::fence(const store_peer& voter) {
  records::FenceRequest request;
  *request.mutable_group() = server_.state().group();
  const std::string id = voter.store.id();
  const std::uint64_t epoch = server_.state().group().epoch();
  readings_[id].fencing = pool_.ask<records::FenceReply>(
      voter.store.address(), "Fence", request, call_limit,
      [this, id, epoch](result<records::FenceReply> answer) {
        if (answer && peers_.fence_answered(id, answer.value(), epoch)) {
          pull(*peers_.find(id));
        }
      });
}

// This store is a voter that does not count yet.
void store_membership_driver::finish_joining() {
  const records::Group& group = server_.state().group();
  for (const auto& [id, each] : peers_.all()) {
    const bool previous = find_store(group.previous_voters(), id) != nullptr;
    if (previous && !each.fenced && !readings_[id].fencing.running()) {
      fence(each);
    }
  }
  if (!peers_.joined(server_.state())) {
    return;
  }
  log_info(
      "store_counts",
      {{"store", server_.state().id()},
       {"epoch", std::to_string(group.epoch())},
       {"read_from", std::to_string(peers_.read_since_fence(server_.state()))},
       {"records", std::to_string(server_.book().size())}});
  server_.set_counts(true);
}

membership_view store_membership_driver::view() {
  membership_view made;
  made.self = settings_.self;
  made.group = server_.state().group();
  made.retiring_boxes = retiring_;
  const std::uint64_t now = loop_.now_ms();
  made.retiring_ms = retiring_since_ms_ == 0 ? 0 : now - retiring_since_ms_;
  made.peers = peers_.views(now);
  made.change_pending = changing_;
  if (!has_open_place(made)) {
    place_open_since_ms_ = 0;
  } else if (place_open_since_ms_ == 0) {
    place_open_since_ms_ = now;
  }
  made.place_open_ms =
      place_open_since_ms_ == 0 ? 0 : now - place_open_since_ms_;
  return made;
}

void store_membership_driver::change(const records::Group& group,
                                     std::string_view what,
                                     std::string_view cause,
                                     const std::string& leaving) {
  changing_ = true;
  log_info("group_change_proposed", {{"store", settings_.self.id()},
                                     {"action", std::string(what)},
                                     {"cause", std::string(cause)},
                                     {"leaving", leaving},
                                     {"epoch", std::to_string(group.epoch())}});
  registry_.change_group(group, [this](std::error_code failed) {
    changing_ = false;
    if (failed) {
      changed_ms_ = loop_.now_ms() + change_pause_ms;
      log_info("group_change_failed", {{"cause", failed.message()}});
    }
  });
}

void store_membership_driver::act(const become_learner& learning) {
  change(with_learner(server_.state().group(), settings_.self, learning.gone),
         "learn", "new", "");
}

void store_membership_driver::act(const take_place& place) {
  change(with_voter(server_.state().group(), settings_.self, place.leaving),
         "vote", place.cause, place.leaving);
}

// ---- Retirement ------------------------------------------------------------

void store_membership_driver::take_retirements(
    const std::set<std::string>& boxes) {
  retiring_ = boxes;
  if (!retiring_.contains(settings_.self.box())) {
    retiring_since_ms_ = 0;
    reported_running_ = false;
    return;
  }
  if (retiring_since_ms_ == 0) {
    retiring_since_ms_ = loop_.now_ms();
    log_info("retirement_requested", {{"box", settings_.self.box()}});
  }
  if (!reported_running_ && !reporting_) {
    reporting_ = true;
    registry_.report_retirement(settings_.self.box(), false,
                                [this](std::error_code failed) {
                                  reporting_ = false;
                                  reported_running_ = !failed;
                                });
  }
}

void store_membership_driver::act(const leave_group&) {
  change(without_voter(server_.state().group(), settings_.self.id()), "leave",
         "retiring", settings_.self.id());
}

void store_membership_driver::act(const finish_retirement&) {
  if (reporting_) {
    return;
  }
  reporting_ = true;
  registry_.report_retirement(
      settings_.self.box(), true, [this](std::error_code failed) {
        reporting_ = false;
        retired_ = retired_ || !failed;
        log_info("retirement_reported",
                 {{"box", settings_.self.box()},
                  {"outcome", failed ? failed.message() : "finished"}});
      });
}

}  // namespace trayrock
