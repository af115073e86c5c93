#include "trayrock/internal/records/store_membership_driver.h"

#include "trayrock/internal/log.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

constexpr milliseconds tick_period{100};
// Time for stores that start together to announce themselves.
constexpr std::uint64_t announcement_wait_ms = 2500;
// The first voter proposes the first group. Other stores propose one only if
// there is none this long after their start; until then they check at the
// interval below.
constexpr std::uint64_t fallback_proposal_ms = 4000;
constexpr std::uint64_t proposal_retry_ms = 1000;
// Backoff after a failed change of the group.
constexpr std::uint64_t change_backoff_ms = 300;

}  // namespace

store_membership_driver::store_membership_driver(
    event_loop& loop, record_server& server, rpc_pool& pool,
    platform::group_registry& registry, membership_settings settings)
    : loop_(loop),
      server_(server),
      reader_(loop, server, pool),
      registry_(registry),
      settings_(std::move(settings)) {}

void store_membership_driver::start() {
  settings_.self.set_id(server_.state().id());
  started_ms_ = loop_.now_ms();
  registry_.watch_group(
      [this](const records::Group& group) { server_.adopt(group, nullptr); });
  registry_.watch_retirements(
      [this](const std::set<std::string>& boxes) { on_retirements(boxes); });
  tick_timer_ = loop_.every(tick_period, [this] { tick(); });
}

void store_membership_driver::tick() {
  if (server_.state().group().voters().empty()) {
    create_group();
    return;
  }
  reader_.follow_group();
  if (needs_peers()) {
    reader_.pull_due();
  }
  expire_records();
  if (reader_.joining()) {
    finish_joining();
    return;
  }
  const membership_view current = view();
  update_platform_watch(current);
  if (!reported_retired_ && !changing_ && loop_.now_ms() >= backoff_until_ms_) {
    std::visit([this](const auto& action) { act(action); },
               next_membership_action(current));
  }
}

void store_membership_driver::update_platform_watch(
    const membership_view& current) {
  if (!settings_.shares_watches || needs_platform(current)) {
    registry_.resume();
  } else {
    registry_.pause();
  }
}

// A counting voter needs no data from its peers unless a box retires or records
// expire.
bool store_membership_driver::needs_peers() const {
  const records::StoreState& state = server_.state();
  const bool counts = is_voter(state.group(), state.id()) && state.counts();
  return !counts || !retiring_.empty() || server_.expiry_due_since();
}

// A store outside the group has no records that others rely on.
void store_membership_driver::expire_records() {
  const std::optional<std::uint64_t> due = server_.expiry_due_since();
  if (!due) {
    return;
  }
  const records::StoreState& state = server_.state();
  const bool is_member = is_voter(state.group(), state.id()) ||
                         is_learner(state.group(), state.id());
  const std::optional<std::uint64_t> as_of =
      is_member ? reader_.complete_as_of() : loop_.now_ms();
  if (as_of && *as_of >= *due) {
    server_.expire(*as_of);
  }
}

// ---- The first group -------------------------------------------------------

void store_membership_driver::create_group() {
  const bool due = !creating_ && loop_.now_ms() >= next_creation_ms_;
  if (!settings_.first_start || !due || !registry_.group_known()) {
    return;
  }
  creating_ = true;
  const auto end_creation = [this] { creating_ = false; };
  if (!announced_) {
    registry_.announce(settings_.self,
                       [this, end_creation](std::error_code failed) {
                         announced_ = !failed || failed == errc::already_exists;
                         end_creation();
                       });
    return;
  }
  registry_.announced(
      [this, end_creation](const result<std::vector<records::Store>>& all) {
        end_creation();
        if (all) {
          create_group_of(all.value());
        }
      });
}

void store_membership_driver::create_group_of(
    const std::vector<records::Store>& announced) {
  const std::size_t wanted = full_group_size(settings_.tolerated);
  const bool waited = loop_.now_ms() - started_ms_ >= announcement_wait_ms;
  const bool enough = announced.size() >= wanted ||
                      (waited && announced.size() > settings_.tolerated);
  if (!enough) {
    return;
  }
  const records::Group group = first_group(announced, settings_.tolerated);
  const bool first = group.voters(0).id() == settings_.self.id();
  if (!first && loop_.now_ms() - started_ms_ < fallback_proposal_ms) {
    next_creation_ms_ = loop_.now_ms() + proposal_retry_ms;
    return;
  }
  creating_ = true;
  log_info("group_proposed", {{"voters", std::to_string(group.voters_size())}});
  registry_.change_group(group, [this](std::error_code failed) {
    creating_ = false;
    if (failed) {
      log_info("group_not_created", {{"cause", failed.message()}});
    }
  });
}

// ---- Becoming a voter ------------------------------------------------------

// Called while this store is a voter that does not count yet.
void store_membership_driver::finish_joining() {
  reader_.fence_previous_voters();
  const records::StoreState& state = server_.state();
  const store_peers& peers = reader_.peers();
  if (!peers.has_joined(state)) {
    return;
  }
  log_info("store_counts",
           {{"store", state.id()},
            {"epoch", std::to_string(state.group().epoch())},
            {"read_from", std::to_string(peers.read_since_fence(state))},
            {"records", std::to_string(server_.index().size())}});
  server_.set_counts(true);
}

membership_view store_membership_driver::view() {
  membership_view made;
  made.self = settings_.self;
  made.group = server_.state().group();
  made.retiring_boxes = retiring_;
  const std::uint64_t now = loop_.now_ms();
  made.retiring_ms = retiring_since_ms_ == 0 ? 0 : now - retiring_since_ms_;
  made.peers = reader_.peers().views(now);
  made.change_pending = changing_;
  made.peer_reported_retirement =
      reader_.reported_retiring(settings_.self.box());
  made.keeps_learners_ready = settings_.keeps_learners_ready;
  if (!has_vacancy(made)) {
    vacant_since_ms_ = 0;
  } else if (vacant_since_ms_ == 0) {
    vacant_since_ms_ = now;
  }
  made.vacancy_ms = vacant_since_ms_ == 0 ? 0 : now - vacant_since_ms_;
  return made;
}

void store_membership_driver::change(const records::Group& group,
                                     std::string_view action,
                                     std::string_view cause,
                                     const std::string& leaving) {
  changing_ = true;
  log_info("group_change_proposed", {{"store", settings_.self.id()},
                                     {"action", std::string(action)},
                                     {"cause", std::string(cause)},
                                     {"leaving", leaving},
                                     {"epoch", std::to_string(group.epoch())}});
  registry_.change_group(group, [this](std::error_code failed) {
    changing_ = false;
    if (failed) {
      backoff_until_ms_ = loop_.now_ms() + change_backoff_ms;
      log_info("group_change_failed", {{"cause", failed.message()}});
    }
  });
}

void store_membership_driver::act(const become_learner& learning) {
  change(with_learner(server_.state().group(), settings_.self,
                      learning.lost_learners),
         "learn", "new", "");
}

void store_membership_driver::act(const become_voter& role) {
  change(with_voter(server_.state().group(), settings_.self, role.replaced),
         "vote", role.cause, role.replaced);
}

// ---- Retirement ------------------------------------------------------------

void store_membership_driver::on_retirements(
    const std::set<std::string>& boxes) {
  retiring_ = boxes;
  server_.set_retiring(boxes);
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
        reported_retired_ = reported_retired_ || !failed;
        log_info("retirement_reported",
                 {{"box", settings_.self.box()},
                  {"outcome", failed ? failed.message() : "finished"}});
      });
}

}  // namespace trayrock
