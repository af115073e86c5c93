// Identifies one instance of an endpoint by its id and its start time.
//
// An endpoint may restart under the same id with empty state. Its health,
// requests, cache contents and reported failures therefore belong to one
// instance and must not carry over to the next.
//
// Example:
//   const endpoint_identity known{"runner-1", 1764720000000};
//   if (listed.is_newer_than(known)) erase(known);
#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace trayrock {

struct endpoint_identity {
  std::string id;
  // Unix milliseconds of the instance's start; 0: unknown, which compares as
  // older than any known start.
  std::uint64_t started_ms = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): within the generated operator
  auto operator<=>(const endpoint_identity&) const = default;

  bool empty() const { return id.empty(); }

  // True if this is a later instance under the same id.
  bool is_newer_than(const endpoint_identity& other) const {
    return id == other.id && started_ms > other.started_ms;
  }

  // "ID@STARTED", or the id alone if the start is unknown; reverse of parse().
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
    const bool complete = error == std::errc() && started != 0 &&
                          end == digits.data() + digits.size();
    return complete
               ? endpoint_identity{std::string(text.substr(0, at)), started}
               : endpoint_identity{std::string(text), 0};
  }
};

struct endpoint_identity_hash {
  std::size_t operator()(const endpoint_identity& of) const {
    return std::hash<std::string>()(of.id) + of.started_ms;
  }
};

}  // namespace trayrock
