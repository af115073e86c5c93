// Strict reading of JSON with comments, for settings and declarations.
//
// Every fault is collected with its number and the path of the key, so that
// a file's faults are all shown at once: unknown keys, wrong types, values
// out of range, missing keys.
//
// Example:
//   fault_list faults;
//   auto root = parse_json(text, settings_faults, faults);
//   strict_object top(root, "", settings_faults, faults);
//   std::string level = top.text_or("log_level", "info");
//   top.close();
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trayrock/errors.h"

namespace trayrock {

struct fault {
  errc code;
  std::string path;    // "limits/body_bytes", or "" for the whole file
  std::string detail;  // what was expected and what was seen
};
using fault_list = std::vector<fault>;

// Prints one fault as "1703 limits/body: unknown key (...)".
std::string describe(const fault& each);

// The numbers that a reader gives its faults.
struct fault_codes {
  errc syntax;
  errc unknown_key;
  errc wrong_type;
  errc out_of_range;
  errc missing_key;
};
extern const fault_codes settings_faults;
extern const fault_codes declaration_faults;

// Parses JSON in which // and /* */ comments are allowed; null on a fault.
nlohmann::json parse_json(std::string_view text, const fault_codes& codes,
                          fault_list& faults);

struct number_range {
  std::uint64_t low;
  std::uint64_t high;
};

// Reads one JSON object; close() reports unknown keys.
class strict_object {
 public:
  strict_object(const nlohmann::json& value, std::string path,
                const fault_codes& codes, fault_list& faults);

  std::string text(std::string_view key);
  std::string text_or(std::string_view key, std::string_view fallback);
  std::string choice(std::string_view key,
                     std::span<const std::string_view> allowed,
                     std::string_view fallback);
  std::uint64_t number(std::string_view key, number_range range);
  std::uint64_t number_or(std::string_view key, number_range range,
                          std::uint64_t fallback);
  double real_or(std::string_view key, double low, double high,
                 double fallback);
  bool flag_or(std::string_view key, bool fallback);
  std::vector<std::string> texts_or_empty(std::string_view key);

  // Reads a nested object when the key is there.
  void object(std::string_view key,
              const std::function<void(strict_object&)>& read);

  bool has(std::string_view key) const;

  // Takes the key as read, whatever it holds.
  void ignore(std::string_view key) { asked_.emplace(key); }

  std::string path_of(std::string_view key) const;
  void add_fault(errc code, std::string_view key, std::string detail);

  void close();

 private:
  const nlohmann::json* find(std::string_view key);

  nlohmann::json value_;
  std::string path_;
  const fault_codes& codes_;
  fault_list& faults_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace trayrock
