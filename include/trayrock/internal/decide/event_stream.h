// Cuts a stream of server-sent events as it passes.
//
// Counts the events and collects their data, each event's with a line feed
// behind it, which is what a later turn's prompt repeats. Bytes may come in
// any pieces; lines may end in LF or CRLF.
//
// Example:
//   event_stream events;
//   events.add("id: 1\ndata: he");
//   events.add("llo\n\n");
//   events.whole_events();  // 1
//   events.data();          // "hello\n"
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trayrock {

class event_stream {
 public:
  void add(std::string_view bytes);

  // Events that have ended.
  std::uint64_t complete_events() const { return whole_; }

  // As above, with one more for an event that has begun.
  std::uint64_t started_events() const { return whole_ + (open_ ? 1 : 0); }

  const std::string& data() const { return data_; }

 private:
  void end_line();

  std::string line_;
  std::string event_data_;
  std::string data_;
  std::uint64_t whole_ = 0;
  bool has_data_ = false;
  bool open_ = false;
};

}  // namespace trayrock
