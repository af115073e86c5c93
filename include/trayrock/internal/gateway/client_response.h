// The response to one client, and the events sent in it so far.
//
// Streams are passed on as received; resumable ones by complete events only.
// The head is that of the first endpoint, also after a resumption. A deferred
// response is sent as a whole once it is complete, so that an error can take
// its place until then.
//
// Example:
//   client_response response(exchange);
//   response.begin(200, headers);
//   response.pass(bytes);
//   response.finish();
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trayrock/internal/decide/complete_event_buffer.h"
#include "trayrock/internal/decide/event_stream.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock {

class client_response {
 public:
  explicit client_response(http1_exchange_ptr exchange)
      : out_(std::move(exchange)) {}

  http1_exchange& exchange() { return *out_; }

  // Whether the client may have received a part of the response.
  bool has_begun() const { return out_->begun(); }

  // Whether begin() was called, even if the response is deferred.
  bool has_content() const { return has_begun() || deferred_head_.has_value(); }

  // Nothing is sent before finish(). Must be called before begin().
  void defer_until_complete() { deferred_ = true; }

  // The data of events is not needed. Must be called before begin().
  void discard_data() { events_.discard_data(); }

  // From now on, only complete events are passed on.
  void make_resumable() { resumable_ = true; }

  // Begins the response unless it has begun.
  void begin(int status, const header_list& headers);

  // Passes on bytes of the endpoint's body. False if the run repeats events
  // that the client has received; nothing more of it may be passed on then.
  bool pass(std::string_view bytes);

  // The next bytes are of another run, which resumes after the last complete
  // event.
  void begin_run() {
    complete_events_.begin_run();
    events_of_earlier_runs_ = events_.complete_events();
  }

  // Whether the endpoint's bytes so far end inside an event.
  bool ends_inside_event() const {
    return resumable_ ? !complete_events_.rest().empty() : events_.in_event();
  }

  // Complete events of the current run.
  std::uint64_t events_of_run() const {
    return events_.complete_events() - events_of_earlier_runs_;
  }

  // The id of the last event sent to the client; nothing if no run can resume
  // after it.
  std::optional<std::uint64_t> last_event_id() const {
    return resumable_ ? complete_events_.last_id() : std::nullopt;
  }

  void finish();
  void abort() { out_->abort(); }
  // Cuts the response and drops what the client has not received.
  void discard() { out_->discard(); }

  // What was sent to the client or deferred, incomplete events included.
  const event_stream& events() const { return events_; }

  // Bytes that are held until more of the response, or its end, is received.
  std::size_t held_bytes() const {
    return deferred_body_.size() + complete_events_.rest().size() +
           events_.data().size() + events_.pending_bytes();
  }

  // The number of events of which the client may have received a part.
  std::uint64_t events_sent() const {
    return has_begun() ? events_.started_events() : 0;
  }

 private:
  struct head {
    int status = 0;
    header_list headers;
  };

  void write(std::string_view bytes);

  http1_exchange_ptr out_;
  bool resumable_ = false;
  bool deferred_ = false;
  std::optional<head> deferred_head_;
  std::string deferred_body_;
  complete_event_buffer complete_events_;
  event_stream events_;
  std::uint64_t events_of_earlier_runs_ = 0;
};

}  // namespace trayrock
