// An IP number with a port, as written in settings: "127.0.0.1:7000".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "trayrock/result.h"

namespace trayrock {

class address {
 public:
  address() = default;

  // Accepts "A.B.C.D:PORT" only; host names are not looked up.
  // Errors: errc::settings_out_of_range.
  static result<address> parse(std::string_view text);

  const std::string& host() const { return host_; }
  std::uint16_t port() const { return port_; }
  std::string text() const { return host_ + ":" + std::to_string(port_); }

 private:
  std::string host_;
  std::uint16_t port_ = 0;
};

}  // namespace trayrock
