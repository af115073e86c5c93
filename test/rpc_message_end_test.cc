// Calls between processes whose messages end early or whose heads are broken:
// guards against running a part of a request, and against taking a part of a
// reply, or a response that is none.
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "deployment.h"
#include "loopback.h"
#include "records.pb.h"
#include "test_support.h"
#include "trayrock/internal/net/rpc.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds longest_run{10000};

// How a peer ends its half of a stream.
enum class stream_end { end_stream, reset, connection };

// A message as it is sent: its length in four bytes, and its bytes.
std::string framed(const std::string& body) {
  std::string made(4, '\0');
  made[2] = static_cast<char>(body.size() >> 8U);
  made[3] = static_cast<char>(body.size());
  return made + body;
}

std::string framed_record() {
  records::Record made;
  made.mutable_turn()->set_attempt("a");
  made.mutable_turn()->set_program("p");
  return framed(made.SerializeAsString());
}

// Fields of a response's head, and of its trailers.
using field_list = std::vector<std::pair<std::string, std::string>>;

struct response_fields {
  field_list head{{":status", "200"}};
  field_list trailers;
};

// One side of an HTTP/2 connection that sends given bytes on its stream.
class raw_peer {
 public:
  raw_peer(int socket, std::string bytes, stream_end end,
           response_fields fields = {})
      : socket_(socket),
        bytes_(std::move(bytes)),
        end_(end),
        fields_(std::move(fields)) {}
  raw_peer(const raw_peer&) = delete;
  raw_peer& operator=(const raw_peer&) = delete;
  ~raw_peer() {
    nghttp2_session_del(session_);
    close(socket_);
  }

  // Sends a request and reads until its stream or the connection has ended.
  void call() {
    make_session(nghttp2_session_client_new);
    const std::array headers{
        header(":method", "POST"), header(":scheme", "http"),
        header(":authority", "a"), header(":path", "/Put")};
    const nghttp2_data_provider provider = body();
    stream_ = nghttp2_submit_request(session_, nullptr, headers.data(),
                                     headers.size(), &provider, nullptr);
    exchange();
  }

  // Answers one request.
  void answer() {
    make_session(nghttp2_session_server_new);
    exchange();
    if (end_ != stream_end::connection) {
      read_to_end();
    }
  }

 private:
  template <typename factory>
  void make_session(factory make) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_close);
    make(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
  }

  static nghttp2_nv header(const char* name, const char* value) {
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)),
            std::strlen(name), std::strlen(value), NGHTTP2_NV_FLAG_NONE};
  }

  static std::vector<nghttp2_nv> encode(const field_list& fields) {
    std::vector<nghttp2_nv> made;
    for (const auto& [name, value] : fields) {
      made.push_back(
          {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
           reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
           name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return made;
  }

  nghttp2_data_provider body() {
    nghttp2_data_provider made{};
    made.source.ptr = this;
    made.read_callback = read_body;
    return made;
  }

  static ssize_t read_body(nghttp2_session*, std::int32_t, std::uint8_t* to,
                           std::size_t length, std::uint32_t* flags,
                           nghttp2_data_source* source, void*) {
    auto* self = static_cast<raw_peer*>(source->ptr);
    const std::size_t taken = std::min(length, self->bytes_.size());
    if (taken == 0 && self->end_ != stream_end::end_stream) {
      self->body_sent_ = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(self->bytes_.begin(), taken, to);
    self->bytes_.erase(0, taken);
    if (self->bytes_.empty() && self->end_ == stream_end::end_stream) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      if (!self->fields_.trailers.empty()) {
        *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
        const std::vector<nghttp2_nv> made = encode(self->fields_.trailers);
        nghttp2_submit_trailer(self->session_, self->stream_, made.data(),
                               made.size());
      }
    }
    return static_cast<ssize_t>(taken);
  }

  static int on_frame(nghttp2_session* session, const nghttp2_frame* frame,
                      void* context) {
    auto* self = static_cast<raw_peer*>(context);
    const bool requested = self->stream_ == 0 &&
                           frame->hd.type == NGHTTP2_DATA &&
                           (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (requested) {
      self->stream_ = frame->hd.stream_id;
      const std::vector<nghttp2_nv> head = encode(self->fields_.head);
      const nghttp2_data_provider provider = self->body();
      nghttp2_submit_response(session, self->stream_, head.data(), head.size(),
                              &provider);
    }
    return 0;
  }

  static int on_close(nghttp2_session*, std::int32_t, std::uint32_t,
                      void* context) {
    static_cast<raw_peer*>(context)->ended_ = true;
    return 0;
  }

  void send_pending() {
    const std::uint8_t* bytes = nullptr;
    for (ssize_t length = nghttp2_session_mem_send(session_, &bytes);
         length > 0; length = nghttp2_session_mem_send(session_, &bytes)) {
      ::send(socket_, bytes, static_cast<std::size_t>(length), MSG_NOSIGNAL);
    }
  }

  void exchange() {
    std::array<std::uint8_t, 16384> piece{};
    while (!ended_) {
      send_pending();
      if (ended_ || (body_sent_ && end_ == stream_end::connection)) {
        return;
      }
      if (body_sent_ && end_ == stream_end::reset) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_,
                                  NGHTTP2_CANCEL);
        send_pending();
      }
      const ssize_t got = recv(socket_, piece.data(), piece.size(), 0);
      if (got <= 0) {
        return;
      }
      nghttp2_session_mem_recv(session_, piece.data(),
                               static_cast<std::size_t>(got));
    }
    send_pending();
  }

  // A close with bytes unread would be a reset, which could overtake the reply.
  void read_to_end() const {
    std::array<char, 1024> rest{};
    while (recv(socket_, rest.data(), rest.size(), 0) > 0) {
    }
  }

  int socket_;
  std::string bytes_;
  stream_end end_;
  response_fields fields_;
  nghttp2_session* session_ = nullptr;
  std::int32_t stream_ = 0;
  bool body_sent_ = false;
  bool ended_ = false;
};

class rpc_message_end_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rpc_message_end_test);
  CPPUNIT_TEST(whole_request_is_run);
  CPPUNIT_TEST(request_that_is_cut_anywhere_is_not_run);
  CPPUNIT_TEST(request_with_a_rest_behind_its_message_is_not_run);
  CPPUNIT_TEST(request_whose_stream_does_not_end_is_not_run);
  CPPUNIT_TEST(whole_reply_is_taken);
  CPPUNIT_TEST(reply_that_is_cut_anywhere_is_not_taken);
  CPPUNIT_TEST(reply_whose_stream_does_not_end_is_not_taken);
  CPPUNIT_TEST(reply_with_another_status_is_not_taken);
  CPPUNIT_TEST(reply_with_a_broken_field_is_not_taken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void whole_request_is_run() {
    CPPUNIT_ASSERT_EQUAL(1, runs_of({framed_record()}));
  }

  void request_that_is_cut_anywhere_is_not_run() {
    const std::string whole = framed_record();
    std::vector<std::string> cut;
    for (std::size_t length = 0; length < whole.size(); ++length) {
      cut.push_back(whole.substr(0, length));
    }
    CPPUNIT_ASSERT_EQUAL(0, runs_of(cut));
  }

  void request_with_a_rest_behind_its_message_is_not_run() {
    CPPUNIT_ASSERT_EQUAL(
        0, runs_of({framed_record() + framed("rest").substr(0, 6)}));
  }

  void request_whose_stream_does_not_end_is_not_run() {
    CPPUNIT_ASSERT_EQUAL(0, runs_of({framed_record()}, stream_end::reset));
    CPPUNIT_ASSERT_EQUAL(0, runs_of({framed_record()}, stream_end::connection));
  }

  void whole_reply_is_taken() {
    const auto seen = reply_of(framed_record(), stream_end::end_stream);
    TRAYROCK_CHECK(seen.has_value(), "seen " << seen.error().message());
    CPPUNIT_ASSERT_EQUAL(std::string("p"), seen.value().turn().program());
  }

  void reply_that_is_cut_anywhere_is_not_taken() {
    const std::string whole = framed_record();
    for (std::size_t length = 0; length < whole.size(); ++length) {
      TRAYROCK_CHECK(!reply_of(whole.substr(0, length), stream_end::end_stream),
                     "expected an error, cut after " << length << " bytes");
    }
    CPPUNIT_ASSERT(
        !reply_of(whole + framed("rest").substr(0, 6), stream_end::end_stream));
  }

  void reply_whose_stream_does_not_end_is_not_taken() {
    CPPUNIT_ASSERT(!reply_of(framed_record(), stream_end::reset));
    CPPUNIT_ASSERT(!reply_of(framed_record(), stream_end::connection));
  }

  void reply_with_another_status_is_not_taken() {
    for (const char* status : {"000", "001", "099", "100", "204", "404", "500",
                               "599", "600", "999", "0200", "20", "", "2x0"}) {
      TRAYROCK_CHECK(!reply_of(framed_record(), stream_end::end_stream,
                               {{{":status", status}}, {}}),
                     "expected an error, status '" << status << "'");
    }
  }

  void reply_with_a_broken_field_is_not_taken() {
    CPPUNIT_ASSERT(
        reply_of(framed_record(), stream_end::end_stream,
                 {{{":status", "200"}, {"x-a", "1"}}, {{"x-b", "2"}}}));
    for (const char* name :
         {"x bad", " x-bad", "x-bad ", "x-\x01", "x-\x7f", "x(bad", "x:bad"}) {
      const std::pair<std::string, std::string> broken{name, "1"};
      TRAYROCK_CHECK(!reply_of(framed_record(), stream_end::end_stream,
                               {{{":status", "200"}, broken}, {}}),
                     "expected an error, field '" << name << "'");
      TRAYROCK_CHECK(!reply_of(framed_record(), stream_end::end_stream,
                               {{{":status", "200"}}, {broken}}),
                     "expected an error, trailer field '" << name << "'");
    }
  }

 private:
  // How many of the requests with these bodies the server runs.
  static int runs_of(const std::vector<std::string>& bodies,
                     stream_end end = stream_end::end_stream) {
    event_loop loop;
    rpc_server server(loop, {});
    int runs = 0;
    server.handle_typed<records::Record>(
        "Put", [&runs](records::Record& received, const rpc_reply_ptr& reply) {
          ++runs;
          reply->send(received);
          reply->finish();
        });
    const int port = free_ports(1).front();
    CPPUNIT_ASSERT(server.listen(
        address::parse("127.0.0.1:" + std::to_string(port)).value()));
    std::size_t connected = 0;
    std::atomic<bool> done = false;
    std::jthread client([&] {
      for (const std::string& each : bodies) {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in where = loopback(port);
        connected += connect(socket, reinterpret_cast<const sockaddr*>(&where),
                             sizeof(where)) == 0;
        raw_peer(socket, each, end).call();
      }
      done = true;
    });
    const timer watching = loop.every(milliseconds(10), [&] {
      if (done) {
        loop.stop();
      }
    });
    const timer guard = loop.after(longest_run, [&] { loop.stop(); });
    loop.run();
    client.join();
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT_EQUAL(bodies.size(), connected);
    return runs;
  }

  // What a call brings whose peer sends these bytes on its stream.
  static result<records::Record> reply_of(const std::string& bytes,
                                          stream_end end,
                                          const response_fields& fields = {}) {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where = loopback(0);
    socklen_t length = sizeof(where);
    const bool listens =
        bind(listener, reinterpret_cast<sockaddr*>(&where), length) == 0 &&
        listen(listener, 1) == 0 &&
        getsockname(listener, reinterpret_cast<sockaddr*>(&where), &length) ==
            0;
    TRAYROCK_CHECK(listens, "expected a free port on loopback");
    std::jthread peer([&] {
      raw_peer(accept(listener, nullptr, nullptr), bytes, end, fields).answer();
    });
    std::optional<result<records::Record>> seen;
    {
      event_loop loop;
      rpc_pool pool(loop, {});
      const rpc_call call = pool.ask<records::Record>(
          "127.0.0.1:" + std::to_string(ntohs(where.sin_port)), "Put",
          records::Record(), longest_run, [&](result<records::Record> reply) {
            seen = std::move(reply);
            loop.stop();
          });
      loop.run();
    }
    peer.join();
    close(listener);
    return std::move(*seen);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rpc_message_end_test);

}  // namespace
}  // namespace trayrock::testing
