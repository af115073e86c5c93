#include "trayrock/internal/settings/strict_json.h"

#include <algorithm>

namespace trayrock {

const fault_codes settings_faults{
    errc::settings_syntax, errc::settings_unknown_key,
    errc::settings_wrong_type, errc::settings_out_of_range,
    errc::settings_missing_key};

const fault_codes declaration_faults{
    errc::declaration_syntax, errc::declaration_unknown_key,
    errc::declaration_wrong_type, errc::declaration_out_of_range,
    errc::declaration_missing_key};

std::string describe(const fault& each) {
  const std::error_code code = each.code;
  std::string line = std::to_string(code.value());
  line += " " + (each.path.empty() ? std::string("(file)") : each.path);
  line += ": " + code.message();
  if (!each.detail.empty()) {
    line += " (" + each.detail + ")";
  }
  return line;
}

nlohmann::json parse_json(std::string_view text, const fault_codes& codes,
                          fault_list& faults) {
  try {
    return nlohmann::json::parse(text, nullptr, true, true);
  } catch (const nlohmann::json::parse_error& error) {
    faults.push_back({codes.syntax, "", error.what()});
    return nullptr;
  }
}

strict_object::strict_object(const nlohmann::json& value, std::string path,
                             const fault_codes& codes, fault_list& faults)
    : value_(value), path_(std::move(path)), codes_(codes), faults_(faults) {
  if (!value_.is_object()) {
    if (!value_.is_null()) {
      faults_.push_back({codes_.wrong_type, path_, "expected an object"});
    }
    value_ = nlohmann::json::object();
  }
}

std::string strict_object::path_of(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "/" + std::string(key);
}

void strict_object::add_fault(errc code, std::string_view key,
                              std::string detail) {
  faults_.push_back({code, path_of(key), std::move(detail)});
}

bool strict_object::has(std::string_view key) const {
  return value_.contains(key);
}

const nlohmann::json* strict_object::find(std::string_view key) {
  asked_.emplace(key);
  const auto found = value_.find(key);
  return found == value_.end() ? nullptr : &*found;
}

std::string strict_object::text(std::string_view key) {
  if (find(key) == nullptr) {
    add_fault(codes_.missing_key, key, "expected a string");
    return {};
  }
  return text_or(key, "");
}

std::string strict_object::text_or(std::string_view key,
                                   std::string_view fallback) {
  const nlohmann::json* value = find(key);
  if (value == nullptr) {
    return std::string(fallback);
  }
  if (!value->is_string()) {
    add_fault(codes_.wrong_type, key,
              std::string("expected a string, seen ") + value->type_name());
    return std::string(fallback);
  }
  return value->get<std::string>();
}

std::string strict_object::choice(std::string_view key,
                                  std::span<const std::string_view> allowed,
                                  std::string_view fallback) {
  std::string chosen = text_or(key, fallback);
  if (std::find(allowed.begin(), allowed.end(), chosen) == allowed.end()) {
    std::string detail = "seen \"" + chosen + "\", allowed:";
    for (const std::string_view each : allowed) {
      detail.append(" ").append(each);
    }
    add_fault(codes_.out_of_range, key, detail);
    return std::string(fallback);
  }
  return chosen;
}

std::uint64_t strict_object::number(std::string_view key, number_range range) {
  if (find(key) == nullptr) {
    add_fault(codes_.missing_key, key, "expected a number");
    return range.low;
  }
  return number_or(key, range, range.low);
}

std::uint64_t strict_object::number_or(std::string_view key, number_range range,
                                       std::uint64_t fallback) {
  const nlohmann::json* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number_integer()) {
    add_fault(
        codes_.wrong_type, key,
        std::string("expected a whole number, seen ") + value->type_name());
    return fallback;
  }
  const bool negative =
      !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
  const auto seen = negative ? 0 : value->get<std::uint64_t>();
  if (negative || seen < range.low || seen > range.high) {
    add_fault(codes_.out_of_range, key,
              "seen " + value->dump() + ", allowed " +
                  std::to_string(range.low) + " to " +
                  std::to_string(range.high));
    return fallback;
  }
  return seen;
}

double strict_object::real_or(std::string_view key, double low, double high,
                              double fallback) {
  const nlohmann::json* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number()) {
    add_fault(codes_.wrong_type, key,
              std::string("expected a number, seen ") + value->type_name());
    return fallback;
  }
  const auto seen = value->get<double>();
  if (seen < low || seen > high) {
    add_fault(codes_.out_of_range, key,
              "seen " + value->dump() + ", allowed " + std::to_string(low) +
                  " to " + std::to_string(high));
    return fallback;
  }
  return seen;
}

bool strict_object::flag_or(std::string_view key, bool fallback) {
  const nlohmann::json* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    add_fault(
        codes_.wrong_type, key,
        std::string("expected true or false, seen ") + value->type_name());
    return fallback;
  }
  return value->get<bool>();
}

std::vector<std::string> strict_object::texts_or_empty(std::string_view key) {
  const nlohmann::json* value = find(key);
  std::vector<std::string> made;
  if (value == nullptr) {
    return made;
  }
  if (!value->is_array()) {
    add_fault(codes_.wrong_type, key, "expected an array of strings");
    return made;
  }
  for (const nlohmann::json& each : *value) {
    if (!each.is_string()) {
      add_fault(codes_.wrong_type, key, "expected an array of strings");
      return made;
    }
    made.push_back(each.get<std::string>());
  }
  return made;
}

void strict_object::object(std::string_view key,
                           const std::function<void(strict_object&)>& read) {
  const nlohmann::json* value = find(key);
  strict_object child(value == nullptr ? nlohmann::json(nullptr) : *value,
                      path_of(key), codes_, faults_);
  read(child);
  child.close();
}

void strict_object::close() {
  for (const auto& [key, value] : value_.items()) {
    if (!asked_.contains(key)) {
      add_fault(codes_.unknown_key, key, "");
    }
  }
}

}  // namespace trayrock
