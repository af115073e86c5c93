#include "store_group_simulation.h"

#include <algorithm>
#include <variant>

#include "trayrock/internal/records/store_group.h"

namespace trayrock::testing::store_group {
namespace {

constexpr std::size_t most_open_writes = 3;
constexpr std::uint64_t step_ms = 50;

}  // namespace

world::world(std::uint64_t seed, int boxes, std::uint32_t tolerated,
             left_out rule)
    : random_(seed), rule_(rule) {
  std::vector<records::Store> announced;
  for (int i = 0; i < boxes; ++i) {
    add_box();
    announced.push_back(boxes_.back().life->self);
  }
  group_ = first_group(announced, tolerated);
  known_groups_.push_back(group_);
  for (box& each : boxes_) {
    store& held = *each.life;
    adopt_group(held.state, group_);
    held.state.set_counts(is_voter(group_, held.self.id()));
  }
}

void world::step() {
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
      tell_of_group();
      break;
    case 9:
      reach_platform();
      break;
    case 10:
      deny_some_record();
      break;
    default:
      inject();
  }
}

void world::add_box() {
  box made;
  made.name = "box-" + std::to_string(boxes_made_++);
  boxes_.push_back(std::move(made));
  replace_disk(boxes_.back());
}

void world::replace_disk(box& at) {
  if (rule_ == left_out::store_names && at.life != nullptr) {
    at.life->held.clear();
    return;
  }
  at.life = std::make_shared<store>();
  at.life->self.set_id("store-" + std::to_string(stores_made_++));
  at.life->self.set_address(at.name);
  at.life->self.set_box(at.name);
  at.life->state.set_id(at.life->self.id());
}

box* world::box_at(const std::string& address) {
  for (box& each : boxes_) {
    if (each.name == address && each.life != nullptr && !each.frozen) {
      return &each;
    }
  }
  return nullptr;
}

box* world::some_box() {
  box& picked = boxes_[random_() % boxes_.size()];
  return picked.life == nullptr || picked.frozen ? nullptr : &picked;
}

// ---- Writes and reads -------------------------------------------------------

const records::Group& world::some_known_group() {
  const std::size_t recent = std::min<std::size_t>(known_groups_.size(), 3);
  return known_groups_[known_groups_.size() - 1 - random_() % recent];
}

void world::begin_write() {
  if (writes_.size() < most_open_writes) {
    writes_.push_back({records_made_++, some_known_group(), {}, {}});
  }
}

records::Outcome world::judge(const store& at, const std::string& meant,
                              const records::Group& group) const {
  records::WriteRequest request;
  request.set_store(meant);
  request.set_epoch(group.epoch());
  request.set_shrunk_epoch(group.shrunk_epoch());
  return judge_write(at.state, request);
}

void world::deliver_write() {
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
  store& reached = *at->life;
  const records::Outcome outcome = judge(reached, voter.id(), write.group);
  if (reached.state.group().epoch() > write.group.epoch()) {
    write = {write.record, reached.state.group(), {}, {}};
    return;
  }
  if (outcome == records::OUTCOME_CATCHING_UP) {
    reached.held.insert(write.record);
    return;
  }
  if (outcome != records::OUTCOME_OK) {
    return;
  }
  reached.held.insert(write.record);
  write.acknowledged.insert(voter.id());
  write.seen.insert(reached.held.begin(), reached.held.end());
  const auto voters = static_cast<std::size_t>(write.group.voters_size());
  if (write.acknowledged.size() >=
      write_quorum(voters, write.group.tolerated())) {
    acknowledge(write);
    writes_.erase(writes_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void world::acknowledge(const write_operation& write) {
  for (const auto& [other, other_saw] : seen_by_) {
    if (!write.seen.contains(other) && !other_saw.contains(write.record)) {
      fault_ = "reservations " + std::to_string(other) + " and " +
               std::to_string(write.record) + " did not see each other";
    }
  }
  seen_by_[write.record] = write.seen;
}

void world::deny_some_record() {
  if (seen_by_.empty()) {
    return;
  }
  auto picked = seen_by_.begin();
  std::advance(picked, random_() % seen_by_.size());
  const records::Group group = some_known_group();
  std::size_t denials = 0;
  for (const records::Store& each : group.voters()) {
    const box* const at = box_at(each.address());
    if (at == nullptr) {
      continue;
    }
    const store& asked = *at->life;
    if (asked.state.group().epoch() > group.epoch()) {
      return;  // the gateway begins anew with the newer group
    }
    if (judge(asked, each.id(), group) == records::OUTCOME_OK &&
        !asked.held.contains(picked->first)) {
      ++denials;
    }
  }
  const std::size_t needed =
      rule_ == left_out::two_denials
          ? 1
          : read_quorum(static_cast<std::size_t>(group.voters_size()),
                        group.tolerated());
  if (denials >= needed) {
    fault_ = "record " + std::to_string(picked->first) + " denied in epoch " +
             std::to_string(group.epoch());
  }
}

// ---- Stores -----------------------------------------------------------------

void world::run_store() {
  const box* const at = some_box();
  if (at == nullptr) {
    return;
  }
  store& self = *at->life;
  if (self.state.group().voters().empty()) {
    return;
  }
  self.peers.follow(self.state, now_ms_);
  pull_some_peer(self);
  const bool voter = is_voter(self.state.group(), self.state.id());
  if (voter && !self.state.counts()) {
    join(self);
    return;
  }
  std::visit([&](const auto& action) { act(self, action); },
             next_membership_action(view_of(self)));
}

void world::pull_some_peer(store& self) {
  if (self.peers.all().empty()) {
    return;
  }
  auto picked = self.peers.all().begin();
  std::advance(picked, random_() % self.peers.all().size());
  pull(self, picked->second.store);
}

void world::pull(store& self, const records::Store& from) {
  const box* const at = box_at(from.address());
  if (at == nullptr) {
    return;
  }
  const store& other = *at->life;
  self.peers.on_pull_started(from.id());
  records::PullReply answer;
  answer.set_store(other.state.id());
  answer.set_counts(other.state.counts());
  answer.set_epoch(other.state.group().epoch());
  const bool same = self.peers.on_pull_reply(from.id(), answer, now_ms_);
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
    self.held.insert(other.held.begin(), other.held.end());
    self.peers.on_records_stored(from.id(), true);
  }
}

void world::join(store& self) {
  const records::Group group = self.state.group();
  const std::uint64_t epoch = group.epoch();
  for (const records::Store& each : group.previous_voters()) {
    const store_peer* const peer = self.peers.find(each.id());
    const box* const at = box_at(each.address());
    if (peer == nullptr || peer->fenced || at == nullptr || !chance(60)) {
      continue;
    }
    store& other = *at->life;
    records::FenceReply answer = answer_fence(other.state, epoch);
    if (rule_ != left_out::fence) {
      adopt_group(other.state, group);
      answer = answer_fence(other.state, epoch);
    } else {
      answer.set_epoch(epoch);
    }
    if (self.peers.on_fence_reply(each.id(), answer, epoch) && chance(50)) {
      pull(self, each);
    }
  }
  if (has_joined(self)) {
    self.state.set_counts(true);
  }
}

bool world::has_joined(const store& self) const {
  if (rule_ != left_out::last_read) {
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

membership_view world::view_of(store& self) const {
  membership_view made;
  made.self = self.self;
  made.group = self.state.group();
  made.peers = self.peers.views(now_ms_);
  made.retiring_boxes = retiring_;
  made.retiring_ms =
      retiring_.contains(self.self.box()) ? now_ms_ - retiring_since_ms_ : 0;
  if (!has_vacancy(made)) {
    self.place_open_since_ms = now_ms_;
  }
  made.vacancy_ms = now_ms_ - self.place_open_since_ms;
  return made;
}

void world::act(store& self, const become_learner& learning) {
  propose(self,
          with_learner(self.state.group(), self.self, learning.lost_learners));
}

void world::act(store& self, const become_voter& place) {
  propose(self, with_voter(self.state.group(), self.self, place.replaced));
}

void world::act(store& self, const leave_group&) {
  propose(self, without_voter(self.state.group(), self.self.id()));
}

void world::act(store& self, const finish_retirement&) {
  for (box& each : boxes_) {
    if (each.name == self.self.box() && chance(30)) {
      each.life = nullptr;
      retiring_.erase(each.name);
      return;
    }
  }
}

// ---- The platform -----------------------------------------------------------

void world::propose(const store& self, const records::Group& next) {
  const bool current =
      self.state.group().SerializeAsString() == group_.SerializeAsString();
  if (proposals_.size() < 3) {
    proposals_.push_back({next, current ? revision_ : 0});
  }
}

void world::reach_platform() {
  if (proposals_.empty() || platform_out_) {
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

void world::tell_of_group() {
  const box* const at = some_box();
  if (at != nullptr && !platform_out_) {
    adopt_group(at->life->state, group_);
  }
}

// ---- Faults -----------------------------------------------------------------

bool world::whole() {
  if (static_cast<std::size_t>(group_.voters_size()) <
      full_group_size(group_.tolerated())) {
    return false;
  }
  for (const records::Store& each : group_.voters()) {
    const box* const at = box_at(each.address());
    if (at == nullptr || at->life->state.id() != each.id() ||
        !at->life->state.counts() ||
        at->life->state.group().epoch() != group_.epoch()) {
      return false;
    }
  }
  return true;
}

void world::inject() {
  const bool is_whole = whole();
  lost_ = lost_ && !is_whole;
  switch (random_() % 8) {
    case 0:
      platform_out_ = chance(30);
      break;
    case 1:
      for (box& each : boxes_) {
        each.frozen = false;
      }
      break;
    case 2:
      if (!lost_ && !platform_out_) {
        lose_one(false);
      }
      break;
    case 3:
      if (!lost_ && chance(30)) {
        lose_power(!platform_out_ && chance(50));
      }
      break;
    case 4:
      if (retiring_.empty() && is_whole) {
        retire();
      }
      break;
    case 5:
      if (living_boxes() < 4) {
        add_box();
      }
      break;
    default:
      break;
  }
}

std::size_t world::living_boxes() const {
  return static_cast<std::size_t>(
      std::count_if(boxes_.begin(), boxes_.end(),
                    [](const box& each) { return each.life != nullptr; }));
}

void world::lose_one(bool disk) {
  box* const at = some_box();
  if (at == nullptr) {
    return;
  }
  lost_ = true;
  if (disk || chance(60)) {
    replace_disk(*at);
  } else {
    at->frozen = true;
  }
}

void world::lose_power(bool with_a_disk) {
  writes_.clear();
  for (box& each : boxes_) {
    if (each.life != nullptr) {
      each.life->peers = store_peers();
    }
  }
  if (with_a_disk) {
    lose_one(true);
  }
}

void world::retire() {
  const box* const at = some_box();
  if (at != nullptr) {
    retiring_.insert(at->name);
    retiring_since_ms_ = now_ms_;
  }
}

}  // namespace trayrock::testing::store_group
