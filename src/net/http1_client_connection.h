// One connection of an http1_pool to an endpoint, and what the connections of
// a pool share.
//
// bufferevent carries the bytes, http_parser reads them. Heads and trailers are
// checked by http1_section first. A connection carries one request at a time.
// After a whole answer it waits in the pool for the next one, for less than the
// time after which the endpoint would close it.
//
// Example (in the pool):
//   auto made = std::make_shared<http1_client_connection>(pool, loop, key);
//   if (made->open(peer)) {
//     made->start({bytes, false, observer});
//   }
#pragma once

#include <event2/bufferevent.h>
#include <http_parser.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "trayrock/internal/net/http1_client.h"
#include "trayrock/internal/net/http1_section.h"

namespace trayrock {
namespace internal {
class http1_client_connection;
}

// What the connections of one pool share.
struct http1_pool::impl : std::enable_shared_from_this<http1_pool::impl> {
  explicit impl(event_loop& loop_in) : loop(loop_in) {}

  // A connection that waits for a request; nullptr if there is none.
  std::shared_ptr<internal::http1_client_connection> take_idle(
      const std::string& key);

  // A new connection; nullptr if it can not even be begun.
  std::shared_ptr<internal::http1_client_connection> open(
      const std::string& key, const std::string& peer);

  struct peer_connections {
    std::vector<std::shared_ptr<internal::http1_client_connection>> idle;
    std::unordered_set<std::shared_ptr<internal::http1_client_connection>> all;
  };

  event_loop& loop;
  connect_observer connected;
  std::unordered_map<std::string, peer_connections> peers;
};

namespace internal {

// A pending request and its callbacks.
struct running_call {
  std::string bytes;  // head and body, until they are sent
  bool head_request = false;
  http1_observer observer;
};

// One connection to an endpoint.
class http1_client_connection
    : public std::enable_shared_from_this<http1_client_connection> {
 public:
  http1_client_connection(std::weak_ptr<http1_pool::impl> pool,
                          event_loop& loop, std::string key)
      : pool_(std::move(pool)), loop_(loop), key_(std::move(key)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }
  http1_client_connection(const http1_client_connection&) = delete;
  http1_client_connection& operator=(const http1_client_connection&) = delete;
  ~http1_client_connection() {
    if (bev_ != nullptr) {
      bufferevent_free(bev_);
    }
  }

  bool open(const address& peer);
  void start(running_call call);

  // Closes without telling the request's owner.
  void drop();

  // The running call's, until it ends.
  void pause_reading();
  void resume_reading();

  // The connection may carry another request.
  bool usable() const { return !dead_ && call_ == nullptr; }

 private:
  static http1_client_connection& self(void* context) {
    return *static_cast<http1_client_connection*>(context);
  }
  static http1_client_connection& self(http_parser* parser) {
    return self(parser->data);
  }
  static const http_parser_settings& parser_settings();

  void send_request();
  void end(http1_end how);
  void message_done();
  void rest();
  void read();
  // Returns false for bytes that are no response. `used` is how many were read.
  bool execute(std::string_view bytes, std::size_t& used);

  static int on_begin(http_parser* parser);
  static int on_field(http_parser* parser, const char* at, std::size_t length);
  static int on_value(http_parser* parser, const char* at, std::size_t length);
  static int on_headers(http_parser* parser);
  static int on_chunk(http_parser* parser);
  static int on_body(http_parser* parser, const char* at, std::size_t length);
  static int on_message(http_parser* parser);
  static void on_readable(bufferevent*, void* context);
  static void on_written(bufferevent*, void* context);
  static void on_event(bufferevent*, short what, void* context);

  std::weak_ptr<http1_pool::impl> pool_;
  event_loop& loop_;
  std::string key_;
  bufferevent* bev_ = nullptr;
  http_parser parser_{};
  // The one that is being read, or was last.
  http1_section section_ = http1_section::response_head();
  std::unique_ptr<running_call> call_;
  http1_answer_head head_;
  header_collector collector_;
  // Of all responses to the running call.
  unsigned interim_responses_ = 0;
  unsigned surplus_responses_ = 0;
  std::size_t body_bytes_ = 0;
  bool connected_ = false;
  bool dead_ = false;
  bool skipping_ = false;
  bool interim_ = false;
  bool message_done_ = false;
  bool reusable_ = false;
  bool paused_ = false;
  timer guard_;
};

}  // namespace internal
}  // namespace trayrock
