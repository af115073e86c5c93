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
  constexpr unsigned char rubout = 0x7f;
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= first_visible && code != rubout);
}

}  // namespace

std::size_t http1_section::read(std::string_view bytes) {
  std::size_t length = 0;
  while (length < bytes.size() && !ended() && !malformed()) {
    next_ = after(bytes[length]);
    length += malformed() ? 0 : 1;
  }
  return length;
}

http1_section::expected http1_section::after(char byte) {
  switch (next_) {
    case expected::version:
      return after_version(byte);
    case expected::minor_version:
      return is_digit(byte) ? expected::status_space : expected::no_fit;
    case expected::status_space:
      return byte == ' ' ? expected::status : expected::no_fit;
    case expected::status:
      return after_status(byte);
    case expected::reason_space:
      return byte == ' ' ? expected::reason : expected::no_fit;
    case expected::reason:
    case expected::value:
      if (byte == '\r') {
        return expected::line_feed;
      }
      return is_text_byte(byte) ? next_ : expected::no_fit;
    case expected::line_feed:
      return byte == '\n' ? expected::line_start : expected::no_fit;
    case expected::line_start:
      if (byte == '\r') {
        return expected::last_line_feed;
      }
      return is_token_byte(byte) ? expected::name : expected::no_fit;
    case expected::name:
      if (byte == ':') {
        return expected::value;
      }
      return is_token_byte(byte) ? expected::name : expected::no_fit;
    case expected::last_line_feed:
      return byte == '\n' ? expected::nothing : expected::no_fit;
    case expected::nothing:
    case expected::no_fit:
      break;
  }
  return expected::no_fit;
}

http1_section::expected http1_section::after_version(char byte) {
  if (byte != version[version_bytes_]) {
    return expected::no_fit;
  }
  return ++version_bytes_ < version.size() ? expected::version
                                           : expected::minor_version;
}

http1_section::expected http1_section::after_status(char byte) {
  constexpr int base = 10;
  if (!is_digit(byte)) {
    return expected::no_fit;
  }
  status_ = status_ * base + (byte - '0');
  if (++status_digits_ < status_length) {
    return expected::status;
  }
  return status_ >= least_status && status_ <= greatest_status
             ? expected::reason_space
             : expected::no_fit;
}

}  // namespace trayrock
