// Which instance of an endpoint is meant: its id and when it was started.
//
// An endpoint may start again under the id that it had. It then holds and knows
// nothing of before, so that whatever was learnt of it belongs to one instance:
// its health, its requests, what it has cached, reports of others.
//
// Example:
//   const endpoint_identity known{"runner-1", 1764720000000};
//   if (listed.is_newer_than(known)) forget(known);
#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace trayrock {

struct endpoint_identity {
  std::string id;
  // Unix milliseconds of the instance's start; 0: not told, which counts as
  // older than any start that is.
  std::uint64_t started_ms = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): inside of the generated operator
  auto operator<=>(const endpoint_identity&) const = default;

  bool empty() const { return id.empty(); }

  // A later instance under the same id.
  bool is_newer_than(const endpoint_identity& other) const {
    return id == other.id && started_ms > other.started_ms;
  }

  // "ID@STARTED", or the id alone; parse() is its reverse.
  std::string text() const {
    return started_ms == 0 ? id : id + "@" + std::to_string(started_ms);
  }

  static endpoint_identity parse(std::string_view text) {
    const std::size_t at = text.rfind('@');
    if (at == std::string_view::npos) {
      return {std::string(text), 0};
    }
    const std::string_view digits = text.substr(at + 1);
    std::uint64_t started = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), started);
    const bool whole = error == std::errc() && started != 0 &&
                       end == digits.data() + digits.size();
    return whole ? endpoint_identity{std::string(text.substr(0, at)), started}
                 : endpoint_identity{std::string(text), 0};
  }
};

}  // namespace trayrock
