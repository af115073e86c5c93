#include "http2_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <span>

namespace trayrock::internal {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::uint32_t max_streams = 100000;
// The most that libevent reads from a connection per iteration of the loop.
constexpr std::size_t libevent_read_bytes = 4096;
// Limit per connection and iteration, so that other connections are served.
constexpr std::size_t max_round_bytes = 256 << 10;

std::size_t read_length(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < length_bytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

bool feed(nghttp2_session* session, std::span<const unsigned char> received,
          bool& busy, std::uint64_t& bytes_in) {
  busy = true;
  const ssize_t used =
      nghttp2_session_mem_recv(session, received.data(), received.size());
  busy = false;
  if (used < 0) {
    return false;
  }
  bytes_in += static_cast<std::uint64_t>(used);
  return true;
}

bool feed_buffered(nghttp2_session* session, evbuffer* input, bool& busy,
                   std::uint64_t& bytes_in) {
  while (evbuffer_get_length(input) > 0) {
    const auto length =
        static_cast<std::size_t>(evbuffer_get_contiguous_space(input));
    const unsigned char* bytes =
        evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
    if (!feed(session, {bytes, length}, busy, bytes_in)) {
      return false;
    }
    evbuffer_drain(input, length);
  }
  return true;
}

// Reads the socket directly, after all that libevent has buffered was fed. The
// end of the connection and errors are left to libevent, whose next read
// returns them.
bool feed_unread(nghttp2_session* session, evutil_socket_t socket, bool& busy,
                 std::uint64_t& bytes_in) {
  std::array<unsigned char, 32 << 10> bytes;
  std::size_t total = 0;
  while (total < max_round_bytes) {
    const ssize_t length =
        recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (length <= 0) {
      return true;
    }
    total += static_cast<std::size_t>(length);
    if (!feed(session, {bytes.data(), static_cast<std::size_t>(length)}, busy,
              bytes_in)) {
      return false;
    }
  }
  return true;
}

}  // namespace

bool message_cutter::add(std::string_view bytes,
                         const std::function<void(std::string_view)>& deliver) {
  held_.append(bytes);
  std::size_t at = 0;
  while (held_.size() - at >= length_bytes) {
    const std::string_view rest = std::string_view(held_).substr(at);
    const std::size_t length = read_length(rest);
    if (length > max_bytes_) {
      return false;
    }
    if (rest.size() < length_bytes + length) {
      break;
    }
    deliver(rest.substr(length_bytes, length));
    at += length_bytes + length;
  }
  held_.erase(0, at);
  return true;
}

void append_message(std::string& out, std::string_view body) {
  const std::size_t length = body.size();
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  out.append(body);
}

ssize_t stream_output::pull(nghttp2_session*, std::int32_t,
                            std::uint8_t* buffer, std::size_t length,
                            std::uint32_t* flags, nghttp2_data_source* source,
                            void*) {
  auto* self = static_cast<stream_output*>(source->ptr);
  const std::size_t left = self->bytes.size() - self->sent;
  const std::size_t taken = std::min(left, length);
  if (taken == 0 && !self->finished) {
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(buffer, self->bytes.data() + self->sent, taken);
  self->sent += taken;
  if (self->sent == self->bytes.size()) {
    self->bytes.clear();
    self->sent = 0;
    if (self->finished) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
  }
  return static_cast<ssize_t>(taken);
}

bool feed_session(nghttp2_session* session, bufferevent* bev, bool& busy,
                  std::uint64_t& bytes_in) {
  evbuffer* input = bufferevent_get_input(bev);
  const bool may_have_unread =
      evbuffer_get_length(input) >= libevent_read_bytes;
  if (!feed_buffered(session, input, busy, bytes_in)) {
    return false;
  }
  return !may_have_unread ||
         feed_unread(session, bufferevent_getfd(bev), busy, bytes_in);
}

bool flush_session(nghttp2_session* session, bufferevent* bev, bool busy,
                   std::uint64_t& bytes_out) {
  if (busy) {
    return true;
  }
  while (true) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length = nghttp2_session_mem_send(session, &bytes);
    if (length < 0) {
      return false;
    }
    if (length == 0) {
      return nghttp2_session_want_read(session) != 0 ||
             nghttp2_session_want_write(session) != 0;
    }
    bytes_out += static_cast<std::uint64_t>(length);
    bufferevent_write(bev, bytes, static_cast<std::size_t>(length));
  }
}

void submit_large_windows(nghttp2_session* session) {
  const std::array settings{
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             window_bytes},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             max_streams},
  };
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        window_bytes);
}

void use_large_writes(bufferevent* bev) {
  bufferevent_set_max_single_write(bev, max_round_bytes);
}

void set_no_delay(bufferevent* bev) {
  const int on = 1;
  setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace trayrock::internal
