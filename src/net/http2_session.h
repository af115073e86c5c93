// One nghttp2 session over one libevent connection, either side.
//
// Takes care of what client and server share: feeding bytes, flushing output
// outside of nghttp2's own callbacks, and cutting a stream's bytes into
// length-prefixed messages.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace trayrock::internal {

// Cuts a byte stream into messages of a four-byte length and a body.
class message_cutter {
 public:
  explicit message_cutter(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Adds bytes and hands on each whole message. False when a message would
  // exceed the limit; the stream is useless from then on.
  bool add(std::string_view bytes,
           const std::function<void(std::string_view)>& deliver);

  // True when no started message is waiting for its rest.
  bool at_boundary() const { return held_.empty(); }

 private:
  std::size_t max_bytes_;
  std::string held_;
};

// Appends length and body.
void append_message(std::string& out, std::string_view body);

// Bytes waiting to be sent on a stream; nghttp2 pulls from it.
struct stream_output {
  std::string bytes;
  std::size_t sent = 0;
  bool finished = false;

  static ssize_t pull(nghttp2_session* session, std::int32_t stream,
                      std::uint8_t* buffer, std::size_t length,
                      std::uint32_t* flags, nghttp2_data_source* source,
                      void* context);
};

// Feeds the bytes that have arrived on `bev` to the session. If libevent read
// its maximum, also reads the socket directly: all calls to a peer share one
// connection, and libevent reads only 4 KiB of it per iteration of the loop.
// Returns false if the session is broken. `busy` is true while nghttp2's
// callbacks run.
bool feed_session(nghttp2_session* session, bufferevent* bev, bool& busy,
                  std::uint64_t& bytes_in);

// Moves what the session wants to send to `bev`; does nothing while `busy`.
// Returns false once the session is over, as after bytes that are no HTTP/2: it
// reads and sends nothing more.
bool flush_session(nghttp2_session* session, bufferevent* bev, bool busy,
                   std::uint64_t& bytes_out);

// Flow-control window of a connection: the most that a peer may have sent
// before the end of its stream reaches it.
constexpr std::int32_t window_bytes = 16 << 20;

// Sends the settings and opens a large window for the connection.
void submit_large_windows(nghttp2_session* session);

// Raises libevent's limit on bytes written per iteration to that of
// feed_session().
void use_large_writes(bufferevent* bev);

void set_no_delay(bufferevent* bev);

}  // namespace trayrock::internal
