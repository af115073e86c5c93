// Parses a stream of server-sent events incrementally: counts the events and
// collects their data, each followed by a line feed, as the next turn's prompt
// repeats it. Lines may end in LF or CRLF.
//
// Example:
//   event_stream events;
//   events.add("id: 1\ndata: he");
//   events.add("llo\n\n");
//   events.complete_events();  // 1
//   events.data();             // "hello\n"
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trayrock {

class event_stream {
 public:
  void add(std::string_view bytes);

  // Events are only counted from now on, and data() stays as it is.
  void discard_data() { keeps_data_ = false; }

  // Bytes of the event that has begun.
  std::size_t pending_bytes() const {
    return line_.size() + event_data_.size();
  }

  // The number of complete events.
  std::uint64_t complete_events() const { return complete_events_; }

  // Includes an event that has begun and is not complete.
  std::uint64_t started_events() const {
    return complete_events_ + (in_event_ ? 1 : 0);
  }

  // Whether bytes follow the last complete event.
  bool in_event() const { return in_event_; }

  const std::string& data() const { return data_; }

 private:
  void end_line();

  std::string line_;
  std::string event_data_;
  std::string data_;
  std::uint64_t complete_events_ = 0;
  bool keeps_data_ = true;
  bool has_data_ = false;
  bool in_event_ = false;
};

}  // namespace trayrock
