#include "received_response.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace trayrock::testing {
namespace {

constexpr std::string_view version = "HTTP/1.1 ";

std::map<std::string, std::string> parse_headers(const std::string& head) {
  std::map<std::string, std::string> made;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char each) { return std::tolower(each); });
    std::string value = line.substr(colon + 2);
    if (value.ends_with('\r')) {
      value.pop_back();
    }
    made[name] = value;
  }
  return made;
}

// Joins the chunks; what is behind the last one is surplus.
void read_chunks(std::string_view bytes, received_response& into) {
  while (true) {
    const std::size_t line = bytes.find("\r\n");
    if (line == std::string_view::npos) {
      return;
    }
    std::size_t size = 0;
    const auto [end, code] =
        std::from_chars(bytes.data(), bytes.data() + line, size, 16);
    if (code != std::errc() || end != bytes.data() + line) {
      into.malformed = true;
      return;
    }
    bytes.remove_prefix(line + 2);
    into.body.append(bytes.substr(0, size));
    if (bytes.size() < size + 2) {
      return;
    }
    if (bytes.substr(size, 2) != "\r\n") {
      into.malformed = true;
      return;
    }
    bytes.remove_prefix(size + 2);
    if (size == 0) {
      into.complete = true;
      into.surplus = bytes;
      return;
    }
  }
}

void read_length(std::string_view bytes, const std::string& announced,
                 received_response& into) {
  const std::size_t length = std::strtoull(announced.c_str(), nullptr, 10);
  into.body = bytes.substr(0, length);
  into.complete = bytes.size() >= length;
  into.surplus = bytes.substr(into.body.size());
}

}  // namespace

std::string received_response::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

received_response parse_response(const std::string& bytes, bool closed) {
  received_response made;
  made.malformed =
      !std::string_view(bytes).starts_with(version.substr(0, bytes.size()));
  const std::size_t head = bytes.find("\r\n\r\n");
  if (made.malformed || head == std::string::npos) {
    return made;
  }
  made.status = std::atoi(bytes.c_str() + version.size());
  made.headers = parse_headers(bytes.substr(0, head));
  const std::string_view rest = std::string_view(bytes).substr(head + 4);
  const bool chunked = made.headers.contains("transfer-encoding");
  const bool sized = made.headers.contains("content-length");
  if (chunked && sized) {
    made.malformed = true;
  } else if (chunked) {
    read_chunks(rest, made);
  } else if (sized) {
    read_length(rest, made.header("content-length"), made);
  } else {
    made.body = rest;
    const bool stream = made.header("content-type") == "text/event-stream";
    made.complete = closed && (!stream || made.body.ends_with("\n\n"));
  }
  return made;
}

}  // namespace trayrock::testing
