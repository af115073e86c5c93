#include "trayrock/internal/records/store_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "trayrock/internal/decide/read_source.h"
#include "trayrock/internal/log.h"
#include "trayrock/internal/records/store_group.h"

namespace trayrock {
namespace {

// Poll period of a store that is up to date; a store that is catching up pulls
// at every tick.
constexpr std::uint64_t idle_pull_period_ms = 400;
constexpr milliseconds call_timeout{700};
// Records that are requested by key in one call.
constexpr int max_named_records = 500;

// The position that a reply reached, without its records.
records::PullReply reached_by(const records::PullReply& reply) {
  records::PullReply made;
  made.set_log(reply.log());
  made.set_position(reply.position());
  made.set_more(reply.more());
  return made;
}

}  // namespace

bool store_reader::joining() const {
  const records::StoreState& state = server_.state();
  return is_voter(state.group(), state.id()) && !state.counts();
}

// Spare stores only poll the state of the voters.
bool store_reader::reads_records() const {
  const records::StoreState& state = server_.state();
  return joining() || is_learner(state.group(), state.id());
}

// ---- Selection of stores and pull kinds ------------------------------------

void store_reader::follow_group() {
  peers_.follow(server_.state(), loop_.now_ms());
}

bool store_reader::reported_retiring(const std::string& box) const {
  return std::any_of(progress_.begin(), progress_.end(), [&](const auto& each) {
    return each.second.retiring_boxes.contains(box);
  });
}

void store_reader::pull_due() {
  for (const auto& [id, each] : peers_.all()) {
    if (!progress_[id].pulling.running() && is_due(each)) {
      pull(each);
    }
  }
}

// Only the state of learners is polled, at the idle period.
bool store_reader::is_due(const store_peer& from) const {
  const std::uint64_t since =
      loop_.now_ms() - std::max(from.last_reply_ms, from.first_polled_ms);
  if (since >= idle_pull_period_ms || from.last_reply_ms == 0) {
    return true;
  }
  if (is_storing(from.store.id())) {
    return false;
  }
  const bool behind = reads_records() && !from.read_to_end;
  return !from.learner && (behind || joining());
}

bool store_reader::is_storing(const std::string& id) const {
  const auto found = progress_.find(id);
  return found != progress_.end() && found->second.storing;
}

// An empty store reads one voter in full, and afterwards only missing records
// from the others. A stall of the own disk must not make voters look silent.
records::PullKind store_reader::pull_kind(const store_peer& from) {
  if (!reads_records() || from.learner ||
      from.id_at_address != from.store.id() || is_storing(from.store.id())) {
    return records::PULL_STATE;
  }
  const bool empty = server_.index().size() == 0;
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

// Also true if that voter was replaced, removed, or has not replied recently.
bool store_reader::full_source_is_read() const {
  const store_peer* const source = peers_.find(full_source_);
  return source == nullptr || source->read_to_end ||
         source->id_at_address != full_source_ ||
         loop_.now_ms() - source->last_reply_ms >= idle_pull_period_ms;
}

std::string store_reader::pick_full_source() const {
  std::vector<std::string> readable;
  for (const auto& [id, each] : peers_.all()) {
    if (!each.learner && each.id_at_address == id) {
      readable.push_back(id);
    }
  }
  const records::StoreState& state = server_.state();
  return pick_read_source(state.group(), state.id(), readable);
}

// ---- Pulls -----------------------------------------------------------------

void store_reader::pull(const store_peer& from) {
  const read_progress& progress = progress_[from.store.id()];
  records::PullRequest request;
  request.set_log(progress.log);
  request.set_after(progress.position);
  request.set_kind(pull_kind(from));
  send_pull(from, request);
}

void store_reader::send_pull(const store_peer& from,
                             const records::PullRequest& request) {
  const records::PullKind kind = request.kind();
  const std::string id = from.store.id();
  const pull_start start = peers_.on_pull_started(id);
  progress_[id].pulling = pool_.ask<records::PullReply>(
      from.store.address(), "Pull", request, call_timeout,
      [this, id, kind, start](result<records::PullReply> reply) {
        on_pull_reply(id, kind, start, std::move(reply));
      });
}

void store_reader::on_pull_reply(const std::string& id, records::PullKind kind,
                                 const pull_start& start,
                                 result<records::PullReply> received) {
  if (!received) {
    return;
  }
  records::PullReply& reply = received.value();
  if (!peers_.on_pull_reply(id, reply, loop_.now_ms())) {
    return;
  }
  progress_[id].retiring_boxes = {reply.retiring_boxes().begin(),
                                  reply.retiring_boxes().end()};
  if (reply.group().epoch() > server_.state().group().epoch()) {
    server_.adopt(reply.group(), nullptr);
  }
  if (kind == records::PULL_KEYS) {
    fetch_missing(id, start, reply);
  } else if (kind == records::PULL_RECORDS) {
    on_records(id, {start, std::move(reply)});
  }
}

// Requests the records of the listed keys that this store does not have.
store_reader::named_records store_reader::find_missing(
    const records::PullReply& listed) const {
  named_records missing;
  missing.request.set_kind(records::PULL_NAMED);
  for (const std::string& key : listed.keys()) {
    if (server_.index().has(key)) {
      continue;
    }
    if (missing.request.keys_size() == max_named_records) {
      missing.all = false;
      break;
    }
    missing.request.add_keys(key);
  }
  return missing;
}

void store_reader::fetch_missing(const std::string& id, const pull_start& start,
                                 const records::PullReply& listed) {
  const named_records missing = find_missing(listed);
  if (missing.request.keys_size() == 0) {
    record_listed(id, start, listed);
    return;
  }
  const store_peer* const from = peers_.find(id);
  if (from == nullptr) {
    return;
  }
  progress_[id].pulling = pool_.ask<records::PullReply>(
      from->store.address(), "Pull", missing.request, call_timeout,
      [this, id, start, listed = records::PullReply(listed),
       all = missing.all](const result<records::PullReply>& reply) {
        if (!reply || reply.value().store() != id) {
          return;
        }
        server_.store_pulled(reply.value(), [this, id, start, listed, all] {
          on_missing_stored(id, start, listed, all);
        });
      });
}

void store_reader::on_missing_stored(const std::string& id,
                                     const pull_start& start,
                                     const records::PullReply& listed,
                                     bool all) {
  const store_peer* const from = peers_.find(id);
  if (all) {
    record_listed(id, start, listed);
  } else if (from != nullptr) {
    pull(*from);
  }
}

// A listed record may be in the index while its write is still pending. One
// that was listed and not sent is listed again at the next pull unless it
// expired; an unreadable record must not be skipped.
void store_reader::record_listed(const std::string& id, const pull_start& start,
                                 const records::PullReply& listed) {
  const bool complete = std::all_of(
      listed.keys().begin(), listed.keys().end(),
      [this](const auto& each) { return server_.index().has(each); });
  if (!complete) {
    return;
  }
  server_.when_durable(listed, [this, id, start, reached = reached_by(listed)] {
    record_progress(id, start, reached);
  });
}

void store_reader::on_records(const std::string& id, pulled_records pulled) {
  if (is_storing(id)) {
    progress_[id].received = std::move(pulled);
  } else {
    store_pulled(id, std::move(pulled));
  }
}

// The next records are requested before these are indexed and written. The
// request is sent when the loop is reached again.
void store_reader::store_pulled(const std::string& id, pulled_records pulled) {
  read_progress& progress = progress_[id];
  progress.storing = true;
  if (pulled.reply.more()) {
    pull_after(id, pulled.reply);
  }
  progress.store_step =
      loop_.after(milliseconds(0), [this, id, pulled = std::move(pulled)] {
        server_.store_pulled(pulled.reply,
                             [this, id, start = pulled.start,
                              reached = reached_by(pulled.reply)] {
                               on_records_stored(id, start, reached);
                             });
      });
}

void store_reader::pull_after(const std::string& id,
                              const records::PullReply& reached) {
  const store_peer* const from = peers_.find(id);
  if (from == nullptr) {
    return;
  }
  records::PullRequest request;
  request.set_log(reached.log());
  request.set_after(reached.position());
  request.set_kind(records::PULL_RECORDS);
  send_pull(*from, request);
}

void store_reader::on_records_stored(const std::string& id,
                                     const pull_start& start,
                                     const records::PullReply& reached) {
  read_progress& progress = progress_[id];
  progress.storing = false;
  note_progress(id, start, reached);
  std::optional<pulled_records> next =
      std::exchange(progress.received, std::nullopt);
  if (next) {
    store_pulled(id, std::move(*next));
  }
}

// All records up to the position are on this store's disk. Returns false if
// that is known already.
bool store_reader::note_progress(const std::string& id, const pull_start& start,
                                 const records::PullReply& reached) {
  const store_peer* const peer = peers_.find(id);
  const bool was_read = peer != nullptr && peer->read_to_end;
  if (!peers_.on_records_stored(id, start, !reached.more())) {
    return false;
  }
  progress_[id].log = reached.log();
  progress_[id].position = reached.position();
  if (!was_read && !reached.more()) {
    log_info("voter_read",
             {{"voter", id},
              {"in_full", id == full_source_ ? "yes" : "no"},
              {"records", std::to_string(server_.index().size())}});
  }
  return true;
}

void store_reader::record_progress(const std::string& id,
                                   const pull_start& start,
                                   const records::PullReply& reached) {
  if (note_progress(id, start, reached) && reached.more()) {
    pull(*peers_.find(id));
  }
}

// ---- Fences ----------------------------------------------------------------

void store_reader::fence_previous_voters() {
  const records::Group& group = server_.state().group();
  for (const auto& [id, each] : peers_.all()) {
    const bool previous = find_store(group.previous_voters(), id) != nullptr;
    if (previous && !each.fenced && !progress_[id].fencing.running()) {
      fence(each);
    }
  }
}

void store_reader::fence(const store_peer& voter) {
  records::FenceRequest request;
  *request.mutable_group() = server_.state().group();
  const std::string id = voter.store.id();
  const std::uint64_t epoch = server_.state().group().epoch();
  progress_[id].fencing = pool_.ask<records::FenceReply>(
      voter.store.address(), "Fence", request, call_timeout,
      [this, id, epoch](result<records::FenceReply> reply) {
        if (reply && peers_.on_fence_reply(id, reply.value(), epoch)) {
          pull(*peers_.find(id));
        }
      });
}

}  // namespace trayrock
