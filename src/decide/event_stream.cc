#include "trayrock/internal/decide/event_stream.h"

namespace trayrock {
namespace {

constexpr std::string_view data_field = "data:";

}  // namespace

void event_stream::add(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      line_.append(bytes);
      in_event_ = true;
      return;
    }
    line_.append(bytes.substr(0, end));
    bytes.remove_prefix(end + 1);
    end_line();
  }
}

void event_stream::end_line() {
  if (!line_.empty() && line_.back() == '\r') {
    line_.pop_back();
  }
  if (line_.empty()) {
    if (has_data_) {
      ++complete_events_;
      if (keeps_data_) {
        data_.append(event_data_).push_back('\n');
      }
    }
    event_data_.clear();
    has_data_ = false;
    in_event_ = false;
    return;
  }
  in_event_ = true;
  const std::string_view line = line_;
  if (line.starts_with(data_field)) {
    std::string_view value = line.substr(data_field.size());
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (has_data_ && keeps_data_) {
      event_data_.push_back('\n');
    }
    if (keeps_data_) {
      event_data_.append(value);
    }
    has_data_ = true;
  }
  line_.clear();
}

}  // namespace trayrock
