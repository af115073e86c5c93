// What one client gets of its answer, and what has been handed out of it.
//
// Streams are passed on as they come; those that may go on at another endpoint
// by whole events only. The head is the first endpoint's, whatever follows it.
//
// Example:
//   client_answer answer(out);
//   answer.begin(200, headers);
//   answer.pass(bytes);
//   answer.finish();
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/complete_event_buffer.h"
#include "trayrock/internal/decide/event_stream.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock {

class client_answer {
 public:
  explicit client_answer(http1_exchange_ptr out) : out_(std::move(out)) {}

  http1_exchange& out() { return *out_; }
  bool begun() const { return out_->begun(); }

  // Only whole events are passed on from here.
  void make_resumable() { resumable_ = true; }

  // Begins the answer unless it has begun.
  void begin(int status, const header_list& headers);

  // Passes bytes of the endpoint's body on. False when the run repeats events
  // that the client has got: then nothing more of it may be passed on.
  bool pass(std::string_view bytes);

  // The next bytes are of another run, behind the last whole event.
  void begin_run() { whole_.begin_run(); }

  // The id of the last event that the client has got; nothing when no run can
  // go on behind it.
  std::optional<std::uint64_t> last_event_id() const {
    return resumable_ ? whole_.last_id() : std::nullopt;
  }

  void finish();
  void abort() { out_->abort(); }

  // What the client has got, half events included.
  const event_stream& events() const { return events_; }

 private:
  void write(std::string_view bytes);

  http1_exchange_ptr out_;
  bool resumable_ = false;
  complete_event_buffer whole_;
  event_stream events_;
};

}  // namespace trayrock
