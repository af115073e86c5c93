#include "trayrock/internal/node/journal_loader.h"

#include <algorithm>

#include "trayrock/internal/log.h"
#include "trayrock/internal/node/journal.h"

namespace trayrock {
namespace {

constexpr milliseconds retry_pause{200};
constexpr milliseconds claim_timeout{2000};
constexpr std::size_t reads_at_once = 16;

std::uint64_t number_of(const listed_object& segment) {
  return std::stoull(segment.key.substr(segment.key.rfind('/') + 1));
}

}  // namespace

journal_loader::journal_loader(event_loop& loop, cluster& shared,
                               rpc_pool& pool, platform_client& platform,
                               metrics_registry& metrics, std::string successor,
                               std::vector<wire::JournalRange> sources,
                               done_callback done)
    : loop_(loop),
      shared_(shared),
      pool_(pool),
      platform_(platform),
      metrics_(metrics),
      successor_(std::move(successor)),
      sources_(std::move(sources)),
      done_(std::move(done)) {
  retry_ = loop_.after(milliseconds(0), [this] { next_source(); });
}

journal_loader::~journal_loader() = default;

void journal_loader::next_source() {
  if (at_ == sources_.size()) {
    // The callback drops this loader.
    auto done = std::move(done_);
    done(std::move(records_), std::move(claimed_));
    return;
  }
  reader_ = journal_reader();
  tail_ = tail_state();
  list_segments();
}

void journal_loader::list_segments() {
  std::weak_ptr<bool> alive = alive_;
  platform_.list(
      segment_prefix(source().journal()), [this, alive](result<listing> got) {
        if (alive.expired()) {
          return;
        }
        if (!got) {
          retry_ = loop_.after(retry_pause, [this] { list_segments(); });
          return;
        }
        segments_ = std::move(got.value().items);
        std::erase_if(segments_, [this](const listed_object& each) {
          const std::uint64_t number = number_of(each);
          return number < source().first_segment() ||
                 number >= source().end_segment();
        });
        read_.assign(segments_.size(), wire::Segment());
        next_read_ = 0;
        read_segments();
      });
}

// Several at once: one after another, a long journal would take as many round
// trips as it has segments.
void journal_loader::read_segments() {
  while (next_read_ < segments_.size() && reading_ < reads_at_once) {
    ++reading_;
    read_segment(next_read_++);
  }
  if (reading_ > 0) {
    return;
  }
  for (const wire::Segment& segment : read_) {
    for (wire::Record& each : reader_.read(segment)) {
      records_.push_back(std::move(each));
    }
  }
  read_.clear();
  claim_tail();
}

void journal_loader::read_segment(std::size_t index) {
  std::weak_ptr<bool> alive = alive_;
  platform_.get(segments_[index].key, [this, alive, index](
                                          const result<stored_object>& got) {
    if (alive.expired()) {
      return;
    }
    if (!got || !read_[index].ParseFromString(got.value().bytes)) {
      // Once more, from this one on.
      retries_[index] =
          loop_.after(retry_pause, [this, index] { read_segment(index); });
      return;
    }
    --reading_;
    read_segments();
  });
}

void journal_loader::claim_tail() {
  if (!source().sealed()) {
    ++at_;
    next_source();
    return;
  }
  const journal_name old = journal_name::parse(source().journal());
  const peer_state* member = shared_.members().find(old.node);
  const bool self = old.node == shared_.members().self().node();
  tail_.holder_named = reader_.holder().has_value();
  tail_.holder_box_removed =
      tail_.holder_named && shared_.box_gone(reader_.holder()->node());
  tail_.owner_stopped =
      (self && old.start != shared_.start_id()) ||
      (member != nullptr && old.start < member->peer.start()) ||
      shared_.box_gone(old.node);
  switch (next_tail_step(tail_)) {
    case tail_step::no_tail:
      ++at_;
      next_source();
      break;
    case tail_step::request_from_holder:
      request_from_holder();
      break;
    case tail_step::request_from_owner:
      ask_old_owner(
          self ? shared_.members().self().address()
               : (member == nullptr ? std::string() : member->peer.address()));
      break;
    case tail_step::apply_tail:
      apply_tail();
      break;
    case tail_step::continue_without_tail:
      continue_without_tail();
      break;
  }
}

void journal_loader::request_from_holder() {
  const wire::CopyHolderNamed& holder = *reader_.holder();
  wire::CopyClaim claim;
  claim.set_journal(source().journal());
  claim.set_successor(successor_);
  claim.set_holder_start(holder.start());
  call_ = pool_.ask<wire::CopyTail>(
      holder.address(), "CopyClaim", claim, claim_timeout,
      [this](result<wire::CopyTail> tail) {
        tail_.holder = take_answer(std::move(tail));
        if (tail_.holder == tail_reply::received) {
          claimed_.push_back(*reader_.holder());
        }
        step_later(tail_.holder);
      });
}

void journal_loader::ask_old_owner(const std::string& address) {
  wire::HandOverTail request;
  request.set_journal(source().journal());
  call_ =
      pool_.ask<wire::CopyTail>(address, "HandOverTail", request, claim_timeout,
                                [this](result<wire::CopyTail> tail) {
                                  tail_.owner = take_answer(std::move(tail));
                                  step_later(tail_.owner);
                                });
}

tail_reply journal_loader::take_answer(result<wire::CopyTail> tail) {
  if (!tail) {
    return tail_reply::unreachable;
  }
  if (tail.value().other_start()) {
    return tail_reply::other_start;
  }
  given_ = std::move(tail.value());
  return tail_reply::received;
}

void journal_loader::step_later(tail_reply answer) {
  const milliseconds pause =
      answer == tail_reply::unreachable ? retry_pause : milliseconds(0);
  retry_ = loop_.after(pause, [this] { claim_tail(); });
}

void journal_loader::apply_tail() {
  log_info("tail_taken", {{"journal", source().journal()},
                          {"records", std::to_string(given_.records_size())}});
  for (wire::Record& each :
       reader_.read_tail({given_.records().begin(), given_.records().end()})) {
    records_.push_back(std::move(each));
  }
  ++at_;
  next_source();
}

void journal_loader::continue_without_tail() {
  metrics_.add("tails_lost_total");
  log_warn("tail_lost", {{"journal", source().journal()}});
  ++at_;
  next_source();
}

}  // namespace trayrock
