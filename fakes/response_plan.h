// How a stand-in sends a response: its framing, where it breaks off, and what
// follows it.
//
// Example:
//   response_plan plan;
//   plan.framing = response_framing::connection;
//   plan.stop_at = 40;
//   response_writer::start(loop, connection,
//                          {.status = 200, .headers = headers, .pieces =
//                          events,
//                           .pause = milliseconds(5)},
//                          plan);
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "raw_http_server.h"

namespace trayrock::fakes {

enum class response_framing {
  length,
  chunks,
  connection,  // neither: ends with its connection
};

enum class response_end {
  complete,
  closed,  // the connection, without an error
  reset,
  silent,  // nothing more is sent, and the connection is kept
};

struct response_plan {
  static constexpr std::size_t never = std::numeric_limits<std::size_t>::max();

  response_framing framing = response_framing::length;
  response_end end = response_end::complete;
  std::size_t stop_at = never;  // bytes of the body that are sent before `end`
  std::string surplus;          // sent behind the complete response
  milliseconds surplus_delay{0};
  bool last_of_connection = false;  // announced and closed
};

struct response_content {
  int status = 0;
  header_list headers;
  std::vector<std::string> pieces;  // of the body
  milliseconds pause{0};            // between the pieces
  bool without_body = false;        // of a HEAD request
};

class response_writer : public std::enable_shared_from_this<response_writer> {
 public:
  // Sends the response and ends its request.
  static void start(event_loop& loop, const raw_connection_ptr& to,
                    response_content content, response_plan plan);

  response_writer(event_loop& loop, raw_connection_ptr to,
                  response_content content, response_plan plan);

 private:
  void send_head();
  void send_next();
  void send_body(std::string_view bytes);
  void complete();
  void break_off();

  event_loop& loop_;
  raw_connection_ptr to_;
  response_content content_;
  response_plan plan_;
  std::size_t next_ = 0;  // piece
  std::size_t sent_ = 0;  // bytes of the body
  timer timer_;
};

// As start(), with a body of one piece and its length.
void respond(event_loop& loop, const raw_connection_ptr& to, int status,
             std::string_view body, const header_list& headers = {});

}  // namespace trayrock::fakes
