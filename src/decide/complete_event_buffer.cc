#include "trayrock/internal/decide/complete_event_buffer.h"

#include <charconv>

namespace trayrock {
namespace {

constexpr std::string_view id_field = "id:";

// The line without what ends it.
std::string_view content_of(std::string_view line) {
  line.remove_suffix(1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

std::optional<std::uint64_t> number_of(std::string_view text) {
  if (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  std::uint64_t value = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string complete_event_buffer::add(std::string_view bytes) {
  std::string whole;
  while (!bytes.empty() && !repeated_) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      pending_.append(bytes);
      break;
    }
    pending_.append(bytes.substr(0, end + 1));
    bytes.remove_prefix(end + 1);
    const std::string_view line =
        std::string_view(pending_).substr(line_begin_);
    if (content_of(line).empty()) {
      end_event(whole);
    } else {
      end_line();
    }
  }
  return whole;
}

void complete_event_buffer::end_line() {
  const std::string_view line =
      content_of(std::string_view(pending_).substr(line_begin_));
  if (line.starts_with(id_field)) {
    id_ = number_of(line.substr(id_field.size()));
  }
  line_begin_ = pending_.size();
}

void complete_event_buffer::end_event(std::string& whole) {
  if (goes_on_ && (!id_ || (last_id_ && *id_ <= *last_id_))) {
    repeated_ = true;
  } else {
    whole.append(pending_);
    last_id_ = id_;
  }
  pending_.clear();
  line_begin_ = 0;
  id_.reset();
}

void complete_event_buffer::begin_run() {
  pending_.clear();
  line_begin_ = 0;
  id_.reset();
  goes_on_ = last_id_.has_value();
}

}  // namespace trayrock
