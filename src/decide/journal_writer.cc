#include "trayrock/internal/decide/journal_writer.h"

#include <algorithm>

namespace trayrock {

journal_writer::journal_writer(std::string journal, journal_options options)
    : journal_(std::move(journal)), options_(options) {}

std::uint64_t journal_writer::append(wire::Record record,
                                     std::uint64_t now_ms) {
  const std::uint64_t sequence = next_sequence_++;
  record.set_sequence(sequence);
  const std::size_t bytes = record.ByteSizeLong();
  waiting_bytes_ += bytes;
  waiting_.push_back({std::move(record), bytes, now_ms});
  return sequence;
}

void journal_writer::set_holder(const wire::CopyHolderNamed& holder,
                                std::uint64_t now_ms) {
  drop_holder();
  wire::Record record;
  *record.mutable_copy_holder() = holder;
  holder_ = holder;
  holder_named_in_ = append(std::move(record), now_ms);
  copy_under_way_ = false;
}

void journal_writer::drop_holder() {
  if (holder_.has_value()) {
    former_holders_.push_back({holder_->address(), last_sequence()});
  }
  holder_.reset();
  copy_under_way_ = false;
}

bool journal_writer::holder_is_usable() const {
  return holder_.has_value() && holder_named_in_ <= stored_up_to_;
}

journal_actions journal_writer::poll(std::uint64_t now_ms) {
  journal_actions actions;
  if (sealed_) {
    return actions;
  }
  add_write(now_ms, actions);
  add_copy(now_ms, actions);
  add_releases(actions);
  return actions;
}

void journal_writer::add_write(std::uint64_t now_ms, journal_actions& actions) {
  if (write_.has_value()) {
    if (write_->state == write_state::uncertain &&
        now_ms >= write_->next_try_ms) {
      write_->state = write_state::reading;
      actions.emplace_back(read_segment{write_->number});
    }
    return;
  }
  if (waiting_.empty() || now_ms < next_write_ms_) {
    return;
  }
  wire::Segment segment;
  segment.set_writer(journal_);
  segment.set_number(next_segment_);
  std::size_t bytes = 0;
  for (const waiting_record& each : waiting_) {
    if (bytes > 0 && bytes + each.bytes > options_.segment_bytes) {
      break;
    }
    bytes += each.bytes;
    *segment.add_records() = each.record;
  }
  const std::uint64_t last =
      segment.records(segment.records_size() - 1).sequence();
  write_ = write_under_way{next_segment_, segment.SerializeAsString(), last,
                           write_state::putting, 0};
  next_write_ms_ = now_ms + options_.commit_interval_ms;
  actions.emplace_back(put_segment{write_->number, write_->bytes});
}

void journal_writer::add_copy(std::uint64_t now_ms, journal_actions& actions) {
  if (!holder_is_usable() || copy_under_way_ || now_ms < next_copy_ms_) {
    return;
  }
  if (waiting_.empty()) {
    add_trim(actions);
    return;
  }
  const std::uint64_t held = std::max(copied_up_to_, stored_up_to_);
  const std::uint64_t first = waiting_.front().record.sequence();
  const std::size_t skipped = held < first ? 0 : held - first + 1;
  if (skipped >= waiting_.size() ||
      now_ms < waiting_[skipped].since_ms + options_.copy_after_ms) {
    return;
  }
  send_copy action;
  action.address = holder_->address();
  action.message.set_journal(journal_);
  action.message.set_holder_start(holder_->start());
  action.message.set_durable_before(stored_up_to_ + 1);
  std::size_t bytes = 0;
  for (std::size_t i = skipped; i < waiting_.size(); ++i) {
    if (bytes > 0 && bytes + waiting_[i].bytes > options_.segment_bytes) {
      break;
    }
    bytes += waiting_[i].bytes;
    *action.message.add_records() = waiting_[i].record;
  }
  copy_under_way_ = true;
  actions.emplace_back(std::move(action));
}

// Lets the holder drop what is stored, once nothing more waits.
void journal_writer::add_trim(journal_actions& actions) {
  if (copied_up_to_ <= trimmed_up_to_ || stored_up_to_ < copied_up_to_) {
    return;
  }
  trimmed_up_to_ = copied_up_to_;
  send_copy action;
  action.address = holder_->address();
  action.message.set_journal(journal_);
  action.message.set_holder_start(holder_->start());
  action.message.set_durable_before(stored_up_to_ + 1);
  copy_under_way_ = true;
  actions.emplace_back(std::move(action));
}

void journal_writer::add_releases(journal_actions& actions) {
  while (!former_holders_.empty() &&
         former_holders_.front().last_sequence <= stored_up_to_) {
    const std::string& address = former_holders_.front().address;
    // Named again, it is in use.
    if (!holder_.has_value() || holder_->address() != address) {
      actions.emplace_back(release_copies{address});
    }
    former_holders_.pop_front();
  }
}

journal_actions journal_writer::on_put_result(std::uint64_t number,
                                              put_outcome outcome,
                                              std::uint64_t now_ms) {
  journal_actions actions;
  if (sealed_ || !write_.has_value() || write_->number != number) {
    return actions;
  }
  if (outcome == put_outcome::stored) {
    stored(actions);
    return actions;
  }
  // The segment exists, or may: only reading it tells whose it is.
  write_->state = write_state::uncertain;
  write_->next_try_ms = outcome == put_outcome::exists
                            ? now_ms
                            : now_ms + options_.retry_pause_ms;
  return actions;
}

journal_actions journal_writer::on_read_result(
    std::uint64_t number, const std::optional<wire::Segment>& found,
    std::uint64_t now_ms) {
  journal_actions actions;
  if (sealed_ || !write_.has_value() || write_->number != number) {
    return actions;
  }
  if (!found.has_value()) {
    // Not there (yet): the same bytes again, since the first try may still
    // arrive and must then be the same segment.
    write_->state = write_state::putting;
    actions.emplace_back(put_segment{write_->number, write_->bytes});
    return actions;
  }
  if (found->writer() == journal_ && !found->has_seal()) {
    stored(actions);
    return actions;
  }
  sealed_ = true;
  (void)now_ms;
  actions.emplace_back(step_down{found->seal().by()});
  return actions;
}

void journal_writer::on_read_failed(std::uint64_t now_ms) {
  if (write_.has_value() && write_->state == write_state::reading) {
    write_->state = write_state::uncertain;
    write_->next_try_ms = now_ms + options_.retry_pause_ms;
  }
}

void journal_writer::stored(journal_actions& actions) {
  stored_up_to_ = write_->last_sequence;
  next_segment_ = write_->number + 1;
  write_.reset();
  while (!waiting_.empty() &&
         waiting_.front().record.sequence() <= stored_up_to_) {
    waiting_bytes_ -= waiting_.front().bytes;
    waiting_.pop_front();
  }
  raise_acknowledged(stored_up_to_, actions);
}

journal_actions journal_writer::on_copy_ack(std::uint64_t held_up_to) {
  journal_actions actions;
  copy_under_way_ = false;
  if (sealed_ || !holder_is_usable()) {
    return actions;
  }
  copied_up_to_ = std::max(copied_up_to_, held_up_to);
  raise_acknowledged(copied_up_to_, actions);
  return actions;
}

void journal_writer::on_copy_failed(std::uint64_t now_ms) {
  copy_under_way_ = false;
  next_copy_ms_ = now_ms + options_.retry_pause_ms;
}

void journal_writer::raise_acknowledged(std::uint64_t up_to,
                                        journal_actions& actions) {
  if (up_to > acknowledged_) {
    acknowledged_ = up_to;
    actions.emplace_back(acknowledge{up_to});
  }
}

std::vector<wire::Record> journal_writer::unstored() const {
  std::vector<wire::Record> made;
  for (const waiting_record& each : waiting_) {
    made.push_back(each.record);
  }
  return made;
}

std::vector<wire::Record> journal_reader::read(const wire::Segment& segment) {
  return read_tail({segment.records().begin(), segment.records().end()});
}

std::vector<wire::Record> journal_reader::read_tail(
    const std::vector<wire::Record>& records) {
  std::vector<wire::Record> fresh;
  for (const wire::Record& each : records) {
    if (each.sequence() <= seen_up_to_) {
      continue;
    }
    seen_up_to_ = each.sequence();
    if (each.has_copy_holder()) {
      holder_ = each.copy_holder();
    }
    fresh.push_back(each);
  }
  return fresh;
}

}  // namespace trayrock
