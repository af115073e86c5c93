#include "trayrock/internal/net/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace trayrock {

result<address> address::parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return errc::settings_out_of_range;
  }
  address made;
  made.host_ = std::string(text.substr(0, colon));
  in_addr number{};
  if (inet_pton(AF_INET, made.host_.c_str(), &number) != 1) {
    return errc::settings_out_of_range;
  }
  const std::string_view digits = text.substr(colon + 1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), made.port_);
  const bool whole = parsed.ptr == digits.data() + digits.size();
  if (parsed.ec != std::errc() || !whole || made.port_ == 0) {
    return errc::settings_out_of_range;
  }
  return made;
}

}  // namespace trayrock
