#include "trayrock/internal/net/http1_section.h"

namespace trayrock {
namespace {

constexpr std::string_view version = "HTTP/1.";
constexpr int status_length = 3;
constexpr int least_status = 100;
constexpr int greatest_status = 599;

bool is_digit(char byte) { return byte >= '0' && byte <= '9'; }

// `tchar` of RFC 9110, 5.6.2.
bool is_token_byte(char byte) {
  constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return is_digit(byte) || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         others.find(byte) != std::string_view::npos;
}

// HTAB, SP, VCHAR and obs-text: what values and reason phrases consist of.
bool is_text_byte(char byte) {
  constexpr unsigned char first_visible = 0x20;
  constexpr unsigned char del = 0x7f;
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= first_visible && code != del);
}

}  // namespace

std::size_t http1_section::read(std::string_view bytes) {
  std::size_t length = 0;
  while (length < bytes.size() && !ended() && !malformed()) {
    state_ = after(bytes[length]);
    length += malformed() ? 0 : 1;
  }
  return length;
}

http1_section::state http1_section::after(char byte) {
  switch (state_) {
    case state::version:
      return after_version(byte);
    case state::minor_version:
      return is_digit(byte) ? state::status_space : state::malformed;
    case state::status_space:
      return byte == ' ' ? state::status : state::malformed;
    case state::status:
      return after_status(byte);
    case state::reason_space:
      return byte == ' ' ? state::reason : state::malformed;
    case state::reason:
    case state::value:
      if (byte == '\r') {
        return state::line_feed;
      }
      return is_text_byte(byte) ? state_ : state::malformed;
    case state::line_feed:
      return byte == '\n' ? state::line_start : state::malformed;
    case state::line_start:
      if (byte == '\r') {
        return state::last_line_feed;
      }
      return is_token_byte(byte) ? state::name : state::malformed;
    case state::name:
      if (byte == ':') {
        return state::value;
      }
      return is_token_byte(byte) ? state::name : state::malformed;
    case state::last_line_feed:
      return byte == '\n' ? state::ended : state::malformed;
    case state::ended:
    case state::malformed:
      break;
  }
  return state::malformed;
}

http1_section::state http1_section::after_version(char byte) {
  if (byte != version[version_bytes_]) {
    return state::malformed;
  }
  return ++version_bytes_ < version.size() ? state::version
                                           : state::minor_version;
}

http1_section::state http1_section::after_status(char byte) {
  constexpr int base = 10;
  if (!is_digit(byte)) {
    return state::malformed;
  }
  status_ = status_ * base + (byte - '0');
  if (++status_digits_ < status_length) {
    return state::status;
  }
  return status_ >= least_status && status_ <= greatest_status
             ? state::reason_space
             : state::malformed;
}

}  // namespace trayrock
