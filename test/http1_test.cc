// The HTTP/1.1 layer of the gateway: what must not be hidden from a proxy.
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

#include "deployment.h"
#include "loopback.h"
#include "raw_exchange.h"
#include "test_support.h"
#include "trayrock/internal/net/http1_client.h"
#include "trayrock/internal/net/http1_server.h"

namespace trayrock::testing {
namespace {

constexpr milliseconds longest_run{10000};
constexpr int answer_seconds = 8;

address local(int port) {
  return address::parse("127.0.0.1:" + std::to_string(port)).value();
}

// A peer that answers the first bytes on each connection with a script.
class scripted_peer {
 public:
  enum class ending { stay_open, close, reset };

  scripted_peer(event_loop& loop, int port, std::string answer, ending how)
      : loop_(loop), answer_(std::move(answer)), how_(how) {
    sockaddr_in where = loopback(port);
    listener_ = evconnlistener_new_bind(
        loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        16, reinterpret_cast<sockaddr*>(&where), sizeof(where));
  }
  scripted_peer(const scripted_peer&) = delete;
  scripted_peer& operator=(const scripted_peer&) = delete;
  ~scripted_peer() {
    evconnlistener_free(listener_);
    for (bufferevent* each : connections_) {
      bufferevent_free(each);
    }
  }

  std::size_t connections() const { return connections_.size(); }

 private:
  static void accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                     void* context) {
    auto* self = static_cast<scripted_peer*>(context);
    bufferevent* made = bufferevent_socket_new(self->loop_.base(), socket,
                                               BEV_OPT_CLOSE_ON_FREE);
    self->connections_.push_back(made);
    bufferevent_setcb(made, on_readable, on_written, nullptr, self);
    bufferevent_enable(made, EV_READ | EV_WRITE);
  }

  static void on_readable(bufferevent* from, void* context) {
    auto* self = static_cast<scripted_peer*>(context);
    char bytes[4096];
    while (bufferevent_read(from, bytes, sizeof(bytes)) > 0) {
    }
    self->answered_ = true;
    bufferevent_write(from, self->answer_.data(), self->answer_.size());
  }

  static void on_written(bufferevent* to, void* context) {
    auto* self = static_cast<scripted_peer*>(context);
    const int socket = bufferevent_getfd(to);
    if (!self->answered_) {
      return;  // libevent also calls this for a fresh connection
    }
    if (self->how_ == ending::close) {
      shutdown(socket, SHUT_RDWR);
    } else if (self->how_ == ending::reset) {
      // The answer is read before the reset comes.
      self->ends_.push_back(self->loop_.after(milliseconds(50), [socket] {
        const linger at_once{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        dup2(STDIN_FILENO, socket);  // closes the connection with a reset
      }));
    }
  }

  event_loop& loop_;
  std::string answer_;
  ending how_;
  bool answered_ = false;
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
  std::vector<timer> ends_;
};

struct seen_answer {
  std::optional<http1_end> end;
  std::string body;
  int heads = 0;
  body_framing framing = body_framing::length;
};

class http1_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http1_test);
  CPPUNIT_TEST(length_and_chunks_together_are_refused);
  CPPUNIT_TEST(headers_over_the_limit_are_refused);
  CPPUNIT_TEST(body_over_the_limit_is_refused);
  CPPUNIT_TEST(slow_headers_are_refused);
  CPPUNIT_TEST(answer_that_is_not_sent_yet_counts_as_open);
  CPPUNIT_TEST(requests_sent_ahead_are_answered_in_order);
  CPPUNIT_TEST(chunked_body_is_joined);
  CPPUNIT_TEST(answer_without_length_is_whole_at_its_close);
  CPPUNIT_TEST(answer_without_length_is_broken_by_a_reset);
  CPPUNIT_TEST(cut_chunks_are_broken);
  CPPUNIT_TEST(refused_connection_was_never_sent);
  CPPUNIT_TEST(connection_with_surplus_bytes_is_not_used_again);
  CPPUNIT_TEST(sound_connection_is_used_again);
  CPPUNIT_TEST(answer_of_an_earlier_request_is_skipped);
  CPPUNIT_TEST(chunked_answer_of_an_earlier_request_is_skipped);
  CPPUNIT_TEST(unread_bytes_of_a_client_are_reported);
  CPPUNIT_TEST(received_bytes_of_a_request_are_reported);
  CPPUNIT_TEST(dropped_connection_is_told_and_incomplete);
  CPPUNIT_TEST(paused_response_is_read_after_resuming);
  CPPUNIT_TEST(paused_connection_is_used_again);
  CPPUNIT_TEST(aborted_response_to_http_1_0_ends_with_a_reset);
  CPPUNIT_TEST(unsent_response_to_http_1_0_ends_with_a_reset_at_a_drop);
  CPPUNIT_TEST(finished_response_to_http_1_0_ends_with_a_close);
  CPPUNIT_TEST(last_response_of_a_connection_is_sent_to_a_slow_reader);
  CPPUNIT_TEST(response_to_head_ends_with_its_head);
  CPPUNIT_TEST(response_without_content_ends_with_its_head);
  CPPUNIT_TEST(request_that_is_cut_anywhere_is_not_served);
  CPPUNIT_TEST(request_with_another_transfer_coding_is_refused);
  CPPUNIT_TEST(response_with_another_transfer_coding_is_broken);
  CPPUNIT_TEST(response_that_is_cut_anywhere_is_broken);
  CPPUNIT_TEST(response_without_a_body_is_not_ended_by_its_connection);
  CPPUNIT_TEST(interim_response_is_not_the_response);
  CPPUNIT_TEST(response_reset_while_reading_is_paused_is_broken);
  CPPUNIT_TEST(cut_response_that_is_not_read_is_held_briefly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<event_loop>();
    port_ = free_ports(1)[0];
  }

  void tearDown() override {
    later_.cancel();
    server_.reset();
    pool_.reset();
    loop_.reset();
  }

  void length_and_chunks_together_are_refused() {
    check_refused(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        400);
  }

  void headers_over_the_limit_are_refused() {
    check_refused(
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
        431);
  }

  void body_over_the_limit_is_refused() {
    check_refused("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n",
                  413);
    check_refused(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
        "\r\n\r\n7d0\r\n" +
            std::string(2000, 'x'),
        413);
  }

  void slow_headers_are_refused() {
    check_refused("GET / HTTP/1.1\r\nHost: a\r\n", 408);
  }

  // A process that waited for no
  // open request ended with an answer still in its buffer.
  void answer_that_is_not_sent_yet_counts_as_open() {
    std::size_t open_behind_answer = 0;
    http1_server* asked = nullptr;
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [&](const http1_request&, const http1_exchange_ptr& out) {
          out->respond(200, {}, "answer");
          open_behind_answer = asked->open_requests();
          loop_->stop();
        });
    asked = &server;
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::jthread client([&] {
      send_raw(port_, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", answer_seconds);
    });
    loop_->run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open_behind_answer);
    const timer sent = loop_->every(milliseconds(10), [&] {
      if (server.open_requests() == 0) {
        loop_->stop();
      }
    });
    loop_->run();
    server.close_idle();
    const timer closed = loop_->after(milliseconds(50), [&] { loop_->stop(); });
    loop_->run();
  }

  void requests_sent_ahead_are_answered_in_order() {
    const std::string seen = serve(
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const std::size_t first = seen.find("served /first");
    const std::size_t second = seen.find("served /second");
    TRAYROCK_CHECK(first != std::string::npos && second > first &&
                       second != std::string::npos,
                   "expected both in order, seen " << seen);
  }

  void chunked_body_is_joined() {
    serve(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close\r\n\r\n3\r\none\r\n4\r\n two\r\n0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), body_);
  }

  void answer_without_length_is_whole_at_its_close() {
    const seen_answer seen =
        ask("HTTP/1.1 200 OK\r\n\r\nall of it", scripted_peer::ending::close);
    TRAYROCK_CHECK(seen.end == http1_end::complete,
                   "expected a whole answer, seen "
                       << (seen.end ? static_cast<int>(*seen.end) : -1)
                       << " after " << seen.body);
    CPPUNIT_ASSERT_EQUAL(std::string("all of it"), seen.body);
  }

  void answer_without_length_is_broken_by_a_reset() {
    const seen_answer seen =
        ask("HTTP/1.1 200 OK\r\n\r\npart of it", scripted_peer::ending::reset);
    CPPUNIT_ASSERT(seen.end == http1_end::broken);
    CPPUNIT_ASSERT_EQUAL(std::string("part of it"), seen.body);
  }

  void cut_chunks_are_broken() {
    const seen_answer seen = ask(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        scripted_peer::ending::close);
    CPPUNIT_ASSERT(seen.end == http1_end::broken);
  }

  void refused_connection_was_never_sent() {
    pool_ = std::make_unique<http1_pool>(*loop_);
    CPPUNIT_ASSERT(send().end == http1_end::never_sent);
  }

  void connection_with_surplus_bytes_is_not_used_again() {
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2},
        connections_of_two(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"));
  }

  void sound_connection_is_used_again() {
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        connections_of_two("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
  }

  void answer_of_an_earlier_request_is_skipped() {
    const seen_answer seen =
        ask("HTTP/1.1 200 OK\r\nX-Of: before\r\nContent-Length: 5\r\n\r\nother"
            "HTTP/1.1 200 OK\r\nX-Of: mine\r\nContent-Length: 4\r\n\r\nmine",
            scripted_peer::ending::stay_open);
    CPPUNIT_ASSERT(seen.end == http1_end::complete);
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), seen.body);
    CPPUNIT_ASSERT_EQUAL(2, seen.heads);
  }

  void chunked_answer_of_an_earlier_request_is_skipped() {
    const std::string before =
        "HTTP/1.1 200 OK\r\nX-Of: before\r\nTransfer-Encoding: chunked\r\n"
        "\r\n5\r\nother\r\n0\r\n";
    const std::string own =
        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
    const seen_answer sound =
        ask(before + "X-Sum: 1\r\n" + own, scripted_peer::ending::stay_open);
    CPPUNIT_ASSERT(sound.end == http1_end::complete);
    CPPUNIT_ASSERT_EQUAL(2, sound.heads);
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), sound.body);
    const seen_answer broken =
        ask(before + "X Sum: 1\r\n" + own, scripted_peer::ending::stay_open);
    CPPUNIT_ASSERT(broken.end == http1_end::broken);
    CPPUNIT_ASSERT_EQUAL(1, broken.heads);
    CPPUNIT_ASSERT_EQUAL(std::string(), broken.body);
  }

  // Guards against a gateway that doesn't notice that a client has stopped or
  // begun to read.
  void unread_bytes_of_a_client_are_reported() {
    constexpr std::size_t response = 16U << 20;  // more than sockets hold
    std::vector<std::optional<http1_buffered>> seen;
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [&](const http1_request&, const http1_exchange_ptr& out) {
          CPPUNIT_ASSERT(out->connection_id() != 0);
          out->respond(200, {}, std::string(response, 'x'));
        });
    server.on_buffered([&](std::uint64_t, std::optional<http1_buffered> held) {
      seen.push_back(held);
      if (!held) {
        loop_->stop();
      }
    });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::jthread client([&] {
      send_raw(port_, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
               answer_seconds);
    });
    run_briefly();

    std::size_t most = 0;
    for (const auto& each : seen) {
      most = std::max(most, each ? each->unread : 0);
    }
    CPPUNIT_ASSERT(most > response);  // with its head
    CPPUNIT_ASSERT(seen.size() > 2);
    CPPUNIT_ASSERT(!seen.back().has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, seen[seen.size() - 2]->total());
  }

  // Guards against request bodies that are received in part and count nowhere.
  void received_bytes_of_a_request_are_reported() {
    std::size_t most = 0;
    bool closed = false;
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [&](const http1_request&, const http1_exchange_ptr&) {});
    server.on_buffered([&](std::uint64_t, std::optional<http1_buffered> held) {
      most = std::max(most, held ? held->received : 0);
      closed = closed || !held;
      if (closed) {
        loop_->stop();
      }
    });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::jthread client([&] {
      send_raw(port_,
               "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
                   std::string(50000, 'x'),
               1);
    });
    run_briefly();
    CPPUNIT_ASSERT_EQUAL(std::size_t{50000}, most);
    CPPUNIT_ASSERT(closed);
  }

  // Guards against a response that is cut and looks complete.
  void dropped_connection_is_told_and_incomplete() {
    bool gone = false;
    http1_server* asked = nullptr;
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [&](const http1_request&, const http1_exchange_ptr& out) {
          out->begin(200, {});
          out->write("part");
          out->on_gone([&] { gone = true; });
          const std::uint64_t id = out->connection_id();
          loop_->post([&, id] {
            asked->drop(id + 1);  // unknown
            asked->drop(id);
          });
        });
    asked = &server;
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::string seen;
    std::atomic<bool> done = false;
    std::jthread client([&] {
      seen =
          send_raw(port_, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", answer_seconds);
      done = true;
    });
    const timer watching = loop_->every(milliseconds(10), [&] {
      if (done) {
        loop_->stop();
      }
    });
    run_briefly();
    client.join();
    CPPUNIT_ASSERT(gone);
    CPPUNIT_ASSERT(!seen.ends_with("0\r\n\r\n"));
  }

  // Guards against a gateway that buffers on while it should not read, and
  // against one that misses the rest, or the end, of what it did not read.
  void paused_response_is_read_after_resuming() {
    constexpr std::size_t length = 16U << 20;
    const scripted_peer peer(
        *loop_, port_,
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
            "\r\n\r\n" + std::string(length, 'x'),
        scripted_peer::ending::close);
    pool_ = std::make_unique<http1_pool>(*loop_);
    http1_call call;
    std::size_t read = 0;
    std::size_t read_while_paused = 0;
    std::optional<http1_end> end;
    bool paused = false;
    http1_observer observer;
    observer.on_head = [](const http1_answer_head&) { return true; };
    observer.on_body = [&](std::string_view bytes) {
      read += bytes.size();
      if (!paused) {
        paused = true;
        call.pause_reading();
        call.pause_reading();
      }
    };
    observer.on_end = [&](http1_end how) {
      end = how;
      loop_->stop();
    };
    call = start(observer);
    const timer later = loop_->after(milliseconds(300), [&] {
      read_while_paused = read;
      call.resume_reading();
    });
    run_briefly();
    CPPUNIT_ASSERT(read_while_paused > 0);
    CPPUNIT_ASSERT(read_while_paused <= 65536);
    CPPUNIT_ASSERT_EQUAL(length, read);
    CPPUNIT_ASSERT(end == http1_end::complete);
  }

  // Guards against a connection that stays paused in the pool, on which the
  // next request would get no response.
  void paused_connection_is_used_again() {
    const scripted_peer peer(*loop_, port_,
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                             scripted_peer::ending::stay_open);
    pool_ = std::make_unique<http1_pool>(*loop_);
    for (int i = 0; i < 2; ++i) {
      http1_call call;
      std::optional<http1_end> end;
      bool sent = false;
      http1_observer observer;
      observer.on_head = [](const http1_answer_head&) { return true; };
      observer.on_body = [&](std::string_view) { call.pause_reading(); };
      observer.on_sent = [&] { sent = true; };
      observer.on_end = [&](http1_end how) {
        end = how;
        loop_->stop();
      };
      call = start(observer);
      run_briefly();
      CPPUNIT_ASSERT(end == http1_end::complete);
      CPPUNIT_ASSERT(sent);
      call.resume_reading();  // of a call that has ended: nothing
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer.connections());
  }

  // Without a length or chunks, a close would end the response as complete.
  void aborted_response_to_http_1_0_ends_with_a_reset() {
    const raw_exchange seen =
        respond_to_http_1_0([this](const http1_exchange_ptr& out) {
          out->begin(200, {});
          out->write("part");
          later_ = loop_->after(milliseconds(50), [out] { out->abort(); });
        });
    CPPUNIT_ASSERT_EQUAL(ECONNRESET, seen.error);
  }

  // Guards against a finished response whose unsent rest is lost unnoticed.
  void unsent_response_to_http_1_0_ends_with_a_reset_at_a_drop() {
    const raw_exchange seen =
        respond_to_http_1_0([this](const http1_exchange_ptr& out) {
          out->begin(200, {});
          out->write(std::string(16U << 20, 'x'));  // more than sockets hold
          out->finish();
          const std::uint64_t id = out->connection_id();
          loop_->post([this, id] { server_->drop(id); });
        });
    CPPUNIT_ASSERT_EQUAL(ECONNRESET, seen.error);
  }

  void finished_response_to_http_1_0_ends_with_a_close() {
    const std::string body(4U << 20, 'x');
    const raw_exchange seen =
        respond_to_http_1_0([&body](const http1_exchange_ptr& out) {
          out->begin(200, {});
          out->write(body);
          out->finish();
        });
    CPPUNIT_ASSERT_EQUAL(0, seen.error);
    CPPUNIT_ASSERT(seen.bytes.ends_with("\r\n\r\n" + body));
    CPPUNIT_ASSERT(seen.bytes.find("chunked") == std::string::npos);
  }

  // Guards against a response that is cut since its client pauses at its end.
  void last_response_of_a_connection_is_sent_to_a_slow_reader() {
    constexpr std::size_t length = 16U << 20;  // more than sockets hold
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [](const http1_request&, const http1_exchange_ptr& out) {
          out->respond(200, {}, std::string(length, 'x'));
        });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    raw_exchange seen;
    std::atomic<bool> done = false;
    bool paused = false;
    std::jthread client([&] {
      seen = exchange_raw(
          port_, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
          answer_seconds, [&paused] {
            if (!std::exchange(paused, true)) {
              std::this_thread::sleep_for(std::chrono::milliseconds(1500));
            }
          });
      done = true;
    });
    const timer watching = loop_->every(milliseconds(10), [&] {
      if (done) {
        loop_->stop();
      }
    });
    run_briefly();
    client.join();
    CPPUNIT_ASSERT_EQUAL(length, seen.bytes.size() - seen.bytes.find("xx"));
  }

  // A body here would be read as the response to the next request.
  void response_to_head_ends_with_its_head() {
    check_without_body("HEAD", 200);
  }

  void response_without_content_ends_with_its_head() {
    check_without_body("GET", 204);
    check_without_body("GET", 304);
  }

  // The idle time-out of clients' connections is longer than the test.
  void cut_response_that_is_not_read_is_held_briefly() {
    bool cut = false;
    http1_server server(
        *loop_,
        [] {
          http1_limits made;
          made.idle_timeout = longest_run * 2;
          return made;
        },
        [&](const http1_request&, const http1_exchange_ptr& out) {
          out->begin(200, {});
          out->write(std::string(16U << 20, 'x'));  // more than sockets hold
          out->abort();
          cut = true;
        });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in where = loopback(port_);
    CPPUNIT_ASSERT_EQUAL(
        0, connect(socket, reinterpret_cast<const sockaddr*>(&where),
                   sizeof(where)));
    const std::string ask = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    ::send(socket, ask.data(), ask.size(), MSG_NOSIGNAL);
    bool gone = false;
    const timer watching = loop_->every(milliseconds(10), [&] {
      gone = cut && server.open_requests() == 0;
      if (gone) {
        loop_->stop();
      }
    });
    run_briefly();
    close(socket);
    CPPUNIT_ASSERT(gone);
  }

  void request_that_is_cut_anywhere_is_not_served() {
    for (const std::string& whole :
         {std::string("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                      "\r\nfour"),
          std::string("POST /a HTTP/1.1\r\nHost: a\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n"
                      "0\r\n\r\n")}) {
      check_cut_requests(whole);
    }
  }

  void request_with_another_transfer_coding_is_refused() {
    check_refused(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n"
        "\r\n4\r\nfour\r\n0\r\n\r\n",
        400);
    check_refused(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n"
        "\r\n4\r\nfour\r\n0\r\n\r\n",
        400);
  }

  // Its body would be passed on without the coding, as if it were complete.
  void response_with_another_transfer_coding_is_broken() {
    for (const std::string& coding :
         {std::string("gzip"), std::string("gzip, chunked"),
          std::string("chunked\r\nTransfer-Encoding: chunked"),
          std::string("chunked\r\nTransfer-Encoding: identity")}) {
      const seen_answer seen =
          ask("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                  "\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
              scripted_peer::ending::close);
      TRAYROCK_CHECK(seen.end == http1_end::broken,
                     "Transfer-Encoding: " << coding << ", expected a broken "
                                           << "response, seen " << seen.body);
    }
  }

  void response_that_is_cut_anywhere_is_broken() {
    for (const std::string& whole :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\nfour\r\n0\r\n\r\n")}) {
      for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        const seen_answer seen =
            ask(whole.substr(0, cut), scripted_peer::ending::close);
        TRAYROCK_CHECK(seen.end == http1_end::broken,
                       "expected a broken response, cut after " << cut);
      }
      CPPUNIT_ASSERT(ask(whole, scripted_peer::ending::close).end ==
                     http1_end::complete);
    }
  }

  // Guards against a response to HEAD that passes for a stream that was cut.
  void response_without_a_body_is_not_ended_by_its_connection() {
    for (const std::string& status :
         {std::string("204 No Content"), std::string("304 Not Modified")}) {
      const seen_answer seen = ask("HTTP/1.1 " + status + "\r\n\r\n",
                                   scripted_peer::ending::stay_open);
      CPPUNIT_ASSERT(seen.end == http1_end::complete);
      CPPUNIT_ASSERT_MESSAGE(status, seen.framing == body_framing::length);
    }
    pool_ = std::make_unique<http1_pool>(*loop_);
    const scripted_peer peer(*loop_, port_, "HTTP/1.1 200 OK\r\n\r\n",
                             scripted_peer::ending::stay_open);
    const seen_answer seen = send("HEAD");
    CPPUNIT_ASSERT(seen.end == http1_end::complete);
    CPPUNIT_ASSERT(seen.framing == body_framing::length);
  }

  void interim_response_is_not_the_response() {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    CPPUNIT_ASSERT(ask(interim, scripted_peer::ending::close).end ==
                   http1_end::broken);
    const seen_answer seen =
        ask(interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour",
            scripted_peer::ending::close);
    CPPUNIT_ASSERT(seen.end == http1_end::complete);
    CPPUNIT_ASSERT_EQUAL(std::string("four"), seen.body);
    CPPUNIT_ASSERT_EQUAL(1, seen.heads);
  }

  void response_reset_while_reading_is_paused_is_broken() {
    const scripted_peer peer(*loop_, port_, "HTTP/1.1 200 OK\r\n\r\npart of it",
                             scripted_peer::ending::reset);
    pool_ = std::make_unique<http1_pool>(*loop_);
    http1_call call;
    std::optional<http1_end> end;
    http1_observer observer;
    observer.on_head = [](const http1_answer_head&) { return true; };
    observer.on_body = [&](std::string_view) { call.pause_reading(); };
    observer.on_end = [&](http1_end how) {
      end = how;
      loop_->stop();
    };
    call = start(observer);
    const timer later =
        loop_->after(milliseconds(300), [&] { call.resume_reading(); });
    run_briefly();
    CPPUNIT_ASSERT(end == http1_end::broken);
  }

 private:
  raw_exchange respond_to_http_1_0(
      const std::function<void(const http1_exchange_ptr&)>& respond) {
    server_ = std::make_unique<http1_server>(
        *loop_, [] { return http1_limits(); },
        [&respond](const http1_request&, const http1_exchange_ptr& out) {
          respond(out);
        });
    CPPUNIT_ASSERT(server_->listen(local(port_)));
    raw_exchange seen;
    std::atomic<bool> done = false;
    std::jthread client([&] {
      seen = exchange_raw(port_, "GET /a HTTP/1.0\r\n\r\n", answer_seconds);
      done = true;
    });
    const timer watching = loop_->every(milliseconds(10), [&] {
      if (done) {
        loop_->stop();
      }
    });
    run_briefly();
    client.join();
    server_.reset();
    return seen;
  }

  // Two requests on a connection: what follows the first response's head has
  // to be the second response.
  void check_without_body(const std::string& method, int status) {
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [status](const http1_request& request, const http1_exchange_ptr& out) {
          if (request.target == "/second") {
            out->respond(200, {}, "second");
            return;
          }
          out->begin(status, {});
          out->write("body");
          out->finish();
        });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::string seen;
    std::atomic<bool> done = false;
    std::jthread client([&] {
      seen = send_raw(port_,
                      method +
                          " /first HTTP/1.1\r\nHost: a\r\n\r\n"
                          "GET /second HTTP/1.1\r\nHost: a\r\n"
                          "Connection: close\r\n\r\n",
                      answer_seconds);
      done = true;
    });
    const timer watching = loop_->every(milliseconds(10), [&] {
      if (done) {
        loop_->stop();
      }
    });
    run_briefly();
    client.join();
    const std::size_t head = seen.find("\r\n\r\n");
    TRAYROCK_CHECK(head != std::string::npos &&
                       seen.substr(head + 4).starts_with("HTTP/1.1 200"),
                   "expected two responses, seen " << seen);
    TRAYROCK_CHECK(
        seen.substr(0, head).find("Transfer-Encoding") == std::string::npos,
        "expected no body, seen " << seen);
  }

  // The client closes its half after each possible part of the request.
  void check_cut_requests(const std::string& whole) {
    served_ = 0;
    http1_server server(
        *loop_, [] { return http1_limits(); },
        [this](const http1_request&, const http1_exchange_ptr& out) {
          ++served_;
          out->respond(200, {}, "");
        });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::size_t connected = 0;
    std::atomic<bool> done = false;
    std::jthread client([&] {
      for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        connected += send_and_end(whole.substr(0, cut)) ? 1 : 0;
      }
      done = true;
    });
    const timer watching = loop_->every(milliseconds(10), [&] {
      if (done) {
        loop_->stop();
      }
    });
    run_briefly();
    client.join();
    CPPUNIT_ASSERT(done);
    CPPUNIT_ASSERT_EQUAL(whole.size() - 1, connected);
    CPPUNIT_ASSERT_EQUAL(0, served_);
  }

  // Returns once the server has ended the connection; false if there was none.
  bool send_and_end(const std::string& bytes) const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in where = loopback(port_);
    const bool connected =
        connect(socket, reinterpret_cast<const sockaddr*>(&where),
                sizeof(where)) == 0;
    ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(socket, SHUT_WR);
    char rest = 0;
    while (recv(socket, &rest, 1, 0) > 0) {
    }
    close(socket);
    return connected;
  }

  // Until the loop is stopped, or for the longest time that a test may take.
  void run_briefly() {
    const timer guard = loop_->after(longest_run, [this] { loop_->stop(); });
    loop_->run();
  }

  http1_call start(const http1_observer& observer) {
    http1_request request;
    request.method = "GET";
    request.target = "/";
    return pool_->start("127.0.0.1:" + std::to_string(port_), "life", request,
                        observer);
  }

  // Gives raw bytes to a server with tight limits and returns its answer.
  std::string serve(const std::string& bytes) {
    http1_limits limits;
    limits.max_header_bytes = 500;
    limits.max_body_bytes = 1000;
    limits.header_timeout = milliseconds(300);
    http1_server server(
        *loop_, [limits] { return limits; },
        [this](const http1_request& request, const http1_exchange_ptr& out) {
          ++served_;
          body_ = request.body;
          out->respond(200, {}, "served " + request.target);
        });
    CPPUNIT_ASSERT(server.listen(local(port_)));
    std::string seen;
    std::atomic<bool> done = false;
    std::jthread client([&] {
      seen = send_raw(port_, bytes, answer_seconds);
      done = true;
    });
    const timer watching = loop_->every(milliseconds(10), [&] {
      if (done) {
        loop_->stop();
      }
    });
    loop_->run();
    client.join();
    return seen;
  }

  void check_refused(const std::string& bytes, int status) {
    served_ = 0;
    const std::string seen = serve(bytes);
    TRAYROCK_CHECK(seen.starts_with("HTTP/1.1 " + std::to_string(status)),
                   "expected " << status << ", seen " << seen);
    CPPUNIT_ASSERT_EQUAL(0, served_);
  }

  seen_answer send(const std::string& method = "GET") {
    seen_answer seen;
    http1_request request;
    request.method = method;
    request.target = "/";
    http1_observer observer;
    observer.on_head = [&](const http1_answer_head& head) {
      ++seen.heads;
      seen.framing = head.framing;
      return head.headers.find("X-Of") != "before";
    };
    observer.on_body = [&](std::string_view bytes) { seen.body += bytes; };
    observer.on_end = [&](http1_end how) {
      seen.end = how;
      loop_->stop();
    };
    const http1_call call = pool_->start("127.0.0.1:" + std::to_string(port_),
                                         "life", request, observer);
    const timer guard = loop_->after(longest_run, [this] { loop_->stop(); });
    loop_->run();
    return seen;
  }

  seen_answer ask(const std::string& answer, scripted_peer::ending how) {
    pool_ = std::make_unique<http1_pool>(*loop_);
    const scripted_peer peer(*loop_, port_, answer, how);
    return send();
  }

  std::size_t connections_of_two(const std::string& answer) {
    pool_ = std::make_unique<http1_pool>(*loop_);
    const scripted_peer peer(*loop_, port_, answer,
                             scripted_peer::ending::stay_open);
    CPPUNIT_ASSERT(send().end == http1_end::complete);
    CPPUNIT_ASSERT(send().end == http1_end::complete);
    return peer.connections();
  }

  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<http1_server> server_;
  timer later_;
  std::unique_ptr<http1_pool> pool_;
  int port_ = 0;
  int served_ = 0;
  std::string body_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http1_test);

}  // namespace
}  // namespace trayrock::testing
