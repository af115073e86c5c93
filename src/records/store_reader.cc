#include "trayrock/internal/records/store_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

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
// A voter that has not replied for this long sends no more of its part. Longer
// than an idle poll and the timeout of its call.
constexpr std::uint64_t part_silence_ms = 1200;

// The position that a reply reached, without its records.
records::PullReply reached_by(const records::PullReply& reply) {
  records::PullReply made;
  made.set_log(reply.log());
  made.set_position(reply.position());
  made.set_more(reply.more());
  return made;
}

// True if the voter can't read its next record, which must not be skipped.
bool is_stuck(const records::PullRequest& request,
              const records::PullReply& reply) {
  const std::uint64_t from = reply.log() == request.log() ? request.after() : 0;
  return request.kind() == records::PULL_RECORDS && reply.more() &&
         reply.position() <= from;
}

}  // namespace

bool store_reader::joining() const {
  const records::StoreState& state = server_.state();
  return is_voter(state.group(), state.id()) && !state.counts();
}

bool store_reader::copies_records() const {
  const records::StoreState& state = server_.state();
  return joining() || is_learner(state.group(), state.id());
}

// Spare stores only poll the state of the voters.
bool store_reader::reads_records() const {
  const records::StoreState& state = server_.state();
  const bool expires =
      is_voter(state.group(), state.id()) && server_.expiry_due_since();
  return copies_records() || expires;
}

std::optional<std::uint64_t> store_reader::complete_as_of() const {
  return peers_.complete_as_of(server_.state(), loop_.now_ms());
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
  update_divided_read();
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

// Begins the read of an empty store once voters have replied, and ends the
// parts of those that are lost.
void store_reader::update_divided_read() {
  if (!began_empty_ || !copies_records()) {
    return;
  }
  const std::vector<std::string> voters = readable_voters();
  if (!divided_read_.has_begun() && !voters.empty()) {
    divided_read_.begin(voters);
  }
  const std::map<std::string, read_part> parts = divided_read_.parts();
  for (const auto& [voter, part] : parts) {
    if (is_lost(voter)) {
      end_part(voter, "lost");
    }
  }
}

std::vector<std::string> store_reader::readable_voters() const {
  std::vector<std::string> readable;
  for (const auto& [id, each] : peers_.all()) {
    if (!each.learner && each.id_at_address == id && !is_lost(id)) {
      readable.push_back(id);
    }
  }
  return readable;
}

// True if the voter was replaced or removed, or has not replied recently.
bool store_reader::is_lost(const std::string& voter) const {
  const store_peer* const peer = peers_.find(voter);
  return peer == nullptr || peer->id_at_address != voter ||
         loop_.now_ms() - peer->last_reply_ms >= part_silence_ms;
}

// Missing records are read by key once each part has been read. A stall of the
// own disk must not make voters look silent.
records::PullKind store_reader::pull_kind(const store_peer& from) const {
  const std::string& id = from.store.id();
  if (!reads_records() || from.learner || from.id_at_address != id ||
      is_storing(id)) {
    return records::PULL_STATE;
  }
  if (divided_read_.part_of(id)) {
    return records::PULL_RECORDS;
  }
  const bool has_all_parts =
      !began_empty_ || !copies_records() ||
      (divided_read_.has_begun() && divided_read_.is_finished());
  return has_all_parts ? records::PULL_KEYS : records::PULL_STATE;
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
                             records::PullRequest request) {
  const std::string id = from.store.id();
  const std::optional<read_part> part = divided_read_.part_of(id);
  if (request.kind() == records::PULL_RECORDS && part) {
    request.set_part(part->number);
    request.set_parts(part->count);
  }
  const pull_start start = peers_.on_pull_started(id, loop_.now_ms());
  progress_[id].pulling = pool_.ask<records::PullReply>(
      from.store.address(), "Pull", request, call_timeout,
      [this, id, request, start](result<records::PullReply> reply) {
        if (reply && is_stuck(request, reply.value())) {
          end_part(id, "unreadable");
          return;
        }
        on_pull_reply(id, request.kind(), start, std::move(reply));
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
    on_records(id, std::move(reply));
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
    finish_listed(id, start, listed);
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
    finish_listed(id, start, listed);
  } else if (from != nullptr) {
    pull(*from);
  }
}

// The position moves past the listed keys once all their records are on disk;
// the index also has records whose write is pending. A record that the voter
// could not send must not be skipped: its key is listed again by the next pull,
// unless it expired.
void store_reader::finish_listed(const std::string& id, const pull_start& start,
                                 const records::PullReply& listed) {
  const bool complete = std::all_of(
      listed.keys().begin(), listed.keys().end(),
      [this](const auto& each) { return server_.index().has(each); });
  if (!complete) {
    return;
  }
  server_.when_durable(listed, [this, id, start, reached = reached_by(listed)] {
    advance(id, start, reached);
  });
}

void store_reader::on_records(const std::string& id, records::PullReply reply) {
  if (is_storing(id)) {
    progress_[id].received = std::move(reply);
  } else {
    store_pulled(id, std::move(reply));
  }
}

// The next records are requested before these are indexed and written. The
// request is sent when the loop is reached again.
void store_reader::store_pulled(const std::string& id,
                                records::PullReply reply) {
  read_progress& progress = progress_[id];
  progress.storing = true;
  if (reply.more() && divided_read_.part_of(id)) {
    pull_after(id, reply);
  }
  progress.store_step =
      loop_.after(milliseconds(0), [this, id, pulled = std::move(reply)] {
        server_.store_pulled(pulled, [this, id, reached = reached_by(pulled)] {
          on_records_stored(id, reached);
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
                                     const records::PullReply& reached) {
  read_progress& progress = progress_[id];
  progress.storing = false;
  on_part_stored(id, reached);
  std::optional<records::PullReply> next =
      std::exchange(progress.received, std::nullopt);
  if (next) {
    store_pulled(id, std::move(*next));
  }
}

// The records of a part up to the position are on this store's disk. They say
// nothing of the other records of that voter.
void store_reader::on_part_stored(const std::string& id,
                                  const records::PullReply& reached) {
  if (!divided_read_.part_of(id)) {
    return;
  }
  progress_[id].log = reached.log();
  progress_[id].position = reached.position();
  if (!reached.more()) {
    end_part(id, "read");
  }
}

// What the part did not bring is read by key, so the next pull lists the
// voter's keys from the start of its log.
void store_reader::end_part(const std::string& voter,
                            std::string_view outcome) {
  divided_read_.end_part(voter);
  progress_[voter].log = 0;
  progress_[voter].position = 0;
  log_info("part_ended", {{"voter", voter},
                          {"outcome", std::string(outcome)},
                          {"records", std::to_string(server_.index().size())}});
}

// All records up to the position are on this store's disk.
void store_reader::advance(const std::string& id, const pull_start& start,
                           const records::PullReply& reached) {
  const store_peer* const peer = peers_.find(id);
  const bool was_read = peer != nullptr && peer->read_to_end;
  if (!peers_.on_records_stored(id, start, !reached.more())) {
    return;  // no longer a peer, or a later pull is on disk already
  }
  progress_[id].log = reached.log();
  progress_[id].position = reached.position();
  if (reached.more()) {
    pull(*peer);
  } else if (!was_read) {
    log_info(
        "voter_read",
        {{"voter", id}, {"records", std::to_string(server_.index().size())}});
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
