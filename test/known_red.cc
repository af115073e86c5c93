#include "known_red.h"

#include <fstream>
#include <sstream>

namespace trayrock::testing {

known_red known_red::parse(std::string_view text) {
  known_red made;
  std::istringstream lines{std::string(text)};
  std::string line;
  while (std::getline(lines, line)) {
    const std::string name = line.substr(0, line.find('|'));
    const std::size_t end = name.find_last_not_of(" \t");
    if (end != std::string::npos) {
      made.tests_.insert(name.substr(0, end + 1));
    }
  }
  return made;
}

known_red known_red::of_this_checkout() {
  const std::ifstream file(TRAYROCK_SOURCE "/KNOWN-RED.txt");
  std::ostringstream text;
  if (file) {
    text << file.rdbuf();
  }
  return parse(text.str());
}

std::string short_name_of(const std::string& full_name) {
  const std::size_t last = full_name.rfind("::");
  if (last == std::string::npos || last == 0) {
    return full_name;
  }
  const std::size_t before = full_name.rfind("::", last - 1);
  return before == std::string::npos ? full_name : full_name.substr(before + 2);
}

}  // namespace trayrock::testing
