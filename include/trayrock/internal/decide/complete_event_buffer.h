// Cuts a stream of server-sent events into whole events, so that it can go on
// at another endpoint behind any of them.
//
// What a client has got of a resumable stream always ends with an event. When
// the run behind it breaks, the half event that is left is thrown away, and the
// next run is asked for what follows the last event's id. Ids are whole numbers
// that rise. A run that repeats an event has not gone on where it was told to;
// its events are refused, since two runs may have made different ones.
//
// Example:
//   whole_events events;
//   events.add("id: 1\ndata: a\n\nid: 2\nda");  // "id: 1\ndata: a\n\n"
//   events.begin_run();                         // the half event is gone
//   events.add("id: 2\ndata: b\n\n");           // "id: 2\ndata: b\n\n"
//   events.add("id: 2\ndata: c\n\n");           // ""
//   events.repeated();                          // true
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trayrock {

class complete_event_buffer {
 public:
  // Takes the next bytes of a run; returns the events that they complete, as
  // they came.
  std::string add(std::string_view bytes);

  // What has come behind the last whole event. The rest of an answer that is
  // complete belongs to it.
  std::string_view rest() const { return pending_; }

  // From here on come the bytes of another run.
  void begin_run();

  // Of the last whole event; nothing when there is none, or when it has no id
  // that is a number: then no run can go on behind it.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  // True once a run gave an event that an earlier run had given.
  bool repeated() const { return repeated_; }

 private:
  void end_line();
  void end_event(std::string& whole);

  std::string pending_;              // of the event that has not ended
  std::size_t line_begin_ = 0;       // in `pending_`
  std::optional<std::uint64_t> id_;  // of the event that has not ended
  std::optional<std::uint64_t> last_id_;
  bool goes_on_ = false;  // another run came before
  bool repeated_ = false;
};

}  // namespace trayrock
