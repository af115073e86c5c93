// Buffers a stream of server-sent events and passes on complete events only, so
// that the stream can resume at another endpoint after any of them.
//
// A run is the part of a stream that one endpoint sends. When a run breaks, its
// incomplete event is discarded, and the next run is requested to start after
// the last event's id. Ids are increasing integers. A run that repeats an event
// did not resume there; its events are rejected, since two runs may produce
// different ones.
//
// Example:
//   complete_event_buffer events;
//   events.add("id: 1\ndata: a\n\nid: 2\nda");  // "id: 1\ndata: a\n\n"
//   events.begin_run();                         // discards "id: 2\nda"
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
  // Adds the next bytes of a run and returns the bytes of the events that they
  // complete.
  std::string add(std::string_view bytes);

  // The bytes after the last complete event. They belong to the response if the
  // run has ended without an error.
  std::string_view rest() const { return pending_; }

  // Discards an incomplete event; the next bytes are those of another run.
  void begin_run();

  // The id of the last complete event. No value if there is none, or if its id
  // is missing or not a number; then no run can resume after it.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  // True after a resumed run sent an event without a higher id.
  bool repeated() const { return repeated_; }

 private:
  void end_line();
  void end_event(std::string& complete);

  std::string pending_;              // bytes of the incomplete event
  std::size_t line_begin_ = 0;       // in `pending_`
  std::optional<std::uint64_t> id_;  // of the incomplete event
  std::optional<std::uint64_t> last_id_;
  bool resumed_ = false;  // this run follows another one
  bool repeated_ = false;
};

}  // namespace trayrock
