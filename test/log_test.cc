// Logs: JSON, one object a line, and never waiting for a reader.
#include "trayrock/internal/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "test_support.h"

namespace trayrock::testing {
namespace {

class log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_test);
  CPPUNIT_TEST(lines_are_json_and_a_reader_that_stops_holds_up_nobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void lines_are_json_and_a_reader_that_stops_holds_up_nobody() {
    int pipe[2];
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe));
    const int kept = dup(STDOUT_FILENO);
    dup2(pipe[1], STDOUT_FILENO);
    start_logging("test", "info");
    log_info("odd", {{"text", "quote \" back \\ line \n end"}});
    // Exceeds the pipe's and the logger's buffers; there is no reader.
    const std::string filler(1000, 'x');
    constexpr int lines = 2000;
    for (int i = 0; i < lines; ++i) {
      log_info("filler", {{"text", filler}});
    }
    std::string seen = read_all(pipe[0]);
    // Each further line also writes what was waiting.
    constexpr int rounds_until_empty = 20;
    for (int i = 0; i < rounds_until_empty; ++i) {
      log_info("after", {});
      seen += read_all(pipe[0]);
    }
    dup2(kept, STDOUT_FILENO);
    close(kept);
    close(pipe[0]);
    close(pipe[1]);

    std::istringstream in(seen);
    std::string line;
    int fillers = 0;
    int dropped = 0;
    while (std::getline(in, line)) {
      const auto object = nlohmann::json::parse(line, nullptr, false);
      TRAYROCK_CHECK(object.is_object(), "expected JSON, seen " << line);
      fillers += object["event"] == "filler" ? 1 : 0;
      if (object["event"] == "log_lines_dropped") {
        dropped += std::stoi(object["count"].get<std::string>());
      }
      if (object["event"] == "odd") {
        CPPUNIT_ASSERT_EQUAL(std::string("quote \" back \\ line \n end"),
                             object["text"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("test"),
                             object["process"].get<std::string>());
      }
    }
    CPPUNIT_ASSERT(dropped > 0);
    CPPUNIT_ASSERT_EQUAL(lines, fillers + dropped);
  }

 private:
  static std::string read_all(int from) {
    fcntl(from, F_SETFL, fcntl(from, F_GETFL) | O_NONBLOCK);
    std::string bytes;
    char buffer[4096];
    ssize_t got = 0;
    while ((got = read(from, buffer, sizeof(buffer))) > 0) {
      bytes.append(buffer, static_cast<std::size_t>(got));
    }
    return bytes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

}  // namespace
}  // namespace trayrock::testing
