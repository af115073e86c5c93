// Checks the bytes of a response's head, or of a trailer section, against the
// grammar of RFC 9112 (2.1, 4, 5.1, 7.1.2) as they arrive. http_parser accepts
// more, such as any number as a status and blanks in the names of fields; a
// reader hands it only bytes that were checked here.
//
// Of what a recipient may accept beyond the grammar, nothing is: a line ends in
// CRLF, no line is continued (5.2), and a status has three digits from 100 to
// 599 (RFC 9110, 15). Any minor version of HTTP/1 is accepted.
//
// Example:
//   http1_section section = http1_section::response_head();
//   const std::size_t length = section.read(bytes);  // of them in the section
//   if (section.malformed()) close();
//   if (section.ended()) read_body(bytes.substr(length));
#pragma once

#include <cstddef>
#include <string_view>

namespace trayrock {

class http1_section {
 public:
  // A status line and its fields.
  static http1_section response_head() { return http1_section(state::version); }

  // The fields behind the last chunk of a body.
  static http1_section trailers() { return http1_section(state::line_start); }

  // Reads up to the end of the section or the first byte that does not fit.
  // Returns how many bytes belong to the section.
  std::size_t read(std::string_view bytes);

  // The empty line at the end of the section was read.
  bool ended() const { return state_ == state::ended; }

  // A byte did not fit; no further byte is read.
  bool malformed() const { return state_ == state::malformed; }

 private:
  // What the next byte belongs to, unless the section is over.
  enum class state {
    version,  // "HTTP/1."
    minor_version,
    status_space,
    status,
    reason_space,
    reason,
    line_feed,
    line_start,
    name,
    value,
    last_line_feed,
    ended,
    malformed
  };

  explicit http1_section(state first) : state_(first) {}

  state after(char byte);
  state after_version(char byte);
  state after_status(char byte);

  state state_;
  std::size_t version_bytes_ = 0;
  int status_digits_ = 0;
  int status_ = 0;
};

}  // namespace trayrock
