#include "store_group_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "trayrock/internal/records/store_group.h"

namespace trayrock::testing::store_group {
namespace {

constexpr std::size_t max_pending_writes = 3;
constexpr std::uint64_t step_ms = 50;
// Chance that the oldest write of a disk ends before its store continues.
constexpr unsigned quick_disk_percent = 100;
constexpr unsigned slow_disk_percent = 20;

}  // namespace

simulation::simulation(std::uint64_t seed, int boxes, std::uint32_t tolerated,
                       omitted_rule omitted)
    : random_(seed),
      omitted_(omitted),
      disk_write_percent_(chance(50) ? quick_disk_percent : slow_disk_percent) {
  std::vector<records::Store> stores;
  for (int i = 0; i < boxes; ++i) {
    add_box();
    stores.push_back(boxes_.back().current->self);
  }
  group_ = first_group(stores, tolerated);
  known_groups_.push_back(group_);
  for (box& each : boxes_) {
    store& member = *each.current;
    adopt_group(member.state, group_);
    member.state.set_counts(is_voter(group_, member.self.id()));
  }
}

void simulation::step() {
  now_ms_ += step_ms;
  switch (random_() % 12) {
    case 0:
      begin_write();
      break;
    case 1:
    case 2:
    case 3:
      deliver_write();
      break;
    case 4:
    case 5:
    case 6:
    case 7:
      run_store();
      break;
    case 8:
      send_group();
      break;
    case 9:
      deliver_proposal();
      break;
    case 10:
      read_random_record();
      break;
    default:
      inject_fault();
  }
}

void simulation::add_box() {
  box made;
  made.name = "box-" + std::to_string(boxes_made_++);
  boxes_.push_back(std::move(made));
  replace_disk(boxes_.back());
}

void simulation::replace_disk(box& at) {
  if (omitted_ == omitted_rule::store_ids && at.current != nullptr) {
    at.current->stored.clear();
    return;
  }
  at.current = std::make_shared<store>();
  at.current->self.set_id("store-" + std::to_string(stores_made_++));
  at.current->self.set_address(at.name);
  at.current->self.set_box(at.name);
  at.current->state.set_id(at.current->self.id());
}

box* simulation::box_at(const std::string& address) {
  for (box& each : boxes_) {
    if (each.name == address && each.current != nullptr && !each.paused) {
      return &each;
    }
  }
  return nullptr;
}

box* simulation::random_box() {
  box& picked = boxes_[random_() % boxes_.size()];
  return picked.current == nullptr || picked.paused ? nullptr : &picked;
}

// ---- Writes and reads -------------------------------------------------------

const records::Group& simulation::random_known_group() {
  const std::size_t recent = std::min<std::size_t>(known_groups_.size(), 3);
  return known_groups_[known_groups_.size() - 1 - random_() % recent];
}

void simulation::begin_write() {
  if (writes_.size() < max_pending_writes) {
    writes_.push_back({records_made_++, random_known_group(), {}, {}});
  }
}

records::Outcome simulation::evaluate_write(const store& at,
                                            const std::string& id,
                                            const records::Group& group) const {
  records::WriteRequest request;
  request.set_store(id);
  request.set_epoch(group.epoch());
  request.set_shrunk_epoch(group.shrunk_epoch());
  return judge_write(at.state, request);
}

void simulation::deliver_write() {
  if (writes_.empty()) {
    return;
  }
  const std::size_t index = random_() % writes_.size();
  write_operation& write = writes_[index];
  const records::Store voter = write.group.voters(static_cast<int>(
      random_() % static_cast<unsigned>(write.group.voters_size())));
  const box* const at = box_at(voter.address());
  if (at == nullptr) {
    return;
  }
  store& reached = *at->current;
  const records::Outcome outcome =
      evaluate_write(reached, voter.id(), write.group);
  if (reached.state.group().epoch() > write.group.epoch()) {
    write = {write.record, reached.state.group(), {}, {}};
    return;
  }
  if (outcome == records::OUTCOME_CATCHING_UP) {
    reached.stored.insert(write.record);
    return;
  }
  if (outcome != records::OUTCOME_OK) {
    return;
  }
  reached.stored.insert(write.record);
  write.acknowledged.insert(voter.id());
  write.visible.insert(reached.stored.begin(), reached.stored.end());
  const auto voters = static_cast<std::size_t>(write.group.voters_size());
  if (write.acknowledged.size() >=
      write_quorum(voters, write.group.tolerated())) {
    acknowledge(write);
    writes_.erase(writes_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void simulation::acknowledge(const write_operation& write) {
  for (const auto& [other, other_visible] : visible_records_) {
    if (!write.visible.contains(other) &&
        !other_visible.contains(write.record)) {
      violation_ = "reservations " + std::to_string(other) + " and " +
                   std::to_string(write.record) + " did not see each other";
    }
  }
  visible_records_[write.record] = write.visible;
}

void simulation::read_random_record() {
  if (visible_records_.empty()) {
    return;
  }
  auto picked = visible_records_.begin();
  std::advance(picked, random_() % visible_records_.size());
  const records::Group group = random_known_group();
  std::size_t denials = 0;
  for (const records::Store& each : group.voters()) {
    const box* const at = box_at(each.address());
    if (at == nullptr) {
      continue;
    }
    const store& queried = *at->current;
    if (queried.state.group().epoch() > group.epoch()) {
      return;  // the gateway restarts the read with the newer group
    }
    if (evaluate_write(queried, each.id(), group) == records::OUTCOME_OK &&
        !queried.stored.contains(picked->first)) {
      ++denials;
    }
  }
  const std::size_t needed =
      omitted_ == omitted_rule::two_denials
          ? 1
          : read_quorum(static_cast<std::size_t>(group.voters_size()),
                        group.tolerated());
  if (denials >= needed) {
    violation_ = "record " + std::to_string(picked->first) +
                 " denied in epoch " + std::to_string(group.epoch());
  }
}

// ---- Stores -----------------------------------------------------------------

void simulation::run_store() {
  const box* const at = random_box();
  if (at == nullptr) {
    return;
  }
  store& self = *at->current;
  if (self.state.group().voters().empty()) {
    return;
  }
  self.peers.follow(self.state, now_ms_);
  finish_random_disk_writes(self);
  pull_random_peer(self);
  const bool voter = is_voter(self.state.group(), self.state.id());
  if (voter && !self.state.counts()) {
    join(self);
    return;
  }
  std::visit([&](const auto& action) { act(self, action); },
             next_membership_action(view_of(self)));
}

void simulation::pull_random_peer(store& self) {
  if (self.peers.all().empty()) {
    return;
  }
  auto picked = self.peers.all().begin();
  std::advance(picked, random_() % self.peers.all().size());
  pull(self, picked->second.store);
}

void simulation::pull(store& self, const records::Store& from) {
  const box* const at = box_at(from.address());
  if (at == nullptr) {
    return;
  }
  const store& other = *at->current;
  const pull_start start = self.peers.on_pull_started(from.id(), 0);
  records::PullReply reply;
  reply.set_store(other.state.id());
  reply.set_counts(other.state.counts());
  reply.set_epoch(other.state.group().epoch());
  const bool same = self.peers.on_pull_reply(from.id(), reply, now_ms_);
  if (!same) {
    return;
  }
  if (other.state.group().epoch() > self.state.group().epoch()) {
    adopt_group(self.state, other.state.group());
  }
  const records::Group& group = self.state.group();
  const bool reads = is_learner(group, self.state.id()) ||
                     (is_voter(group, self.state.id()) && !self.state.counts());
  if (reads) {
    self.writing.push_back({from.id(), start, other.stored});
    if (omitted_ == omitted_rule::durable_reads) {
      self.peers.on_records_stored(from.id(), start, true);
    }
    finish_random_disk_writes(self);
  }
}

void simulation::finish_random_disk_writes(store& self) {
  while (!self.writing.empty() && chance(disk_write_percent_)) {
    finish_disk_write(self);
  }
}

void simulation::finish_disk_write(store& self) {
  const pulled_records done = std::move(self.writing.front());
  self.writing.pop_front();
  self.stored.insert(done.records.begin(), done.records.end());
  const pull_start start = omitted_ == omitted_rule::pull_start
                               ? self.peers.on_pull_started(done.from, 0)
                               : done.start;
  self.peers.on_records_stored(done.from, start, true);
}

void simulation::join(store& self) {
  const records::Group group = self.state.group();
  const std::uint64_t epoch = group.epoch();
  for (const records::Store& each : group.previous_voters()) {
    const store_peer* const peer = self.peers.find(each.id());
    const box* const at = box_at(each.address());
    if (peer == nullptr || peer->fenced || at == nullptr || !chance(60)) {
      continue;
    }
    store& other = *at->current;
    records::FenceReply reply = answer_fence(other.state, epoch);
    if (omitted_ != omitted_rule::fence) {
      adopt_group(other.state, group);
      reply = answer_fence(other.state, epoch);
    } else {
      reply.set_epoch(epoch);
    }
    if (self.peers.on_fence_reply(each.id(), reply, epoch) && chance(50)) {
      pull(self, each);
    }
  }
  if (has_joined(self)) {
    self.state.set_counts(true);
  }
}

bool simulation::has_joined(const store& self) const {
  if (omitted_ != omitted_rule::last_read) {
    return self.peers.has_joined(self.state);
  }
  const records::Group& group = self.state.group();
  std::size_t fenced = 0;
  for (const records::Store& each : group.previous_voters()) {
    const store_peer* const peer = self.peers.find(each.id());
    fenced += peer != nullptr && peer->fenced ? 1 : 0;
  }
  return fenced >=
         read_quorum(static_cast<std::size_t>(group.previous_voters_size()),
                     group.tolerated());
}

membership_view simulation::view_of(store& self) const {
  membership_view made;
  made.self = self.self;
  made.group = self.state.group();
  made.peers = self.peers.views(now_ms_);
  made.retiring_boxes = retiring_;
  made.retiring_ms =
      retiring_.contains(self.self.box()) ? now_ms_ - retiring_since_ms_ : 0;
  if (!has_vacancy(made)) {
    self.vacancy_since_ms = now_ms_;
  }
  made.vacancy_ms = now_ms_ - self.vacancy_since_ms;
  return made;
}

void simulation::act(store& self, const become_learner& learning) {
  propose(self,
          with_learner(self.state.group(), self.self, learning.lost_learners));
}

void simulation::act(store& self, const become_voter& place) {
  propose(self, with_voter(self.state.group(), self.self, place.replaced));
}

void simulation::act(store& self, const leave_group&) {
  propose(self, without_voter(self.state.group(), self.self.id()));
}

void simulation::act(store& self, const finish_retirement&) {
  for (box& each : boxes_) {
    if (each.name == self.self.box() && chance(30)) {
      each.current = nullptr;
      retiring_.erase(each.name);
      return;
    }
  }
}

// ---- The platform -----------------------------------------------------------

void simulation::propose(const store& self, const records::Group& next) {
  const bool current =
      self.state.group().SerializeAsString() == group_.SerializeAsString();
  if (proposals_.size() < 3) {
    proposals_.push_back({next, current ? revision_ : 0});
  }
}

void simulation::deliver_proposal() {
  if (proposals_.empty() || platform_down_) {
    return;
  }
  const std::size_t index = random_() % proposals_.size();
  const proposal made = proposals_[index];
  proposals_.erase(proposals_.begin() + static_cast<std::ptrdiff_t>(index));
  if (made.base != revision_) {
    return;
  }
  group_ = made.group;
  ++revision_;
  known_groups_.push_back(group_);
}

void simulation::send_group() {
  const box* const at = random_box();
  if (at != nullptr && !platform_down_) {
    adopt_group(at->current->state, group_);
  }
}

// ---- Faults -----------------------------------------------------------------

bool simulation::is_group_complete() {
  if (static_cast<std::size_t>(group_.voters_size()) <
      full_group_size(group_.tolerated())) {
    return false;
  }
  for (const records::Store& each : group_.voters()) {
    const box* const at = box_at(each.address());
    if (at == nullptr || at->current->state.id() != each.id() ||
        !at->current->state.counts() ||
        at->current->state.group().epoch() != group_.epoch()) {
      return false;
    }
  }
  return true;
}

void simulation::inject_fault() {
  const bool is_complete = is_group_complete();
  has_loss_ = has_loss_ && !is_complete;
  switch (random_() % 8) {
    case 0:
      platform_down_ = chance(30);
      break;
    case 1:
      for (box& each : boxes_) {
        each.paused = false;
      }
      break;
    case 2:
      if (!has_loss_ && !platform_down_) {
        lose_store(false);
      }
      break;
    case 3:
      if (!has_loss_ && chance(30)) {
        lose_power(!platform_down_ && chance(50));
      }
      break;
    case 4:
      if (retiring_.empty() && is_complete) {
        retire();
      }
      break;
    case 5:
      if (count_boxes() < 4) {
        add_box();
      }
      break;
    default:
      break;
  }
}

std::size_t simulation::count_boxes() const {
  return static_cast<std::size_t>(
      std::count_if(boxes_.begin(), boxes_.end(),
                    [](const box& each) { return each.current != nullptr; }));
}

void simulation::lose_store(bool disk) {
  box* const at = random_box();
  if (at == nullptr) {
    return;
  }
  has_loss_ = true;
  if (disk || chance(60)) {
    replace_disk(*at);
  } else {
    at->paused = true;
  }
}

void simulation::lose_power(bool with_a_disk) {
  writes_.clear();
  for (box& each : boxes_) {
    if (each.current != nullptr) {
      each.current->peers = store_peers();
      each.current->writing.clear();
    }
  }
  if (with_a_disk) {
    lose_store(true);
  }
}

void simulation::retire() {
  const box* const at = random_box();
  if (at != nullptr) {
    retiring_.insert(at->name);
    retiring_since_ms_ = now_ms_;
  }
}

}  // namespace trayrock::testing::store_group
