// The tests that are known to fail for a real fault: KNOWN-RED.txt at the root.
//
// One line each: the test (binary::case), command and seed, what was seen, and
// the open issue, separated by '|' (checked by tools/check).
//
// Example:
//   const known_red known = known_red::parse(text);
//   if (known.names("path_test::all_is_served")) pass_over();
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace trayrock::testing {

class known_red {
 public:
  static known_red parse(std::string_view text);

  // The file of this checkout; none is the same as an empty one.
  static known_red of_this_checkout();

  bool names(const std::string& test) const { return tests_.contains(test); }

 private:
  std::set<std::string> tests_;
};

// "binary::case" of a test's full name, which has the namespaces before it.
std::string short_name_of(const std::string& full_name);

}  // namespace trayrock::testing
