#include "trayrock/internal/records/store_reader.h"

#include <algorithm>

#include "trayrock/internal/records/record_id.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// A store that has nothing to catch up on asks the others this seldom; one that
// has asks at every tick.
constexpr std::uint64_t calm_pull_period_ms = 400;
// A store that does not answer a call within this time is asked again.
constexpr milliseconds call_limit{700};
// Records that are asked for by name in one call.
constexpr int most_named_records = 500;

}  // namespace

bool store_reader::joining() const {
  const records::StoreState& state = server_.state();
  return is_voter(state.group(), state.id()) && !state.counts();
}

// Others, which are spare, only ask whether the voters live.
bool store_reader::reads_records() const {
  const records::StoreState& state = server_.state();
  return joining() || is_learner(state.group(), state.id());
}

// ---- Which store is asked, and for what ------------------------------------

void store_reader::follow_group() {
  peers_.follow(server_.state(), loop_.now_ms());
}

bool store_reader::told_retiring(const std::string& box) const {
  return std::any_of(readings_.begin(), readings_.end(), [&](const auto& each) {
    return each.second.retiring_boxes.contains(box);
  });
}

void store_reader::pull_due() {
  for (const auto& [id, each] : peers_.all()) {
    if (!readings_[id].pulling.running() && is_due(each)) {
      pull(each);
    }
  }
}

// Learners are only asked whether they live.
bool store_reader::is_due(const store_peer& from) const {
  const std::uint64_t since =
      loop_.now_ms() - std::max(from.last_reply_ms, from.first_polled_ms);
  if (since >= calm_pull_period_ms || from.last_reply_ms == 0) {
    return true;
  }
  const bool behind = reads_records() && !from.read_to_end;
  return !from.learner && (behind || joining());
}

// An empty store reads one voter in full, and of the others, after that, only
// what is missing.
records::PullKind store_reader::pull_kind(const store_peer& from) {
  if (!reads_records() || from.learner ||
      from.id_at_address != from.store.id()) {
    return records::PULL_STATE;
  }
  const bool empty = server_.book().size() == 0;
  if (full_source_.empty() && empty) {
    full_source_ = pick_full_source();
  }
  if (full_source_.empty() && empty) {
    return records::PULL_STATE;
  }
  if (from.store.id() == full_source_) {
    return records::PULL_RECORDS;
  }
  return full_source_is_read() ? records::PULL_KEYS : records::PULL_STATE;
}

// True as well if there is nothing more to wait for from that voter.
bool store_reader::full_source_is_read() const {
  const store_peer* const source = peers_.find(full_source_);
  return source == nullptr || source->read_to_end ||
         source->id_at_address != full_source_ ||
         loop_.now_ms() - source->last_reply_ms >= calm_pull_period_ms;
}

// The voter that is read in full. Stores that learn at the same time should not
// all read the same one.
std::string store_reader::pick_full_source() const {
  std::string picked;
  std::uint64_t least = 0;
  for (const auto& [id, each] : peers_.all()) {
    if (each.learner || each.id_at_address != id) {
      continue;
    }
    const std::uint64_t order = id_of(server_.state().id() + id).low;
    if (picked.empty() || order < least) {
      picked = id;
      least = order;
    }
  }
  return picked;
}

// ---- Pulls -----------------------------------------------------------------

void store_reader::pull(const store_peer& from) {
  const records::PullKind kind = pull_kind(from);
  const std::string id = from.store.id();
  reading& held = readings_[id];
  records::PullRequest request;
  request.set_log(held.log);
  request.set_after(held.position);
  request.set_kind(kind);
  peers_.on_pull_started(id);
  held.pulling = pool_.ask<records::PullReply>(
      from.store.address(), "Pull", request, call_limit,
      [this, id, kind](result<records::PullReply> answer) {
        pulled(id, kind, std::move(answer));
      });
}

void store_reader::pulled(const std::string& id, records::PullKind kind,
                          result<records::PullReply> answer) {
  if (!answer) {
    return;
  }
  const records::PullReply& reply = answer.value();
  if (!peers_.on_pull_reply(id, reply, loop_.now_ms())) {
    return;
  }
  readings_[id].retiring_boxes = {reply.retiring_boxes().begin(),
                                  reply.retiring_boxes().end()};
  if (reply.group().epoch() > server_.state().group().epoch()) {
    server_.adopt(reply.group(), nullptr);
  }
  if (kind == records::PULL_KEYS) {
    fetch_missing(id, reply);
  } else if (kind == records::PULL_RECORDS) {
    take_pulled(id, reply);
  }
}

// The records of the listed keys that this store does not hold.
store_reader::named_records store_reader::missing_of(
    const records::PullReply& listed) const {
  named_records missing;
  missing.request.set_kind(records::PULL_NAMED);
  for (const std::string& key : listed.keys()) {
    if (server_.book().has(key)) {
      continue;
    }
    if (missing.request.keys_size() == most_named_records) {
      missing.all = false;
      break;
    }
    missing.request.add_keys(key);
  }
  return missing;
}

void store_reader::fetch_missing(const std::string& id,
                                 const records::PullReply& listed) {
  const named_records missing = missing_of(listed);
  if (missing.request.keys_size() == 0) {
    read_up_to(id, listed);
    return;
  }
  const store_peer* const from = peers_.find(id);
  if (from == nullptr) {
    return;
  }
  readings_[id].pulling = pool_.ask<records::PullReply>(
      from->store.address(), "Pull", missing.request, call_limit,
      [this, id, listed = records::PullReply(listed),
       all = missing.all](const result<records::PullReply>& answer) {
        if (!answer || answer.value().store() != id) {
          return;
        }
        server_.take(answer.value(), [this, id, listed, all] {
          missing_taken(id, listed, all);
        });
      });
}

void store_reader::missing_taken(const std::string& id,
                                 const records::PullReply& listed, bool all) {
  const store_peer* const from = peers_.find(id);
  if (all) {
    read_up_to(id, listed);
  } else if (from != nullptr) {
    pull(*from);
  }
}

void store_reader::take_pulled(const std::string& id,
                               const records::PullReply& reply) {
  records::PullReply reached;
  reached.set_log(reply.log());
  reached.set_position(reply.position());
  reached.set_more(reply.more());
  server_.take(reply, [this, id, reached] { read_up_to(id, reached); });
}

// Everything up to the position is on this store's disk.
void store_reader::read_up_to(const std::string& id,
                              const records::PullReply& reply) {
  const store_peer* const from = peers_.find(id);
  if (from == nullptr) {
    return;
  }
  readings_[id].log = reply.log();
  readings_[id].position = reply.position();
  peers_.on_records_stored(id, !reply.more());
  if (reply.more()) {
    pull(*from);
  }
}

// ---- Fences ----------------------------------------------------------------

void store_reader::fence_previous_voters() {
  const records::Group& group = server_.state().group();
  for (const auto& [id, each] : peers_.all()) {
    const bool previous = find_store(group.previous_voters(), id) != nullptr;
    if (previous && !each.fenced && !readings_[id].fencing.running()) {
      fence(each);
    }
  }
}

void store_reader::fence(const store_peer& voter) {
  records::FenceRequest request;
  *request.mutable_group() = server_.state().group();
  const std::string id = voter.store.id();
  const std::uint64_t epoch = server_.state().group().epoch();
  readings_[id].fencing = pool_.ask<records::FenceReply>(
      voter.store.address(), "Fence", request, call_limit,
      [this, id, epoch](result<records::FenceReply> answer) {
        if (answer && peers_.on_fence_reply(id, answer.value(), epoch)) {
          pull(*peers_.find(id));
        }
      });
}

}  // namespace trayrock
