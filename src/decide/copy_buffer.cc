#include "trayrock/internal/decide/copy_buffer.h"

#include "trayrock/errors.h"

namespace trayrock {
namespace {

void refuse(wire::Failure& failure, errc code) {
  const std::error_code error = code;
  failure.set_code(static_cast<std::uint32_t>(error.value()));
  failure.set_text(error.message());
}

}  // namespace

copy_buffer::copy_buffer(std::string start, std::size_t limit_bytes)
    : start_(std::move(start)), limit_bytes_(limit_bytes) {}

wire::CopyAck copy_buffer::append(const wire::CopyAppend& message) {
  wire::CopyAck ack;
  if (message.holder_start() != start_) {
    refuse(*ack.mutable_failure(), errc::wrong_start);
    return ack;
  }
  if (promised_.contains(message.journal())) {
    refuse(*ack.mutable_failure(), errc::journal_sealed);
    return ack;
  }
  tail& held = held_[message.journal()];
  drop_before(held, message.durable_before());
  for (const wire::Record& each : message.records()) {
    const bool known = !held.records.empty() &&
                       each.sequence() <= held.records.back().sequence();
    if (known || each.sequence() < message.durable_before()) {
      continue;
    }
    const std::size_t bytes = each.ByteSizeLong();
    if (bytes_ + bytes > limit_bytes_) {
      refuse(*ack.mutable_failure(), errc::copy_space_full);
      break;
    }
    held.records.push_back(each);
    held.bytes += bytes;
    bytes_ += bytes;
  }
  ack.set_held_up_to(held.records.empty() ? message.durable_before() - 1
                                          : held.records.back().sequence());
  ack.set_held_bytes(held.bytes);
  return ack;
}

wire::CopyTail copy_buffer::claim(const wire::CopyClaim& message) {
  wire::CopyTail answer;
  if (message.holder_start() != start_) {
    answer.set_other_start(true);
    return answer;
  }
  promised_.insert(message.journal());
  const auto found = held_.find(message.journal());
  if (found != held_.end()) {
    for (const wire::Record& each : found->second.records) {
      *answer.add_records() = each;
    }
  }
  return answer;
}

std::vector<std::string> copy_buffer::journal_names() const {
  std::vector<std::string> names;
  for (const auto& [name, each] : held_) {
    names.push_back(name);
  }
  return names;
}

void copy_buffer::release(const std::string& journal) {
  const auto found = held_.find(journal);
  if (found != held_.end()) {
    bytes_ -= found->second.bytes;
    held_.erase(found);
  }
}

void copy_buffer::drop_before(tail& from, std::uint64_t sequence) {
  while (!from.records.empty() && from.records.front().sequence() < sequence) {
    const std::size_t bytes = from.records.front().ByteSizeLong();
    from.bytes -= bytes;
    bytes_ -= bytes;
    from.records.pop_front();
  }
}

}  // namespace trayrock
