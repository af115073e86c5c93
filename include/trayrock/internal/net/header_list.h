// HTTP headers in the order in which they came, names without regard to case.
//
// Example:
//   header_list headers;
//   headers.add("Retry-After", "0.2");
//   headers.find("retry-after");  // "0.2"
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace trayrock {

struct header_field {
  std::string name;
  std::string value;
};

class header_list {
 public:
  void add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }

  // Replaces every field of the name by one.
  void set(std::string_view name, std::string_view value) {
    remove(name);
    add(name, value);
  }

  void remove(std::string_view name);

  // The first field's value, or an empty view.
  std::string_view find(std::string_view name) const;

  // True when a field of the name is there, also an empty one.
  bool has(std::string_view name) const;

  // How many fields of the name there are.
  std::size_t count(std::string_view name) const;

  // True unless a Transfer-Encoding other than chunks is there. Bodies with
  // further codings can't be passed on as they are.
  bool has_only_chunked_coding() const;

  // Removes the fields that concern one connection only, and those that the
  // Connection header names.
  void remove_hop_by_hop();

  const std::vector<header_field>& fields() const { return fields_; }
  std::vector<header_field>& fields() { return fields_; }

 private:
  std::vector<header_field> fields_;
};

// Puts fields together that a parser hands over in pieces.
class header_collector {
 public:
  // For a new list, which must be empty.
  void restart() { last_was_value_ = false; }

  void add_name(header_list& to, std::string_view piece);

  // A piece of a name must have come before.
  void add_value(header_list& to, std::string_view piece);

 private:
  bool last_was_value_ = false;
};

// True when the names are equal without regard to case.
bool same_name(std::string_view left, std::string_view right);

}  // namespace trayrock
