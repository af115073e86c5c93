// The docs name what the code has: errors, settings, declared keys.
#include <algorithm>
#include <fstream>
#include <sstream>

#include "test_support.h"
#include "trayrock/errors.h"
#include "trayrock/internal/settings/service_settings.h"
#include "trayrock/internal/settings/settings.h"

namespace trayrock::testing {
namespace {

std::string read_document(const std::string& name) {
  std::ifstream file(std::string(TRAYROCK_SOURCE) + "/docs/" + name);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

class documents_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(documents_test);
  CPPUNIT_TEST(every_error_is_in_the_table);
  CPPUNIT_TEST(settings_in_the_docs_are_accepted);
  CPPUNIT_TEST(gateway_and_store_settings_in_the_docs_are_accepted);
  CPPUNIT_TEST(stop_limit_may_be_a_fraction_of_seconds);
  CPPUNIT_TEST(memory_limit_is_optional_and_whole);
  CPPUNIT_TEST(every_fault_of_a_settings_file_is_listed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_error_is_in_the_table() {
    const std::string page = read_document("ERRORS.md");
    for (const error_row& row : error_table()) {
      const std::error_code code = row.code;
      const std::string line = "| " + std::to_string(code.value()) + " | " +
                               std::to_string(row.http_status) + " | " +
                               code.message() + " |";
      TRAYROCK_CHECK(page.find(line) != std::string::npos,
                     "expected in ERRORS.md: " << line);
    }
  }

  void settings_in_the_docs_are_accepted() {
    const std::string page = read_document("SETTINGS.md");
    fault_list faults;
    read_node_settings(block(page, "node"), faults);
    read_entry_settings(block(page, "entry"), faults);
    TRAYROCK_CHECK(faults.empty(), describe(faults.front()));
  }

  void gateway_and_store_settings_in_the_docs_are_accepted() {
    const std::string page = read_document("SETTINGS.md");
    fault_list faults;
    read_gateway_settings(block(page, "gateway and store"), faults);
    TRAYROCK_CHECK(faults.empty(), describe(faults.front()));
    const std::size_t store = page.find("// A record store.");
    read_store_settings(block(page, "gateway and store", store - 16), faults);
    TRAYROCK_CHECK(faults.empty(), describe(faults.front()));
  }

  // A platform that allowed 4.5 s used to get the process refused at start.
  void stop_limit_may_be_a_fraction_of_seconds() {
    std::string text = block(read_document("SETTINGS.md"), "gateway and store");
    const std::string whole = "\"stop_limit_s\": 8";
    text.replace(text.find(whole), whole.size(), "\"stop_limit_s\": 4.5");
    fault_list faults;
    const gateway_settings read = read_gateway_settings(text, faults);
    TRAYROCK_CHECK(faults.empty(), describe(faults.front()));
    CPPUNIT_ASSERT_EQUAL(4500L,
                         static_cast<long>(read.service.stop_limit.count()));
  }

  // Guards against a bound on buffers that nobody asked for, and against a
  // limit that leaves no room for the process.
  void memory_limit_is_optional_and_whole() {
    const std::string text =
        block(read_document("SETTINGS.md"), "gateway and store");
    const std::string given = "\"memory_limit_mb\": 88,";
    const auto read_with = [&](const std::string& instead) {
      std::string changed = text;
      changed.replace(changed.find(given), given.size(), instead);
      fault_list faults;
      const gateway_settings read = read_gateway_settings(changed, faults);
      return std::pair(read.memory_limit, faults.size());
    };
    constexpr std::uint64_t mb = 1U << 20;
    CPPUNIT_ASSERT(
        read_with(given) ==
        std::pair(std::optional<std::uint64_t>(88 * mb), std::size_t{0}));
    CPPUNIT_ASSERT(read_with("") ==
                   std::pair(std::optional<std::uint64_t>(), std::size_t{0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         read_with("\"memory_limit_mb\": 8,").second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         read_with("\"memory_limit_mb\": 88.5,").second);
  }

  void every_fault_of_a_settings_file_is_listed() {
    fault_list faults;
    read_node_settings(R"({
      // a comment
      "name": "n", "place": 3, "rpc_listen": "host:1",
      "http_listen": "127.0.0.1:2", "platform": "127.0.0.1:3",
      "shards": 0, "shard": 1, "suspect_after_ms": 60
    })",
                       faults);
    std::string seen;
    for (const fault& each : faults) {
      seen += describe(each) + "\n";
    }
    for (const char* expected : {"1704 place", "1705 rpc_listen", "1705 shards",
                                 "1703 shard:", "1707 suspect_after_ms"}) {
      TRAYROCK_CHECK(seen.find(expected) != std::string::npos,
                     "expected " << expected << ", seen:\n"
                                 << seen);
    }
  }

 private:
  // The JSON block that follows the heading of a process, or a place behind it.
  static std::string block(const std::string& page, const std::string& name,
                           std::size_t behind = 0) {
    const std::size_t heading = page.find("## " + name);
    const std::string fence = "```json\n";
    const std::size_t begin =
        page.find(fence, std::max(heading, behind)) + fence.size();
    return page.substr(begin, page.find("```", begin) - begin);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_test);

}  // namespace
}  // namespace trayrock::testing
