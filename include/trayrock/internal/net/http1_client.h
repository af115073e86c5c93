// HTTP/1.1 client of the endpoints, with the details that a proxy needs and
// evhttp's client hides.
//
// A pool keeps connections by peer, with one request at a time on each. For
// requests that may run only once, it distinguishes whether the connection was
// established, whether a response without a length ended by a close or a reset,
// and responses to an earlier request. Nothing is resent. A connection is not
// reused after anything unexpected. What a peer may send in reply to a request
// is bounded: 16 interim responses, 16 responses to earlier requests, and 64 MB
// of bodies; beyond that the request ends as broken.
//
// Example:
//   http1_pool pool(loop);
//   http1_call call = pool.start(peer, endpoint_id, request, observer);
//   call.cancel();  // closes the connection under it
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "trayrock/internal/net/address.h"
#include "trayrock/internal/net/header_list.h"
#include "trayrock/internal/net/http1_server.h"
#include "trayrock/internal/net/loop.h"

namespace trayrock {

// How a body says where it ends.
enum class body_framing {
  length,  // also: it has no body, and ends with its head
  chunks,
  connection,  // neither: at the end of its connection
};

struct http1_answer_head {
  int status = 0;
  header_list headers;
  body_framing framing = body_framing::length;
};

enum class http1_end {
  complete,
  never_sent,  // no connection was established: the peer can't have run it
  broken,      // sent, and the response is incomplete
};

// Callbacks of a request. on_end is called exactly once, and last, unless the
// call is cancelled.
struct http1_observer {
  // Returns false for a response to an earlier request, which is then skipped.
  std::function<bool(const http1_answer_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(http1_end)> on_end;
  // May be empty. Called once the whole request has left the process; not
  // called if the call ends before.
  std::function<void()> on_sent;
};

// Handle of a running request; dropping it cancels the request.
class http1_call {
 public:
  http1_call() = default;
  void cancel() { held_.reset(); }

  // Stops reading the response. Bytes that this process has read already are
  // still passed on. The end of the connection is noticed after resuming.
  void pause_reading();
  void resume_reading();

  struct canceller;

 private:
  friend class http1_pool;
  std::shared_ptr<canceller> held_;
};

class http1_pool {
 public:
  // Told of each new connection.
  using connect_observer = std::function<void(std::string_view peer)>;

  explicit http1_pool(event_loop& loop);
  http1_pool(const http1_pool&) = delete;
  http1_pool& operator=(const http1_pool&) = delete;
  ~http1_pool();

  // `owner` keeps connections of different lives of one address apart.
  http1_call start(const std::string& peer, std::string_view owner,
                   const http1_request& request, http1_observer observer);

  // Closes the idle connections of a peer's life.
  void forget(const std::string& peer, std::string_view owner);

  // True when a request to the peer would need no new connection.
  bool has_idle(const std::string& peer, std::string_view owner) const;

  void on_connect(connect_observer observer);

  // Connections to the peer, idle ones included.
  std::size_t connections(const std::string& peer,
                          std::string_view owner) const;

  struct impl;

 private:
  std::shared_ptr<impl> impl_;
};

}  // namespace trayrock
