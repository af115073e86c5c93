#include "trayrock/internal/records/store_membership_driver.h"

#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/group_rules.h"
#include "trayrock/internal/records/store_repair.h"

namespace trayrock {
namespace {

constexpr milliseconds tick_period{100};
// A standing voter asks the others this seldom; one that has to catch up asks
// at every tick.
constexpr std::uint64_t calm_pull_period_ms = 400;
// A store that does not answer a call within this time is asked again.
constexpr milliseconds call_limit{700};
// A repair is answered when all of its sources have been read to their end.
constexpr milliseconds repair_limit{8000};
// Records that are asked for by name in one call.
constexpr int most_named_records = 200;
// Stores that start together have announced themselves by then.
constexpr std::uint64_t announcement_wait_ms = 2500;
// Pause after a change of the group that did not succeed.
constexpr std::uint64_t change_pause_ms = 300;

// True for a group that has fewer voters than it should.
bool is_short(const records::Group& group) {
  return static_cast<std::size_t>(group.voters_size()) <
         full_group(group.tolerated());
}

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
  server_.on_repair([this](const records::RepairRequest& request,
                           const rpc_reply_ptr& reply) {
    repair_store(loop_, server_, pool_, request, reply);
  });
  ticking_ = loop_.every(tick_period, [this] { tick(); });
}

void store_membership_driver::tick() {
  if (server_.state().group().voters().empty()) {
    create_group();
    return;
  }
  refresh_peers();
  pull_due_peers();
  const records::StoreState& state = server_.state();
  const bool voter = is_voter(state.group(), state.id());
  if (voter && !state.counts()) {
    finish_joining();
    return;
  }
  if (!voter && retiring_.contains(settings_.self.box())) {
    ask_repairs();
  }
  if (!changing_ && loop_.now_ms() >= changed_ms_) {
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

void store_membership_driver::refresh_peers() {
  const records::Group& group = server_.state().group();
  const std::string& own = server_.state().id();
  if (group.epoch() != peers_epoch_) {
    peers_epoch_ = group.epoch();
    for (auto& [id, each] : peers_) {
      each.fenced = false;
      each.read_since_fence = false;
    }
  }
  const auto wanted = [&](const std::string& id) {
    return id != own && (is_voter(group, id) ||
                         find_store(group.previous_voters(), id) != nullptr);
  };
  std::erase_if(peers_, [&](const auto& held) { return !wanted(held.first); });
  for (const auto* stores : {&group.voters(), &group.previous_voters()}) {
    for (const records::Store& each : *stores) {
      if (wanted(each.id()) && !peers_.contains(each.id())) {
        peer& made = peers_[each.id()];
        made.store = each;
        made.first_asked_ms = loop_.now_ms();
      }
    }
  }
}

void store_membership_driver::pull_due_peers() {
  const records::StoreState& state = server_.state();
  const bool voter = is_voter(state.group(), state.id());
  if (voter && state.counts() && retiring_.empty()) {
    return;  // a counting voter has nothing to learn
  }
  const bool joining = voter && !state.counts();
  const std::uint64_t now = loop_.now_ms();
  for (auto& [id, each] : peers_) {
    const std::uint64_t since =
        now - std::max(each.answered_ms, each.first_asked_ms);
    const bool behind = reads_records() && !each.read_to_end;
    const bool due = since >= calm_pull_period_ms || each.answered_ms == 0;
    if (!each.pulling.running() && (behind || joining || due)) {
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
records::PullKind store_membership_driver::pull_kind(const peer& from) {
  if (!reads_records() || from.id_at_address != from.store.id()) {
    return records::PULL_STATE;
  }
  if (full_source_.empty() && server_.book().size() == 0) {
    full_source_ = from.store.id();
  }
  if (from.store.id() == full_source_) {
    return records::PULL_RECORDS;
  }
  const auto source = peers_.find(full_source_);
  const bool source_is_read =
      source == peers_.end() || source->second.read_to_end ||
      source->second.id_at_address != full_source_ ||
      loop_.now_ms() - source->second.answered_ms >= calm_pull_period_ms;
  return source_is_read ? records::PULL_KEYS : records::PULL_STATE;
}

void store_membership_driver::pull(peer& from) {
  const records::PullKind kind = pull_kind(from);
  records::PullRequest request;
  request.set_log(from.log);
  request.set_after(from.position);
  request.set_kind(kind);
  from.pull_began_fenced = from.fenced;
  const std::string id = from.store.id();
  from.pulling = pool_.ask<records::PullReply>(
      from.store.address(), "Pull", request, call_limit,
      [this, id, kind](result<records::PullReply> answer) {
        pulled(id, kind, std::move(answer));
      });
}

void store_membership_driver::pulled(const std::string& id,
                                     records::PullKind kind,
                                     result<records::PullReply> answer) {
  const auto found = peers_.find(id);
  if (found == peers_.end() || !answer) {
    return;
  }
  peer& from = found->second;
  const records::PullReply& reply = answer.value();
  from.answered_ms = loop_.now_ms();
  from.id_at_address = reply.store();
  from.counts = reply.counts() && reply.store() == id;
  if (reply.store() != id) {
    from.read_to_end = false;
    return;
  }
  if (reply.group().epoch() > server_.state().group().epoch()) {
    server_.adopt(reply.group(), nullptr);
  }
  if (kind == records::PULL_KEYS) {
    fetch_missing(from, reply);
  } else if (kind == records::PULL_RECORDS) {
    take_pulled(id, reply);
  }
}

// Asks for the records of the listed keys that this store does not hold.
void store_membership_driver::fetch_missing(peer& from,
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
  const std::string id = from.store.id();
  if (request.keys_size() == 0) {
    read_up_to(id, listed);
    return;
  }
  records::PullReply reached = listed;
  from.pulling = pool_.ask<records::PullReply>(
      from.store.address(), "Pull", request, call_limit,
      [this, id, reached = std::move(reached),
       all_asked](const result<records::PullReply>& answer) {
        if (!answer || answer.value().store() != id) {
          return;
        }
        server_.take(answer.value(), [this, id, reached, all_asked] {
          if (all_asked) {
            read_up_to(id, reached);
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
  const auto held = peers_.find(id);
  if (held == peers_.end()) {
    return;
  }
  peer& from = held->second;
  from.log = reply.log();
  from.position = reply.position();
  from.read_to_end = !reply.more();
  if (!reply.more() && from.fenced && from.pull_began_fenced) {
    from.read_since_fence = true;
  }
  if (reply.more()) {
    pull(from);
  }
}

// ---- Taking a voter's place ------------------------------------------------

void store_membership_driver::fence(peer& voter) {
  records::FenceRequest request;
  *request.mutable_group() = server_.state().group();
  const std::string id = voter.store.id();
  const std::uint64_t epoch = server_.state().group().epoch();
  voter.fencing = pool_.ask<records::FenceReply>(
      voter.store.address(), "Fence", request, call_limit,
      [this, id, epoch](result<records::FenceReply> answer) {
        const auto found = peers_.find(id);
        if (found == peers_.end() || !answer ||
            epoch != server_.state().group().epoch()) {
          return;
        }
        const records::FenceReply& reply = answer.value();
        found->second.fenced =
            reply.store() == id && reply.counts() && reply.epoch() >= epoch;
        found->second.pull_began_fenced = false;
        if (found->second.fenced) {
          pull(found->second);
        }
      });
}

// This store is a voter that does not count yet: it does once it has read
// enough stores of the epoch before, each after that one refuses this epoch's
// predecessor.
void store_membership_driver::finish_joining() {
  const records::Group& group = server_.state().group();
  std::size_t read = 0;
  for (auto& [id, each] : peers_) {
    if (find_store(group.previous_voters(), id) == nullptr) {
      continue;
    }
    if (!each.fenced && !each.fencing.running()) {
      fence(each);
    }
    read += each.read_since_fence ? 1 : 0;
  }
  const auto before = static_cast<std::size_t>(group.previous_voters_size());
  if (before == 0 || read >= read_quorum(before, group.tolerated())) {
    log_info("store_counts",
             {{"store", server_.state().id()},
              {"epoch", std::to_string(group.epoch())},
              {"read_from", std::to_string(read)},
              {"records", std::to_string(server_.book().size())}});
    server_.set_counts(true);
  }
}

membership_view store_membership_driver::view() const {
  membership_view made;
  made.self = settings_.self;
  made.group = server_.state().group();
  made.retiring_boxes = retiring_;
  const std::uint64_t now = loop_.now_ms();
  made.retiring_ms = retiring_since_ms_ == 0 ? 0 : now - retiring_since_ms_;
  for (const auto& [id, each] : peers_) {
    const std::uint64_t heard = std::max(each.answered_ms, each.first_asked_ms);
    made.peers[id] = {now - heard, each.read_to_end, each.counts,
                      each.id_at_address};
  }
  made.change_pending = changing_;
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

void store_membership_driver::act(const become_learner&) {
  change(with_learner(server_.state().group(), settings_.self), "learn", "new",
         "");
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
  repaired_.clear();
  change(without_voter(server_.state().group(), settings_.self.id()), "leave",
         "retiring", settings_.self.id());
}

// Every remaining voter reads all that this store and the others hold, since
// a smaller group has no copy to spare.
void store_membership_driver::ask_repairs() {
  const records::Group& group = server_.state().group();
  if (!is_short(group)) {
    return;
  }
  for (const records::Store& each : group.voters()) {
    const std::string& id = each.id();
    if (repaired_.contains(id) || repairs_[id].running()) {
      continue;
    }
    records::RepairRequest request;
    *request.add_sources() = settings_.self;
    for (const records::Store& other : group.voters()) {
      if (other.id() != id) {
        *request.add_sources() = other;
      }
    }
    repairs_[id] = pool_.ask<records::RepairReply>(
        each.address(), "Repair", request, repair_limit,
        [this, id](const result<records::RepairReply>& answer) {
          if (answer && answer.value().done()) {
            repaired_.insert(id);
          }
        });
  }
}

void store_membership_driver::act(const finish_retirement&) {
  const records::Group& group = server_.state().group();
  if (is_short(group)) {
    for (const records::Store& each : group.voters()) {
      if (!repaired_.contains(each.id())) {
        return;
      }
    }
  }
  if (reporting_) {
    return;
  }
  reporting_ = true;
  registry_.report_retirement(
      settings_.self.box(), true, [this](std::error_code failed) {
        reporting_ = false;
        log_info("retirement_reported",
                 {{"box", settings_.self.box()},
                  {"outcome", failed ? failed.message() : "finished"}});
      });
}

}  // namespace trayrock
