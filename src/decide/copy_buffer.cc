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
  if (sealed_.contains(message.journal())) {
    refuse(*ack.mutable_failure(), errc::journal_sealed);
    return ack;
  }
  tail& current = tails_[message.journal()];
  drop_before(current, message.durable_before());
  for (const wire::Record& each : message.records()) {
    const bool duplicate = !current.records.empty() &&
                           each.sequence() <= current.records.back().sequence();
    if (duplicate || each.sequence() < message.durable_before()) {
      continue;
    }
    const std::size_t bytes = each.ByteSizeLong();
    if (bytes_ + bytes > limit_bytes_) {
      refuse(*ack.mutable_failure(), errc::copy_space_full);
      break;
    }
    current.records.push_back(each);
    current.bytes += bytes;
    bytes_ += bytes;
  }
  ack.set_held_up_to(current.records.empty()
                         ? message.durable_before() - 1
                         : current.records.back().sequence());
  ack.set_held_bytes(current.bytes);
  return ack;
}

wire::CopyTail copy_buffer::claim(const wire::CopyClaim& message) {
  wire::CopyTail reply;
  if (message.holder_start() != start_) {
    reply.set_other_start(true);
    return reply;
  }
  sealed_.insert(message.journal());
  const auto found = tails_.find(message.journal());
  if (found != tails_.end()) {
    for (const wire::Record& each : found->second.records) {
      *reply.add_records() = each;
    }
  }
  return reply;
}

std::vector<std::string> copy_buffer::journal_names() const {
  std::vector<std::string> names;
  for (const auto& [name, each] : tails_) {
    names.push_back(name);
  }
  return names;
}

void copy_buffer::release(const std::string& journal) {
  const auto found = tails_.find(journal);
  if (found != tails_.end()) {
    bytes_ -= found->second.bytes;
    tails_.erase(found);
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
