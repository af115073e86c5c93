#include "trayrock/internal/net/header_list.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace trayrock {
namespace {

constexpr std::array<std::string_view, 9> hop_by_hop{
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Upgrade",
    "Trailer",    "Content-Length",    "Expect"};

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

bool same_name(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

void header_list::remove(std::string_view name) {
  std::erase_if(fields_, [name](const header_field& each) {
    return same_name(each.name, name);
  });
}

std::string_view header_list::find(std::string_view name) const {
  for (const header_field& each : fields_) {
    if (same_name(each.name, name)) {
      return each.value;
    }
  }
  return {};
}

bool header_list::has(std::string_view name) const {
  return std::any_of(
      fields_.begin(), fields_.end(),
      [name](const header_field& each) { return same_name(each.name, name); });
}

std::size_t header_list::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [name](const header_field& each) { return same_name(each.name, name); }));
}

bool header_list::has_only_chunked_coding() const {
  constexpr std::string_view name = "Transfer-Encoding";
  return !has(name) ||
         (count(name) == 1 && same_name(trim(find(name)), "chunked"));
}

void header_list::remove_hop_by_hop() {
  std::vector<std::string> named;
  for (const header_field& each : fields_) {
    if (!same_name(each.name, "Connection")) {
      continue;
    }
    std::string_view rest = each.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      named.emplace_back(trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  for (const std::string& each : named) {
    remove(each);
  }
  for (const std::string_view each : hop_by_hop) {
    remove(each);
  }
}

void header_collector::add_name(header_list& to, std::string_view piece) {
  auto& fields = to.fields();
  if (fields.empty() || last_was_value_) {
    fields.emplace_back();
  }
  fields.back().name.append(piece);
  last_was_value_ = false;
}

void header_collector::add_value(header_list& to, std::string_view piece) {
  to.fields().back().value.append(piece);
  last_was_value_ = true;
}

}  // namespace trayrock
